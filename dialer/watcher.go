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
	// watchTick is how often progress is checked, and the accuracy of every
	// bound on it. One scan of 1500 exchanges takes some 20 µs.
	watchTick = 50 * time.Millisecond
	// reapTicks is the number of ticks between two looks at the idle
	// connections.
	reapTicks = 20
)

// Reasons why a watch has stopped its exchange.
const (
	inTime reason = iota
	noProgress
	pastDeadline
)

type (
	// watcher stops exchanges that make no progress. One goroutine serves
	// all of them: a timer for each would be reset at every token.
	watcher struct {
		clock timekeeper.Clock
		base  time.Time
		reap  func(now time.Time)

		mu   sync.Mutex
		list map[*watch]struct{}
	}

	// watch is the progress of one exchange. Its times are nanoseconds after
	// the base of the watcher.
	watch struct {
		owner *watcher
		stop  func()
		// more is asked, if it is set, when the progress bound is missed. It
		// returns the time to add, zero to stop the exchange.
		more     func() time.Duration
		progress atomic.Int64
		deadline atomic.Int64
		fired    atomic.Int32
	}

	reason int32
)

func newWatcher(c timekeeper.Clock, reap func(time.Time)) *watcher {
	return &watcher{clock: c, base: c.Now(), reap: reap, list: make(map[*watch]struct{})}
}

// run checks all watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	for n := 0; timekeeper.Sleep(ctx, w.clock, watchTick) == nil; n++ {
		w.check()
		if n%reapTicks == 0 {
			w.reap(w.clock.Now())
		}
	}
}

func (w *watcher) check() {
	now := int64(w.clock.Since(w.base))
	var late []*watch
	w.mu.Lock()
	for x := range w.list {
		if x.expired(now) {
			delete(w.list, x)
			late = append(late, x)
		}
	}
	w.mu.Unlock()
	for _, x := range late {
		x.stop()
	}
}

// add returns a watch without bounds; stop is called once if one is missed.
func (w *watcher) add(stop func()) *watch { return w.addWith(stop, nil) }

// addWith also sets the function that is asked for more time.
func (w *watcher) addWith(stop func(), more func() time.Duration) *watch {
	x := &watch{owner: w, stop: stop, more: more}
	x.progress.Store(math.MaxInt64)
	x.deadline.Store(math.MaxInt64)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.list[x] = struct{}{}
	return x
}

func (w *watcher) remove(x *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.list, x)
}

// within demands progress within d from now.
func (x *watch) within(d time.Duration) {
	x.progress.Store(int64(x.owner.clock.Since(x.owner.base) + d))
}

// until sets the end of the whole exchange; the zero time is none.
func (x *watch) until(t time.Time) {
	if !t.IsZero() {
		x.deadline.Store(int64(t.Sub(x.owner.base)))
	}
}

func (x *watch) expired(now int64) bool {
	switch {
	case now >= x.deadline.Load():
		x.fired.Store(int32(pastDeadline))
	case now >= x.progress.Load():
		if d := x.extension(); d > 0 {
			x.progress.Store(now + int64(d))
			return false
		}
		x.fired.Store(int32(noProgress))
	default:
		return false
	}
	return true
}

func (x *watch) extension() time.Duration {
	if x.more == nil {
		return 0
	}
	return x.more()
}

// reason tells why the exchange was stopped, inTime if it was not.
func (x *watch) reason() reason { return reason(x.fired.Load()) }
