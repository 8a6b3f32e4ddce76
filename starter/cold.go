package starter

import (
	"context"
	"time"

	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
)

// coldLogInterval is the shortest time between two log lines about cold upstreams.
const coldLogInterval = time.Second

// coldRates returns the rates of the services whose upstreams can be cold.
func coldRates(t *matcher.Table) map[string]placer.ColdRate {
	rates := make(map[string]placer.ColdRate)
	for _, s := range t.Services() {
		if s.ColdRate > 0 {
			rates[s.Name] = placer.ColdRate{PerSecond: s.ColdRate, Start: s.ColdStart}
		}
	}
	return rates
}

// applyCold applies what the leader says of cold upstreams. The caller holds mu.
func (e *entry) applyCold(u *syncer.Update) {
	e.placer.SetColdTurn(u.Turn)
	e.placer.AddOutages(u.Outages)
	if u.Cold == nil || u.ListAge < 0 {
		return
	}
	e.coldVersion = u.Cold.Version
	now := e.opts.Clock.Now()
	readAt := now.Add(-u.ListAge)
	left := make(map[uint64]time.Duration, len(u.Cold.Left))
	for key, d := range u.Cold.Left {
		left[key] = d + u.ListAge
	}
	e.placer.SetColdTimes(left, readAt)
}

// watchCold logs which upstreams become cold and warm, and counts the requests to cold
// ones.
func (e *entry) watchCold(ctx context.Context) {
	for timekeeper.Sleep(ctx, e.opts.Clock, coldLogInterval) == nil {
		c := e.placer.TakeColdChanges()
		e.opts.Scope.Counter("entry.coldSent").Inc(c.Sent)
		e.opts.Scope.Counter("entry.coldWithheld").Inc(c.Withheld)
		if len(c.Became)+len(c.Ceased) == 0 {
			continue
		}
		e.opts.Log.Info().Strs("cold", c.Became).Int("moreCold", c.MoreBecame).Strs("warm", c.Ceased).Int("moreWarm", c.MoreCeased).
			Int64("sent", c.Sent).Int64("withheld", c.Withheld).Msg("upstreams count as cold or no longer do")
	}
}
