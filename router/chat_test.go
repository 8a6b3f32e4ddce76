package router_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// setting is a planner and picker that changes the configuration when it is
// asked, as a withdrawal that races with the dispatch does.
type setting struct{ pick func() }

func (s *setting) Pick(p router.PickRequest) (*declarer.Upstream, func(), bool) {
	s.pick()
	return p.Candidates[0], func() {}, true
}

// cascading plans all candidates as steps and accepts no unrated answer.
type cascading struct{}

func (cascading) Plan(p router.PlanRequest) ([]declarer.VersionRef, error) { return p.Candidates, nil }

func (cascading) Accept(router.PlanRequest, declarer.VersionRef) bool { return false }

// rater passes the answers with the given text.
type rater string

func (rater) Wants() bool              { return true }
func (rater) Offer(router.RateRequest) {}
func (t rater) Rate(_ context.Context, r router.RateRequest, _ time.Duration) (router.Rating, bool) {
	return router.Rating{Pass: r.Response == string(t)}, true
}

func withdraw(v declarer.View, version string) declarer.View {
	v.Config.Withdrawals = append(v.Config.Withdrawals, declarer.Withdrawal{Model: "a", Version: version})
	return v
}

func rollout(share float64, s declarer.RolloutState) declarer.View {
	v := view()
	v.Progress = []declarer.Progress{{Model: "a", Version: "v2", Share: share, State: s}}
	return v
}

