package dialer

import (
	"github.com/cockroachdb/errors"

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
