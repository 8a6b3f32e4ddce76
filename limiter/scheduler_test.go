package limiter

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("scheduler", func() {
	start := time.Unix(1000, 0)
	enter := func(s *scheduler, r Request, bound int) (*waiter, *waiter) {
		w := s.newWaiter(r, start)
		return w, s.enqueue(w, bound, start)
	}

	// Guards against shares that are not kept: for two workspaces with requests
	// waiting all the time, the work per share may differ by at most one
	// request of each (the bound of start-time fair queueing). Guards also
	// against a wrong order within a workspace; the reference order is a sort.
	It("keeps the shares of workspaces and the order within each", func() {
		const seed, flows, maxCost = 41, 4, 100
		rng := rand.New(rand.NewPCG(seed, seed))
		for range 20 {
			s := newScheduler(1 + rng.IntN(4))
			shares, names := make([]int, flows), []string{"a", "b", "c", "d"}
			queued := make([][]*waiter, flows)
			for i := range shares {
				shares[i] = 1 + rng.IntN(5)
			}
			enqueueRandom := func(i int) {
				w, refused := enter(s, Request{Workspace: names[i], Bounds: Bounds{Share: shares[i]}, Cost: 1 + rng.Float64()*(maxCost-1), Priority: rng.IntN(3)}, 1000)
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
				for w := s.admitNext(start); w != nil; w = s.admitNext(start) {
					i := slices.Index(names, w.workspace.name)
					// The order of arrival is that of the slice.
					slices.SortStableFunc(queued[i], func(a, b *waiter) int { return b.priority - a.priority })
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
			s := newScheduler(slots)
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
				for w := s.admitNext(start); w != nil; w = s.admitNext(start) {
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

	// Guards against a large workspace whose requests, which have all waited for half of
	// their time in a lasting overload, go before all new requests of a small one, and
	// against a low priority that is never served. Times are in seconds.
	It("keeps the shares while requests wait for half of their time and longer", func() {
		const seed, slots, service, deadline, steps = 44, 4, 10, 60, 4000
		served := func(keepShares bool) map[string]int {
			rng := rand.New(rand.NewPCG(seed, seed))
			s := newScheduler(slots)
			s.queue.KeepShares = keepShares
			ends, served := map[*waiter]int{}, map[string]int{}
			var waiting []*waiter
			for step := range steps {
				now := start.Add(time.Duration(step) * time.Second)
				for w, end := range ends {
					if end == step {
						s.release(w, w.cost)
						delete(ends, w)
					}
				}
				waiting = slices.DeleteFunc(waiting, func(w *waiter) bool {
					expired := !w.admitted && now.After(w.entry.Request.Deadline)
					if expired {
						s.remove(w)
					}
					return w.admitted || expired
				})
				push := func(name string, priority int) {
					w := s.newWaiter(Request{Workspace: name, Cost: 1, Priority: priority, Deadline: now.Add(deadline * time.Second)}, now)
					if s.enqueue(w, 256, now) != w {
						waiting = append(waiting, w)
					}
				}
				push("large", 5) // Five times the capacity of the slots.
				push("large", 5)
				if step%100 == 0 {
					push("large", 0)
				}
				if rng.IntN(20) == 0 {
					push("small", 5)
					served["offered by small"]++
				}
				for w := s.admitNext(now); w != nil; w = s.admitNext(now) {
					ends[w] = step + service
					served[w.workspace.name+strconv.Itoa(w.priority)]++
				}
			}
			return served
		}
		kept, overdueFirst := served(true), served(false)
		GinkgoWriter.Println("served with shares kept", kept, "and with overdue requests before all", overdueFirst)
		Expect(kept["small5"]).To(BeNumerically(">=", kept["offered by small"]-2))
		Expect(kept["large0"]).To(BeNumerically(">", 0))
		Expect(overdueFirst["small5"]).To(BeNumerically("<", kept["small5"]/2))
	})

	// Guards against a workspace that accumulates credit while it is idle and
	// then starves the others.
	It("gives no credit for idle time", func() {
		s := newScheduler(1)
		serve := func(n int) (busyServed int) {
			for range n {
				enter(s, Request{Workspace: "busy", Cost: 1}, 1000)
				w := s.admitNext(start)
				if w.workspace.name == "busy" {
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
		s := newScheduler(1)
		enter(s, Request{Workspace: "w", Cost: 1}, 2)
		s.admitNext(start)
		first, _ := enter(s, Request{Workspace: "w", Cost: 1, Priority: 1}, 2)
		last, _ := enter(s, Request{Workspace: "w", Cost: 1, Priority: 1}, 2)
		low, refused := enter(s, Request{Workspace: "w", Cost: 1}, 2)
		Expect(refused).To(BeIdenticalTo(low))
		_, refused = enter(s, Request{Workspace: "w", Cost: 1, Priority: 2}, 2)
		Expect(refused).To(BeIdenticalTo(last))
		Expect(slices.Collect(s.queue.Entries("w"))).To(ContainElement(BeIdenticalTo(&first.entry)))
		Expect(s.workspaces["w"].waitingCost).To(Equal(2.0))
	})
})
