package limiter

import (
	"math"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("scheduler", func() {
	enter := func(s *scheduler, r Request, bound int) (*waiter, *waiter) {
		w := &waiter{flow: s.flowFor(r), cost: r.Cost, priority: r.Priority, decided: make(chan struct{})}
		return w, s.enqueue(w, bound)
	}

	// Guards against shares that are not kept: for two workspaces with requests
	// waiting all the time, the work per share may differ by at most one
	// request of each (the bound of start-time fair queueing). Guards also
	// against a wrong order within a workspace; the reference order is a sort.
	It("keeps the shares of workspaces and the order within each", func() {
		const seed, flows, maxCost = 41, 4, 100
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 20 {
			s := &scheduler{slots: 1 + rng.IntN(4), flows: map[string]*flow{}}
			shares, names := make([]int, flows), []string{"a", "b", "c", "d"}
			queued := make([][]*waiter, flows)
			for i := range shares {
				shares[i] = 1 + rng.IntN(5)
			}
			enqueueRandom := func(i int) {
				w, refused := enter(s, Request{Workspace: names[i], Share: shares[i], Cost: 1 + rng.Float64()*(maxCost-1), Priority: rng.IntN(3)}, 1000)
				Expect(refused).To(BeNil())
				queued[i] = append(queued[i], w)
			}
			served := make([]float64, flows)
			var running []*waiter
			for range 2000 {
				for i := range flows {
					for len(queued[i]) < 8 {
						enqueueRandom(i)
					}
				}
				for w := s.admitNext(); w != nil; w = s.admitNext() {
					i := slices.Index(names, flowName(s, w.flow))
					slices.SortFunc(queued[i], func(a, b *waiter) int {
						if a.servedBefore(b) {
							return -1
						}
						return 1
					})
					Expect(w).To(BeIdenticalTo(queued[i][0]))
					queued[i] = queued[i][1:]
					enqueueRandom(i)
					served[i] += w.cost / float64(shares[i])
					running = append(running, w)
				}
				for i := range flows {
					for j := range i {
						bound := maxCost/float64(shares[i]) + maxCost/float64(shares[j])
						Expect(math.Abs(served[i] - served[j])).To(BeNumerically("<=", bound))
					}
				}
				k := rng.IntN(len(running))
				s.release(running[k], running[k].cost)
				running = slices.Delete(running, k, k+1)
			}
		}
	})

	// Guards against a small workspace that waits behind the backlog of a large
	// one. The baseline is a single first-in first-out queue.
	It("does not let a large workspace starve a small one", func() {
		const seed, slots, service, steps = 43, 4, 10, 4000
		longestWait := func(large, small string) (longest int) {
			rng := rand.New(rand.NewPCG(seed, seed))
			s := &scheduler{slots: slots, flows: map[string]*flow{}}
			ends, entered := map[*waiter]int{}, map[*waiter]int{}
			for step := range steps {
				for w, end := range ends {
					if end == step {
						s.release(w, w.cost)
						delete(ends, w)
					}
				}
				for range 2 { // five times the capacity of the slots
					enter(s, Request{Workspace: large, Cost: 1}, 256)
				}
				if rng.IntN(20) == 0 {
					w, _ := enter(s, Request{Workspace: small, Cost: 1}, 256)
					entered[w] = step
				}
				for w := s.admitNext(); w != nil; w = s.admitNext() {
					ends[w] = step + service
					if at, ok := entered[w]; ok {
						longest = max(longest, step-at)
					}
				}
			}
			return longest
		}
		fair, fifo := longestWait("large", "small"), longestWait("both", "both")
		GinkgoWriter.Printf("longest wait of the small workspace: %d steps, first-in first-out %d steps\n", fair, fifo)
		Expect(fair).To(BeNumerically("<=", 2*service))
		Expect(fifo).To(BeNumerically(">", 10*fair))
	})

	// Guards against a workspace that accumulates credit while it is idle and
	// then starves the others.
	It("gives no credit for idle time", func() {
		s := &scheduler{slots: 1, flows: map[string]*flow{}}
		serve := func(n int) (busyServed int) {
			for range n {
				enter(s, Request{Workspace: "busy", Cost: 1}, 1000)
				w := s.admitNext()
				if flowName(s, w.flow) == "busy" {
					busyServed++
				}
				s.release(w, w.cost)
			}
			return busyServed
		}
		serve(500)
		for range 200 {
			enter(s, Request{Workspace: "idle", Cost: 1}, 1000)
		}
		Expect(serve(100)).To(BeNumerically("~", 50, 1))
	})

	// Guards against a full queue that refuses a request of high priority while
	// requests of low priority wait.
	It("refuses the last request of the lowest priority when the queue is full", func() {
		s := &scheduler{slots: 1, flows: map[string]*flow{}}
		enter(s, Request{Workspace: "w", Cost: 1}, 2)
		s.admitNext()
		first, _ := enter(s, Request{Workspace: "w", Cost: 1, Priority: 1}, 2)
		last, _ := enter(s, Request{Workspace: "w", Cost: 1, Priority: 1}, 2)
		low, refused := enter(s, Request{Workspace: "w", Cost: 1}, 2)
		Expect(refused).To(BeIdenticalTo(low))
		_, refused = enter(s, Request{Workspace: "w", Cost: 1, Priority: 2}, 2)
		Expect(refused).To(BeIdenticalTo(last))
		Expect(s.flows["w"].queue).To(ContainElement(BeIdenticalTo(first)))
		Expect(s.flows["w"].waitingCost).To(Equal(2.0))
	})
})

func flowName(s *scheduler, f *flow) string {
	for n, o := range s.flows {
		if o == f {
			return n
		}
	}
	return ""
}
