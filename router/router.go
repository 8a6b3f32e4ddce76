// Package router serves the requests of callers: it admits a request, pins its
// session, plans which models it runs on, picks replicas, makes the attempts
// and bills the answer.
//
// # Usage
//
//	r := router.New(router.Options{
//		Host: name, Zone: zone, Clock: clock, Scope: scope,
//		Views: views, Upstreams: dialer, Claims: claims, Pins: pins, Bills: bills,
//	})
//	answer, err := r.Chat(ctx, &router.ChatRequest{...})
//	err = r.Stream(ctx, &router.ChatRequest{...}, sink)
//	answer, err := r.Call(ctx, &router.CallRequest{...})
//
// The interfaces in ports.go are what the router needs from the rest of a
// host. Package messenger implements them over the network and tests use
// fakes. The interfaces in decisions.go (Limiter, Chooser, Picker and others)
// have simple defaults in this package. Package dialer implements Upstreams.
//
// An attempt is followed by another only if it did not run or its request may
// be repeated. A refusal has the outcome NotRun only if no attempt can have
// run.
package router

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/allotter"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	// defaultDeadline applies when neither the caller nor the workspace sets a
	// deadline. An answer of 4000 tokens at 35 ms each takes 140 s.
	defaultDeadline = 5 * time.Minute
	// maxDeadline is the longest deadline that a caller can set.
	maxDeadline = time.Hour
	// controlTimeout limits one operation on the control group, retries included;
	// a leader change takes up to 2 s.
	controlTimeout = 3 * time.Second
	// billHoldTimeout limits the wait until a second host holds a billing record.
	// The answer is already complete at this point, so the wait only delays its
	// delivery or its end.
	billHoldTimeout = 2 * time.Second
	// maxCachedPins limits the pins cached on one host; each takes about 200
	// bytes.
	maxCachedPins = 1 << 16
	// pinCacheTTL is how long a cached pin is used. It is far below the retention
	// of pins in the control group, so that an active session looks its pin up
	// there before it would be pruned.
	pinCacheTTL = 5 * time.Minute
	// maxAttempts limits the attempts of one step, regardless of the retry
	// budget.
	maxAttempts = 4
)

type (
	// Options are the dependencies of a Router. Views, Upstreams and Bills are
	// required; Claims and Pins are needed for non-idempotent calls and for
	// sessions without a token. The others have simple defaults.
	Options struct {
		// Host is the name of this host, stored as the owner of claims.
		Host string
		// Zone is the availability zone of this host.
		Zone      string
		Clock     timekeeper.Clock
		Scope     counter.Scope
		Views     Views
		Upstreams Upstreams
		Claims    Claims
		Pins      Pins
		Bills     Bills
		Limiter   Limiter
		Assigner  Assigner
		Chooser   Chooser
		Picker    Picker
		Monitor   Monitor
		Signer    Signer
		Ratings   Ratings
		Learner   Learner
		// HedgeAfter is the time without an answer after which a whole model
		// request or an idempotent call is also sent to a second replica, within
		// the retry budget. Zero disables hedging.
		HedgeAfter time.Duration
		// RatingWait limits the wait for the rating of a cascade step.
		RatingWait time.Duration
	}

	// Router serves requests. Create it with New.
	Router struct {
		opts    Options
		pins    *pinner.Cache
		ratings *ratingTracker
		// leavesAt is when this host stops, nil while it does not leave.
		leavesAt atomic.Pointer[time.Time]
	}

	// task holds the state that chat requests and service calls share.
	task struct {
		id        string
		workspace *declarer.Workspace
		member    string
		began     time.Time
		deadline  time.Time
		priority  int
		memory    *allotter.Shares
		// attempts counts the attempts started so far.
		attempts int
		// outcome is the combined outcome of all attempts so far.
		outcome refuser.Outcome
		// retryAfter is the longest delay that an upstream asked for.
		retryAfter time.Duration
	}
)

