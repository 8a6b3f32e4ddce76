package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
	"foxtailwall/claimer"
	"foxtailwall/counter"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// advanceUntilDone runs fn and advances the clock whenever fn waits on a
// timer.
func advanceUntilDone(ctx context.Context, clock *timekeeper.Fake, fn func()) {
	running, returned := context.WithCancel(ctx)
	go func() {
		defer GinkgoRecover()
		defer returned()
		fn()
	}()
	for clock.WaitTimers(running, 1) == nil {
		clock.Advance(50 * time.Millisecond)
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

var _ = Describe("a non-idempotent call", func() {
	// Guards against sending a booking again after it may have run, and against
	// refusing one that provably has not run.
	DescribeTable("is sent again only if it provably did not run",
		func(ctx context.Context, kind router.FailKind, o refuser.Outcome, sends int) {
			r := newFixture()
			r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
				if len(r.upstreams.recordedAttempts()) == 1 {
					return nil, attemptError(kind, o)
				}
				return answer("booked"), nil
			}
			a, err := r.Call(ctx, r.newBooking(newKey()))
			Expect(r.upstreams.recordedAttempts()).To(HaveLen(sends))
			if sends > 1 {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(a.Body)).To(Equal("booked"))
				return
			}
			Expect(asRefusal(err).Outcome).To(Equal(refuser.Unknown))
			Expect(r.claims.released).To(BeZero())
		},
		Entry("connection refused", router.FailRefused, refuser.NotRun, 2),
		Entry("status with proof that it did not run", router.FailStatus, refuser.NotRun, 2),
		Entry("reset after it was sent", router.FailReset, refuser.Unknown, 1),
		Entry("no answer on a reused connection", router.FailSilent, refuser.Unknown, 1),
		Entry("stalled answer", router.FailStalled, refuser.Unknown, 1),
		Entry("answer cut off", router.FailCut, refuser.Unknown, 1),
		Entry("answer to another attempt", router.FailMismatch, refuser.Unknown, 1),
		Entry("no memory for the answer", router.FailMemory, refuser.Unknown, 1),
	)

	It("is sent on a new connection", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer(""), nil }
		_, err := r.Call(ctx, r.newBooking(newKey()))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstreams.recordedAttempts()[0].NewConn).To(BeTrue())
	})

	// Guards against a key that stays claimed although its call never ran.
	It("releases its claim if no replica accepted it", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			return nil, attemptError(router.FailRefused, refuser.NotRun)
		}
		key := newKey()
		_, err := r.Call(ctx, r.newBooking(key))
		Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer("booked"), nil }
		a, err := r.Call(ctx, r.newBooking(key))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Stored).To(BeFalse())
	})

	// Guards against a caller that books again with a new key because a resend
	// with an expired key was reported as not run.
	It("does not report a resend with an expired key as not run", func(ctx context.Context) {
		r := newFixture(func(o *router.Options) { o.Claims = expiredClaims{} })
		_, err := r.Call(ctx, r.newBooking(newKey()))
		Expect(asRefusal(err)).To(And(HaveField("Code", refuser.KeyExpired), HaveField("Outcome", refuser.Unknown)))
		Expect(r.upstreams.recordedAttempts()).To(BeEmpty())
	})

	// Guards against an unbilled answer: if the host stopped between finishing
	// the claim and billing, a resend would get the answer for free.
	It("bills a call before its answer can be returned again", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer("booked"), nil }
		finished := 0
		r.claims.fault = func(op string) (before, after error) {
			if op == "finish" {
				finished++
			}
			return nil, nil
		}
		r.bills.hold = func(context.Context) (bool, error) {
			Expect(finished).To(BeZero())
			return true, nil
		}
		_, err := r.Call(ctx, r.newBooking(newKey()))
		Expect(err).NotTo(HaveOccurred())
		Expect(finished).To(Equal(1))
	})

	// Guards against a second run after the first host crashed between claim and
	// finish, and against a resend that waits beyond its own deadline.
	It("is not run again when its first host has crashed", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newFixture(func(o *router.Options) { o.Clock = clock })
		q := r.newBooking(newKey())
		// The first host claims and crashes: the claim is never finished or released.
		crashed := *q
		crashed.ID = "crashed"
		first := newFixture(func(o *router.Options) { o.Claims = r.claims })
		sent, end := make(chan bool), make(chan bool)
		first.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			close(sent)
			<-end
			return nil, attemptError(router.FailReset, refuser.Unknown)
		}
		var wg sync.WaitGroup
		wg.Go(func() { first.Call(ctx, &crashed) })
		defer wg.Wait()
		defer close(end)
		<-sent

		q.Deadline = time.Second
		advanceUntilDone(ctx, clock, func() {
			_, err := r.Call(ctx, q)
			Expect(asRefusal(err).Outcome).To(Equal(refuser.Unknown))
		})
		r.claims.loseAll()
		_, err := r.Call(ctx, r.newBooking(q.Key))
		Expect(asRefusal(err)).To(HaveField("Code", refuser.OutcomeUnknown))
		Expect(r.upstreams.recordedAttempts()).To(BeEmpty())
	}, NodeTimeout(20*time.Second))

	// Guards against a request that waits for its own claim because the
	// confirmation was lost.
	It("runs if the confirmation of its claim was lost", func(ctx context.Context) {
		r := newFixture()
		n := 0
		r.claims.fault = func(string) (error, error) {
			if n++; n == 1 {
				return nil, errInjected
			}
			return nil, nil
		}
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer("booked"), nil }
		_, err := r.Call(ctx, r.newBooking(newKey()))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstreams.recordedAttempts()).To(HaveLen(1))
	})

	It("is not sent without a claim", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newFixture(func(o *router.Options) { o.Clock = clock })
		r.claims.fault = func(string) (error, error) { return errInjected, nil }
		advanceUntilDone(ctx, clock, func() {
			_, err := r.Call(ctx, r.newBooking(newKey()))
			Expect(asRefusal(err)).To(HaveField("Code", refuser.NoQuorum))
			Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
		})
		Expect(r.upstreams.recordedAttempts()).To(BeEmpty())
	}, NodeTimeout(20*time.Second))

	// Guards against bookings that fail whenever the control group changes its
	// leader.
	It("retries claim and finish while the control group changes its leader", func(ctx context.Context) {
		r := newFixture()
		n := 0
		r.claims.fault = func(string) (error, error) {
			if n++; n%3 != 0 {
				return refuser.New(refuser.NoQuorum, refuser.NotRun, "no leader"), nil
			}
			return nil, nil
		}
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer("booked"), nil }
		q := r.newBooking(newKey())
		_, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		a, err := r.Call(ctx, r.newBooking(q.Key))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Stored).To(BeTrue())
	}, NodeTimeout(20*time.Second))

	// Guards against an outcome that is lost because the caller disconnected.
	It("completes when the caller disconnects", func(ctx context.Context) {
		r := newFixture()
		ctx, cancel := context.WithCancel(ctx)
		r.upstreams.do = func(ctx context.Context, _ *router.Attempt) (*router.Answer, error) {
			cancel()
			return answer("booked"), ctx.Err()
		}
		key := newKey()
		_, err := r.Call(ctx, r.newBooking(key))
		Expect(err).NotTo(HaveOccurred())
		a, err := r.Call(context.WithoutCancel(ctx), r.newBooking(key))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Stored).To(BeTrue())
		Expect(r.bills.recordedBills()).To(HaveLen(1))
	})

	DescribeTable("is refused and not run without a canonical UUIDv7 as key",
		func(ctx context.Context, key string, code refuser.Code) {
			r := newFixture()
			_, err := r.Call(ctx, r.newBooking(key))
			Expect(asRefusal(err)).To(HaveField("Code", code))
			Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
		},
		Entry("no key", "", refuser.KeyRequired),
		Entry("not a UUID", "flask", refuser.KeyInvalid),
		Entry("a random UUID", "7b1c1f0e-7a55-4c0e-9d2a-6f5a3f0c1d2e", refuser.KeyInvalid),
		Entry("an upper-case UUID", "0197F5D8-6C3A-7B6E-9D43-0F4C2A5B7E10", refuser.KeyInvalid),
	)

	It("refuses a key that was used for another call", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer("booked"), nil }
		q := r.newBooking(newKey())
		_, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		other := r.newBooking(q.Key)
		other.Query = "slot=2"
		_, err = r.Call(ctx, other)
		Expect(asRefusal(err)).To(HaveField("Code", refuser.KeyReused))
	})

	// Guards against a path that matches the declaration of an idempotent call
	// but that the service reads as a booking.
	DescribeTable("refuses an ambiguous path", func(ctx context.Context, path string) {
		r := newFixture()
		q := r.newBooking("")
		q.Method, q.Path = "GET", path
		_, err := r.Call(ctx, q)
		Expect(asRefusal(err)).To(HaveField("Code", refuser.BadRequest))
	},
		Entry(nil, "/status/../book"), Entry(nil, "/status/%2e%2E/book"), Entry(nil, "/status//book"),
		Entry(nil, "/status%2f..%2fbook"), Entry(nil, "/status/;x/book"), Entry(nil, `/status\..\book`),
	)

	// Combines the faults above at random. A key must run at most once, an answer
	// must be that of the run, and a request refused as not run must not have
	// run.
	It("runs at most once under random faults through several hosts", func(ctx context.Context) {
		const seed, keys, hosts, sends = 5, 60, 3, 6
		shared := &fakeClaims{}
		rng := rand.New(rand.NewPCG(seed, seed))
		var mu sync.Mutex
		roll := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		shared.fault = func(string) (error, error) {
			switch roll(10) {
			case 0:
				return errInjected, nil
			case 1:
				return nil, errInjected
			}
			return nil, nil
		}
		runs, ran := make(map[string][]string), make(map[string]bool)
		execute := func(key, id string) string {
			mu.Lock()
			defer mu.Unlock()
			runs[key] = append(runs[key], id)
			ran[id] = true
			return fmt.Sprintf("%s by %s", key, id)
		}
		var rigs []*fixture
		for range hosts {
			r := newFixture(func(o *router.Options) { o.Claims = shared })
			r.upstreams.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) {
				key, id := string(a.Body), a.ID[:len(a.ID)-2]
				switch roll(5) {
				case 0:
					return nil, attemptError(router.FailRefused, refuser.NotRun)
				case 1:
					return nil, attemptError(router.FailReset, refuser.Unknown)
				case 2:
					execute(key, id)
					return nil, attemptError(router.FailCut, refuser.Unknown)
				}
				return answer(execute(key, id)), nil
			}
			rigs = append(rigs, r)
		}
		var wg sync.WaitGroup
		for range keys {
			key := newKey()
			for range sends {
				r := rigs[roll(hosts)]
				q := r.newBooking(key)
				q.Body, q.Deadline = []byte(key), 100*time.Millisecond
				wg.Go(func() {
					defer GinkgoRecover()
					a, err := r.Call(ctx, q)
					mu.Lock()
					defer mu.Unlock()
					if err == nil {
						Expect(runs[key]).To(HaveLen(1))
						Expect(string(a.Body)).To(Equal(fmt.Sprintf("%s by %s", key, runs[key][0])))
						return
					}
					if asRefusal(err).Outcome == refuser.NotRun {
						Expect(ran[q.ID]).To(BeFalse())
					}
				})
			}
		}
		wg.Wait()
		for key, ids := range runs {
			Expect(ids).To(HaveLen(1), key)
		}
		Expect(len(runs)).To(BeNumerically(">", keys/2))
	})
})

