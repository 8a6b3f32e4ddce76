package router

import (
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

const (
	// firstTokenBound and gapBound are the latency targets of streams, which
	// 95 in 100 are to keep.
	firstTokenBound = 1400 * time.Millisecond
	gapBound        = 35 * time.Millisecond
	// pendingRatings bounds the answers whose rating may still arrive.
	pendingRatings = 1 << 16
)

type (
	// objectives emits the counters that the objectives of package reporter
	// read.
	objectives struct {
		mu      sync.Mutex
		pending *buffer.LRU[string, rated]
	}

	// rated is an answer that may be rated.
	rated struct {
		workspace string
		ref       declarer.VersionRef
	}

	// pace collects the times between the tokens of a stream, so that the
	// counters are touched once for each stream and not for each token.
	pace struct {
		last       time.Time
		gaps, slow int64
	}
)

func newObjectives() *objectives {
	return &objectives{pending: buffer.NewLRU[string, rated](pendingRatings)}
}

// count counts a request at its end. Requests that an upstream found at fault
// are not refused: the caller has the upstream's answer.
func (r *Router) count(q *Request, err *error) {
	w := q.Holder.Workspace.Name
	r.o.Scope.Counter("router.requests", "workspace", w).Inc(1)
	if re, ok := refuser.As(*err); ok {
		r.o.Scope.Counter("router.refusals", "workspace", w, "code", string(re.Code)).Inc(1)
	}
}

// answered remembers an answer until its rating arrives.
func (r *Router) answered(id string, w *declarer.Workspace, ref declarer.VersionRef) {
	r.objectives.mu.Lock()
	defer r.objectives.mu.Unlock()
	r.objectives.pending.Put(id, rated{w.Name, ref})
}

// Rated counts the rating of an answer of this host, once. The ID is the
// RequestID of the RateRequest. Ratings that come after the answer was returned
// are given to it by whoever receives them.
func (r *Router) Rated(id string, pass bool) {
	r.objectives.mu.Lock()
	a, ok := r.objectives.pending.Peek(id)
	r.objectives.pending.Remove(id)
	r.objectives.mu.Unlock()
	if !ok {
		return
	}
	r.o.Scope.Counter("router.ratings", "workspace", a.workspace, "version", a.ref.String()).Inc(1)
	if !pass {
		r.o.Scope.Counter("router.failedRatings", "workspace", a.workspace, "version", a.ref.String()).Inc(1)
	}
}

// paced notes that a chunk with tokens is passed to the caller.
func (s *streaming) paced() {
	now := s.r.o.Clock.Now()
	if s.pace.last.IsZero() {
		s.inc("router.streams", 1)
		if now.Sub(s.c.began) > firstTokenBound {
			s.inc("router.slowFirst", 1)
		}
	} else {
		s.pace.gaps++
		if now.Sub(s.pace.last) > gapBound {
			s.pace.slow++
		}
	}
	s.pace.last = now
}

// countGaps counts the gaps of the stream at its end.
func (s *streaming) countGaps() {
	if s.pace.gaps > 0 {
		s.inc("router.gaps", s.pace.gaps)
	}
	if s.pace.slow > 0 {
		s.inc("router.slowGaps", s.pace.slow)
	}
}

func (s *streaming) inc(name string, n int64) {
	s.r.o.Scope.Counter(name, "workspace", s.c.workspace.Name, "version", s.p.ref.String()).Inc(n)
}
