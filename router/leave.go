package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/refuser"
)

const (
	// settleTime bounds what follows the last attempt of a request, which ends at the
	// deadline at the latest: the bill is held and the claim settled.
	settleTime = billHoldTimeout + controlTimeout
	// leaveRetryAfter is the delay after which a caller that a leaving host refuses may
	// return; a new connection reaches another host.
	leaveRetryAfter = time.Second
)

// CutOffError is the cause with which a host that stops ends the contexts of the
// requests that are still running.
type CutOffError struct{}

// Error implements error.
func (*CutOffError) Error() string { return "the host stops and has cut the request off" }

// Leave announces that this host stops at end. From now on only requests are
// admitted that certainly end before; all others are refused at once.
func (r *Router) Leave(end time.Time) { r.leavesAt.Store(&end) }

// refuseLate returns a refusal if this host leaves and a request with the deadline
// may not have ended when it stops.
func (r *Router) refuseLate(deadline time.Time) error {
	end := r.leavesAt.Load()
	if end == nil || !deadline.Add(settleTime).After(*end) {
		return nil
	}
	return refuser.New(refuser.ShuttingDown, refuser.NotRun,
		"this host stops before the deadline of the request; send it again on a new connection").WithRetryAfter(leaveRetryAfter)
}

// IsCutOff reports whether this host has cut off the request with the context.
func IsCutOff(ctx context.Context) bool {
	var cut *CutOffError
	return errors.As(context.Cause(ctx), &cut)
}

// withoutCaller returns a context that goes on if the caller disconnects and ends
// only if this host cuts the request off, and a function that releases it.
func withoutCaller(ctx context.Context) (context.Context, func()) {
	out, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if IsCutOff(ctx) {
			cancel(context.Cause(ctx))
		}
	})
	return out, func() {
		stop()
		cancel(nil)
	}
}

// cancelRefusal returns the refusal for a request whose context has ended.
func (t *task) cancelRefusal(ctx context.Context) error {
	switch {
	case !IsCutOff(ctx):
		return t.newRefusal(refuser.DeadlineExceeded, "the caller disconnected before the answer was complete")
	case t.outcome == refuser.NotRun:
		return t.newRefusal(refuser.ShuttingDown, "this host stopped before the request was sent").WithRetryAfter(leaveRetryAfter)
	}
	return t.newRefusal(refuser.OutcomeUnknown, "this host stopped before the answer was complete; the request may have run")
}
