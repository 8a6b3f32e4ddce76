package starter

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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
