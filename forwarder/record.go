package forwarder

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/refuser"
	"foxtailwall/stager"
	"foxtailwall/tracker"
)

const (
	// slowFactor is how many times later than usual on its route the first
	// byte of a bad answer comes, and slowLeast the least time that counts.
	slowFactor = 4.0
	slowLeast  = 250 * time.Millisecond
	// usualDecay is the weight of the newest answer in what is usual.
	usualDecay = 0.05

	// maxLines is the number of log lines about requests in a second that are
	// all written; beyond it, every sampleLines-th is.
	maxLines    = 300
	sampleLines = 20
)

type (
	// tally counts answers by version and route since the host started.
	tally struct {
		lines map[stager.Line]stager.Count
		// usual is the usual time to the first byte.
		usual map[usualKey]time.Duration
	}

	usualKey struct{ service, route string }
)

// sampled bounds the volume of the lines about requests.
func sampled(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{
		Burst: maxLines, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: sampleLines},
	})
}

// Counts returns the answers since the host started.
func (f *Forwarder) Counts() map[stager.Line]stager.Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.tally.lines)
}

// count takes over an answer of an upstream.
func (c *call) count(up tracker.Upstream, failed bool, first time.Duration) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	k := usualKey{service: c.service.Name, route: c.route.Name}
	usual := f.tally.usual[k]
	slow := usual > 0 && first > slowLeast && float64(first) > slowFactor*float64(usual)
	if usual == 0 {
		usual = first
	}
	// A slow answer counts for no more than the bound, so that many of them do
	// not become the usual case at once.
	f.tally.usual[k] = usual + time.Duration(usualDecay*float64(min(first, 2*usual)-usual))
	l := stager.Line{Service: c.service.Name, Version: up.Version, Route: c.route.Name}
	n := f.tally.lines[l]
	n.All++
	if failed || slow {
		n.Bad++
	}
	f.tally.lines[l] = n
}

// logAttempt writes the line of an attempt that did not answer the request.
func (c *call) logAttempt(up tracker.Upstream, kind string, out refuser.Outcome, err error) {
	c.f.set.Scope.Counter("forwarder.attemptsFailed", "kind", kind).Inc(1)
	c.f.lines.Info().Str("request", c.env.ID).Str("route", c.route.Name).Str("upstream", up.ID).
		Str("version", up.Version).Str("kind", kind).Str("outcome", string(out)).Int("try", c.tries).
		Int("events", c.events).Uint64("config", c.table.Version()).AnErr("cause", err).Msg("attempt failed")
}

// logEnd writes the line of a request that is over; a status of 0 means that
// the connection was closed.
func (c *call) logEnd(status int, how string) {
	took := c.f.set.Clock.Since(c.begun)
	c.f.set.Scope.Record("forwarder.request", took, "how", how)
	e := c.f.lines.Info().Str("request", c.env.ID).Int("status", status).Str("how", how).
		Dur("took", took).Int("tries", c.tries).Int("events", c.events)
	if c.route != nil {
		e = e.Str("route", c.route.Name).Uint64("config", c.table.Version())
	}
	if c.upstream.ID != "" {
		e = e.Str("upstream", c.upstream.ID).Str("version", c.upstream.Version)
	}
	if c.model != "" {
		e = e.Str("model", c.model).Int("confidence", c.confidence)
	}
	e.Msg("request ended")
}
