package dialer

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// watchInterval is the time between two checks and thus the accuracy of
	// every time limit. A check of 1500 exchanges takes about 20 µs.
	watchInterval = 50 * time.Millisecond
	// idleCheckTicks is the number of watch intervals between two checks for
	// expired idle connections.
	idleCheckTicks = 20
)

// Reasons for which a watch stops its exchange.
const (
	notStopped stopReason = iota
	noProgress
	pastDeadline
)

type (
	// watcher stops exchanges that make no progress. One goroutine checks all
	// of them, because a timer per exchange would be reset at every token.
	watcher struct {
		clock        timekeeper.Clock
		base         time.Time
		closeExpired func(now time.Time)

		mu      sync.Mutex
		watches map[*watch]struct{}
	}

	// watch holds the time limits of one exchange, in nanoseconds after the
	// watcher's base.
	watch struct {
		owner *watcher
		stop  func()
		// extend is called when the progress limit passes. It returns the time
		// to add, or zero to stop the exchange, as a nil extend does.
		extend   func() time.Duration
		progress atomic.Int64
		deadline atomic.Int64
		stopped  atomic.Int32
	}

	stopReason int32
)

func newWatcher(c timekeeper.Clock, closeExpired func(time.Time)) *watcher {
	return &watcher{clock: c, base: c.Now(), closeExpired: closeExpired, watches: make(map[*watch]struct{})}
}

// run checks all watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for n := 0; timekeeper.Sleep(ctx, w.clock, watchInterval) == nil; n++ {
		w.stopExpired()
		if n%idleCheckTicks == 0 {
			w.closeExpired(w.clock.Now())
		}
	}
}

// stopExpired stops the exchanges of which a time limit has passed.
func (w *watcher) stopExpired() {
	now := int64(w.clock.Since(w.base))
	var late []*watch
	w.mu.Lock()
	for x := range w.watches {
		if x.checkExpired(now) {
			delete(w.watches, x)
			late = append(late, x)
		}
	}
	w.mu.Unlock()
	for _, x := range late {
		x.stop()
	}
}

// add returns a watch without limits. Limits are set with its methods, and stop
// is called once when one passes.
func (w *watcher) add(stop func()) *watch { return w.addExtendable(stop, nil) }

// addExtendable is add with a function that can extend the progress limit; see
// watch.extend.
func (w *watcher) addExtendable(stop func(), extend func() time.Duration) *watch {
	x := &watch{owner: w, stop: stop, extend: extend}
	x.progress.Store(math.MaxInt64)
	x.deadline.Store(math.MaxInt64)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watches[x] = struct{}{}
	return x
}

func (w *watcher) remove(x *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watches, x)
}

// expectProgressWithin sets the progress limit to d from now.
func (x *watch) expectProgressWithin(d time.Duration) {
	x.progress.Store(int64(x.owner.clock.Since(x.owner.base) + d))
}

// expectNoProgress removes the progress limit until the next expectProgressWithin.
func (x *watch) expectNoProgress() { x.progress.Store(math.MaxInt64) }

// setDeadline limits the whole exchange; the zero time sets no limit.
func (x *watch) setDeadline(t time.Time) {
	if !t.IsZero() {
		x.deadline.Store(int64(t.Sub(x.owner.base)))
	}
}

// checkExpired reports whether a limit has passed at now and stores which one.
// It first tries to extend a progress limit that has passed.
func (x *watch) checkExpired(now int64) bool {
	switch {
	case now >= x.deadline.Load():
		x.stopped.Store(int32(pastDeadline))
	case now >= x.progress.Load():
		if d := x.requestExtension(); d > 0 {
			x.progress.Store(now + int64(d))
			return false
		}
		x.stopped.Store(int32(noProgress))
	default:
		return false
	}
	return true
}

// requestExtension returns the time to add to the progress limit, zero for none.
func (x *watch) requestExtension() time.Duration {
	if x.extend == nil {
		return 0
	}
	return x.extend()
}

// reason returns why the exchange was stopped, notStopped if it was not.
func (x *watch) reason() stopReason { return stopReason(x.stopped.Load()) }
