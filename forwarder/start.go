package forwarder

import (
	"context"
	"time"
)

const (
	// startTime is the time after its start in which a host expects its first
	// configuration: the control group needs about a second to recover.
	startTime = 2500 * time.Millisecond
	// startHold is the longest time that a request waits for it.
	startHold = 1300 * time.Millisecond
)

// firstInForce returns the configuration in force. A host that has just
// started waits for its first one.
//
// It answers the restart of all hosts at once: callers come back as soon as a
// host listens, and most of them come back only once.
func (f *Forwarder) firstInForce(ctx context.Context) InForce {
	if cur := f.InForce(); cur.Table != nil {
		return cur
	}
	left := min(startTime-f.set.Clock.Since(f.started), startHold)
	if left <= 0 {
		return InForce{}
	}
	t := f.set.Clock.NewTimer(left)
	defer t.Stop()
	select {
	case <-f.configured:
	case <-t.C():
	case <-ctx.Done():
	}
	return f.InForce()
}
