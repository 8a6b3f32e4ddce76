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

	"foxtailwall/claimer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// pump runs fn and moves the clock on whenever fn waits for it.
func pump(ctx context.Context, clock *timekeeper.Fake, fn func()) {
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

var _ = Describe("a call that must not run twice", func() {
	// Guards against a booking that is sent again after it may have run, and
	// against giving up on one that provably has not.
	DescribeTable("is sent again only if it provably did not run",
		func(ctx context.Context, kind router.FailKind, o refuser.Outcome, sends int) {
			r := newRig()
			r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
				if len(r.ups.all()) == 1 {
					return nil, failed(kind, o)
				}
				return ok("booked"), nil
			}
			a, err := r.Call(ctx, r.book(newKey()))
			Expect(r.ups.all()).To(HaveLen(sends))
			if sends > 1 {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(a.Body)).To(Equal("booked"))
				return
			}
			Expect(refusal(err).Outcome).To(Equal(refuser.Unknown))
			Expect(r.table.released).To(BeZero())
		},
		Entry("refused", router.FailRefused, refuser.NotRun, 2),
		Entry("proof of the upstream", router.FailStatus, refuser.NotRun, 2),
		Entry("reset after it was sent", router.FailReset, refuser.Unknown, 1),
		Entry("silent", router.FailSilent, refuser.Unknown, 1),
		Entry("stalled", router.FailStalled, refuser.Unknown, 1),
		Entry("cut", router.FailCut, refuser.Unknown, 1),
		Entry("mismatch", router.FailMismatch, refuser.Unknown, 1),
	)

	It("goes out on a new connection", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok(""), nil }
		_, err := r.Call(ctx, r.book(newKey()))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ups.all()[0].Fresh).To(BeTrue())
	})

	// Guards against a key that stays taken by a call that never ran.
	It("releases its claim if no replica took it", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			return nil, failed(router.FailRefused, refuser.NotRun)
		}
		key := newKey()
		_, err := r.Call(ctx, r.book(key))
		Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok("booked"), nil }
		a, err := r.Call(ctx, r.book(key))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Stored).To(BeFalse())
	})

	// Guards against a caller that books again under a new key, because a
	// resend with an expired key was told that nothing had run.
	It("does not call a resend with an expired key unrun", func(ctx context.Context) {
		r := newRig(func(o *router.Options) { o.Claims = expiredClaims{} })
		_, err := r.Call(ctx, r.book(newKey()))
		Expect(refusal(err)).To(And(HaveField("Code", refuser.KeyExpired), HaveField("Outcome", refuser.Unknown)))
		Expect(r.ups.all()).To(BeEmpty())
	})

	// Guards against an answer that a resend gets although nobody is billed
	// for it, because the first host stopped between claim and bill.
	It("bills a call before its answer can be returned again", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok("booked"), nil }
		finished := 0
		r.table.fail = func(op string) (before, after error) {
			if op == "finish" {
				finished++
			}
			return nil, nil
		}
		r.ledger.hold = func(context.Context) (bool, error) {
			Expect(finished).To(BeZero())
			return true, nil
		}
		_, err := r.Call(ctx, r.book(newKey()))
		Expect(err).NotTo(HaveOccurred())
		Expect(finished).To(Equal(1))
	})

	// Guards against a second run after the entry host died between claim
	// and finish, and against a resend that waits beyond its own deadline.
	It("is not run again when its first host has crashed", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newRig(func(o *router.Options) { o.Clock = clock })
		q := r.book(newKey())
		// A host claims and crashes: nobody finishes or releases.
		crashed := *q
		crashed.ID = "crashed"
		first := newRig(func(o *router.Options) { o.Claims = r.table })
		sent, end := make(chan bool), make(chan bool)
		first.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			close(sent)
			<-end
			return nil, failed(router.FailReset, refuser.Unknown)
		}
		var wg sync.WaitGroup
		wg.Go(func() { first.Call(ctx, &crashed) })
		defer wg.Wait()
		defer close(end)
		<-sent

		q.Deadline = time.Second
		pump(ctx, clock, func() {
			_, err := r.Call(ctx, q)
			Expect(refusal(err).Outcome).To(Equal(refuser.Unknown))
		})
		r.table.expire()
		_, err := r.Call(ctx, r.book(q.Key))
		Expect(refusal(err)).To(HaveField("Code", refuser.OutcomeUnknown))
		Expect(r.ups.all()).To(BeEmpty())
	}, NodeTimeout(20*time.Second))

	// Guards against a claim whose confirmation was lost blocking its own
	// request.
	It("runs under a claim whose confirmation was lost", func(ctx context.Context) {
		r := newRig()
		n := 0
		r.table.fail = func(string) (error, error) {
			if n++; n == 1 {
				return nil, errInjected
			}
			return nil, nil
		}
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok("booked"), nil }
		_, err := r.Call(ctx, r.book(newKey()))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ups.all()).To(HaveLen(1))
	})

	It("is not sent without a claim", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newRig(func(o *router.Options) { o.Clock = clock })
		r.table.fail = func(string) (error, error) { return errInjected, nil }
		pump(ctx, clock, func() {
			_, err := r.Call(ctx, r.book(newKey()))
			Expect(refusal(err)).To(HaveField("Code", refuser.NoQuorum))
			Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
		})
		Expect(r.ups.all()).To(BeEmpty())
	}, NodeTimeout(20*time.Second))

	// Guards against bookings that fail whenever the control group changes
	// its leader.
	It("waits for a claim and its end while the control group changes its leader", func(ctx context.Context) {
		r := newRig()
		n := 0
		r.table.fail = func(string) (error, error) {
			if n++; n%3 != 0 {
				return refuser.New(refuser.NoQuorum, refuser.NotRun, "no leader"), nil
			}
			return nil, nil
		}
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok("booked"), nil }
		q := r.book(newKey())
		_, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		a, err := r.Call(ctx, r.book(q.Key))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Stored).To(BeTrue())
	}, NodeTimeout(20*time.Second))

	// Guards against an outcome that is lost because its caller left.
	It("runs to its end when the caller leaves", func(ctx context.Context) {
		r := newRig()
		ctx, cancel := context.WithCancel(ctx)
		r.ups.do = func(ctx context.Context, _ *router.Attempt) (*router.Answer, error) {
			cancel()
			return ok("booked"), ctx.Err()
		}
		key := newKey()
		_, err := r.Call(ctx, r.book(key))
		Expect(err).NotTo(HaveOccurred())
		a, err := r.Call(context.WithoutCancel(ctx), r.book(key))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Stored).To(BeTrue())
		Expect(r.ledger.all()).To(HaveLen(1))
	})

	DescribeTable("is refused unrun with a key that cannot tell a resend",
		func(ctx context.Context, key string, code refuser.Code) {
			r := newRig()
			_, err := r.Call(ctx, r.book(key))
			Expect(refusal(err)).To(HaveField("Code", code))
			Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
		},
		Entry("none", "", refuser.KeyRequired),
		Entry("no UUID", "flask", refuser.KeyInvalid),
		Entry("a random UUID", "7b1c1f0e-7a55-4c0e-9d2a-6f5a3f0c1d2e", refuser.KeyInvalid),
		Entry("another spelling of one UUID", "0197F5D8-6C3A-7B6E-9D43-0F4C2A5B7E10", refuser.KeyInvalid),
	)

	It("refuses a key that was used for another call", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok("booked"), nil }
		q := r.book(newKey())
		_, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		other := r.book(q.Key)
		other.Query = "slot=2"
		_, err = r.Call(ctx, other)
		Expect(refusal(err)).To(HaveField("Code", refuser.KeyReused))
	})

	// Guards against a path that the declaration reads as idempotent and the
	// service as a booking.
	DescribeTable("refuses a path that has two readings", func(ctx context.Context, path string) {
		r := newRig()
		q := r.book("")
		q.Method, q.Path = "GET", path
		_, err := r.Call(ctx, q)
		Expect(refusal(err)).To(HaveField("Code", refuser.BadRequest))
	},
		Entry(nil, "/status/../book"), Entry(nil, "/status/%2e%2E/book"), Entry(nil, "/status//book"),
		Entry(nil, "/status%2f..%2fbook"), Entry(nil, "/status/;x/book"), Entry(nil, `/status\..\book`),
	)

	// Guards against every mix of the above: whatever fails where, a key
	// runs at most once, an answer is that of the run, and a request that is
	// told it did not run has not.
	It("runs at most once under random faults through several hosts", func(ctx context.Context) {
		const seed, keys, hosts, sends = 5, 60, 3, 6
		shared := &table{}
		rng := rand.New(rand.NewPCG(seed, seed))
		var mu sync.Mutex
		roll := func(n int) int {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(n)
		}
		shared.fail = func(string) (error, error) {
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
		var rigs []*rig
		for range hosts {
			r := newRig(func(o *router.Options) { o.Claims = shared })
			r.ups.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) {
				key, id := string(a.Body), a.ID[:len(a.ID)-2]
				switch roll(5) {
				case 0:
					return nil, failed(router.FailRefused, refuser.NotRun)
				case 1:
					return nil, failed(router.FailReset, refuser.Unknown)
				case 2:
					execute(key, id)
					return nil, failed(router.FailCut, refuser.Unknown)
				}
				return ok(execute(key, id)), nil
			}
			rigs = append(rigs, r)
		}
		var wg sync.WaitGroup
		for range keys {
			key := newKey()
			for range sends {
				r := rigs[roll(hosts)]
				q := r.book(key)
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
					if refusal(err).Outcome == refuser.NotRun {
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
	It("is repeated after it may have run, within the budget", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			if len(r.ups.all()) == 1 {
				return nil, failed(router.FailReset, refuser.Unknown)
			}
			return ok("open"), nil
		}
		q := r.book("")
		q.Method, q.Path = "GET", "/status"
		a, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("open"))
		Expect(r.ledger.all()).To(HaveLen(1))
	})

	// Guards against a refusal that calls a request unrun because its last
	// attempt was, although an earlier one may have run.
	It("is not called unrun if one of its attempts may have run", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			if len(r.ups.all()) == 1 {
				return nil, failed(router.FailReset, refuser.Unknown)
			}
			return nil, failed(router.FailRefused, refuser.NotRun)
		}
		q := r.book("")
		q.Method, q.Path = "GET", "/status"
		_, err := r.Call(ctx, q)
		Expect(refusal(err).Outcome).To(Equal(refuser.Unknown))
	})

	// Guards against a slow replica that holds the call although another is
	// free, and against a second answer or bill for it.
	It("is hedged and answered once", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newRig(func(o *router.Options) { o.Clock, o.HedgeAfter = clock, time.Second })
		slow := make(chan bool)
		r.ups.do = func(ctx context.Context, a *router.Attempt) (*router.Answer, error) {
			if a.ID[len(a.ID)-1] == '1' {
				close(slow)
				<-ctx.Done()
				return nil, failed(router.FailCancelled, refuser.Unknown)
			}
			return ok("open"), nil
		}
		go func() {
			<-slow
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}()
		q := r.book("")
		q.Method, q.Path = "GET", "/status"
		a, err := r.Call(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("open"))
		tries := r.ups.all()
		Expect(tries).To(HaveLen(2))
		Expect(tries[0].Upstream.Name).NotTo(Equal(tries[1].Upstream.Name))
		Expect(r.ledger.all()).To(HaveLen(1))
	}, NodeTimeout(20*time.Second))
})

// expiredClaims is a table that has pruned the key.
type expiredClaims struct{ router.Claims }

func (expiredClaims) Claim(context.Context, claimer.Request) (claimer.Result, error) {
	return claimer.Result{State: claimer.Expired}, nil
}
