package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/admitter"
)

// entry returns an entry that may wait for a second and is due after the given time.
func entry(workspace string, priority int, due time.Duration) *admitter.Entry {
	return &admitter.Entry{
		Request: admitter.Request{Workspace: workspace, Priority: priority, Due: epoch.Add(due), Work: 1000, Bytes: 10},
		Until:   epoch.Add(time.Second),
	}
}

var _ = Describe("Queue", func() {
	var q *admitter.Queue
	BeforeEach(func() { q = &admitter.Queue{MaxEntries: 1000, MaxBytes: 10_000} })
	push := func(entries ...*admitter.Entry) {
		for _, e := range entries {
			Expect(q.Push(e, epoch)).To(BeTrue())
		}
	}
	take := func(now time.Time) *admitter.Entry {
		e := q.Take(now)
		if e != nil {
			q.Charge(e)
		}
		return e
	}

	// Guards against requests that are sent out of order.
	It("orders by priority and then by when requests are due", func() {
		a, b, c := entry("w", 2, time.Second), entry("w", 1, 3*time.Second), entry("w", 1, 2*time.Second)
		push(a, b, c)
		Expect(q.Ahead(0)).To(Equal(0))
		Expect(q.Ahead(1)).To(Equal(2))
		Expect(q.Ahead(99)).To(Equal(3))
		for _, want := range []*admitter.Entry{c, b, a, nil} {
			Expect(take(epoch)).To(BeIdenticalTo(want))
		}
	})

	// Guards against a workspace that takes all capacity by sending more.
	It("divides capacity among workspaces", func() {
		for i := range 60 {
			push(entry("large", 0, time.Duration(i)*time.Millisecond))
		}
		for i := range 10 {
			push(entry("small", 0, time.Hour+time.Duration(i)))
		}
		served := make(map[string]int)
		for range 20 {
			served[take(epoch).Request.Workspace]++
		}
		Expect(served).To(Equal(map[string]int{"large": 10, "small": 10}))
	})

	// Guards against weights that are ignored, and against a correction of the work that
	// does not count.
	It("divides capacity by the shares of workspaces and by corrected work", func() {
		for range 60 {
			e := entry("heavy", 0, time.Second)
			e.Request.Share = 3
			push(e, entry("light", 0, time.Second))
		}
		served := make(map[string]int)
		for range 40 {
			served[take(epoch).Request.Workspace]++
		}
		Expect(served).To(Equal(map[string]int{"heavy": 30, "light": 10}))
		e := take(epoch)
		q.Correct(e, e.Request.Work*float64(1+3*max(e.Request.Share, 1)))
		for range 3 {
			Expect(take(epoch).Request.Workspace).NotTo(Equal(e.Request.Workspace))
		}
	})

	// Guards against a rank that counts for other workspaces, and against a full queue
	// that drops the wrong request.
	It("orders the requests of a workspace by rank", func() {
		a, b, c := entry("w", 0, time.Second), entry("w", 0, 2*time.Second), entry("w", 0, 3*time.Second)
		a.Request.Rank, b.Request.Rank, c.Request.Rank = 1, 1, -1
		push(a, b)
		Expect([]bool{c.GoesBefore(a), b.GoesBefore(a), entry("w", 1, 0).GoesBefore(b)}).To(Equal([]bool{true, false, false}))
		push(c, entry("x", 0, 0))
		Expect(q.Last("w")).To(BeIdenticalTo(b))
		Expect(q.Last("y")).To(BeNil())
		Expect(take(epoch)).NotTo(BeNil())
		Expect(take(epoch)).NotTo(BeNil())
		Expect([]*admitter.Entry{take(epoch), take(epoch)}).To(Equal([]*admitter.Entry{a, b}))
	})

	// Guards against a workspace at its own limit that blocks others, even when its
	// requests are overdue, and against one that stays held or saves up its share.
	It("passes over workspaces that are held", func() {
		held, other := entry("held", 0, 0), entry("other", 9, time.Second)
		push(held)
		q.Hold("held", true)
		push(entry("held", 1, 0), other)
		Expect(q.First()).To(BeIdenticalTo(other))
		Expect(take(epoch.Add(time.Second))).To(BeIdenticalTo(other))
		Expect(take(epoch.Add(time.Second))).To(BeNil())
		Expect([]int{q.Len(), q.Waiting("held"), q.Waiting("other")}).To(Equal([]int{2, 2, 0}))
		q.Hold("held", false)
		Expect(take(epoch)).To(BeIdenticalTo(held))
	})

	// Guards against a workspace that saves up its share while it is idle.
	It("gives a workspace that returns no more than its share", func() {
		for range 40 {
			push(entry("a", 0, time.Second))
		}
		for range 20 {
			take(epoch)
		}
		for range 20 {
			push(entry("b", 0, time.Second))
		}
		served := make(map[string]int)
		for range 10 {
			served[take(epoch).Request.Workspace]++
		}
		Expect(served["a"]).To(BeNumerically(">=", 4))
	})

	// Guards against low priorities, and requests that need much memory, that never
	// have their turn.
	It("lets a request that has waited for half of its time go first", func() {
		low := entry("w", 9, time.Hour)
		push(low, entry("w", 0, time.Second))
		half := epoch.Add(500 * time.Millisecond)
		Expect(q.Push(&admitter.Entry{Request: entry("w", 0, 0).Request, Until: half.Add(time.Second)}, half)).To(BeTrue())
		Expect([]*admitter.Entry{q.Take(half), q.Take(half)}).To(ContainElement(BeIdenticalTo(low)))
		Expect(q.Take(half).Waited(half)).To(BeZero())
	})

	It("is bounded by number and bytes", func() {
		q.MaxEntries = 2
		push(entry("w", 0, 0), entry("w", 0, 0))
		Expect(q.Push(entry("w", 0, 0), epoch)).To(BeFalse())
		q.MaxEntries, q.MaxBytes = 10, 25
		Expect(q.Push(entry("w", 0, 0), epoch)).To(BeFalse())
		take(epoch)
		Expect(q.Push(entry("w", 0, 0), epoch)).To(BeTrue())
	})

	// Guards against entries that are lost or stay behind after removals and limits in any
	// order.
	DescribeTable("keeps its entries through random operations", func(holds, keepShares bool) {
		random := rand.New(rand.NewPCG(5, 6))
		held, atLimit := make(map[*admitter.Entry]bool), make(map[string]bool)
		q.KeepShares = keepShares
		for range 5000 {
			if holds && random.Float64() < 0.1 {
				name := fmt.Sprint(random.IntN(5))
				atLimit[name] = !atLimit[name]
				q.Hold(name, atLimit[name])
			}
			switch x := random.Float64(); {
			case x < 0.5:
				e := entry(fmt.Sprint(random.IntN(5)), random.IntN(12), time.Duration(random.IntN(1000))*time.Millisecond)
				if q.Push(e, epoch.Add(time.Duration(random.IntN(900))*time.Millisecond)) {
					held[e] = true
				}
			case x < 0.6:
				for e := range held {
					q.Remove(e)
					delete(held, e)
					break
				}
			default:
				e := q.Take(epoch.Add(time.Duration(random.IntN(1000)) * time.Millisecond))
				if e == nil {
					for e := range held {
						if name := e.Request.Workspace; !atLimit[name] {
							Fail("the queue keeps an entry of a workspace that is not held: " + name)
						}
					}
					break
				}
				Expect(held[e]).To(BeTrue())
				Expect(atLimit[e.Request.Workspace]).To(BeFalse())
				if x < 0.7 {
					q.Return(e)
					break
				}
				q.Charge(e)
				delete(held, e)
			}
			Expect(q.Len()).To(Equal(len(held)))
		}
	},
		Entry("without limits", false, false),
		Entry("with workspaces at their limits", true, false),
		Entry("with shares kept", true, true),
	)
})

