// Package limiter decides when the requests of each workspace may run on this
// host.
//
// Requests wait in the queue of package admitter, to which this package adds the
// bounds on the requests in flight. Workspaces share the host by weighted fair
// queueing over the estimated cost of their requests, so that a large workspace
// cannot starve a small one. Within a workspace, requests that have waited for half
// of their time are admitted first, then those of higher priority, then those with
// the earliest deadline. Queues
// are bounded, a request that cannot finish before its deadline is refused at
// once, and a waiting request is removed when its deadline passes or its caller
// disconnects. Retries are limited to a share of each workspace's requests.
//
// # Usage
//
//	l := limiter.New(limiter.Settings{Clock: clock, Concurrent: 512})
//
//	permit, err := l.Admit(ctx, limiter.Request{
//		Workspace: "counter", Bounds: limiter.Bounds{Share: 2}, Priority: 5,
//		Cost: tokens, RunTime: expected, Deadline: deadline,
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
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"foxtailwall/admitter"
	"foxtailwall/counter"
	"foxtailwall/refuser"
	"foxtailwall/timekeeper"
)

const (
	defaultConcurrent = 1024
	defaultQueue      = 256
	// paceGain is the weight of one completed request in the mean duration and
	// the mean cost, whose ratio is the time per unit of cost. A mean of the
	// ratio of each request would be dominated by cheap calls of plain
	// services.
	paceGain = 0.05
	// estimateGain is the weight of one request in the mean estimated cost.
	estimateGain = 0.05
	// minRetryJitter and retryJitter bound the factors that spread the retries of
	// refused callers, as for opaque requests.
	minRetryJitter, retryJitter = 0.75, 0.5
)

type (
	// Settings configure a Limiter. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// Concurrent bounds the requests in flight on this host. Zero means
		// 1024.
		Concurrent int
		// Queue bounds the waiting requests of a workspace without its own
		// bound. Zero means 256.
		Queue int
		// Random returns a number from 0 up to 1; nil means that of math/rand.
		Random func() float64
	}

	// Bounds are the configured weight and bounds of a workspace.
	Bounds struct {
		// Share is the workspace's weight. Zero counts as 1.
		Share int
		// Concurrent bounds the workspace's requests in flight. Zero means that
		// only the bound of the host applies.
		Concurrent int
		// Queue bounds the workspace's waiting requests. Zero means
		// Settings.Queue.
		Queue int
	}

	// Request describes a request to admit.
	Request struct {
		Workspace string
		Bounds
		// Priority orders the requests of a workspace, higher first.
		Priority int
		// Cost is the estimated work, usually in tokens. Less than one counts
		// as one.
		Cost float64
		// RunTime is the expected duration of the request once admitted, zero
		// if unknown. The request waits until it is all that is left before the
		// deadline.
		RunTime time.Duration
		// Deadline is when the response must be complete. The zero time means
		// no deadline.
		Deadline time.Time
	}

	// Permit allows one request to run until Done is called.
	Permit struct {
		limiter *Limiter
		waiter  *waiter
		once    sync.Once
	}

	// Status describes the requests that wait and those that were refused.
	Status struct {
		// Waiting is the number of requests that wait.
		Waiting int
		// Groups has the waiting requests by workspace and priority, those with
		// the longest waits first.
		Groups []Group
		// Refused counts the refusals since New by their code.
		Refused map[refuser.Code]int64
	}

	// Group describes the waiting requests of a workspace with the same priority.
	Group struct {
		Workspace string
		Priority  int
		Requests  int
		// Oldest is the time for which the oldest request has waited.
		Oldest time.Duration
	}

	// Limiter admits requests. It is safe for concurrent use. Make it with
	// New.
	Limiter struct {
		settings  Settings
		mu        sync.Mutex
		scheduler *scheduler
		budgets   map[string]*retryBudget
		refused   map[refuser.Code]int64
		// service is empty: the times until a slot is free are estimated from costs.
		service admitter.Service
		// meanDuration, in seconds, and meanCost are means over completed
		// requests, zero until one has completed. meanEstimate is the mean
		// estimated cost of requests that asked for admission.
		meanDuration, meanCost, meanEstimate float64
	}
)

// New returns a Limiter without requests.
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
	if s.Random == nil {
		s.Random = rand.Float64
	}
	return &Limiter{
		settings: s, budgets: make(map[string]*retryBudget), refused: make(map[refuser.Code]int64),
		scheduler: newScheduler(s.Concurrent),
	}
}

// SetConcurrent changes the bound on the requests in flight on this host. It
// does not interrupt requests that exceed the new bound.
func (l *Limiter) SetConcurrent(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduler.slots = max(n, 1)
	l.admitWaiting()
}