var _ = Describe("Chat", func() {
	// Guards against a version that runs after its withdrawal because the
	// plan was made before it.
	It("runs nothing on a version withdrawn between plan and dispatch", func(ctx context.Context) {
		var r *rig
		r = newRig(func(o *router.Options) {
			o.Picker = &setting{pick: func() {
				v := withdraw(view(), "v1")
				v.Config.Models[0].Stable = "v2"
				r.views.set(v)
			}}
		})
		r.ups.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) { return ok(string(a.Body)), nil }
		a, err := r.Chat(ctx, r.chat())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.ups.all()).To(HaveLen(1))
		Expect(string(a.Body)).To(Equal("a/v2"))
	})

	It("returns the refusal unrun if no version is left", func(ctx context.Context) {
		r := newRig()
		r.views.set(withdraw(withdraw(view(), "v1"), "v2"))
		_, err := r.Chat(ctx, r.chat())
		Expect(refusal(err)).To(HaveField("Code", refuser.VersionWithdrawn))
		Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
	})

	DescribeTable("refuses unrun", func(ctx context.Context, code refuser.Code, change func(r *rig, q *router.ChatRequest)) {
		r := newRig()
		q := r.chat()
		change(r, q)
		_, err := r.Chat(ctx, q)
		Expect(refusal(err)).To(HaveField("Code", code))
		Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
		Expect(r.ups.all()).To(BeEmpty())
		Expect(r.ledger.all()).To(BeEmpty())
	},
		Entry("an unknown model", refuser.UnknownModel, func(_ *rig, q *router.ChatRequest) { q.Model = "z" }),
		Entry("a model of others", refuser.ModelNotAllowed, func(r *rig, _ *router.ChatRequest) {
			v := view()
			v.Config.Workspaces[0].Models = v.Config.Workspaces[0].Models[1:]
			r.views.set(v)
		}),
		Entry("a version without replicas", refuser.NoUpstream, func(r *rig, _ *router.ChatRequest) {
			v := view()
			v.Config.Upstreams = nil
			r.views.set(v)
		}),
		Entry("a forged token", refuser.SessionInvalid, func(_ *rig, q *router.ChatRequest) { q.Tokens = []string{"x"} }),
		Entry("a token of another workspace", refuser.SessionInvalid, func(_ *rig, q *router.ChatRequest) { q.Tokens = []string{"z|s|a|v1"} }),
	)

	It("escalates a cascade when the rating fails and bills both steps", func(ctx context.Context) {
		r := newRig(func(o *router.Options) { o.Chooser, o.Ratings = cascading{}, rater("b/v1") })
		r.ups.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) { return ok(string(a.Body)), nil }
		q := r.chat()
		q.Model = router.AutoModel
		a, err := r.Chat(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("b/v1"))
		Expect(a.Tokens).To(HaveLen(2))
		recs := r.ledger.all()
		Expect(recs).To(HaveLen(1))
		Expect(recs[0].Steps).To(HaveLen(2))
		Expect(recs[0].CostNanos).To(Equal(int64(2 * (2 + 30))))
	})

	It("returns the earlier answer if the later step fails", func(ctx context.Context) {
		r := newRig(func(o *router.Options) { o.Chooser, o.Ratings = cascading{}, rater("") })
		r.ups.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) {
			if string(a.Body) == "b/v1" {
				return nil, failed(router.FailRefused, refuser.NotRun)
			}
			return ok(string(a.Body)), nil
		}
		q := r.chat()
		q.Model = ""
		a, err := r.Chat(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("a/v1"))
		Expect(r.ledger.all()[0].Steps).To(HaveLen(1))
	})

	It("passes on the engine's rejection of the request", func(ctx context.Context) {
		r := newRig()
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			a := ok("too long")
			a.Status = 400
			return a, nil
		}
		_, err := r.Chat(ctx, r.chat())
		Expect(err).To(Equal(&router.RejectedError{Status: 400, Body: []byte("too long")}))
		Expect(r.ups.all()).To(HaveLen(1))
	})

	// Guards against one slow or dead holder of bills that stops all answers.
	It("delivers the answer when no second host holds the bill in time", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newRig(func(o *router.Options) { o.Clock = clock })
		r.ups.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return ok("x"), nil }
		r.ledger.hold = func(ctx context.Context) (bool, error) {
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			clock.Advance(3 * time.Second)
			<-ctx.Done()
			return false, ctx.Err()
		}
		_, err := r.Chat(ctx, r.chat())
		Expect(err).NotTo(HaveOccurred())
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("a session", func() {
	// Each case guards against a session that changes its version without
	// being told, or stays on one that is out of use.
	DescribeTable("gets the version of its pin", func(ctx context.Context, change func(r *rig, q *router.ChatRequest), want, moved string, provisional bool) {
		r := newRig()
		r.ups.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) { return ok(string(a.Body)), nil }
		q := r.chat()
		change(r, q)
		a, err := r.Chat(ctx, q)
		if want == "" {
			Expect(refusal(err)).To(HaveField("Code", refuser.VersionWithdrawn))
			Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
			Expect(refusal(err).Message).To(ContainSubstring(moved))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal(want))
		Expect(a.Ref.String()).To(Equal(want))
		Expect(a.Moved).To(Equal(moved))
		Expect(a.Provisional).To(Equal(provisional))
		if provisional {
			Expect(a.Tokens).To(BeEmpty())
		} else {
			Expect(a.Tokens).To(HaveLen(1))
		}
	},
		Entry("none yet", func(*rig, *router.ChatRequest) {}, "a/v1", "", false),
		Entry("of its token", func(_ *rig, q *router.ChatRequest) { q.Tokens = []string{"w|s|a|v2"} }, "a/v2", "", false),
		Entry("in the control group", func(r *rig, q *router.ChatRequest) {
			q.Session = "s"
			r.pins.held = map[string]pinner.Pin{"sa": {Workspace: "w", Session: "s", Model: "a", Version: "v2"}}
		}, "a/v2", "", false),
		Entry("provisionally without a quorum", func(r *rig, q *router.ChatRequest) {
			q.Session, r.pins.err = "s", errInjected
			r.views.set(rollout(1, declarer.RolloutRunning))
		}, "a/v1", "", true),
		Entry("in a running rollout", func(r *rig, _ *router.ChatRequest) { r.views.set(rollout(1, declarer.RolloutRunning)) }, "a/v2", "", false),
		Entry("outside the share of a rollout", func(r *rig, _ *router.ChatRequest) { r.views.set(rollout(0, declarer.RolloutRunning)) }, "a/v1", "", false),
		Entry("but the stable one without a lease", func(r *rig, q *router.ChatRequest) {
			r.views.set(rollout(1, declarer.RolloutRunning))
			r.views.leased.Store(false)
			q.Tokens = []string{"w|s|a|v2"}
		}, "a/v1", "leaseExpired", false),
		Entry("but the stable one in quarantine", func(r *rig, q *router.ChatRequest) {
			v := view()
			v.Quarantined = []declarer.VersionRef{{Model: "a", Version: "v2"}}
			r.views.set(v)
			q.Tokens = []string{"w|s|a|v2"}
		}, "a/v1", "versionQuarantined", false),
		Entry("but the stable one after a halt", func(r *rig, q *router.ChatRequest) {
			r.views.set(rollout(1, declarer.RolloutHalted))
			q.Tokens = []string{"w|s|a|v2"}
		}, "a/v1", "rolloutHalted", false),
		Entry("but a refusal that names the next after a withdrawal", func(r *rig, q *router.ChatRequest) {
			r.views.set(withdraw(view(), "v2"))
			q.Tokens = []string{"w|s|a|v2"}
		}, "", "a/v1", false),
		Entry("but the next after a withdrawal that it accepts", func(r *rig, q *router.ChatRequest) {
			r.views.set(withdraw(view(), "v2"))
			q.Tokens, q.Repin = []string{"w|s|a|v2"}, true
		}, "a/v1", "versionWithdrawn", false),
		Entry("but the next after a withdrawal that its workspace accepts", func(r *rig, q *router.ChatRequest) {
			v := withdraw(view(), "v2")
			v.Config.Workspaces[0].AcceptRepin = true
			r.views.set(v)
			q.Session = "s"
			r.pins.held = map[string]pinner.Pin{"sa": {Workspace: "w", Session: "s", Model: "a", Version: "v2"}}
		}, "a/v1", "versionWithdrawn", false),
	)

	It("refuses a model that may not run when cut off", func(ctx context.Context) {
		r := newRig()
		v := view()
		v.Config.Models[0].CutOff = declarer.CutOffRefuse
		r.views.set(v)
		r.views.leased.Store(false)
		_, err := r.Chat(ctx, r.chat())
		Expect(refusal(err).Outcome).To(Equal(refuser.NotRun))
		Expect(r.ups.all()).To(BeEmpty())
	})
})

