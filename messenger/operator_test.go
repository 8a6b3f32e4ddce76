package messenger_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/messenger"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

func newOperator(l *fakeLog) *messenger.OperatorClient {
	o := &messenger.OperatorClient{Clock: timekeeper.System{}}
	for _, a := range l.addrs {
		p := messenger.NewPeer(a, nil)
		DeferCleanup(p.Close)
		o.Peers = append(o.Peers, p)
	}
	return o
}

// applyUntilKnown resends a change until its outcome is known.
func applyUntilKnown(ctx context.Context, o *messenger.OperatorClient, a controller.Apply) *controller.ApplyResult {
	for {
		got, err := o.Apply(ctx, a)
		if err == nil {
			return got
		}
		var unknown *messenger.UncertainError
		Expect(errors.As(err, &unknown) || isNotRun(err)).To(BeTrue(), "%v", err)
		Expect(ctx.Err()).NotTo(HaveOccurred())
	}
}

var _ = Describe("OperatorClient", func() {
	// Guards against a change that is lost, applied twice or accepted despite
	// a conflict when two offices send changes at the same time, answers are
	// lost, commands are applied late and repeatedly, and both resend until
	// the outcome is known.
	It("accepts exactly one of two concurrent changes", func(ctx context.Context) {
		const rounds = 15
		l, _ := startControlGroup(3, timekeeper.System{})
		l.faults = true
		for round := range rounds {
			base := l.machine.Declared().Version
			answers := make([]*controller.ApplyResult, 2)
			var wg conc.WaitGroup
			for i, office := range []string{"vancouver", "victoria"} {
				conf := declarer.Config{Retention: declarer.Retention{Claims: time.Duration(2*round+i+1) * time.Hour}}
				text, err := controller.EncodeConfig(conf)
				Expect(err).NotTo(HaveOccurred())
				a := controller.Apply{Office: office, ChangeID: fmt.Sprint(round), Base: base, Config: text, Digest: sha256.Sum256(text)}
				o := newOperator(l)
				wg.Go(func() { answers[i] = applyUntilKnown(ctx, o, a) })
			}
			wg.Wait()
			winner, loser := answers[0], answers[1]
			if winner.State != controller.Accepted {
				winner, loser = loser, winner
			}
			Expect([]any{winner.State, loser.State}).To(Equal([]any{controller.Accepted, controller.Conflict}))
			Expect(loser.Version).To(Equal(winner.Version))
			Expect(loser.Since).To(HaveLen(1))
			Expect(l.machine.Declared().Version).To(Equal(winner.Version))
		}
		Expect(l.machine.History(1000)).To(HaveLen(rounds))
	})

	// Guards against an order that only some members apply, and against an operator who
	// is not told that it may be repeated after the upgrade.
	It("is refused an order that a member of an earlier release does not apply", func(ctx context.Context) {
		l, _ := startControlGroup(1, timekeeper.System{})
		o := newOperator(l)
		order := controller.EvacuationOrder{Zone: "a", End: true}
		_, err := o.Evacuate(ctx, order)
		r, ok := refuser.As(err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(r).To(And(HaveField("Code", refuser.MixedReleases), HaveField("Outcome", refuser.NotRun)))
		Expect(r.Status()).To(Equal(503))
		Expect(l.entries).To(BeZero())
		l.format = 1
		result, err := o.Evacuate(ctx, order)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Accepted).To(BeTrue())
	})

	It("reads the leader's state through any control host", func(ctx context.Context) {
		l, members := startControlGroup(3, timekeeper.System{})
		l.leader = 2
		cmd, err := controller.Encode(controller.Command{At: time.Now(), Items: []controller.Item{{
			Bill: &controller.Bill{Records: []biller.Record{newRecord("a", time.Now()), newRecord("b", time.Now())}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = members[2].ProposeFormat(ctx, cmd, 0)
		Expect(err).NotTo(HaveOccurred())
		o := newOperator(l)
		got, err := o.Export(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Records).To(HaveLen(2))
		Expect(got.Totals).To(ConsistOf(HaveField("Requests", int64(2))))
		status, err := o.Status(ctx, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.Records).To(Equal(2))
		shown, err := o.Show(ctx, 10, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(shown.Version).To(BeZero())
	})
})

var _ = Describe("Do", func() {
	// Guards against a session name that makes the control group refuse the
	// calls of other requests in the same batch.
	It("refuses only the item whose text is not valid UTF-8", func(ctx context.Context) {
		l, _ := startControlGroup(1, timekeeper.System{})
		c := startControlClient(l, timekeeper.System{}, messenger.DefaultLeaderTimeout)
		_, err := c.Pin(ctx, pinner.Pin{Session: "\xff"})
		r, ok := refuser.As(err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(r.Code).To(Equal(refuser.BadRequest))

		// Such an item must not be retried in the background either, where it
		// would block all others.
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		k := newKey()
		_, err = c.Claim(ctx, claimer.Request{Key: k, RequestID: "a"})
		Expect(err).NotTo(HaveOccurred())
		_, ok = refuser.As(c.Release(ctx, claimer.Key{Key: "\xff"}, "x"))
		Expect(ok).To(BeTrue())
		Expect(c.Finish(cancelled, k, "a", claimer.Response{Status: 201})).NotTo(Succeed())
		Eventually(func() claimer.State {
			res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "b"})
			Expect(err).NotTo(HaveOccurred())
			return res.State
		}).Should(Equal(claimer.Finished))
	})

	// Guards against a Finish that seems to have stored a response although
	// the claim no longer exists.
	It("returns a ClaimNotHeldError when Finish finds no claim", func(ctx context.Context) {
		l, _ := startControlGroup(1, timekeeper.System{})
		c := startControlClient(l, timekeeper.System{}, messenger.DefaultLeaderTimeout)
		var notHeld *messenger.ClaimNotHeldError
		Expect(errors.As(c.Finish(ctx, newKey(), "a", claimer.Response{}), &notHeld)).To(BeTrue())
	})
})
