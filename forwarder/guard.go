package forwarder

import (
	"sync/atomic"
	"time"

	"foxtailwall/dialer"
	"foxtailwall/matcher"
	"foxtailwall/placer"
)

const (
	// baseFirstByteTimeout and firstByteTimeoutPerToken give the timeout for the
	// first byte of an attempt: long prompts take longer to process.
	baseFirstByteTimeout     = 500 * time.Millisecond
	firstByteTimeoutPerToken = 60 * time.Microsecond
	// soleRequestExtension is added if the host has no other request at the
	// upstream, so that only other hosts know whether it is alive.
	soleRequestExtension = 450 * time.Millisecond
	// eventTimeoutFraction is the timeout for the next event as a fraction of the
	// route's longest pause.
	eventTimeoutFraction = 0.55
	// defaultMaxPause is the longest pause between events if the route sets none.
	defaultMaxPause = 800 * time.Millisecond
	// timeoutExtension is the step by which a timeout is extended.
	timeoutExtension = 150 * time.Millisecond
	// firstEventLimitFactor bounds the wait for the first event at an upstream
	// that sends data to other requests, as a multiple of the target latency.
	firstEventLimitFactor = 2.0
	// eventLimitFactor bounds the wait for further events in the same way, as a
	// multiple of the longest pause.
	eventLimitFactor = 3.0
)

// progressGuard decides how long an attempt may go without progress.
//
// It handles upstreams that go silent without closing their connections. An
// upstream that sends data to other requests, of this host or another, is only
// slow, and a retry would cost more than waiting. One that sends nothing at all
// is abandoned well before the caller's deadline. The connection to a host that
// has stopped is closed earlier, by unacknowledged data or keep-alive probes.
type progressGuard struct {
	call   *call
	ticket *placer.Ticket
	// attemptsLeft is the number of further attempts. If there are none, or the
	// retry budget is exhausted, silence does not end the attempt: only the
	// deadline does.
	attemptsLeft int
	// lastProgress is the time at which the attempt was sent, or received its
	// header or its last event. It and streaming are also read by the dialer's watcher.
	lastProgress atomic.Pointer[time.Time]
	streaming    atomic.Bool
	// hasRetry is true once the guard has ended the attempt and taken a retry from the
	// budget for the next one.
	hasRetry atomic.Bool
}

func newProgressGuard(c *call, t *placer.Ticket, sentAt time.Time) *progressGuard {
	g := &progressGuard{call: c, ticket: t, attemptsLeft: c.maxAttempts() - c.delivered - 1}
	g.lastProgress.Store(&sentAt)
	return g
}

// recordProgress starts the wait for the next event.
func (g *progressGuard) recordProgress(resp *dialer.ForwardResponse) {
	now := g.call.f.settings.Clock.Now()
	g.lastProgress.Store(&now)
	resp.ExpectWithin(g.eventTimeout())
}

// firstByteTimeout returns the timeout for the response header, zero for none
// if the request cannot be retried.
func (g *progressGuard) firstByteTimeout() time.Duration {
	if !g.call.route.Repeatable() || g.attemptsLeft <= 0 {
		return 0
	}
	return baseFirstByteTimeout + time.Duration(g.call.envelope.Input)*firstByteTimeoutPerToken
}

// eventTimeout returns the timeout for the next event.
func (g *progressGuard) eventTimeout() time.Duration {
	return time.Duration(eventTimeoutFraction * float64(g.call.maxPause()))
}

// maxPause returns the longest pause between events of a stream that is on time.
func (c *call) maxPause() time.Duration {
	if c.route.MaxPause > 0 {
		return c.route.MaxPause
	}
	return defaultMaxPause
}

// extendTimeout returns the time by which to extend an expired timeout, zero to
// end the attempt. It is called by the dialer's watcher.
func (g *progressGuard) extendTimeout() time.Duration {
	if !g.call.route.Repeatable() || g.attemptsLeft <= 0 {
		return timeoutExtension
	}
	lastProgress, streaming := *g.lastProgress.Load(), g.streaming.Load()
	waited := g.call.f.settings.Clock.Since(lastProgress)
	limit := time.Duration(firstEventLimitFactor * float64(g.call.route.Target))
	if streaming {
		limit = time.Duration(eventLimitFactor * float64(g.call.maxPause()))
	}
	if soleWait := g.firstByteTimeout() + soleRequestExtension - waited; !streaming && soleWait > 0 && g.ticket.Running() <= 1 {
		return soleWait
	}
	// A stream that has begun is lost if its last attempt fails, so the attempt
	// before the last is given more time.
	if g.call.route.Kind == matcher.Stream && waited < limit && (streaming && g.attemptsLeft == 1 || g.ticket.ReceivedSince(lastProgress)) {
		return timeoutExtension
	}
	// The retry is taken now, since other attempts may time out at the same moment.
	if !g.call.f.settings.Budget.Allow(g.call.service.Name) {
		return timeoutExtension
	}
	g.hasRetry.Store(true)
	return 0
}
