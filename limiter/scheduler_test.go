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
		w := &waiter{flow: s.flow(r), cost: r.Cost, priority: r.Priority, decided: make(chan struct{})}
		return w, s.enter(w, bound)
	}

	// Guards against a share that is not kept: for two workspaces with
	// requests waiting all the time, work per share may differ by at most one
	// request of each (the bound of start-time fair queueing). Guards also
	// against a wrong order inside a workspace; the naive order is a sort.
	It("keeps the shares and the order inside a workspace", func() {
		const seed, flows, maxCost = 41, 4, 100
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 20 {
			s := &scheduler{slots: 1 + rng.IntN(4), flows: map[string]*flow{}}
			shares, names := make([]int, flows), []string{"a", "b", "c", "d"}
			naive := make([][]*waiter, flows)
			for i := range shares {
				shares[i] = 1 + rng.IntN(5)
			}
			fill := func(i int) {
				w, refused := enter(s, Request{Workspace: names[i], Share: shares[i], Cost: 1 + rng.Float64()*(maxCost-1), Priority: rng.IntN(3)}, 1000)
				Expect(refused).To(BeNil())
				naive[i] = append(naive[i], w)
			}
			served := make([]float64, flows)
			var running []*waiter
			for range 2000 {
				for i := range flows {
					for len(naive[i]) < 8 {
						fill(i)
					}
				}
				for w := s.next(); w != nil; w = s.next() {
					i := slices.Index(names, flowName(s, w.flow))
					slices.SortFunc(naive[i], func(a, b *waiter) int {
						if a.before(b) {
							return -1
						}
						return 1
					})
					Expect(w).To(BeIdenticalTo(naive[i][0]))
					naive[i] = naive[i][1:]
					fill(i)
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
				s.done(running[k], running[k].cost)
				running = slices.Delete(running, k, k+1)
			}
		}
	})

	// Guards against a small workspace that waits behind the backlog of a
	// large one. The naive limiter is one first-in first-out queue.
	It("does not let a large workspace starve a small one", func() {
		const seed, slots, service, steps = 43, 4, 10, 4000
		wait := func(large, small string) (worst int) {
			rng := rand.New(rand.NewPCG(seed, seed))
			s := &scheduler{slots: slots, flows: map[string]*flow{}}
			ends, entered := map[*waiter]int{}, map[*waiter]int{}
			for step := range steps {
				for w, end := range ends {
					if end == step {
						s.done(w, w.cost)
						delete(ends, w)
					}
				}
				for range 2 { // five times what the slots can serve
					enter(s, Request{Workspace: large, Cost: 1}, 256)
				}
				if rng.IntN(20) == 0 {
					w, _ := enter(s, Request{Workspace: small, Cost: 1}, 256)
					entered[w] = step
				}
				for w := s.next(); w != nil; w = s.next() {
					ends[w] = step + service
					if at, ok := entered[w]; ok {
						worst = max(worst, step-at)
					}
				}
			}
			return worst
		}
		fair, naive := wait("large", "small"), wait("both", "both")
		GinkgoWriter.Printf("longest wait of the small workspace: %d steps, first-in first-out %d steps\n", fair, naive)
		Expect(fair).To(BeNumerically("<=", 2*service))
		Expect(naive).To(BeNumerically(">", 10*fair))
	})

	// Guards against a workspace that saves up its share while it is idle and
	// then shuts out the others.
	It("gives no credit for idle time", func() {
		s := &scheduler{slots: 1, flows: map[string]*flow{}}
		serve := func(n int) (ofBusy int) {
			for range n {
				enter(s, Request{Workspace: "busy", Cost: 1}, 1000)
				w := s.next()
				if flowName(s, w.flow) == "busy" {
					ofBusy++
				}
				s.done(w, w.cost)
			}
			return ofBusy
		}
		serve(500)
		for range 200 {
			enter(s, Request{Workspace: "idle", Cost: 1}, 1000)
		}
		Expect(serve(100)).To(BeNumerically("~", 50, 1))
	})

	// Guards against a full queue that refuses a request of high priority
	// while ones of low priority wait.
	It("makes room by refusing the last request of the lowest priority", func() {
		s := &scheduler{slots: 1, flows: map[string]*flow{}}
		enter(s, Request{Workspace: "w", Cost: 1}, 2)
		s.next()
		first, _ := enter(s, Request{Workspace: "w", Cost: 1, Priority: 1}, 2)
		last, _ := enter(s, Request{Workspace: "w", Cost: 1, Priority: 1}, 2)
		low, refused := enter(s, Request{Workspace: "w", Cost: 1}, 2)
		Expect(refused).To(BeIdenticalTo(low))
		_, refused = enter(s, Request{Workspace: "w", Cost: 1, Priority: 2}, 2)
		Expect(refused).To(BeIdenticalTo(last))
		Expect(s.flows["w"].queue).To(ContainElement(BeIdenticalTo(first)))
		Expect(s.flows["w"].waiting).To(Equal(2.0))
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
