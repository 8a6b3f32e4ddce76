package router

import (
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

const (
	// firstTokenTarget and tokenGapTarget are the latency targets of streams. The
	// objective is that 95 % of the first tokens and of the gaps between tokens
	// meet them.
	firstTokenTarget = 1400 * time.Millisecond
	tokenGapTarget   = 35 * time.Millisecond
	// maxPendingRatings limits the number of answers that wait for a rating.
	maxPendingRatings = 1 << 16
)

type (
	// ratingTracker holds the answers that wait for a rating, so that each rating
	// is counted once. The objectives of package reporter use the counters.
	ratingTracker struct {
		mu      sync.Mutex
		pending *buffer.LRU[string, ratableAnswer]
	}

	// ratableAnswer identifies the workspace and version of an answer for which a
	// rating may arrive.
	ratableAnswer struct {
		workspace string
		ref       declarer.VersionRef
	}

	// tokenGaps counts the gaps between the tokens of a stream, so that the
	// counters are updated once per stream and not once per token.
	tokenGaps struct {
		last        time.Time
		total, slow int64
	}
)

func newRatingTracker() *ratingTracker {
	return &ratingTracker{pending: buffer.NewLRU[string, ratableAnswer](maxPendingRatings)}
}

// countRequest counts a request when it ends. A request that an upstream
// rejected is not counted as refused, since the caller gets the response of
// the upstream.
func (r *Router) countRequest(req *Request, err *error) {
	w := req.Holder.Workspace.Name
	r.opts.Scope.Counter("router.requests", "workspace", w).Inc(1)
	if re, ok := refuser.As(*err); ok {
		r.opts.Scope.Counter("router.refusals", "workspace", w, "code", string(re.Code)).Inc(1)
	}
}

// awaitRating registers an answer for which a rating may arrive.
func (r *Router) awaitRating(id string, w *declarer.Workspace, ref declarer.VersionRef) {
	r.ratings.mu.Lock()
	defer r.ratings.mu.Unlock()
	r.ratings.pending.Put(id, ratableAnswer{w.Name, ref})
}

// CountRating counts the rating of an answer of this host, at most once. The ID
// is the RequestID of the RateRequest. Whoever receives a rating after the
// answer was returned must call it.
func (r *Router) CountRating(id string, pass bool) {
	r.ratings.mu.Lock()
	a, ok := r.ratings.pending.Peek(id)
	r.ratings.pending.Remove(id)
	r.ratings.mu.Unlock()
	if !ok {
		return
	}
	r.opts.Scope.Counter("router.ratings", "workspace", a.workspace, "version", a.ref.String()).Inc(1)
	if !pass {
		r.opts.Scope.Counter("router.failedRatings", "workspace", a.workspace, "version", a.ref.String()).Inc(1)
	}
}

// recordTokenTime records the time at which a chunk with tokens is passed to the
// caller. The first such chunk is checked against firstTokenTarget, every
// later one against tokenGapTarget.
func (s *chatStream) recordTokenTime() {
	now := s.router.opts.Clock.Now()
	if s.gaps.last.IsZero() {
		s.addCounter("router.streams", 1)
		if now.Sub(s.chat.began) > firstTokenTarget {
			s.addCounter("router.slowFirst", 1)
		}
	} else {
		s.gaps.total++
		if now.Sub(s.gaps.last) > tokenGapTarget {
			s.gaps.slow++
		}
	}
	s.gaps.last = now
}

// countGaps adds the gaps of an ended stream to the counters.
func (s *chatStream) countGaps() {
	if s.gaps.total > 0 {
		s.addCounter("router.gaps", s.gaps.total)
	}
	if s.gaps.slow > 0 {
		s.addCounter("router.slowGaps", s.gaps.slow)
	}
}

// addCounter adds n to the counter of the stream's workspace and version.
func (s *chatStream) addCounter(name string, n int64) {
	s.router.opts.Scope.Counter(name, "workspace", s.chat.workspace.Name, "version", s.pinned.ref.String()).Inc(n)
}
