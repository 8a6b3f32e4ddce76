package forwarder

import (
	"sync/atomic"
	"time"

	"foxtailwall/matcher"
	"foxtailwall/placer"
)

const (
	// silentBase and silentPerToken are the time for which an upstream that
	// sends nothing at all is waited for: reading a prompt takes long.
	silentBase     = 500 * time.Millisecond
	silentPerToken = 60 * time.Microsecond
	// silentAlone is added where this is the host's only request at the
	// upstream, whose silence then says little. An upstream that is gone shows
	// sooner, by bytes that stay unacknowledged.
	silentAlone = 450 * time.Millisecond
	// silentPause is the part of the longest pause of a stream on time after
	// which an upstream that sends nothing at all is given up.
	silentPause = 0.55
	// defaultPause stands for a longest pause that the route does not state.
	defaultPause = 800 * time.Millisecond
	// extraWait is added while the upstream sends to other requests.
	extraWait = 150 * time.Millisecond
	// patience is how often the target the first event may take at an
	// upstream that answers other requests.
	patience = 2.0
	// pausePatience is the same for pauses, as a multiple of the longest.
	pausePatience = 3.0
)

// guard decides how long an attempt may stay without progress.
//
// It answers upstreams that go silent without closing their connections. An
// upstream that sends to other requests is only slow, and moving the request
// would cost more than waiting; one that sends nothing at all is given up well
// before the caller's patience ends.
type guard struct {
	c *call
	t *placer.Ticket
	// left is the number of attempts that may follow. Without one, silence is
	// no reason to end the attempt; the caller decides how long it waits. The
	// same goes for an exhausted budget of repeats.
	left int
	// since is when the attempt was sent, or when its last event came. It and
	// begun are read by the dialer's watch.
	since atomic.Pointer[time.Time]
	begun atomic.Bool
}

func newGuard(c *call, t *placer.Ticket, sent time.Time) *guard {
	g := &guard{c: c, t: t, left: c.route.MaxAttempts - c.arrivals - 1}
	g.since.Store(&sent)
	return g
}

// first returns the bound on the time to the header of the answer, zero if the
// request may not be sent again and so has to wait.
func (g *guard) first() time.Duration {
	if !g.c.route.Repeatable() || g.left <= 0 {
		return 0
	}
	return silentBase + time.Duration(g.c.env.Input)*silentPerToken
}

// pause returns the bound on the time to the next event.
func (g *guard) pause() time.Duration {
	return time.Duration(silentPause * float64(g.longest()))
}

func (g *guard) longest() time.Duration {
	if g.c.route.MaxPause > 0 {
		return g.c.route.MaxPause
	}
	return defaultPause
}

// more returns the time to add when a bound is missed. It is called by the
// dialer's watch.
func (g *guard) more() time.Duration {
	if !g.c.route.Repeatable() || g.left <= 0 || !g.c.f.set.Budget.Has(g.c.service.Name) {
		return extraWait
	}
	since, begun := *g.since.Load(), g.begun.Load()
	waited := g.c.f.set.Clock.Since(since)
	limit := time.Duration(patience * float64(g.c.route.Target))
	if begun {
		limit = time.Duration(pausePatience * float64(g.longest()))
	}
	if alone := g.first() + silentAlone - waited; !begun && alone > 0 && g.t.Running() <= 1 {
		return alone
	}
	// A stream that has begun is lost if its last attempt fails, so that the one
	// before is given up later.
	if g.c.route.Kind == matcher.Stream && waited < limit && (begun && g.left == 1 || g.t.HeardSince(since)) {
		return extraWait
	}
	return 0
}
