package limiter

import (
	"container/heap"
	"time"

	"foxtailwall/refuser"
)

type (
	// scheduler orders the waiting requests by start-time fair queueing. Each
	// workspace is a flow whose start tag grows by cost/share with each of its
	// requests; the flow with the lowest tag is served next. A flow that was
	// idle or at its own bound continues at the virtual time, so it accumulates
	// no credit.
	scheduler struct {
		slots       int
		running     int
		virtualTime float64
		seq         uint64
		// waiting is the number of waiting requests in all flows.
		waiting int
		flows   map[string]*flow
	}

	// flow is the queue and the share of one workspace.
	flow struct {
		share      float64
		concurrent int
		running    int
		startTag   float64
		// waitingCost is the total cost of the queue.
		waitingCost float64
		queue       waiterHeap
	}

	// waiter is a request that waits or was admitted.
	waiter struct {
		workspace string
		flow      *flow
		cost      float64
		priority  int
		seq       uint64
		// index is the position in the flow's heap.
		index      int
		queuedAt   time.Time
		admitted   bool
		admittedAt time.Time
		refusal    *refuser.Refusal
		// decided is closed when the request is admitted or refused.
		decided chan struct{}
	}

	// waiterHeap is a heap with the request to be served first at its root.
	waiterHeap []*waiter
)

// flowFor returns the flow of the request's workspace, updated with the
// request's share and bound.
func (s *scheduler) flowFor(r Request) *flow {
	f, ok := s.flows[r.Workspace]
	if !ok {
		f = &flow{}
		s.flows[r.Workspace] = f
	}
	f.share, f.concurrent = float64(max(r.Share, 1)), r.Concurrent
	return f
}

// enqueue queues w. When the flow already has maxWaiting requests, the last one
// of the lowest priority is refused and returned, which may be w itself.
func (s *scheduler) enqueue(w *waiter, maxWaiting int) (refused *waiter) {
	w.seq = s.seq
	s.seq++
	if len(w.flow.queue) >= maxWaiting && !s.admitsAtOnce(w.flow) {
		refused = w
		for _, other := range w.flow.queue {
			if refused.servedBefore(other) {
				refused = other
			}
		}
		if refused == w {
			return w
		}
		s.remove(refused)
	}
	heap.Push(&w.flow.queue, w)
	w.flow.waitingCost += w.cost
	s.waiting++
	return refused
}

// admitNext dequeues and admits the next request. It returns nil if there is
// none or no slot is free.
func (s *scheduler) admitNext() *waiter {
	if s.running >= s.slots || s.waiting == 0 {
		return nil
	}
	var best *flow
	for _, f := range s.flows {
		if len(f.queue) == 0 || f.atLimit() {
			continue
		}
		if best == nil || s.startsBefore(f, best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	w := best.queue[0]
	s.remove(w)
	w.admitted = true
	s.virtualTime = s.currentTag(best)
	best.startTag = s.virtualTime + w.cost/best.share
	best.running++
	s.running++
	return w
}

// release frees the slot of w and corrects the flow's start tag by the
// difference between the actual and the estimated cost.
func (s *scheduler) release(w *waiter, cost float64) {
	w.flow.running--
	s.running--
	w.flow.startTag += (cost - w.cost) / w.flow.share
}

func (s *scheduler) remove(w *waiter) {
	heap.Remove(&w.flow.queue, w.index)
	w.flow.waitingCost -= w.cost
	s.waiting--
}

// admitsAtOnce reports whether a request of the flow would not have to wait.
func (s *scheduler) admitsAtOnce(f *flow) bool {
	return s.running < s.slots && !f.atLimit() && len(f.queue) == 0
}

// backlog returns the cost of the requests ahead of w in its own flow, that
// cost plus the waiting cost of all other flows, and the sum of the shares of
// the flows that compete for slots.
func (s *scheduler) backlog(w *waiter) (ahead, total, shares float64) {
	shares = w.flow.share
	for _, other := range w.flow.queue {
		if other.priority >= w.priority {
			ahead += other.cost
		}
	}
	total = ahead
	for _, f := range s.flows {
		if f != w.flow && len(f.queue) > 0 {
			total += f.waitingCost
			shares += f.share
		}
	}
	return ahead, total, shares
}

func (s *scheduler) currentTag(f *flow) float64 { return max(f.startTag, s.virtualTime) }

func (s *scheduler) startsBefore(a, b *flow) bool {
	if x, y := s.currentTag(a), s.currentTag(b); x != y {
		return x < y
	}
	return a.queue[0].seq < b.queue[0].seq
}

func (f *flow) atLimit() bool { return f.concurrent > 0 && f.running >= f.concurrent }

func (w *waiter) servedBefore(o *waiter) bool {
	if w.priority != o.priority {
		return w.priority > o.priority
	}
	return w.seq < o.seq
}

func (w *waiter) refuse(r *refuser.Refusal) {
	w.refusal = r
	close(w.decided)
}

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool { return h[i].servedBefore(h[j]) }

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
