// Package timekeeper provides the clock that every other package takes as a
// parameter, so that tests decide when time passes.
//
// # Usage
//
// Production code holds a Clock and receives System:
//
//	var clock timekeeper.Clock = timekeeper.System{}
//	timer := clock.NewTimer(2 * time.Second)
//	defer timer.Stop()
//	select {
//	case <-timer.C():
//	case <-ctx.Done():
//	}
//
// Tests use Fake and move it forward by hand:
//
//	clock := timekeeper.NewFake(time.Unix(0, 0))
//	clock.Advance(3 * time.Second)
//
// Times returned by System carry Go's monotonic reading, so that differences
// between two readings of one process are safe against wall clock steps.
package timekeeper

import (
	"context"
	"sync"
	"time"
)

type (
	// Clock tells the time and makes timers.
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

	// System is the machine's clock. Its zero value is ready to use.
	System struct{}

	// Fake is a clock that only moves when Advance is called. It is safe for
	// use by several goroutines. Its zero value starts at the zero time.
	Fake struct {
		mu     sync.Mutex
		now    time.Time
		timers map[*fakeTimer]struct{}
		armed  chan struct{}
	}

	systemTimer struct{ t *time.Timer }

	fakeTimer struct {
		clock *Fake
		at    time.Time
		c     chan time.Time
	}
)

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Since implements Clock.
func (System) Since(t time.Time) time.Duration { return time.Since(t) }

// NewTimer implements Clock.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

// C implements Timer.
func (t systemTimer) C() <-chan time.Time { return t.t.C }

// Stop implements Timer.
func (t systemTimer) Stop() bool { return t.t.Stop() }

// Sleep waits for d on c or until ctx ends, and returns the error of ctx in
// the second case.
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

// NewFake returns a fake clock that shows start.
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
	t := &fakeTimer{clock: f, at: f.now.Add(d), c: make(chan time.Time, 1)}
	if d <= 0 {
		t.c <- f.now
		return t
	}
	if f.timers == nil {
		f.timers = make(map[*fakeTimer]struct{})
	}
	f.timers[t] = struct{}{}
	if f.armed != nil {
		close(f.armed)
		f.armed = nil
	}
	return t
}

// Advance moves the clock by d and fires every timer that has come due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	for t := range f.timers {
		if t.at.After(f.now) {
			continue
		}
		delete(f.timers, t)
		t.c <- f.now
	}
}

// Timers returns the number of timers that are pending.
func (f *Fake) Timers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.timers)
}

// WaitTimers blocks until at least n timers are pending, so that a test can
// advance the clock only once the code under test waits for it. It returns
// the error of ctx if that ends first.
func (f *Fake) WaitTimers(ctx context.Context, n int) error {
	for {
		f.mu.Lock()
		if len(f.timers) >= n {
			f.mu.Unlock()
			return nil
		}
		if f.armed == nil {
			f.armed = make(chan struct{})
		}
		armed := f.armed
		f.mu.Unlock()
		select {
		case <-armed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// C implements Timer.
func (t *fakeTimer) C() <-chan time.Time { return t.c }

// Stop implements Timer.
func (t *fakeTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	_, pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}
