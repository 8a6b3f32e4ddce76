package starter

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/budgeter"
	"foxtailwall/forwarder"
	"foxtailwall/placer"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
)

// Guards against hosts that each use a large part of a shared allowance, because a
// leader that was just elected knows few hosts.
var _ = Describe("hostCount", func() {
	It("remembers the largest number and the last known rank", func() {
		var c hostCount
		now := time.Unix(100, 0)
		count := func(live, position int) [2]int {
			hosts, rank := c.update(live, position, now)
			return [2]int{hosts, rank}
		}
		Expect(count(300, 0)).To(Equal([2]int{300, -1}))
		Expect(count(300, 17)).To(Equal([2]int{300, 16}))
		now = now.Add(10 * time.Second)
		Expect(count(1, 0)).To(Equal([2]int{300, 16}))
		now = now.Add(hostCountMemory)
		Expect(count(200, 12)).To(Equal([2]int{200, 11}))
		Expect(count(210, 13)).To(Equal([2]int{210, 12}))
	})
})

// Guards against retries far beyond the shared budget while a leader that was just
// elected tells each host that it is one of few.
var _ = Describe("The retry budget", func() {
	It("is divided among the hosts known before the leader changed", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		e := &entry{
			opts: Options{Clock: clock}, placer: placer.New(placer.Settings{Clock: clock}), forwarder: forwarder.New(forwarder.Settings{Clock: clock}),
			retryBudget: budgeter.New(budgeter.Settings{Ratio: 0.9, Window: 10 * time.Second, Slack: 600, Clock: clock}),
		}
		retries := func() (n int) {
			for e.retryBudget.Allow("s") {
				n++
			}
			return n
		}
		e.applyUpdate(&syncer.Update{FromLeader: true, Hosts: 300, ListAge: -1})
		e.applyUpdate(&syncer.Update{FromLeader: true, Hosts: 1, ListAge: -1})
		Expect(retries()).To(BeNumerically("<=", 2))
		clock.Advance(30 * time.Second)
		e.applyUpdate(&syncer.Update{FromLeader: true, Hosts: 10, ListAge: -1})
		Expect(retries()).To(BeNumerically(">", 50))
	})
})
