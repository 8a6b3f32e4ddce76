// Package timekeeper provides the clock that every other package takes as a
// parameter, so that tests control the time.
//
// # Usage
//
// Production code takes a Clock and is given System:
//
//	var clock timekeeper.Clock = timekeeper.System{}
//	timer := clock.NewTimer(2 * time.Second)
//	defer timer.Stop()
//	select {
//	case <-timer.C():
//	case <-ctx.Done():
//	}
//
// Tests use Fake and advance it:
//
//	clock := timekeeper.NewFake(time.Unix(0, 0))
//	clock.Advance(3 * time.Second)
//
// Times returned by System include the monotonic clock reading, so that
// differences between two of them within a process are unaffected by wall clock
// steps.
package timekeeper

import (
	"context"
	"sync"
	"time"
)

type (
	// Clock returns the time and creates timers.
	Clock interface {
		// Now returns the current time.
		Now() time.Time
		// Since returns the time passed since t.
		Since(t time.Time) time.Duration
		// NewTimer returns a timer that fires once after d. A d of zero or
		// less fires at once.
		NewTimer(d time.Duration) Timer
	}

	// Timer fires once on its channel.
	Timer interface {
		// C returns the channel on which the time is delivered.
		C() <-chan time.Time
		// Stop prevents the timer from firing; it reports whether the timer
		// was still pending.
		Stop() bool
	}

	// System is the system clock. Its zero value is ready to use.
	System struct{}

	// Fake is a clock for tests whose time changes only when Advance is
	// called. It is safe for concurrent use. Its zero value starts at the zero
	// time.
	Fake struct {
		mu     sync.Mutex
		now    time.Time
		timers map[*fakeTimer]struct{}
		// timerAdded is closed when a timer is added; nil if nobody waits.
		timerAdded chan struct{}
	}

	systemTimer struct{ timer *time.Timer }

	fakeTimer struct {
		clock *Fake
		due   time.Time
		fire  chan time.Time
	}
)

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Since implements Clock.
func (System) Since(t time.Time) time.Duration { return time.Since(t) }

// NewTimer implements Clock.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

// C implements Timer.
func (t systemTimer) C() <-chan time.Time { return t.timer.C }

// Stop implements Timer.
func (t systemTimer) Stop() bool { return t.timer.Stop() }

// Sleep waits until d has passed on the clock c. It returns the error of ctx if
// that ends first.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	t := c.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewFake returns a fake clock whose time is start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Since implements Clock.
func (f *Fake) Since(t time.Time) time.Duration { return f.Now().Sub(t) }

// NewTimer implements Clock.
func (f *Fake) NewTimer(d time.Duration) Timer {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := &fakeTimer{clock: f, due: f.now.Add(d), fire: make(chan time.Time, 1)}
	if d <= 0 {
		t.fire <- f.now
		return t
	}
	if f.timers == nil {
		f.timers = make(map[*fakeTimer]struct{})
	}
	f.timers[t] = struct{}{}
	if f.timerAdded != nil {
		close(f.timerAdded)
		f.timerAdded = nil
	}
	return t
}

// Advance adds d to the time and fires every timer that is then due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for t := range f.timers {
		if t.due.After(f.now) {
			continue
		}
		delete(f.timers, t)
		t.fire <- f.now
	}
}

// Timers returns the number of pending timers.
func (f *Fake) Timers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

// WaitTimers blocks until at least n timers are pending, so that a test advances
// the clock only after the code under test has started to wait for it. It
// returns the error of ctx if that ends first.
func (f *Fake) WaitTimers(ctx context.Context, n int) error {
	for {
		f.mu.Lock()
		if len(f.timers) >= n {
			f.mu.Unlock()
			return nil
		}
		if f.timerAdded == nil {
			f.timerAdded = make(chan struct{})
		}
		added := f.timerAdded
		f.mu.Unlock()
		select {
		case <-added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// C implements Timer.
func (t *fakeTimer) C() <-chan time.Time { return t.fire }

// Stop implements Timer.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}
