package limiter

import (
	"math"
	"time"

	"foxtailwall/admitter"
	"foxtailwall/refuser"
)

// maxWait is the wait of a request without a deadline from which its turn follows. It is
// the longest deadline that a caller can set.
const maxWait = time.Hour

type (
	// scheduler applies the bounds of the host and of the workspaces to the requests that
	// wait in the order of package admitter. A workspace at its own bound is held in the
	// queue until one of its requests has ended.
	scheduler struct {
		slots      int
		running    int
		queue      admitter.Queue
		workspaces map[string]*workspace
	}

	// workspace holds the bounds of one workspace and what it uses.
	workspace struct {
		name       string
		share      int
		concurrent int
		running    int
		// waitingCost is the total cost of the waiting requests.
		waitingCost float64
	}

	// waiter is a request that waits or was admitted.
	waiter struct {
		workspace  *workspace
		entry      admitter.Entry
		cost       float64
		priority   int
		admitted   bool
		admittedAt time.Time
		refusal    *refuser.Refusal
		// decided is closed when the request is admitted or refused.
		decided chan struct{}
	}
)

func newScheduler(slots int) *scheduler {
	return &scheduler{
		slots: slots, workspaces: make(map[string]*workspace),
		queue: admitter.Queue{MaxEntries: math.MaxInt, MaxBytes: math.MaxInt64, KeepShares: true},
	}
}

// newWaiter returns a waiter for the request. Higher priorities have lower ranks, and a
// request without a deadline is due after maxWait.
func (s *scheduler) newWaiter(r Request, now time.Time) *waiter {
	w := &waiter{workspace: s.workspaceOf(r), cost: max(r.Cost, 1), priority: r.Priority, decided: make(chan struct{})}
	due := r.Deadline
	if due.IsZero() {
		due = now.Add(maxWait)
	}
	w.entry = admitter.Entry{Until: due.Add(-r.RunTime), Value: w, Request: admitter.Request{
		Workspace: r.Workspace, Rank: -r.Priority, Work: w.cost, Arrived: now, Objective: due, Deadline: due, Due: due, RunTime: r.RunTime,
	}}
	return w
}

// workspaceOf returns the request's workspace, updated with the request's share and
// bound, which apply to its waiting requests as well.
func (s *scheduler) workspaceOf(r Request) *workspace {
	ws, ok := s.workspaces[r.Workspace]
	if !ok {
		ws = &workspace{name: r.Workspace}
		s.workspaces[r.Workspace] = ws
	}
	s.setBounds(ws, r.Bounds)
	return ws
}

func (s *scheduler) setBounds(ws *workspace, b Bounds) {
	ws.share, ws.concurrent = max(b.Share, 1), b.Concurrent
	s.queue.Hold(ws.name, ws.atLimit())
}

// enqueue queues w. When the workspace already has maxWaiting requests, the last one
// of the lowest priority is refused and returned, which may be w itself.
func (s *scheduler) enqueue(w *waiter, maxWaiting int, now time.Time) (refused *waiter) {
	if s.queue.Waiting(w.workspace.name) >= maxWaiting && !s.admitsAtOnce(w.workspace) {
		last := s.queue.Last(w.workspace.name)
		if last == nil || !w.entry.GoesBefore(last) {
			return w
		}
		refused = last.Value.(*waiter)
		s.remove(refused)
	}
	// The queue has no bound of its own.
	s.queue.Push(&w.entry, now)
	w.workspace.waitingCost += w.cost
	return refused
}

// admitNext dequeues and admits the next request. It returns nil if there is
// none or no slot is free.
func (s *scheduler) admitNext(now time.Time) *waiter {
	if s.running >= s.slots {
		return nil
	}
	e := s.queue.Take(now)
	if e == nil {
		return nil
	}
	w := e.Value.(*waiter)
	e.Request.Share = w.workspace.share
	s.queue.Charge(e)
	w.workspace.waitingCost -= w.cost
	s.admit(w, now)
	return w
}

// admitIfIdle admits w without queueing it if nothing waits and its workspace is below
// its bound, and reports whether it did. The queue would not charge its cost either.
func (s *scheduler) admitIfIdle(w *waiter, now time.Time) bool {
	if s.queue.Len() > 0 || !s.admitsAtOnce(w.workspace) {
		return false
	}
	s.admit(w, now)
	return true
}

func (s *scheduler) admit(w *waiter, now time.Time) {
	w.admitted, w.admittedAt = true, now
	w.workspace.running++
	s.running++
	s.queue.Hold(w.workspace.name, w.workspace.atLimit())
	close(w.decided)
}

// release frees the slot of w and charges the workspace the difference between the
// actual and the estimated cost.
func (s *scheduler) release(w *waiter, cost float64) {
	w.workspace.running--
	s.running--
	s.queue.Correct(&w.entry, cost)
	s.queue.Hold(w.workspace.name, w.workspace.atLimit())
}

func (s *scheduler) remove(w *waiter) {
	s.queue.Remove(&w.entry)
	w.workspace.waitingCost -= w.cost
}

// admitsAtOnce reports whether a request of the workspace would not have to wait.
func (s *scheduler) admitsAtOnce(ws *workspace) bool {
	return s.running < s.slots && !ws.atLimit() && s.queue.Waiting(ws.name) == 0
}

// backlog returns the cost of the requests ahead of w in its own workspace, that
// cost plus the waiting cost of all other workspaces, and the sum of the shares of
// the workspaces that compete for slots.
func (s *scheduler) backlog(w *waiter) (ahead, total, shares float64) {
	shares = float64(w.workspace.share)
	for e := range s.queue.Entries(w.workspace.name) {
		if other := e.Value.(*waiter); other.priority >= w.priority {
			ahead += other.cost
		}
	}
	total = ahead
	for _, ws := range s.workspaces {
		if ws != w.workspace && s.queue.Waiting(ws.name) > 0 {
			total += ws.waitingCost
			shares += float64(ws.share)
		}
	}
	return ahead, total, shares
}

func (ws *workspace) atLimit() bool { return ws.concurrent > 0 && ws.running >= ws.concurrent }

func (w *waiter) refuse(r *refuser.Refusal) {
	w.refusal = r
	close(w.decided)
}