// BenchmarkDecision measures one decision while 10,000 requests wait: the choice, the
// verdict, and a place in the queue taken and left.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{140, 1500} {
		b.Run(fmt.Sprint(n, " upstreams"), func(b *testing.B) {
			s, random := learned(), rand.New(rand.NewPCG(1, 2))
			q := &admitter.Queue{MaxEntries: 20_000, MaxBytes: 1 << 40}
			for i := range 10_000 {
				q.Push(entry(fmt.Sprint(i%50), i%10, time.Duration(random.IntN(5000))*time.Millisecond), epoch)
			}
			cands := make([]admitter.Candidate, n)
			for i := range cands {
				cands[i] = admitter.Candidate{Work: 1e4 * random.Float64(), Running: random.IntN(17), Slots: 16, Memory: 245_000, Reading: 2000, Speed: 1, Home: true}
			}
			e := entry("1", 3, time.Second)
			e.Request.Model, e.Request.Deadline = "m", epoch.Add(10*time.Second)
			for b.Loop() {
				admitter.Choose(cands, &e.Request, s, epoch, admitter.Spread{Unseen: 3000, Random: random.Float64()})
				admitter.Decide(&e.Request, s, admitter.Room{Running: 2000, Slots: 2000, Hosts: 65, Ahead: q.Ahead(3)}, epoch)
				q.Push(e, epoch)
				taken := q.Take(epoch)
				q.Charge(taken)
				q.Return(taken)
				q.Remove(e)
			}
		})
	}
}
