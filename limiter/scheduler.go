package limiter

import (
	"container/heap"
	"time"

	"foxtailwall/refuser"
)

type (
	// scheduler orders the waiting requests by start-time fair queueing. Each
	// workspace is a flow whose start tag grows by cost/share with each of its
	// requests; the flow with the lowest tag goes next. A flow that was idle
	// or at its own bound continues at the virtual time: it keeps no credit.
	scheduler struct {
		slots   int
		running int
		virtual float64
		seq     uint64
		// waiting is the number of waiting requests.
		waiting int
		flows   map[string]*flow
	}

	// flow is the state of one workspace.
	flow struct {
		share      float64
		concurrent int
		running    int
		start      float64
		// waiting is the cost of the queue.
		waiting float64
		queue   waiterHeap
	}

	// waiter is one request, waiting or admitted.
	waiter struct {
		flow     *flow
		cost     float64
		priority int
		seq      uint64
		// index is the position in the flow's queue.
		index    int
		admitted bool
		began    time.Time
		refusal  *refuser.Refusal
		// decided is closed when the request is admitted or refused.
		decided chan struct{}
	}

	// waiterHeap has the request to be served first at its root.
	waiterHeap []*waiter
)

// flow returns the flow of the request's workspace with its present settings.
func (s *scheduler) flow(r Request) *flow {
	f, ok := s.flows[r.Workspace]
	if !ok {
		f = &flow{}
		s.flows[r.Workspace] = f
	}
	f.share, f.concurrent = float64(max(r.Share, 1)), r.Concurrent
	return f
}

// enter queues w. When the flow has bound requests waiting, the last of the
// lowest priority makes room and is returned, which may be w itself.
func (s *scheduler) enter(w *waiter, bound int) (refused *waiter) {
	w.seq = s.seq
	s.seq++
	if len(w.flow.queue) >= bound && !s.idle(w.flow) {
		refused = w
		for _, o := range w.flow.queue {
			if refused.before(o) {
				refused = o
			}
		}
		if refused == w {
			return w
		}
		s.remove(refused)
	}
	heap.Push(&w.flow.queue, w)
	w.flow.waiting += w.cost
	s.waiting++
	return refused
}

// next takes out the request to be admitted next, or returns nil.
func (s *scheduler) next() *waiter {
	if s.running >= s.slots || s.waiting == 0 {
		return nil
	}
	var best *flow
	for _, f := range s.flows {
		if len(f.queue) == 0 || f.full() {
			continue
		}
		if best == nil || s.earlier(f, best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	w := best.queue[0]
	s.remove(w)
	w.admitted = true
	s.virtual = s.tag(best)
	best.start = s.virtual + w.cost/best.share
	best.running++
	s.running++
	return w
}

// done returns the slot of w and corrects the flow's tag by the difference
// between the actual and the estimated cost.
func (s *scheduler) done(w *waiter, cost float64) {
	w.flow.running--
	s.running--
	w.flow.start += (cost - w.cost) / w.flow.share
}

func (s *scheduler) remove(w *waiter) {
	heap.Remove(&w.flow.queue, w.index)
	w.flow.waiting -= w.cost
	s.waiting--
}

// idle reports whether a request of the flow would be admitted at once.
func (s *scheduler) idle(f *flow) bool {
	return s.running < s.slots && !f.full() && len(f.queue) == 0
}

// backlog returns the cost waiting ahead of w in its own flow, the same with
// that of all other flows, and the shares of the flows that compete for slots.
func (s *scheduler) backlog(w *waiter) (ahead, all, shares float64) {
	shares = w.flow.share
	for _, o := range w.flow.queue {
		if o.priority >= w.priority {
			ahead += o.cost
		}
	}
	all = ahead
	for _, f := range s.flows {
		if f != w.flow && len(f.queue) > 0 {
			all += f.waiting
			shares += f.share
		}
	}
	return ahead, all, shares
}

func (s *scheduler) tag(f *flow) float64 { return max(f.start, s.virtual) }

func (s *scheduler) earlier(a, b *flow) bool {
	if x, y := s.tag(a), s.tag(b); x != y {
		return x < y
	}
	return a.queue[0].seq < b.queue[0].seq
}

func (f *flow) full() bool { return f.concurrent > 0 && f.running >= f.concurrent }

func (w *waiter) before(o *waiter) bool {
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
func (h waiterHeap) Less(i, j int) bool { return h[i].before(h[j]) }

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
