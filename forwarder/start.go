package forwarder

import (
	"context"
	"time"
)

const (
	// startupTime is the time after a host's start within which its first
	// configuration is expected: the control group needs about a second to
	// recover.
	startupTime = 2500 * time.Millisecond
	// maxConfigWait is the longest time that a request waits for the first
	// configuration.
	maxConfigWait = 1300 * time.Millisecond
)

// waitForConfig returns the active configuration. On a host that has just
// started it waits for the first one.
//
// When all hosts restart at once, callers retry as soon as a host listens, and
// most of them retry only once, so requests wait here instead of being refused.
func (f *Forwarder) waitForConfig(ctx context.Context) ActiveConfig {
	if config := f.ActiveConfig(); config.Table != nil {
		return config
	}
	remaining := min(startupTime-f.settings.Clock.Since(f.started), maxConfigWait)
	if remaining <= 0 {
		return ActiveConfig{}
	}
	t := f.settings.Clock.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-f.configured:
	case <-t.C():
	case <-ctx.Done():
	}
	return f.ActiveConfig()
}
