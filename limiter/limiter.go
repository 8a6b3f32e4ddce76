// Package limiter admits requests on one host.
//
// Workspaces share the host by weighted fair queueing over the estimated cost
// of their requests, so that a large workspace cannot starve a small one.
// Inside a workspace a higher priority goes first. Queues are bounded, a
// request that cannot finish within its deadline is refused at once, and a
// request whose deadline passes or whose caller leaves while it waits is
// removed at once. Retries are limited to a share of each workspace's requests.
//
// # Usage
//
//	l := limiter.New(limiter.Settings{Clock: clock, Concurrent: 512})
//
//	permit, err := l.Admit(ctx, limiter.Request{
//		Workspace: "counter", Share: 2, Priority: 5,
//		Cost: tokens, Run: expected, Deadline: deadline,
//	})
//	if err != nil {
//		return err // a *refuser.Refusal with outcome notRun, or the error of ctx
//	}
//	defer permit.Done(0)
//
//	if !l.Retry("counter") {
//		return refuser.New(refuser.RetryBudget, ...)
//	}
package limiter

import (
	"context"
	"sync"
	"time"

	"foxtailwall/counter"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	defaultConcurrent = 1024
	defaultQueue      = 256
	// paceGain is the weight of one completed request in the means of time and
	// cost, whose ratio is the pace. Averaging the ratio of each request would
	// let cheap calls of plain services pass for the pace of model requests.
	paceGain = 0.05
	// meanGain is the weight of one request in the mean cost.
	meanGain = 0.05
)

type (
	// Settings configure a Limiter. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// Concurrent bounds the requests in flight on this host. Zero takes
		// 1024.
		Concurrent int
		// Queue bounds the waiting requests of a workspace that names no
		// bound. Zero takes 256.
		Queue int
	}

	// Request asks for admission.
	Request struct {
		Workspace string
		// Share is the workspace's weight. Zero counts as 1.
		Share int
		// Concurrent bounds the workspace's requests in flight. Zero means no
		// bound of its own.
		Concurrent int
		// Queue bounds the workspace's waiting requests. Zero takes the
		// default.
		Queue int
		// Priority orders the requests of a workspace, higher first.
		Priority int
		// Cost is the estimated work, usually in tokens. Less than one counts
		// as one.
		Cost float64
		// Run is the time the request is expected to take once admitted, zero
		// if unknown.
		Run time.Duration
		// Deadline is when the response must be complete; the zero time means
		// none.
		Deadline time.Time
	}

	// Permit is the right to run one request.
	Permit struct {
		l    *Limiter
		w    *waiter
		once sync.Once
	}

	// Limiter admits requests. It is safe for concurrent use. Make it with
	// New.
	Limiter struct {
		set     Settings
		mu      sync.Mutex
		sched   scheduler
		budgets map[string]*budget
		// took and spent are the mean time in seconds and the mean actual cost
		// of completed requests, zero until one has completed; mean is the
		// mean estimated cost of requests that asked for admission.
		took, spent, mean float64
	}
)

// New returns a limiter without requests.
func New(s Settings) *Limiter {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	if s.Concurrent <= 0 {
		s.Concurrent = defaultConcurrent
	}
	if s.Queue <= 0 {
		s.Queue = defaultQueue
	}
	return &Limiter{
		set: s, budgets: make(map[string]*budget),
		sched: scheduler{slots: s.Concurrent, flows: make(map[string]*flow)},
	}
}

// SetConcurrent changes the bound on the requests in flight on this host.
// Requests in flight beyond a lower bound are not interrupted.
func (l *Limiter) SetConcurrent(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sched.slots = max(n, 1)
	l.dispatch()
}

// Admit waits until the request may run. The error is a *refuser.Refusal with
// outcome notRun, or the error of ctx.
func (l *Limiter) Admit(ctx context.Context, r Request) (*Permit, error) {
	w, err := l.enter(r)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.decided:
		return l.leave(w, nil)
	default:
	}
	var expired <-chan time.Time
	if !r.Deadline.IsZero() {
		timer := l.set.Clock.NewTimer(r.Deadline.Sub(l.set.Clock.Now()))
		defer timer.Stop()
		expired = timer.C()
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		err = ctx.Err()
	case <-expired:
		err = refuser.New(refuser.DeadlineExceeded, refuser.NotRun,
			"the deadline passed while the request of workspace %q waited; allow more time or lower the load", r.Workspace)
	}
	return l.leave(w, err)
}