// SetBounds changes the bounds of a workspace, which its next request would bring
// otherwise. Waiting requests beyond the bound of its queue are refused, the last
// first. Workspaces without earlier requests are ignored.
func (l *Limiter) SetBounds(workspace string, b Bounds) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ws := l.scheduler.workspaces[workspace]
	if ws == nil {
		return
	}
	l.scheduler.setBounds(ws, b)
	l.admitWaiting()
	maxWaiting, now := l.maxWaiting(b), l.settings.Clock.Now()
	for l.scheduler.queue.Waiting(workspace) > maxWaiting {
		last := l.scheduler.queue.Last(workspace).Value.(*waiter)
		l.scheduler.remove(last)
		l.refuseFull(last, maxWaiting, now)
	}
}

// Admit waits until the request may run. The error is a *refuser.Refusal with
// outcome notRun, or the error of ctx.
func (l *Limiter) Admit(ctx context.Context, r Request) (*Permit, error) {
	w, err := l.enqueue(r)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.decided:
		return l.endWait(w, nil)
	default:
	}
	var expired <-chan time.Time
	if !r.Deadline.IsZero() {
		timer := l.settings.Clock.NewTimer(w.entry.Until.Sub(l.settings.Clock.Now()))
		defer timer.Stop()
		expired = timer.C()
	}
	select {
	case <-w.decided:
	case <-ctx.Done():
		err = ctx.Err()
	case <-expired:
	}
	return l.endWait(w, err)
}

// Retry reports whether the workspace may retry a request. If so, it spends one
// retry of the workspace's budget.
func (l *Limiter) Retry(workspace string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.retryBudget(workspace).spendRetry(l.settings.Clock.Now()) {
		return true
	}
	l.settings.Scope.Counter("limiter.retriesRefused", "workspace", workspace).Inc(1)
	return false
}

// Waiting returns the number of waiting requests of the workspace.
func (l *Limiter) Waiting(workspace string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.queue.Waiting(workspace)
}

// Status returns what waits now and how many requests were refused.
func (l *Limiter) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{Waiting: l.scheduler.queue.Len(), Refused: maps.Clone(l.refused)}
	now := l.settings.Clock.Now()
	for name := range l.scheduler.workspaces {
		byPriority := make(map[int]*Group)
		for e := range l.scheduler.queue.Entries(name) {
			w := e.Value.(*waiter)
			g := byPriority[w.priority]
			if g == nil {
				g = &Group{Workspace: name, Priority: w.priority}
				byPriority[w.priority] = g
			}
			g.Requests++
			g.Oldest = max(g.Oldest, e.Waited(now))
		}
		for _, g := range byPriority {
			s.Groups = append(s.Groups, *g)
		}
	}
	slices.SortFunc(s.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Oldest, a.Oldest), cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(b.Priority, a.Priority))
	})
	return s
}

// InFlight returns the number of admitted requests that have not ended.
func (l *Limiter) InFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.scheduler.running
}

// Done ends the request. The difference between the actual and the estimated
// cost is charged to the workspace's share; a cost of zero or less means that
// the estimate was right. Only the first call counts.
func (p *Permit) Done(cost float64) {
	p.once.Do(func() {
		p.limiter.mu.Lock()
		defer p.limiter.mu.Unlock()
		if cost <= 0 {
			cost = p.waiter.cost
		}
		duration, gain := p.limiter.settings.Clock.Since(p.waiter.admittedAt).Seconds(), paceGain
		if p.limiter.meanCost == 0 {
			gain = 1
		}
		p.limiter.meanDuration += gain * (duration - p.limiter.meanDuration)
		p.limiter.meanCost += gain * (cost - p.limiter.meanCost)
		p.limiter.scheduler.release(p.waiter, cost)
		p.limiter.admitWaiting()
	})
}

// enqueue queues the request, or refuses it if its deadline is too short or the
// queue is full.
func (l *Limiter) enqueue(r Request) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.settings.Clock.Now()
	w := l.scheduler.newWaiter(r, now)
	l.meanEstimate += estimateGain * (w.cost - l.meanEstimate)
	if l.meanEstimate < 1 {
		l.meanEstimate = w.cost
	}
	if d := l.decide(w, now); d.Verdict == admitter.Refuse && !r.Deadline.IsZero() {
		return nil, l.refuse(w, d, refuser.DeadlineTooShort,
			"the request of workspace %q needs about %s but its deadline is in %s; set a later deadline",
			r.Workspace, (d.RoomIn + d.Needs).Round(time.Millisecond), r.Deadline.Sub(now).Round(time.Millisecond))
	}
	if l.scheduler.admitIfIdle(w, now) {
		l.retryBudget(r.Workspace).creditRequest(now)
		return w, nil
	}
	maxWaiting := l.maxWaiting(r.Bounds)
	if refused := l.scheduler.enqueue(w, maxWaiting, now); refused != nil {
		l.refuseFull(refused, maxWaiting, now)
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	l.retryBudget(r.Workspace).creditRequest(now)
	l.admitWaiting()
	return w, nil
}

