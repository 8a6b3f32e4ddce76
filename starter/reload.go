package starter

import (
	"context"
	"sync/atomic"
	"time"
)

// reloadEvery is how often the settings are read again without a signal.
const reloadEvery = 2 * time.Second

// reload reads the settings again at a signal and now and then. Only the seeds
// may change while a host runs.
func reload(ctx context.Context, o *Options, set *atomic.Pointer[Settings]) {
	for {
		t := o.Clock.NewTimer(reloadEvery)
		signalled := false
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-o.Hangup:
			signalled = true
			t.Stop()
		case <-t.C():
		}
		next, err := o.Protocol.Settings()
		if err != nil {
			o.Log.Error().Err(err).Msg("the settings cannot be read; the last ones stay in use")
			continue
		}
		old := set.Load()
		if len(next.Seeds) == 0 {
			continue
		}
		changed := *old
		changed.Seeds = next.Seeds
		set.Store(&changed)
		if signalled {
			o.Log.Info().Int("seeds", len(next.Seeds)).Msg("settings read again")
		}
	}
}
