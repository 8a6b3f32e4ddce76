package starter

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("readSchedule", func() {
	now := time.Unix(1000, 0)
	leaderLost := listStatus{leaderReadAt: now.Add(-maxListAge), configured: true, interval: 10 * minReadInterval}

	// Replays the restart of all hosts at once after they were killed. Guards
	// against entries that use up the platform's rate limit, so that the leader
	// cannot read the list that it has to send them.
	It("reads nothing before there is a configuration", func() {
		var s readSchedule
		status := leaderLost
		status.configured = false
		for i := range 100 {
			Expect(s.due(now.Add(time.Duration(i)*minReadInterval), status, 0)).To(BeFalse())
		}
	})

	// Guards against hosts that all read at the same moment when the leader is
	// lost.
	It("spreads the first reads of hosts that lose the leader together", func() {
		firstRead := func(jitter float64) (n int) {
			var s readSchedule
			for !s.due(now.Add(time.Duration(n)*minReadInterval), leaderLost, jitter) {
				n++
			}
			return n
		}
		Expect(firstRead(0)).To(Equal(0))
		Expect(firstRead(0.5)).To(Equal(5))
		Expect(firstRead(0.99)).To(Equal(9))
	})

	// Guards against reads beyond the host's share of the rate, and against
	// reads while the leader sends the list.
	It("waits between reads and stops when the leader returns", func() {
		var s readSchedule
		Expect(s.due(now, leaderLost, 0)).To(BeTrue())
		Expect(s.due(now.Add(9*minReadInterval), leaderLost, 0)).To(BeFalse())
		Expect(s.due(now.Add(10*minReadInterval), leaderLost, 0)).To(BeTrue())
		leaderBack := leaderLost
		leaderBack.leaderReadAt = now.Add(30 * minReadInterval)
		Expect(s.due(now.Add(30*minReadInterval), leaderBack, 0)).To(BeFalse())
	})
})

var _ = Describe("readInterval", func() {
	// Replays the loss of the leader by all hosts at once. Guards against calls
	// beyond the platform's rate limit, most of which it would refuse.
	DescribeTable("divides the platform's rate among the hosts",
		func(hosts int64, upstreams int, rate float64, interval time.Duration) {
			Expect(readInterval(hosts, upstreams, rate)).To(Equal(interval))
			if rate > 0 && hosts > 0 {
				calls := float64(hosts) * float64(upstreams/pageSize+1) / readInterval(hosts, upstreams, rate).Seconds()
				Expect(calls).To(BeNumerically("<=", rate))
			}
		},
		Entry("no host known yet", int64(0), 0, 40.0, minReadInterval),
		Entry("few hosts", int64(6), 21, 40.0, minReadInterval),
		Entry("many hosts", int64(64), 79, 40.0, 4*time.Second),
		Entry("no rate limit", int64(64), 79, 0.0, minReadInterval),
	)
})