// Retry reports whether the workspace may retry a request, and counts the
// retry if so.
func (l *Limiter) Retry(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.budget(workspace).spend(l.set.Clock.Now()) {
		return true
	}
	l.set.Scope.Counter("limiter.retriesRefused", "workspace", workspace).Inc(1)
	return false
}

// Waiting returns the number of waiting requests of the workspace.
func (l *Limiter) Waiting(workspace string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f, ok := l.sched.flows[workspace]; ok {
		return len(f.queue)
	}
	return 0
}

// InFlight returns the number of admitted requests that are not done.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sched.running
}

// Done ends the request. Cost is the actual work, by which the workspace's
// share is corrected; zero or less means that it is as estimated. Only the
// first call counts.
func (p *Permit) Done(cost float64) {
	p.once.Do(func() {
		p.l.mu.Lock()
		defer p.l.mu.Unlock()
		if cost <= 0 {
			cost = p.w.cost
		}
		took, g := p.l.set.Clock.Since(p.w.began).Seconds(), paceGain
		if p.l.spent == 0 {
			g = 1
		}
		p.l.took += g * (took - p.l.took)
		p.l.spent += g * (cost - p.l.spent)
		p.l.sched.done(p.w, cost)
		p.l.dispatch()
	})
}

// enter queues the request or refuses it.
func (l *Limiter) enter(r Request) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.set.Clock.Now()
	w := &waiter{cost: max(r.Cost, 1), priority: r.Priority, decided: make(chan struct{})}
	w.flow = l.sched.flow(r)
	l.mean += meanGain * (w.cost - l.mean)
	if l.mean < 1 {
		l.mean = w.cost
	}
	wait := l.expectedWait(w)
	if !r.Deadline.IsZero() && now.Add(wait+r.Run).After(r.Deadline) {
		l.set.Scope.Counter("limiter.deadlineTooShort", "workspace", r.Workspace).Inc(1)
		return nil, refuser.New(refuser.DeadlineTooShort, refuser.NotRun,
			"the request of workspace %q needs about %s and has %s; allow more time",
			r.Workspace, (wait + r.Run).Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond)).After(wait)
	}
	bound := r.Queue
	if bound <= 0 {
		bound = l.set.Queue
	}
	if refused := l.sched.enter(w, bound); refused != nil {
		l.set.Scope.Counter("limiter.queueFull", "workspace", r.Workspace).Inc(1)
		refused.refuse(refuser.New(refuser.QueueFull, refuser.NotRun,
			"workspace %q has %d requests waiting; retry later", r.Workspace, bound).After(wait))
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	l.budget(r.Workspace).earn(now)
	l.dispatch()
	return w, nil
}

// leave ends the wait of w. A request that was admitted while its caller gave
// up returns its permit.
func (l *Limiter) leave(w *waiter, err error) (*Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case w.refusal != nil:
		return nil, w.refusal
	case err == nil:
		return &Permit{l: l, w: w}, nil
	case w.admitted:
		l.sched.done(w, 0)
		l.dispatch()
	default:
		l.sched.remove(w)
	}
	return nil, err
}

func (l *Limiter) dispatch() {
	for {
		w := l.sched.next()
		if w == nil {
			return
		}
		w.began = l.set.Clock.Now()
		close(w.decided)
	}
}

// expectedWait estimates the time until w is admitted from the work ahead of
// it and the measured pace. A workspace gets at least its share of the slots,
// and waits no longer than for all waiting work.
func (l *Limiter) expectedWait(w *waiter) time.Duration {
	if l.spent == 0 || l.sched.idle(w.flow) {
		return 0
	}
	ahead, all, shares := l.sched.backlog(w)
	slots := float64(l.sched.slots)
	own := slots * w.flow.share / shares
	wait := min((ahead+l.mean)/own, (all+l.mean)/slots)
	if c := w.flow.concurrent; c > 0 {
		wait = max(wait, ahead/float64(c))
	}
	return time.Duration(wait * l.took / l.spent * float64(time.Second))
}

func (l *Limiter) budget(workspace string) *budget {
	b, ok := l.budgets[workspace]
	if !ok {
		b = &budget{balance: retryBurst, at: l.set.Clock.Now()}
		l.budgets[workspace] = b
	}
	return b
}