var _ = Describe("an idempotent call", func() {
	It("is retried after an attempt that may have run", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			if len(r.upstreams.recordedAttempts()) == 1 {
				return nil, attemptError(router.FailReset, refuser.Unknown)
			}
			return answer("open"), nil
		}
		q := r.newBooking("")
		q.Method, q.Path = "GET", "/status"
		a, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("open"))
		Expect(r.bills.recordedBills()).To(HaveLen(1))
	})

	// Guards against a refusal that says "not run" because the last attempt did
	// not run, although an earlier one may have.
	It("is not reported as not run if one of its attempts may have run", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			if len(r.upstreams.recordedAttempts()) == 1 {
				return nil, attemptError(router.FailReset, refuser.Unknown)
			}
			return nil, attemptError(router.FailRefused, refuser.NotRun)
		}
		q := r.newBooking("")
		q.Method, q.Path = "GET", "/status"
		_, err := r.Call(ctx, q)
		Expect(asRefusal(err).Outcome).To(Equal(refuser.Unknown))
	})

	// Guards against running a call again for an answer for which this host has no memory,
	// while others wait for the same memory, and against a refusal that says "not run".
	It("is neither hedged nor repeated while its answer lacks memory", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		scope := counter.NewTest("")
		r := newFixture(func(o *router.Options) { o.Clock, o.Scope, o.HedgeAfter = clock, scope, time.Second })
		memory := &allotter.Memory{Total: 1 << 20}
		other := memory.NewShare()
		Expect(other.Grow(memory.Total / 2)).To(BeTrue())
		var answers allotter.Shares
		noRoom, end := context.WithCancel(ctx)
		r.upstreams.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) {
			err := a.Memory.NewShare(memory).Await(noRoom, memory.Total/2)
			Expect(err).To(HaveOccurred())
			return nil, attemptError(router.FailMemory, refuser.Unknown)
		}
		go func() {
			defer GinkgoRecover()
			defer end()
			if clock.WaitTimers(ctx, 1) == nil {
				Eventually(answers.Waiting, "10s").Should(BeTrue())
				clock.Advance(time.Second)
				Eventually(scope.Snapshot, "10s").Should(ContainElement(HaveField("Name", "router.hedgesNotSent")))
			}
		}()
		q := r.newBooking("")
		q.Method, q.Path, q.Memory = "GET", "/status", &answers
		_, err := r.Call(ctx, q)
		Expect(asRefusal(err)).To(And(HaveField("Code", refuser.UpstreamFailed), HaveField("Outcome", refuser.Unknown)))
		Expect(r.upstreams.recordedAttempts()).To(HaveLen(1))
	}, NodeTimeout(20*time.Second))

	// Guards against waiting for a slow replica although another is free, and
	// against a second answer or bill for the call.
	It("is hedged, and answered and billed once", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newFixture(func(o *router.Options) { o.Clock, o.HedgeAfter = clock, time.Second })
		slow := make(chan bool)
		r.upstreams.do = func(ctx context.Context, a *router.Attempt) (*router.Answer, error) {
			if a.ID[len(a.ID)-1] == '1' {
				close(slow)
				<-ctx.Done()
				return nil, attemptError(router.FailCancelled, refuser.Unknown)
			}
			return answer("open"), nil
		}
		go func() {
			<-slow
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}()
		q := r.newBooking("")
		q.Method, q.Path = "GET", "/status"
		a, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("open"))
		tries := r.upstreams.recordedAttempts()
		Expect(tries).To(HaveLen(2))
		Expect(tries[0].Upstream.Name).NotTo(Equal(tries[1].Upstream.Name))
		Expect(r.bills.recordedBills()).To(HaveLen(1))
	}, NodeTimeout(20*time.Second))
})

// expiredClaims reports every key as older than the retention period.
type expiredClaims struct{ router.Claims }

func (expiredClaims) Claim(context.Context, claimer.Request) (claimer.Result, error) {
	return claimer.Result{State: claimer.Expired}, nil
}
