package starter

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("listPauseOf", func() {
	// Replays the loss of the leader by all hosts at once. Guards against calls
	// beyond the platform's rate, most of which it would refuse.
	DescribeTable("divides the platform's rate among the hosts",
		func(hosts int64, upstreams int, rate float64, pause time.Duration) {
			Expect(listPauseOf(hosts, upstreams, rate)).To(Equal(pause))
			if rate > 0 && hosts > 0 {
				calls := float64(hosts) * float64(upstreams/listPage+1) / listPauseOf(hosts, upstreams, rate).Seconds()
				Expect(calls).To(BeNumerically("<=", rate))
			}
		},
		Entry("no host known yet", int64(0), 0, 40.0, listPause),
		Entry("few hosts", int64(6), 21, 40.0, listPause),
		Entry("many hosts", int64(64), 79, 40.0, 4*time.Second),
		Entry("no rate stated", int64(64), 79, 0.0, listPause),
	)
})
