package starter

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("listTurn", func() {
	now := time.Unix(1000, 0)
	lost := listNeed{heard: now.Add(-leaderSilence), configured: true, pause: 10 * listPause}

	// Replays the start of all hosts at once after each was killed. Guards
	// against hosts that use up the platform's rate for a list without which
	// the leader cannot serve them.
	It("leaves the rate to the leader before there is a configuration", func() {
		var t listTurn
		n := lost
		n.configured = false
		for i := range 100 {
			Expect(t.due(now.Add(time.Duration(i)*listPause), n, 0)).To(BeFalse())
		}
	})

	// Guards against hosts that read at the same moment when the leader is lost.
	It("spreads the readings of hosts that lose the leader together", func() {
		first := func(luck float64) (n int) {
			var t listTurn
			for !t.due(now.Add(time.Duration(n)*listPause), lost, luck) {
				n++
			}
			return n
		}
		Expect(first(0)).To(Equal(0))
		Expect(first(0.5)).To(Equal(5))
		Expect(first(0.99)).To(Equal(9))
	})

	// Guards against calls beyond the host's part, and against readings while
	// the leader tells the list.
	It("pauses between readings, and ends with the leader's return", func() {
		var t listTurn
		Expect(t.due(now, lost, 0)).To(BeTrue())
		Expect(t.due(now.Add(9*listPause), lost, 0)).To(BeFalse())
		Expect(t.due(now.Add(10*listPause), lost, 0)).To(BeTrue())
		back := lost
		back.heard = now.Add(30 * listPause)
		Expect(t.due(now.Add(30*listPause), back, 0)).To(BeFalse())
	})
})

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
