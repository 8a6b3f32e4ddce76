package forwarder

import (
	"net/http"
	"time"

	"foxtailwall/refuser"
	"foxtailwall/router"
)

// Departure describes how this host leaves.
type Departure struct {
	// End is when the host stops.
	End time.Time
	// OutOfRotation is when callers' new connections certainly reach other hosts.
	OutOfRotation time.Time
	// Neighbours returns the number of other hosts of the zone that take requests; a
	// caller that returns reaches one of them even before OutOfRotation. Nil means that
	// there are some.
	Neighbours func() int
}

// refuseLate refuses the request if this host leaves and may stop before the
// request's deadline.
func (c *call) refuseLate() *refusal {
	d := c.f.departure.Load()
	if d == nil || !c.deadline.After(d.End) {
		return nil
	}
	return newRefusal(http.StatusServiceUnavailable, refuser.ShuttingDown, d.retryAfter(c.startedAt))
}

// retryAfter returns the Retry-After with which a caller reaches another host.
func (d *Departure) retryAfter(now time.Time) time.Duration {
	left := d.OutOfRotation.Sub(now)
	if left <= 0 || d.Neighbours == nil || d.Neighbours() > 0 {
		return shutdownRetryAfter
	}
	// No caller returns before the time has passed.
	return time.Duration(float64(left)/minRetryJitter) + shutdownRetryAfter
}

// interruption returns why the request's context has ended, as a refusal: this host
// has cut the request off or the caller has closed its connection. It returns nil if
// the context has not ended.
func (c *call) interruption() *refusal {
	ctx := c.r.Context()
	if ctx.Err() == nil {
		return nil
	}
	if router.IsCutOff(ctx) {
		return newRefusal(http.StatusServiceUnavailable, refuser.ShuttingDown, shutdownRetryAfter)
	}
	return newRefusal(statusNone, callerLeft, 0)
}
