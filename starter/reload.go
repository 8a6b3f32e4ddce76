package starter

import (
	"context"
	"sync/atomic"
	"time"
)

// reloadInterval is how often the settings are reloaded without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings reads the settings again on Options.Hangup and every
// reloadInterval, until ctx ends. Only the seeds may change while a host runs.
func reloadSettings(ctx context.Context, o *Options, settings *atomic.Pointer[Settings]) {
	for {
		timer := o.Clock.NewTimer(reloadInterval)
		signalled := false
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-o.Hangup:
			signalled = true
			timer.Stop()
		case <-timer.C():
		}
		next, err := o.Protocol.Settings()
		if err != nil {
			o.Log.Error().Err(err).Msg("cannot read the settings; the previous ones stay in use")
			continue
		}
		old := settings.Load()
		if len(next.Seeds) == 0 {
			continue
		}
		changed := *old
		changed.Seeds = next.Seeds
		settings.Store(&changed)
		if signalled {
			o.Log.Info().Int("seeds", len(next.Seeds)).Msg("settings reloaded")
		}
	}
}
