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

// hookPicker is a picker that calls pick first, which can change the
// configuration between plan and dispatch.
type hookPicker struct{ pick func() }

func (s *hookPicker) Pick(p router.PickRequest) (*declarer.Upstream, func(), bool) {
	s.pick()
	return p.Candidates[0], func() {}, true
}

// allSteps is a chooser that plans all candidates as steps and accepts no
// unrated answer.
type allSteps struct{}

func (allSteps) Plan(p router.PlanRequest) ([]declarer.VersionRef, error) { return p.Candidates, nil }

func (allSteps) Accept(router.PlanRequest, declarer.VersionRef) bool { return false }

// textRater is a rating service that passes only answers with the given text.
type textRater string

func (textRater) WantsNext() bool          { return true }
func (textRater) Offer(router.RateRequest) {}
func (t textRater) Rate(_ context.Context, r router.RateRequest, _ time.Duration) (router.Rating, bool) {
	return router.Rating{Pass: r.Response == string(t)}, true
}

// addWithdrawal returns v with the version of model a withdrawn.
func addWithdrawal(v declarer.View, version string) declarer.View {
	v.Config.Withdrawals = append(v.Config.Withdrawals, declarer.Withdrawal{Model: "a", Version: version})
	return v
}

// rolloutView returns the test view with a rollout of version a/v2.
func rolloutView(share float64, s declarer.RolloutState) declarer.View {
	v := testView()
	v.Progress = []declarer.Progress{{Model: "a", Version: "v2", Share: share, State: s}}
	return v
}

