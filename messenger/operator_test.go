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

func operatorOf(l *fakeLog) *messenger.Operator {
	o := &messenger.Operator{Clock: timekeeper.System{}}
	for _, a := range l.addrs {
		p := messenger.NewPeer(a, nil)
		DeferCleanup(p.Close)
		o.Peers = append(o.Peers, p)
	}
	return o
}

// applyUntilKnown sends a change again until its outcome is known.
func applyUntilKnown(ctx context.Context, o *messenger.Operator, a controller.Apply) *controller.Applied {
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

var _ = Describe("Operator", func() {
	// Guards against a change that is lost, taken twice or taken although it
	// conflicts, when two offices race, answers are lost, commands are
	// applied late and again, and both resend until they know.
	It("has exactly one of two racing changes accepted", func(ctx context.Context) {
		const rounds = 15
		l, _ := controlGroup(3, timekeeper.System{})
		l.faults = true
		for round := range rounds {
			base := l.machine.Declared().Version
			answers := make([]*controller.Applied, 2)
			var wg conc.WaitGroup
			for i, office := range []string{"vancouver", "victoria"} {
				conf := declarer.Config{Retention: declarer.Retention{Claims: time.Duration(2*round+i+1) * time.Hour}}
				text, err := controller.EncodeConfig(conf)
				Expect(err).NotTo(HaveOccurred())
				a := controller.Apply{Office: office, ChangeID: fmt.Sprint(round), Base: base, Config: text, Digest: sha256.Sum256(text)}
				o := operatorOf(l)
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

	It("reads the leader's state through any control host", func(ctx context.Context) {
		l, members := controlGroup(3, timekeeper.System{})
		l.leader = 2
		cmd, err := controller.Encode(controller.Command{At: time.Now(), Items: []controller.Item{{
			Bill: &controller.Bill{Records: []biller.Record{bill("a", time.Now()), bill("b", time.Now())}},
		}}})
		Expect(err).NotTo(HaveOccurred())
		_, _, err = members[2].Propose(ctx, cmd)
		Expect(err).NotTo(HaveOccurred())
		o := operatorOf(l)
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
	// Guards against a session name from a caller that makes the control
	// group refuse the calls of other requests in the same batch.
	It("refuses an item that the codec does not take, alone", func(ctx context.Context) {
		l, _ := controlGroup(1, timekeeper.System{})
		c := controlClient(l, timekeeper.System{}, messenger.DefaultPatience)
		_, err := c.Pin(ctx, pinner.Pin{Session: "\xff"})
		r, ok := refuser.As(err)
		Expect(ok).To(BeTrue(), "%v", err)
		Expect(r.Code).To(Equal(refuser.BadRequest))

		// Such an item must not be tried in the background either, where it
		// would hold up all others.
		gone, cancel := context.WithCancel(ctx)
		cancel()
		k := newKey()
		_, err = c.Claim(ctx, claimer.Request{Key: k, RequestID: "a"})
		Expect(err).NotTo(HaveOccurred())
		_, ok = refuser.As(c.Release(ctx, claimer.Key{Key: "\xff"}, "x"))
		Expect(ok).To(BeTrue())
		Expect(c.Finish(gone, k, "a", claimer.Response{Status: 201})).NotTo(Succeed())
		Eventually(func() claimer.State {
			res, err := c.Claim(ctx, claimer.Request{Key: k, RequestID: "b"})
			Expect(err).NotTo(HaveOccurred())
			return res.State
		}).Should(Equal(claimer.Finished))
	})

	// Guards against a response that seems stored although its claim has
	// gone.
	It("says when a finished claim is not held", func(ctx context.Context) {
		l, _ := controlGroup(1, timekeeper.System{})
		c := controlClient(l, timekeeper.System{}, messenger.DefaultPatience)
		var none *messenger.NotHeldError
		Expect(errors.As(c.Finish(ctx, newKey(), "a", claimer.Response{}), &none)).To(BeTrue())
	})
})