// endWait ends the wait of w, whose caller gave up if err is not nil. If w was
// admitted nevertheless, its slot is released. A request that is neither admitted nor
// refused has waited for as long as its answer could come before its deadline.
func (l *Limiter) endWait(w *waiter, err error) (*Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case w.refusal != nil:
		return nil, w.refusal
	case w.admitted && err == nil:
		return &Permit{limiter: l, waiter: w}, nil
	case w.admitted:
		l.scheduler.release(w, 0)
		l.admitWaiting()
		return nil, err
	}
	l.scheduler.remove(w)
	if err != nil {
		return nil, err
	}
	now := l.settings.Clock.Now()
	d := l.decide(w, now).Refused(admitter.NoTime)
	if now.Before(w.entry.Request.Deadline) {
		return nil, l.refuse(w, d, refuser.DeadlineTooShort,
			"the request of workspace %q was queued until too little time was left before its deadline; set a later deadline or reduce the load", w.workspace.name)
	}
	return nil, l.refuse(w, d, refuser.DeadlineExceeded,
		"the deadline passed while the request of workspace %q was queued; set a later deadline or reduce the load", w.workspace.name)
}

// decide returns the decision of package admitter on a request that is not queued. It
// can only wait for a slot, since upstreams do not get requests beyond the bounds.
func (l *Limiter) decide(w *waiter, now time.Time) admitter.Decision {
	return admitter.Decide(&w.entry.Request, &l.service, admitter.Room{Required: true, In: l.expectedWait(w)}, now)
}

// refuse counts and returns the refusal of a request. Its delay for a retry has
// jitter, so that callers that are refused together do not return together.
func (l *Limiter) refuse(w *waiter, d admitter.Decision, code refuser.Code, format string, args ...any) *refuser.Refusal {
	l.countRefusal(code, w.workspace.name)
	jitter := minRetryJitter + retryJitter*l.settings.Random()
	return refuser.New(code, refuser.NotRun, format, args...).WithRetryAfter(time.Duration(jitter * float64(d.RetryAfter)))
}

// refuseFull ends the wait of a request for which the queue has no room.
func (l *Limiter) refuseFull(w *waiter, maxWaiting int, now time.Time) {
	d := l.decide(w, now).Refused(admitter.QueueFull)
	w.refuse(l.refuse(w, d, refuser.QueueFull, "workspace %q has %d requests waiting; retry later", w.workspace.name, maxWaiting))
}

// maxWaiting returns the bound on the waiting requests of a workspace.
func (l *Limiter) maxWaiting(b Bounds) int {
	if b.Queue > 0 {
		return b.Queue
	}
	return l.settings.Queue
}

// countRefusal counts a refusal in the metric limiter.CODE and for Status.
func (l *Limiter) countRefusal(code refuser.Code, workspace string) {
	l.refused[code]++
	l.settings.Scope.Counter("limiter."+string(code), "workspace", workspace).Inc(1)
}

// admitWaiting admits waiting requests while there are free slots.
func (l *Limiter) admitWaiting() {
	now := l.settings.Clock.Now()
	for l.scheduler.admitNext(now) != nil {
	}
}

// expectedWait estimates the time until w is admitted from the cost of the
// requests ahead of it and the measured time per unit of cost. A workspace gets
// at least its share of the slots, and never waits longer than it takes to run
// all waiting requests.
func (l *Limiter) expectedWait(w *waiter) time.Duration {
	if l.meanCost == 0 || l.scheduler.admitsAtOnce(w.workspace) {
		return 0
	}
	ahead, total, shares := l.scheduler.backlog(w)
	slots := float64(l.scheduler.slots)
	ownSlots := slots * float64(w.workspace.share) / shares
	wait := min((ahead+l.meanEstimate)/ownSlots, (total+l.meanEstimate)/slots)
	if limit := w.workspace.concurrent; limit > 0 {
		wait = max(wait, ahead/float64(limit))
	}
	return time.Duration(wait * l.meanDuration / l.meanCost * float64(time.Second))
}

func (l *Limiter) retryBudget(workspace string) *retryBudget {
	b, ok := l.budgets[workspace]
	if !ok {
		b = &retryBudget{balance: maxIdleBalance, refilledAt: l.settings.Clock.Now()}
		l.budgets[workspace] = b
	}
	return b
}
