package limiter_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/limiter"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

func TestLimiter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "limiter")
}

func haveRefusal(c refuser.Code) OmegaMatcher {
	return WithTransform(func(err error) []string {
		r, ok := refuser.As(err)
		if !ok {
			return nil
		}
		return []string{string(r.Code), string(r.Outcome)}
	}, Equal([]string{string(c), string(refuser.NotRun)}))
}

var _ = Describe("Admit", func() {
	var clock *timekeeper.Fake
	var l *limiter.Limiter
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(1000, 0))
		l = limiter.New(limiter.Settings{Clock: clock, Concurrent: 1, Queue: 4})
	})
	admit := func(r limiter.Request) *limiter.Permit {
		GinkgoHelper()
		p, err := l.Admit(context.Background(), r)
		Expect(err).NotTo(HaveOccurred())
		return p
	}
	type result struct {
		permit *limiter.Permit
		err    error
	}
	wait := func(ctx context.Context, r limiter.Request) <-chan result {
		GinkgoHelper()
		n := l.Waiting(r.Workspace)
		c := make(chan result, 1)
		go func() {
			p, err := l.Admit(ctx, r)
			c <- result{p, err}
		}()
		Eventually(func() int { return l.Waiting(r.Workspace) }).Should(Equal(n + 1))
		return c
	}

	// Guards against a request that waits although it cannot finish in time:
	// one unit of cost takes 1 s, and three units are ahead.
	DescribeTable("refuses at once a request that cannot finish before its deadline",
		func(ctx context.Context, left time.Duration, refused bool) {
			p := admit(limiter.Request{Workspace: "w", Cost: 1})
			clock.Advance(time.Second)
			p.Done(0)
			admit(limiter.Request{Workspace: "w", Cost: 1})
			wait(ctx, limiter.Request{Workspace: "w", Cost: 2})
			r := limiter.Request{Workspace: "w", Cost: 1, RunTime: time.Second, Deadline: clock.Now().Add(left)}
			if !refused {
				wait(ctx, r)
				return
			}
			_, err := l.Admit(ctx, r)
			Expect(err).To(haveRefusal(refuser.DeadlineTooShort))
			Expect(l.Waiting("w")).To(Equal(1))
		},
		Entry("3 s left", 3*time.Second, true, NodeTimeout(10*time.Second)),
		Entry("5 s left", 5*time.Second, false, NodeTimeout(10*time.Second)),
	)

	// Guards against a wait past the point at which the answer could come in time, and
	// against refused callers that all return at once or are not told when.
	DescribeTable("refuses with a delay after which a slot is expected to be free",
		func(ctx context.Context, random, ahead float64, retryAfter time.Duration) {
			l = limiter.New(limiter.Settings{Clock: clock, Concurrent: 1, Random: func() float64 { return random }})
			p := admit(limiter.Request{Workspace: "w", Cost: 1})
			clock.Advance(time.Second)
			p.Done(0)
			admit(limiter.Request{Workspace: "w"})
			late := wait(ctx, limiter.Request{Workspace: "w", RunTime: 2 * time.Second, Deadline: clock.Now().Add(5 * time.Second)})
			wait(ctx, limiter.Request{Workspace: "w", Priority: 1, Cost: ahead})
			haveDelay := And(haveRefusal(refuser.DeadlineTooShort), HaveField("RetryAfter", BeNumerically("~", retryAfter, retryAfter/10)))
			_, err := l.Admit(ctx, limiter.Request{Workspace: "w", RunTime: time.Minute, Deadline: clock.Now().Add(time.Second)})
			Expect(err).To(haveRefusal(refuser.DeadlineTooShort))
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			clock.Advance(3 * time.Second)
			Expect((<-late).err).To(haveDelay)
		},
		Entry("2 s, earliest", 0.0, 1.0, 1500*time.Millisecond, NodeTimeout(10*time.Second)),
		Entry("2 s, latest", 1.0, 1.0, 2500*time.Millisecond, NodeTimeout(10*time.Second)),
		Entry("the longest delay, earliest", 0.0, 50.0, 1500*time.Millisecond, NodeTimeout(10*time.Second)),
	)

	// Guards against cheap calls that distort the expected wait of expensive
	// ones: a thousand units take 2 s here, whatever a call of one unit takes.
	It("estimates the wait by the time per unit of cost", func(ctx context.Context) {
		for i := range 200 {
			r, took := limiter.Request{Workspace: "w", Cost: 1}, 50*time.Millisecond
			if i%2 == 0 {
				r.Cost, took = 1000, 2*time.Second
			}
			p := admit(r)
			clock.Advance(took)
			p.Done(0)
		}
		admit(limiter.Request{Workspace: "w", Cost: 1000})
		wait(ctx, limiter.Request{Workspace: "w", Cost: 1000, Deadline: clock.Now().Add(4 * time.Second)})
		_, err := l.Admit(ctx, limiter.Request{Workspace: "w", Cost: 1000, Deadline: clock.Now().Add(time.Second)})
		Expect(err).To(haveRefusal(refuser.DeadlineTooShort))
	}, NodeTimeout(10*time.Second))

	// Guards against a request that stays queued after its deadline or after
	// its caller disconnected, and against a refusal of such a request without
	// the outcome notRun.
	It("removes waiting requests whose deadline passes or whose caller disconnects", func(ctx context.Context) {
		admit(limiter.Request{Workspace: "w"})
		late := wait(ctx, limiter.Request{Workspace: "w", Deadline: clock.Now().Add(time.Second)})
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		clock.Advance(time.Second)
		Expect((<-late).err).To(haveRefusal(refuser.DeadlineExceeded))
		Expect(l.Waiting("w")).To(BeZero())
		waitCtx, disconnect := context.WithCancel(ctx)
		disconnected := wait(waitCtx, limiter.Request{Workspace: "w"})
		disconnect()
		Expect((<-disconnected).err).To(MatchError(context.Canceled))
		Expect(l.Waiting("w")).To(BeZero())
	}, NodeTimeout(10*time.Second))

	// Guards against an unbounded queue and a workspace that exceeds its own
	// bound while slots are free.
	It("bounds the queue and the requests in flight of a workspace", func(ctx context.Context) {
		l.SetConcurrent(10)
		r := limiter.Request{Workspace: "w", Bounds: limiter.Bounds{Concurrent: 2}}
		first := admit(r)
		admit(r)
		admit(limiter.Request{Workspace: "other"})
		waiting := wait(ctx, r)
		for range 3 {
			wait(ctx, r)
		}
		_, err := l.Admit(ctx, r)
		Expect(err).To(haveRefusal(refuser.QueueFull))
		first.Done(0)
		first.Done(0)
		Expect((<-waiting).err).NotTo(HaveOccurred())
		Expect(l.InFlight()).To(Equal(3))
	}, NodeTimeout(10*time.Second))

	// Guards against a status that adds up requests of several workspaces or
	// priorities, shows the latest wait instead of the longest, or misses refusals.
	It("reports what waits by workspace and priority, and refusals by code", func(ctx context.Context) {
		admit(limiter.Request{Workspace: "w"})
		wait(ctx, limiter.Request{Workspace: "other", Priority: 5})
		clock.Advance(time.Second)
		wait(ctx, limiter.Request{Workspace: "w", Priority: 5})
		wait(ctx, limiter.Request{Workspace: "w", Priority: 7})
		late := wait(ctx, limiter.Request{Workspace: "w", Priority: 7, Deadline: clock.Now().Add(time.Second)})
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		_, err := l.Admit(ctx, limiter.Request{Workspace: "w", Bounds: limiter.Bounds{Queue: 1}})
		Expect(err).To(haveRefusal(refuser.QueueFull))
		Expect(l.Status()).To(Equal(limiter.Status{
			Waiting: 4, Refused: map[refuser.Code]int64{refuser.QueueFull: 1}, Groups: []limiter.Group{
				{Workspace: "other", Priority: 5, Requests: 1, Oldest: time.Second},
				{Workspace: "w", Priority: 7, Requests: 2},
				{Workspace: "w", Priority: 5, Requests: 1},
			},
		}))
		clock.Advance(time.Second)
		Expect((<-late).err).To(HaveOccurred())
		Expect(l.Status().Refused).To(HaveKeyWithValue(refuser.DeadlineExceeded, int64(1)))
	}, NodeTimeout(10*time.Second))

	// Guards against waiting requests to which a changed configuration does not apply
	// until the next request of their workspace.
	It("applies changed bounds to waiting requests", func(ctx context.Context) {
		l.SetConcurrent(3)
		r := limiter.Request{Workspace: "w", Bounds: limiter.Bounds{Concurrent: 1}}
		admit(r)
		var waiting []<-chan result
		for range 4 {
			waiting = append(waiting, wait(ctx, r))
		}
		l.SetBounds("w", limiter.Bounds{Concurrent: 2, Queue: 1})
		Expect((<-waiting[0]).err).NotTo(HaveOccurred())
		Expect((<-waiting[3]).err).To(haveRefusal(refuser.QueueFull))
		Expect((<-waiting[2]).err).To(haveRefusal(refuser.QueueFull))
		Expect([]int{l.Waiting("w"), l.InFlight()}).To(Equal([]int{1, 2}))
		l.SetBounds("w", limiter.Bounds{})
		Expect((<-waiting[1]).err).NotTo(HaveOccurred())
		l.SetBounds("unknown", limiter.Bounds{Share: 2})
		Expect(l.Status().Groups).To(BeEmpty())
	}, NodeTimeout(10*time.Second))

	// Guards against slots that leak when callers disconnect at the moment of
	// their admission.
	It("leaks no slot under concurrent use", func(ctx context.Context) {
		l = limiter.New(limiter.Settings{Clock: clock, Concurrent: 3})
		var wg conc.WaitGroup
		for w := range 8 {
			wg.Go(func() {
				for i := range 200 {
					c, cancel := context.WithCancel(ctx)
					if i%3 == w%3 {
						go cancel()
					}
					if p, err := l.Admit(c, limiter.Request{Workspace: string(rune('a' + w)), Cost: float64(w)}); err == nil {
						p.Done(0)
					}
					cancel()
				}
			})
		}
		wg.Wait()
		Expect(l.InFlight()).To(BeZero())
		for w := range 8 {
			Expect(l.Waiting(string(rune('a' + w)))).To(BeZero())
		}
	}, NodeTimeout(time.Minute))
})

