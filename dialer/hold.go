package dialer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/declarer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// hold is the use of a connection for one request: it ends with the request,
// with a missed bound or with the caller.
type hold struct {
	d       *Dialer
	c       *conn
	w       *watch
	unhook  func() bool
	settled bool
}

// open takes a connection to u for one request and watches it until the
// deadline. more is asked when a bound on progress is missed; nil gives up.
func (d *Dialer) open(ctx context.Context, u *declarer.Upstream, fresh bool, deadline time.Time, more func() time.Duration) (hold, error) {
	c, err := d.get(ctx, u, fresh, deadline)
	if err != nil {
		return hold{}, cancelled(ctx, err)
	}
	c.raw.sent.Store(0)
	h := hold{d: d, c: c, w: d.watcher.addWith(func() { c.Close() }, more)}
	h.w.until(deadline)
	h.unhook = context.AfterFunc(ctx, func() { c.Close() })
	return h, nil
}

// end ends the use and keeps the connection if it can carry another request.
// At most so many are kept unused; zero is no bound of the request's own.
func (h *hold) end(reusable bool, maxIdle int) {
	if !h.release() || !reusable {
		h.c.Close()
		return
	}
	h.d.put(h.c, maxIdle)
}

// release ends the watch and reports whether the connection is still open.
func (h *hold) release() bool {
	h.settled = true
	h.d.watcher.remove(h.w)
	return h.unhook() && h.w.reason() == inTime
}

// failed closes the connection and returns the error that says what became of
// the attempt. The kind stands unless the watch or the caller has stopped it.
// begun says that an answer had begun, and late that a connection without any
// is silent if the deadline has passed.
func (h *hold) failed(kind router.FailKind, begun, late bool, upstream string, err error) error {
	open := h.release()
	h.c.Close()
	why := h.w.reason()
	if h.c.reused && !begun && (why == noProgress || why == pastDeadline && late) {
		h.d.o.Scope.Counter("dialer.silent").Inc(1)
		h.d.purge(h.c.addr)
	}
	switch {
	case why == pastDeadline:
		kind = router.FailDeadline
	case why == noProgress && h.c.reused && !begun:
		kind = router.FailSilent
	case why == noProgress:
		kind = router.FailStalled
	case !open:
		kind = router.FailCancelled
	}
	h.d.o.Scope.Counter("dialer.failures", "kind", string(kind)).Inc(1)
	out := refuser.Unknown
	if h.c.raw.sent.Load() == 0 {
		out = refuser.NotRun
	}
	return &router.AttemptError{Kind: kind, Outcome: out, Err: errors.Wrapf(err, "upstream %s", upstream)}
}
