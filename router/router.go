package router

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/pinner"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	// defaultDeadline bounds requests for which nobody names a deadline. An
	// answer of 4000 tokens at 35 ms each takes 140 s.
	defaultDeadline = 5 * time.Minute
	// maxDeadline bounds what callers may ask for.
	maxDeadline = time.Hour
	// controlWait bounds one call of the control group; a leader change
	// takes up to 2 s.
	controlWait = 3 * time.Second
	// holdWait bounds the wait for a second holder of a billing record. The
	// answer is complete by then, so the caller waits for nothing else.
	holdWait = 2 * time.Second
	// maxPins bounds the pins cached on one host; each takes some 200 bytes.
	maxPins = 1 << 16
	// pinLife is the time for which a cached pin is used. It is far below
	// the retention of pins in the control group, so that a session in use
	// is asked for there before it is pruned.
	pinLife = 5 * time.Minute
	// maxAttempts bounds the attempts of one step, whatever the budget.
	maxAttempts = 4
)

type (
	// Options are the parts a Router connects. Views, Upstreams and Bills
	// are required; Claims and Pins are needed for non-idempotent calls and
	// for sessions without a token. The others have simple defaults.
	Options struct {
		// Host names this host as the owner of claims.
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
		// request or an idempotent call is sent to a second replica, within
		// the retry budget. Zero never hedges.
		HedgeAfter time.Duration
		// RatingWait bounds the wait for the rating of a cascade's step.
		RatingWait time.Duration
	}

	// Router serves requests. Make it with New.
	Router struct {
		o          Options
		pins       *pinner.Cache
		objectives *objectives
	}

	// task is the state of one request on its way.
	task struct {
		id        string
		workspace *declarer.Workspace
		member    string
		began     time.Time
		deadline  time.Time
		priority  int
		attempts  int
		// outcome is what is known of all attempts so far.
		outcome refuser.Outcome
		// retryAfter is the longest wait an upstream asked for.
		retryAfter time.Duration
	}
)

// New returns a router over the given parts.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = timekeeper.System{}
	}
	o.Limiter = orDefault[Limiter](o.Limiter, &plainLimiter{})
	o.Assigner = orDefault[Assigner](o.Assigner, hashAssigner{})
	o.Chooser = orDefault[Chooser](o.Chooser, cheapChooser{})
	o.Picker = orDefault[Picker](o.Picker, &leastPicker{zone: o.Zone})
	o.Monitor = orDefault[Monitor](o.Monitor, trustingMonitor{})
	o.Ratings = orDefault[Ratings](o.Ratings, noRatings{})
	o.Learner = orDefault[Learner](o.Learner, noLearner{})
	return &Router{o: o, pins: pinner.NewCache(o.Clock, maxPins, pinLife), objectives: newObjectives()}
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// admit starts a request: it fixes the deadline and waits for the limiter.
func (r *Router) admit(ctx context.Context, q *Request, tokens int64) (*task, func(), error) {
	w := q.Holder.Workspace
	t := &task{
		id: q.ID, workspace: w, member: q.Holder.Member, began: r.o.Clock.Now(),
		priority: q.Priority, outcome: refuser.NotRun,
	}
	t.deadline = t.began.Add(deadlineOf(q.Deadline, w.Deadline))
	release, err := r.o.Limiter.Admit(ctx, Admission{Workspace: w, Priority: q.Priority, Deadline: t.deadline, Tokens: tokens})
	if err == nil {
		return t, release, nil
	}
	if _, ok := refuser.As(err); ok {
		return nil, nil, err
	}
	return nil, nil, refuser.New(refuser.DeadlineExceeded, refuser.NotRun, "the request ended while it waited for admission")
}

func deadlineOf(asked, declared time.Duration) time.Duration {
	switch {
	case asked > 0:
		return min(asked, maxDeadline)
	case declared > 0:
		return declared
	default:
		return defaultDeadline
	}
}

// catalog returns the configuration in force.
func (r *Router) catalog() (*declarer.Catalog, error) {
	if c := r.o.Views.Catalog(); c != nil {
		return c, nil
	}
	return nil, refuser.New(refuser.NotConfigured, refuser.NotRun,
		"this host has no configuration yet; retry or use another host")
}

// left returns the time to the deadline.
func (r *Router) left(t *task) time.Duration { return t.deadline.Sub(r.o.Clock.Now()) }

// attemptID returns the ID of the next attempt of the request.
func (t *task) attemptID() string {
	t.attempts++
	return t.id + "-" + strconv.Itoa(t.attempts)
}

// note merges the outcome of a failed attempt. Once an attempt may have run,
// the request is never again one that did not run.
func (t *task) note(e *AttemptError) {
	if e.Outcome != refuser.NotRun && t.outcome != refuser.Ran {
		t.outcome = e.Outcome
	}
	t.retryAfter = max(t.retryAfter, e.RetryAfter)
}

// refuse returns a refusal with what is known of all attempts.
func (t *task) refuse(code refuser.Code, format string, args ...any) *refuser.Refusal {
	return refuser.New(code, t.outcome, format, args...).After(t.retryAfter)
}

// within returns a context that ends after d by clock, and the function that
// releases it.
func within(ctx context.Context, clock timekeeper.Clock, d time.Duration) (context.Context, context.CancelFunc) {
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

// asAttempt returns the AttemptError in err. Implementations of Upstreams
// return no other errors; if one does, nothing is known of the attempt.
func asAttempt(err error) *AttemptError {
	var ae *AttemptError
	if errors.As(err, &ae) {
		return ae
	}
	return &AttemptError{Kind: FailReset, Outcome: refuser.Unknown, Err: err}
}