var _ = Describe("Retry", func() {
	// Guards against retries that multiply the load of a failing deployment,
	// and against one workspace that spends the budget of another.
	It("grants at most a tenth of the requests plus the minimum rate", func(ctx context.Context) {
		const seed = 47
		rng := rand.New(rand.NewPCG(seed, seed))
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		l := limiter.New(limiter.Settings{Clock: clock})
		start, requests, retries := clock.Now(), 0, 0
		for range 20_000 {
			clock.Advance(time.Duration(rng.IntN(10)) * time.Millisecond)
			p, err := l.Admit(ctx, limiter.Request{Workspace: "w"})
			Expect(err).NotTo(HaveOccurred())
			p.Done(0)
			requests++
			for range rng.IntN(3) {
				if l.Retry("w") {
					retries++
				}
			}
			limit := 0.1*float64(requests) + 0.2*clock.Since(start).Seconds() + 10
			Expect(float64(retries)).To(BeNumerically("<=", limit+1e-6))
		}
		Expect(float64(retries)).To(BeNumerically(">=", 0.1*float64(requests)))
		Expect(l.Retry("quiet")).To(BeTrue())
	}, NodeTimeout(time.Minute))
})

func BenchmarkAdmit(b *testing.B) {
	l := limiter.New(limiter.Settings{})
	ctx := context.Background()
	names := make([]string, 33)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p, err := l.Admit(ctx, limiter.Request{Workspace: names[i%len(names)], Cost: 100})
		if err != nil {
			b.Fatal(err)
		}
		p.Done(0)
	}
}
