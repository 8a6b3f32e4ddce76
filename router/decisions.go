package router

import (
	"context"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

type (
	// Limiter admits requests and grants retries.
	Limiter interface {
		// Admit waits until the request may start and returns the function
		// that ends it. Its error is a *refuser.Refusal with outcome NotRun,
		// or the error of ctx.
		Admit(ctx context.Context, a Admission) (release func(), err error)
		// Retry takes one retry from the budget of the workspace.
		Retry(workspace string) bool
	}

	// Admission describes a request to the limiter.
	Admission struct {
		Workspace *declarer.Workspace
		Priority  int
		Deadline  time.Time
		// Tokens is the expected size of prompt and answer, zero for calls
		// of plain services.
		Tokens int64
	}

	// Assigner assigns sessions to the versions of a model that is being
	// rolled out. The same key gets the same version while the share of the
	// rollout does not change.
	Assigner interface {
		Assign(c *declarer.Catalog, m *declarer.Model, workspace, key string) (version string)
	}

	// Chooser plans which models a request runs on.
	Chooser interface {
		// Plan returns the steps to run, at least one, chosen from the
		// candidates. A streamed request gets one step.
		Plan(p PlanRequest) ([]declarer.VersionRef, error)
		// Accept reports whether an answer of a step that is not the last is
		// good enough although no rating of it came in time.
		Accept(p PlanRequest, step declarer.VersionRef) bool
	}

	// PlanRequest describes a request to the chooser.
	PlanRequest struct {
		Workspace *declarer.Workspace
		Kind      declarer.Kind
		Stream    bool
		// Candidates holds one version of each model the request may use.
		Candidates   []declarer.VersionRef
		Catalog      *declarer.Catalog
		InputTokens  int64
		OutputTokens int64 // The caller's bound, zero if it has none.
		// Left is the time to the deadline.
		Left time.Duration
	}

	// Picker selects replicas.
	Picker interface {
		// Pick returns one of the candidates that skip does not exclude and
		// the function to call when the attempt has ended; ok is false if
		// there is none.
		Pick(p PickRequest) (u *declarer.Upstream, done func(), ok bool)
	}

	// PickRequest describes an attempt to the picker.
	PickRequest struct {
		// Ref is the version to run; empty for a plain service.
		Ref        declarer.VersionRef
		Service    string
		Candidates []*declarer.Upstream
		Skip       func(*declarer.Upstream) bool
		Prompt     []byte
		Tokens     int64
		Deadline   time.Time
	}

	// Monitor learns the health of upstreams.
	Monitor interface {
		// Usable reports whether new work may go to the upstream.
		Usable(u *declarer.Upstream) bool
		Report(u *declarer.Upstream, o Observation)
	}

	// Observation is what one attempt showed of its upstream.
	Observation struct {
		// Ref is the version that ran; empty for a plain service.
		Ref declarer.VersionRef
		// Fail is empty if the attempt succeeded. FailCancelled, FailChecked
		// and FailSilent say nothing about the upstream.
		Fail   FailKind
		Status int
		// FirstByte is the time to the answer's beginning, for a stream to
		// its first token; zero if it did not begin.
		FirstByte time.Duration
		Took      time.Duration
		Tokens    int64
		// Leaving says that the upstream refused because it is shutting
		// down or overloaded, with proof that it did not run the request.
		Leaving bool
	}

	// Signer makes and checks session tokens. Package pinner implements it.
	Signer interface {
		Sign(p pinner.Pin) (string, error)
		Verify(token string) (pinner.Pin, error)
	}

	// Ratings is the rating service.
	Ratings interface {
		// Rate asks for the rating of an answer and waits for it up to wait.
		// It returns false if none came in time.
		Rate(ctx context.Context, r RateRequest, wait time.Duration) (Rating, bool)
		// Wants reports whether the next answer should be offered; the text
		// of other streams is not kept.
		Wants() bool
		// Offer hands an answer over to be rated later; it does not wait.
		Offer(r RateRequest)
	}

	// RateRequest describes an answer to the rating service.
	RateRequest struct {
		RequestID string
		Workspace string
		Kind      declarer.Kind
		Ref       declarer.VersionRef
		Prompt    []byte
		Response  string
	}

	// Rating is the verdict of the rating service.
	Rating struct {
		RequestID string
		Pass      bool
		Score     float64
	}

	// Learner receives what the steps of plans did, so that the chooser learns
	// from it.
	Learner interface {
		// Ran takes a step that ran to its end.
		Ran(s StepRun)
		// Waited says whether the rating that a cascade waited for came in
		// time.
		Waited(kind declarer.Kind, inTime bool)
		// Learn takes a rating that Rate returned.
		Learn(r RateRequest, v Rating)
	}

	// StepRun is one step of a plan that ran to its end.
	StepRun struct {
		// ID is the RequestID under which the step's answer is rated.
		ID        string
		Workspace string
		Kind      declarer.Kind
		Ref       declarer.VersionRef
		// Step is the position of the step in the plan.
		Step          int
		Input, Output int64
		Took          time.Duration
	}
)
