package dialer

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/declarer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// checkout is a connection taken from the pool for one request. The connection
// is closed early if a time limit passes or the caller's context ends.
type checkout struct {
	dialer *Dialer
	conn   *conn
	watch  *watch
	// stopCancelHook unregisters the hook that closes the connection when the
	// context ends; it returns false if the hook has already been started.
	stopCancelHook func() bool
	ended          bool
}

// checkOut takes a connection to u for one request and watches it until the
// deadline. When a progress limit passes, extend returns the time to add; with
// a nil extend the connection is closed.
func (d *Dialer) checkOut(ctx context.Context, u *declarer.Upstream, fresh bool, deadline time.Time, extend func() time.Duration) (checkout, error) {
	c, err := d.getConn(ctx, u, fresh, deadline)
	if err != nil {
		return checkout{}, markCancelled(ctx, err)
	}
	c.raw.bytesSent.Store(0)
	c.headerLimit.received = 0
	co := checkout{dialer: d, conn: c, watch: d.watcher.addExtendable(c.abandon, extend)}
	co.watch.setDeadline(deadline)
	co.stopCancelHook = context.AfterFunc(ctx, c.abandon)
	return co, nil
}

// allowLateReading prepares the connection for a body that may not fit the TCP
// windows: the peer may begin to answer and read the body later, and to the kernel a
// window that stays closed looks like a host that has stopped. Such a host is noticed
// by the missing response, at the deadline at the latest.
func (co *checkout) allowLateReading(bodyBytes int, deadline time.Time) error {
	if bodyBytes < concurrentBodyBytes || deadline.IsZero() {
		return nil
	}
	co.conn.noUserTimeout.Store(true)
	return co.conn.setUserTimeout(0)
}

// returnConn ends the checkout and returns a reusable connection to the pool,
// which keeps at most maxIdle; see putIdle.
func (co *checkout) returnConn(reusable bool, maxIdle int) {
	if !co.unwatch() || !reusable {
		co.conn.Close()
		return
	}
	if co.conn.noUserTimeout.Load() {
		// With the short limit, the kernel may close a connection whose peer has yet to
		// read the rest of the body.
		if co.conn.unacknowledged() > 0 || co.conn.setUserTimeout(co.dialer.opts.TCPUserTimeout) != nil {
			co.dialer.opts.Scope.Counter("dialer.bodiesUnread").Inc(1)
			co.conn.Close()
			return
		}
		co.conn.noUserTimeout.Store(false)
	}
	co.dialer.putIdle(co.conn, maxIdle)
}

// unwatch ends the checkout without returning the connection. It reports
// whether neither the watcher nor the context has closed it.
func (co *checkout) unwatch() bool {
	co.ended = true
	co.dialer.watcher.remove(co.watch)
	return co.stopCancelHook() && co.watch.reason() == notStopped
}

// closeWithError closes the connection and returns the *router.AttemptError of
// the attempt. The given kind is replaced if the watcher or the context has
// closed the connection, except FailMemory: the deadline ends a wait for memory, too.
// With deadlineIsSilence, a reused connection without a
// response counts as silent also when the deadline passed.
func (co *checkout) closeWithError(kind router.FailKind, responseStarted, deadlineIsSilence bool, upstream string, err error) error {
	open := co.unwatch()
	co.conn.abandon()
	reason := co.watch.reason()
	if reason == notStopped && open && errors.Is(err, syscall.ETIMEDOUT) {
		// The kernel has closed the connection because the peer's host no longer
		// answers.
		reason = noProgress
	}
	if co.conn.reused && !responseStarted && (reason == noProgress || reason == pastDeadline && deadlineIsSilence) {
		co.dialer.opts.Scope.Counter("dialer.silent").Inc(1)
		co.dialer.closeIdle(co.conn.addr)
	}
	switch {
	case kind == router.FailMemory:
	case reason == pastDeadline:
		kind = router.FailDeadline
	case reason == noProgress && co.conn.reused && !responseStarted:
		kind = router.FailSilent
	case reason == noProgress:
		kind = router.FailStalled
	case !open:
		kind = router.FailCancelled
	}
	co.dialer.opts.Scope.Counter("dialer.failures", "kind", string(kind)).Inc(1)
	out := refuser.Unknown
	if !co.conn.raw.mayHaveSent() {
		out = refuser.NotRun
	}
	return &router.AttemptError{Kind: kind, Outcome: out, Begun: co.conn.headerLimit.received > 0, Err: errors.Wrapf(err, "upstream %s", upstream)}
}