var _ = Describe("Chat", func() {
	// Guards against running a version after its withdrawal because the request
	// was planned before it.
	It("runs nothing on a version withdrawn between plan and dispatch", func(ctx context.Context) {
		var r *fixture
		r = newFixture(func(o *router.Options) {
			o.Picker = &hookPicker{pick: func() {
				v := addWithdrawal(testView(), "v1")
				v.Config.Models[0].Stable = "v2"
				r.views.set(v)
			}}
		})
		r.upstreams.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) { return answer(string(a.Body)), nil }
		a, err := r.Chat(ctx, r.newChat())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstreams.recordedAttempts()).To(HaveLen(1))
		Expect(string(a.Body)).To(Equal("a/v2"))
	})

	It("refuses without running if all versions are withdrawn", func(ctx context.Context) {
		r := newFixture()
		r.views.set(addWithdrawal(addWithdrawal(testView(), "v1"), "v2"))
		_, err := r.Chat(ctx, r.newChat())
		Expect(asRefusal(err)).To(HaveField("Code", refuser.VersionWithdrawn))
		Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
	})

	DescribeTable("refuses without running", func(ctx context.Context, code refuser.Code, change func(r *fixture, q *router.ChatRequest)) {
		r := newFixture()
		q := r.newChat()
		change(r, q)
		_, err := r.Chat(ctx, q)
		Expect(asRefusal(err)).To(HaveField("Code", code))
		Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
		Expect(r.upstreams.recordedAttempts()).To(BeEmpty())
		Expect(r.bills.recordedBills()).To(BeEmpty())
	},
		Entry("an unknown model", refuser.UnknownModel, func(_ *fixture, q *router.ChatRequest) { q.Model = "z" }),
		Entry("a model not allowed for the workspace", refuser.ModelNotAllowed, func(r *fixture, _ *router.ChatRequest) {
			v := testView()
			v.Config.Workspaces[0].Models = v.Config.Workspaces[0].Models[1:]
			r.views.set(v)
		}),
		Entry("a version without replicas", refuser.NoUpstream, func(r *fixture, _ *router.ChatRequest) {
			v := testView()
			v.Config.Upstreams = nil
			r.views.set(v)
		}),
		Entry("a forged token", refuser.SessionInvalid, func(_ *fixture, q *router.ChatRequest) { q.Tokens = []string{"x"} }),
		Entry("a token of another workspace", refuser.SessionInvalid, func(_ *fixture, q *router.ChatRequest) { q.Tokens = []string{"z|s|a|v1"} }),
	)

	It("escalates a cascade when the rating fails and bills both steps", func(ctx context.Context) {
		r := newFixture(func(o *router.Options) { o.Chooser, o.Ratings = allSteps{}, textRater("b/v1") })
		r.upstreams.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) { return answer(string(a.Body)), nil }
		q := r.newChat()
		q.Model = router.AutoModel
		a, err := r.Chat(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("b/v1"))
		Expect(a.Tokens).To(HaveLen(2))
		recs := r.bills.recordedBills()
		Expect(recs).To(HaveLen(1))
		Expect(recs[0].Steps).To(HaveLen(2))
		Expect(recs[0].CostNanos).To(Equal(int64(2 * (2 + 30))))
	})

	It("returns the earlier answer if a later step fails", func(ctx context.Context) {
		r := newFixture(func(o *router.Options) { o.Chooser, o.Ratings = allSteps{}, textRater("") })
		r.upstreams.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) {
			if string(a.Body) == "b/v1" {
				return nil, attemptError(router.FailRefused, refuser.NotRun)
			}
			return answer(string(a.Body)), nil
		}
		q := r.newChat()
		q.Model = ""
		a, err := r.Chat(ctx, q)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal("a/v1"))
		Expect(r.bills.recordedBills()[0].Steps).To(HaveLen(1))
	})

	It("passes on the engine's rejection of the request", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
			a := answer("too long")
			a.Status = 400
			return a, nil
		}
		_, err := r.Chat(ctx, r.newChat())
		Expect(err).To(Equal(&router.RejectedError{Status: 400, Body: []byte("too long")}))
		Expect(r.upstreams.recordedAttempts()).To(HaveLen(1))
	})

	// Guards against a response with another status than 200 that is delivered and billed
	// as an answer, although its text and ID were not checked.
	It("takes an answer only with status 200", func(ctx context.Context) {
		for _, status := range []int{0, 100, 201, 204, 205, 302, 304, 500, 599, 600, 999} {
			r := newFixture()
			r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) {
				a := answer("other")
				a.Status = status
				return a, nil
			}
			_, err := r.Chat(ctx, r.newChat())
			refusal, ok := refuser.As(err)
			Expect(ok).To(BeTrue(), "status %d: %v", status, err)
			Expect(refusal.Code).To(Equal(refuser.UpstreamFailed), "status %d", status)
			Expect(refusal.Outcome).NotTo(Equal(refuser.NotRun), "status %d", status)
		}
	})

	// Guards against a slow or dead second host that blocks all answers.
	It("delivers the answer when no second host holds the bill in time", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		r := newFixture(func(o *router.Options) { o.Clock = clock })
		r.upstreams.do = func(context.Context, *router.Attempt) (*router.Answer, error) { return answer("x"), nil }
		r.bills.hold = func(ctx context.Context) (bool, error) {
			Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
			clock.Advance(3 * time.Second)
			<-ctx.Done()
			return false, ctx.Err()
		}
		_, err := r.Chat(ctx, r.newChat())
		Expect(err).NotTo(HaveOccurred())
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("a session", func() {
	// Each case guards against a session that changes its version without notice,
	// or keeps one that is not available.
	DescribeTable("runs on the version", func(ctx context.Context, change func(r *fixture, q *router.ChatRequest), want, moveReason string, provisional bool) {
		r := newFixture()
		r.upstreams.do = func(_ context.Context, a *router.Attempt) (*router.Answer, error) { return answer(string(a.Body)), nil }
		q := r.newChat()
		change(r, q)
		a, err := r.Chat(ctx, q)
		if want == "" {
			Expect(asRefusal(err)).To(HaveField("Code", refuser.VersionWithdrawn))
			Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
			Expect(asRefusal(err).Message).To(ContainSubstring(moveReason))
			return
		}
		Expect(err).NotTo(HaveOccurred())
		Expect(string(a.Body)).To(Equal(want))
		Expect(a.Ref.String()).To(Equal(want))
		Expect(a.MoveReason).To(Equal(moveReason))
		Expect(a.Provisional).To(Equal(provisional))
		if provisional {
			Expect(a.Tokens).To(BeEmpty())
		} else {
			Expect(a.Tokens).To(HaveLen(1))
		}
	},
		Entry("v1, stable, without a pin", func(*fixture, *router.ChatRequest) {}, "a/v1", "", false),
		Entry("of its token", func(_ *fixture, q *router.ChatRequest) { q.Tokens = []string{"w|s|a|v2"} }, "a/v2", "", false),
		Entry("of its pin in the control group", func(r *fixture, q *router.ChatRequest) {
			q.Session = "s"
			r.pins.stored = map[string]pinner.Pin{"sa": {Workspace: "w", Session: "s", Model: "a", Version: "v2"}}
		}, "a/v2", "", false),
		Entry("v1, stable, provisionally without a quorum", func(r *fixture, q *router.ChatRequest) {
			q.Session, r.pins.err = "s", errInjected
			r.views.set(rolloutView(1, declarer.RolloutRunning))
		}, "a/v1", "", true),
		Entry("v2 within the share of a rollout", func(r *fixture, _ *router.ChatRequest) { r.views.set(rolloutView(1, declarer.RolloutRunning)) }, "a/v2", "", false),
		Entry("v1, stable, outside the share of a rollout", func(r *fixture, _ *router.ChatRequest) { r.views.set(rolloutView(0, declarer.RolloutRunning)) }, "a/v1", "", false),
		Entry("v1, stable, if the pinned v2 is in rollout and the host has no lease", func(r *fixture, q *router.ChatRequest) {
			r.views.set(rolloutView(1, declarer.RolloutRunning))
			r.views.leased.Store(false)
			q.Tokens = []string{"w|s|a|v2"}
		}, "a/v1", "leaseExpired", false),
		Entry("v1, stable, if the pinned v2 is in quarantine", func(r *fixture, q *router.ChatRequest) {
			v := testView()
			v.Quarantined = []declarer.VersionRef{{Model: "a", Version: "v2"}}
			r.views.set(v)
			q.Tokens = []string{"w|s|a|v2"}
		}, "a/v1", "versionQuarantined", false),
		Entry("v1, stable, if the rollout of the pinned v2 was halted", func(r *fixture, q *router.ChatRequest) {
			r.views.set(rolloutView(1, declarer.RolloutHalted))
			q.Tokens = []string{"w|s|a|v2"}
		}, "a/v1", "rolloutHalted", false),
		Entry("none, with a refusal that names v1, if the pinned v2 was withdrawn", func(r *fixture, q *router.ChatRequest) {
			r.views.set(addWithdrawal(testView(), "v2"))
			q.Tokens = []string{"w|s|a|v2"}
		}, "", "a/v1", false),
		Entry("v1 after a withdrawal, if the caller accepts the move", func(r *fixture, q *router.ChatRequest) {
			r.views.set(addWithdrawal(testView(), "v2"))
			q.Tokens, q.Repin = []string{"w|s|a|v2"}, true
		}, "a/v1", "versionWithdrawn", false),
		Entry("v1 after a withdrawal, if the workspace accepts the move", func(r *fixture, q *router.ChatRequest) {
			v := addWithdrawal(testView(), "v2")
			v.Config.Workspaces[0].AcceptRepin = true
			r.views.set(v)
			q.Session = "s"
			r.pins.stored = map[string]pinner.Pin{"sa": {Workspace: "w", Session: "s", Model: "a", Version: "v2"}}
		}, "a/v1", "versionWithdrawn", false),
	)

	It("refuses a model with CutOffRefuse if the host has no lease", func(ctx context.Context) {
		r := newFixture()
		v := testView()
		v.Config.Models[0].CutOff = declarer.CutOffRefuse
		r.views.set(v)
		r.views.leased.Store(false)
		_, err := r.Chat(ctx, r.newChat())
		Expect(asRefusal(err).Outcome).To(Equal(refuser.NotRun))
		Expect(r.upstreams.recordedAttempts()).To(BeEmpty())
	})
})

var _ = Describe("Stream", func() {
	run := func(ctx context.Context, r *fixture, streams ...router.Stream) (*fakeSink, error) {
		r.upstreams.open = func(context.Context, *router.Attempt) (router.Stream, error) {
			s := streams[0]
			streams = streams[1:]
			return s, nil
		}
		s := &fakeSink{}
		return s, r.Stream(ctx, r.newChat(), s)
	}

	// Guards against a caller that sees the end of the stream before its bill is
	// stored.
	It("stores the bill before the end of the stream", func(ctx context.Context) {
		r := newFixture()
		r.upstreams.open = func(context.Context, *router.Attempt) (router.Stream, error) { return tokenStream(0, 3, io.EOF), nil }
		s := &fakeSink{}
		s.end = func() { Expect(r.bills.recordedBills()).To(HaveLen(1)) }
		Expect(r.Stream(ctx, r.newChat(), s)).To(Succeed())
		Expect(s.text.String()).To(Equal("role 0 1 2 usage"))
		Expect(s.ended).To(BeTrue())
		Expect(r.bills.recordedBills()[0].Steps[0].OutputTokens).To(Equal(int64(6)))
	})

	It("is retried if it is interrupted before the first token", func(ctx context.Context) {
		r := newFixture()
		s, err := run(ctx, r, tokenStream(0, 0, attemptError(router.FailCut, refuser.Unknown)), tokenStream(0, 2, io.EOF))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.text.String()).To(Equal("role 0 1 usage"))
	})

	// Guards against an interrupted stream that appears complete, restarts from
	// its beginning, or is not billed.
	It("ends with an error if it is interrupted after the first token", func(ctx context.Context) {
		r := newFixture(func(o *router.Options) { o.Picker = &hookPicker{pick: func() {}} })
		v := testView()
		v.Config.Upstreams[0].Resumes = false
		r.views.set(v)
		s, err := run(ctx, r, tokenStream(0, 2, attemptError(router.FailCut, refuser.Unknown)))
		Expect(asRefusal(err)).To(HaveField("Code", refuser.StreamCut))
		Expect(asRefusal(err).Outcome).To(Equal(refuser.Ran))
		Expect(s.ended).To(BeFalse())
		Expect(r.upstreams.recordedAttempts()).To(HaveLen(1))
		recs := r.bills.recordedBills()
		Expect(recs).To(HaveLen(1))
		Expect(recs[0].Ending).To(Equal(biller.Cut))
		Expect(recs[0].Steps[0].OutputTokens).To(Equal(int64(2)))
	})

	// Guards against duplicate or missing tokens.
	It("continues after the last token if the engine can resume", func(ctx context.Context) {
		r := newFixture(func(o *router.Options) { o.Picker = &hookPicker{pick: func() {}} })
		cut := attemptError(router.FailStalled, refuser.Unknown)
		second, third := tokenStream(2, 3, cut), tokenStream(3, 5, io.EOF)
		second.chunks, third.chunks = second.chunks[1:], third.chunks[1:]
		s, err := run(ctx, r, tokenStream(0, 2, cut), second, third)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.text.String()).To(Equal("role 0 1 2 3 4 usage"))
		tries := r.upstreams.recordedAttempts()
		Expect(tries).To(HaveLen(3))
		Expect(tries[1].Resume).To(Equal(tries[0].ID + ":2"))
		Expect(tries[2].Resume).To(Equal(tries[0].ID + ":3"))
		Expect(tries[2].Upstream).To(Equal(tries[0].Upstream))
		Expect(r.bills.recordedBills()).To(HaveLen(1))
		Expect(r.bills.recordedBills()[0].Steps[0].OutputTokens).To(Equal(int64(10)))
	})

	// Guards against an engine that keeps generating after the caller
	// disconnected, and against unbilled tokens.
	It("closes the stream and bills the produced tokens when the caller disconnects", func(ctx context.Context) {
		r := newFixture()
		closed := false
		st := tokenStream(0, 9, io.EOF)
		st.closed = func() { closed = true }
		r.upstreams.open = func(context.Context, *router.Attempt) (router.Stream, error) { return st, nil }
		s := &fakeSink{}
		s.chunk = func() error {
			if len(s.text.String()) > 8 {
				return errInjected
			}
			return nil
		}
		Expect(asRefusal(r.Stream(ctx, r.newChat(), s))).To(HaveField("Code", refuser.StreamCut))
		Expect(closed).To(BeTrue())
		Expect(r.bills.recordedBills()).To(HaveLen(1))
		Expect(r.bills.recordedBills()[0].Ending).To(Equal(biller.Cancelled))
		Expect(r.bills.recordedBills()[0].Steps[0].OutputTokens).To(Equal(int64(2)))
	})
})
