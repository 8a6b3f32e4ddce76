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
		// Admit waits until the request may start and returns the function to
		// call when it has ended. Its error is a *refuser.Refusal with outcome
		// NotRun, or the error of ctx.
		Admit(ctx context.Context, a Admission) (release func(), err error)
		// Retry takes one retry from the budget of the workspace and reports
		// false if none is left.
		Retry(workspace string) bool
	}

	// Admission describes a request to the limiter.
	Admission struct {
		Workspace *declarer.Workspace
		Priority  int
		Deadline  time.Time
		// Tokens is the number of prompt tokens plus the limit on answer tokens,
		// zero for calls of plain services.
		Tokens int64
	}

	// Assigner assigns sessions to the versions of a model in rollout. A key
	// keeps its version as long as the share of the rollout does not change.
	Assigner interface {
		// Assign returns the version of m for the session with the given key.
		Assign(c *declarer.Catalog, m *declarer.Model, workspace, key string) (version string)
	}

	// Chooser selects the models that a request runs on.
	Chooser interface {
		// Plan returns the steps to run, at least one, selected from the
		// candidates. A streamed request gets one step.
		Plan(p PlanRequest) ([]declarer.VersionRef, error)
		// Accept reports whether the answer of a step before the last is good
		// enough to return when no rating of it arrived in time.
		Accept(p PlanRequest, step declarer.VersionRef) bool
	}

	// PlanRequest describes a request to the chooser.
	PlanRequest struct {
		Workspace *declarer.Workspace
		Kind      declarer.Kind
		Stream    bool
		// Candidates holds one version of each model that the request may use.
		Candidates   []declarer.VersionRef
		Catalog      *declarer.Catalog
		InputTokens  int64
		OutputTokens int64 // The caller's limit on answer tokens, zero if it set none.
		// TimeLeft is the time to the deadline.
		TimeLeft time.Duration
	}

	// Picker selects the replica for an attempt.
	Picker interface {
		// Pick returns one of the candidates that Skip does not exclude and the
		// function to call when the attempt has ended; ok is false if there is
		// none.
		Pick(p PickRequest) (u *declarer.Upstream, done func(), ok bool)
	}

	// PickRequest describes an attempt to the picker.
	PickRequest struct {
		// Ref is the version to run, empty for a plain service.
		Ref        declarer.VersionRef
		Service    string
		Candidates []*declarer.Upstream
		// Skip reports whether to exclude an upstream.
		Skip   func(*declarer.Upstream) bool
		Prompt []byte
		// Tokens is the length of the prompt.
		Tokens   int64
		Deadline time.Time
	}

	// Monitor tracks the health of upstreams.
	Monitor interface {
		// Usable reports whether new attempts may be sent to the upstream.
		Usable(u *declarer.Upstream) bool
		// Report records the result of an attempt.
		Report(u *declarer.Upstream, o Observation)
	}

	// Observation is the result of one attempt as seen by this host.
	Observation struct {
		// Ref is the version that ran, empty for a plain service.
		Ref declarer.VersionRef
		// Fail is empty if the attempt succeeded. FailCancelled, FailCheck,
		// FailMemory and FailSilent say nothing about the health of the upstream.
		Fail   FailKind
		Status int
		// FirstByte is the time to the first byte of the answer, or for a stream
		// to its first token; zero if there was none.
		FirstByte time.Duration
		Took      time.Duration
		// Tokens is the number of answer tokens.
		Tokens int64
		// Leaving means that the upstream refused the request because it is
		// shutting down or overloaded, and proved that it did not run it.
		Leaving bool
	}

	// Signer signs and verifies session tokens. Package pinner implements it.
	Signer interface {
		Sign(p pinner.Pin) (string, error)
		Verify(token string) (pinner.Pin, error)
	}

	// Ratings is the client of the rating service.
	Ratings interface {
		// Rate requests the rating of an answer and waits for it up to wait. It
		// reports false if none arrived in time.
		Rate(ctx context.Context, r RateRequest, wait time.Duration) (Rating, bool)
		// WantsNext reports whether to offer the next answer. The text of a stream is
		// collected only if it is to be offered.
		WantsNext() bool
		// Offer queues an answer for a later rating and does not block.
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

	// Rating is the verdict of the rating service on one answer.
	Rating struct {
		RequestID string
		Pass      bool
		Score     float64
	}

	// Learner receives the results of plan steps, from which the chooser learns.
	Learner interface {
		// RecordStep records a step that completed.
		RecordStep(s StepRun)
		// RecordRatingWait records whether the rating that a cascade waited for
		// arrived in time.
		RecordRatingWait(kind declarer.Kind, inTime bool)
		// RecordRating records a rating that Rate returned.
		RecordRating(r RateRequest, v Rating)
	}

	// StepRun describes a completed plan step.
	StepRun struct {
		// ID is the RequestID under which the step's answer is rated.
		ID        string
		Workspace string
		Kind      declarer.Kind
		Ref       declarer.VersionRef
		// Step is the index of the step in the plan.
		Step int
		// Input and Output are token counts.
		Input, Output int64
		Took          time.Duration
	}
)
