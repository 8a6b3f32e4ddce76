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
		func(hosts int64, rate float64, pause time.Duration) {
			Expect(listPauseOf(hosts, rate)).To(Equal(pause))
			if rate > 0 && hosts > 0 {
				calls := float64(hosts) * listCalls / listPauseOf(hosts, rate).Seconds()
				Expect(calls).To(BeNumerically("<=", rate))
			}
		},
		Entry("no host known yet", int64(0), 40.0, listPause),
		Entry("few hosts", int64(6), 40.0, listPause),
		Entry("many hosts", int64(64), 40.0, 4*time.Second),
		Entry("no rate stated", int64(64), 0.0, listPause),
	)
})