// New returns a Router with the given dependencies. It replaces an unset Clock
// and unset decision interfaces with defaults.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = timekeeper.System{}
	}
	o.Limiter = orDefault[Limiter](o.Limiter, &concurrencyLimiter{})
	o.Assigner = orDefault[Assigner](o.Assigner, hashAssigner{})
	o.Chooser = orDefault[Chooser](o.Chooser, cheapestChooser{})
	o.Picker = orDefault[Picker](o.Picker, &leastActivePicker{zone: o.Zone})
	o.Monitor = orDefault[Monitor](o.Monitor, alwaysUsableMonitor{})
	o.Ratings = orDefault[Ratings](o.Ratings, noRatings{})
	o.Learner = orDefault[Learner](o.Learner, nopLearner{})
	return &Router{opts: o, pins: pinner.NewCache(o.Clock, maxCachedPins, pinCacheTTL), ratings: newRatingTracker()}
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// admit sets the deadline of the request, at most maxTime from now unless that is
// zero, and waits until the limiter admits it. The returned function ends the
// admission.
func (r *Router) admit(ctx context.Context, req *Request, tokens int64, maxTime time.Duration) (*task, func(), error) {
	w := req.Holder.Workspace
	t := &task{
		id: req.ID, workspace: w, member: req.Holder.Member, began: r.opts.Clock.Now(),
		priority: req.Priority, memory: req.Memory, outcome: refuser.NotRun,
	}
	limit := requestDeadline(req.Deadline, w.Deadline)
	if maxTime > 0 {
		limit = min(limit, maxTime)
	}
	t.deadline = t.began.Add(limit)
	if err := r.refuseLate(t.deadline); err != nil {
		return nil, nil, err
	}
	release, err := r.opts.Limiter.Admit(ctx, Admission{Workspace: w, Priority: req.Priority, Deadline: t.deadline, Tokens: tokens})
	if _, ok := refuser.As(err); ok {
		return nil, nil, err
	}
	if err != nil {
		return nil, nil, t.cancelRefusal(ctx)
	}
	// The host may have begun to leave while the request waited.
	if err := r.refuseLate(t.deadline); err != nil {
		release()
		return nil, nil, err
	}
	return t, release, nil
}

// requestDeadline returns the time limit set by the caller, at most
// maxDeadline, else the one declared for the workspace, else defaultDeadline.
func requestDeadline(requested, declared time.Duration) time.Duration {
	switch {
	case requested > 0:
		return min(requested, maxDeadline)
	case declared > 0:
		return declared
	default:
		return defaultDeadline
	}
}

// catalog returns the configuration in force, or a refusal if this host has
// none yet.
func (r *Router) catalog() (*declarer.Catalog, error) {
	if c := r.opts.Views.Catalog(); c != nil {
		return c, nil
	}
	return nil, refuser.New(refuser.NotConfigured, refuser.NotRun,
		"this host has no configuration yet; retry or use another host")
}

// timeLeft returns the time to the deadline.
func (r *Router) timeLeft(t *task) time.Duration { return t.deadline.Sub(r.opts.Clock.Now()) }

// nextAttemptID counts a new attempt and returns its ID.
func (t *task) nextAttemptID() string {
	t.attempts++
	return t.id + "-" + strconv.Itoa(t.attempts)
}

// recordFailure merges the outcome of a failed attempt into the task. Once an
// attempt may have run, the outcome never returns to NotRun.
func (t *task) recordFailure(e *AttemptError) {
	if e.Outcome != refuser.NotRun && t.outcome != refuser.Ran {
		t.outcome = e.Outcome
	}
	t.retryAfter = max(t.retryAfter, e.RetryAfter)
}

// newRefusal returns a refusal with the combined outcome and retry delay of
// all attempts.
func (t *task) newRefusal(code refuser.Code, format string, args ...any) *refuser.Refusal {
	return refuser.New(code, t.outcome, format, args...).WithRetryAfter(t.retryAfter)
}

// withTimeout returns a context that is cancelled when d has passed on the
// clock, and a function that releases it.
func withTimeout(ctx context.Context, clock timekeeper.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	wg.Go(func() {
		if timekeeper.Sleep(ctx, clock, d) == nil {
			cancel()
		}
	})
	return ctx, func() {
		cancel()
		wg.Wait()
	}
}

// toAttemptError returns the AttemptError in err. Implementations of Upstreams
// return no other errors; for any other error the outcome of the attempt is
// unknown.
func toAttemptError(err error) *AttemptError {
	var ae *AttemptError
	if errors.As(err, &ae) {
		return ae
	}
	return &AttemptError{Kind: FailReset, Outcome: refuser.Unknown, Err: err}
}