var _ = Describe("Stream", func() {
	run := func(ctx context.Context, r *rig, streams ...router.Stream) (*sink, error) {
		r.ups.open = func(context.Context, *router.Attempt) (router.Stream, error) {
			s := streams[0]
			streams = streams[1:]
			return s, nil
		}
		s := &sink{}
		return s, r.Stream(ctx, r.chat(), s)
	}

	// Guards against an end that the caller sees before its bill is held.
	It("holds the bill before the end", func(ctx context.Context) {
		r := newRig()
		r.ups.open = func(context.Context, *router.Attempt) (router.Stream, error) { return tokens(0, 3, io.EOF), nil }
		s := &sink{}
		s.end = func() { Expect(r.ledger.all()).To(HaveLen(1)) }
		Expect(r.Stream(ctx, r.chat(), s)).To(Succeed())
		Expect(s.text.String()).To(Equal("role 0 1 2 usage"))
		Expect(s.ended).To(BeTrue())
		Expect(r.ledger.all()[0].Steps[0].OutputTokens).To(Equal(int64(6)))
	})

	It("is repeated before the first token", func(ctx context.Context) {
		r := newRig()
		s, err := run(ctx, r, tokens(0, 0, failed(router.FailCut, refuser.Unknown)), tokens(0, 2, io.EOF))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.text.String()).To(Equal("role 0 1 usage"))
	})

	// Guards against a cut stream that passes for whole, that starts again
	// from its beginning, or that is not billed.
	It("ends with an error after the first token", func(ctx context.Context) {
		r := newRig(func(o *router.Options) { o.Picker = &setting{pick: func() {}} })
		v := view()
		v.Config.Upstreams[0].Resumes = false
		r.views.set(v)
		s, err := run(ctx, r, tokens(0, 2, failed(router.FailCut, refuser.Unknown)))
		Expect(refusal(err)).To(HaveField("Code", refuser.StreamCut))
		Expect(refusal(err).Outcome).To(Equal(refuser.Ran))
		Expect(s.ended).To(BeFalse())
		Expect(r.ups.all()).To(HaveLen(1))
		recs := r.ledger.all()
		Expect(recs).To(HaveLen(1))
		Expect(recs[0].Ending).To(Equal(biller.Cut))
		Expect(recs[0].Steps[0].OutputTokens).To(Equal(int64(2)))
	})

	// Guards against tokens that the caller gets twice or never.
	It("goes on behind the last token if the engine can resume", func(ctx context.Context) {
		r := newRig(func(o *router.Options) { o.Picker = &setting{pick: func() {}} })
		cut := failed(router.FailStalled, refuser.Unknown)
		second, third := tokens(2, 3, cut), tokens(3, 5, io.EOF)
		second.chunks, third.chunks = second.chunks[1:], third.chunks[1:]
		s, err := run(ctx, r, tokens(0, 2, cut), second, third)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.text.String()).To(Equal("role 0 1 2 3 4 usage"))
		tries := r.ups.all()
		Expect(tries).To(HaveLen(3))
		Expect(tries[1].Resume).To(Equal(tries[0].ID + ":2"))
		Expect(tries[2].Resume).To(Equal(tries[0].ID + ":3"))
		Expect(tries[2].Upstream).To(Equal(tries[0].Upstream))
		Expect(r.ledger.all()).To(HaveLen(1))
		Expect(r.ledger.all()[0].Steps[0].OutputTokens).To(Equal(int64(10)))
	})

	// Guards against an engine that goes on for a caller that left, and
	// against tokens that nobody pays for.
	It("closes the stream and bills what was made when the caller leaves", func(ctx context.Context) {
		r := newRig()
		closed := false
		st := tokens(0, 9, io.EOF)
		st.closed = func() { closed = true }
		r.ups.open = func(context.Context, *router.Attempt) (router.Stream, error) { return st, nil }
		s := &sink{}
		s.chunk = func() error {
			if len(s.text.String()) > 8 {
				return errInjected
			}
			return nil
		}
		Expect(refusal(r.Stream(ctx, r.chat(), s))).To(HaveField("Code", refuser.StreamCut))
		Expect(closed).To(BeTrue())
		Expect(r.ledger.all()).To(HaveLen(1))
		Expect(r.ledger.all()[0].Ending).To(Equal(biller.Cancelled))
		Expect(r.ledger.all()[0].Steps[0].OutputTokens).To(Equal(int64(2)))
	})
})
