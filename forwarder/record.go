package forwarder

import (
	"maps"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/refuser"
	"foxtailwall/stager"
	"foxtailwall/tracker"
)

const (
	// slowFactor is the multiple of the mean time to the first byte of the route and
	// model above
	// which a response counts as bad, and minSlowLatency the least time to the
	// first byte that does.
	slowFactor     = 4.0
	minSlowLatency = 250 * time.Millisecond
	// newSampleWeight is the weight of the latest response in the mean.
	newSampleWeight = 0.05

	// logBurst is the number of request log lines per second that are all written;
	// beyond it, one in logSampling is.
	logBurst    = 300
	logSampling = 20
)

type (
	// responseStats counts responses by version and route since the host started.
	responseStats struct {
		counts map[stager.CountKey]stager.Count
		// meanFirstByte is the moving average of the time to the first byte.
		meanFirstByte map[routeKey]time.Duration
	}

	// routeKey identifies the responses of one model on a route; larger models
	// respond later.
	routeKey struct{ service, route, model string }
)

// sampledLogger limits the volume of request log lines.
func sampledLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{
		Burst: logBurst, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: logSampling},
	})
}

// Counts returns the number of responses by version and route since the host
// started.
func (f *Forwarder) Counts() map[stager.CountKey]stager.Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.stats.counts)
}

// recordResponse counts a response of an upstream and updates the mean time to
// the first byte.
func (c *call) recordResponse(upstream tracker.Upstream, failed bool, firstByte time.Duration) {
	f := c.f
	f.mu.Lock()
	defer f.mu.Unlock()
	key := routeKey{service: c.service.Name, route: c.route.Name, model: c.model}
	mean := f.stats.meanFirstByte[key]
	slow := mean > 0 && firstByte > minSlowLatency && float64(firstByte) > slowFactor*float64(mean)
	if mean == 0 {
		mean = firstByte
	}
	// The sample is capped, so that a burst of slow responses does not raise the
	// mean at once.
	f.stats.meanFirstByte[key] = mean + time.Duration(newSampleWeight*float64(min(firstByte, 2*mean)-mean))
	line := stager.CountKey{Service: c.service.Name, Version: upstream.Version, Route: c.route.Name}
	count := f.stats.counts[line]
	count.All++
	if failed || slow {
		count.Bad++
	}
	f.stats.counts[line] = count
}

// logAttempt logs an attempt that did not answer the request.
func (c *call) logAttempt(upstream tracker.Upstream, kind string, outcome refuser.Outcome, err error) {
	c.f.settings.Scope.Counter("forwarder.attemptsFailed", "kind", kind).Inc(1)
	e := c.f.requestLog.Info().Str("request", c.envelope.ID).Str("route", c.route.Name).Str("upstream", upstream.ID).
		Str("version", upstream.Version).Str("kind", kind).Str("outcome", string(outcome)).Int("try", c.attempts).
		Int("events", c.events).Uint64("config", c.table.Version())
	if outcome != refuser.NotRun && len(c.envelope.Parts) > 0 {
		e = e.Array("parts", partIDs(c.envelope.Parts))
	}
	e.AnErr("cause", err).Msg("attempt failed")
}

// partIDs logs the IDs of prompt parts, in hexadecimal.
type partIDs []Part

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (ids partIDs) MarshalZerologArray(a *zerolog.Array) {
	for _, p := range ids {
		a.Str(strconv.FormatUint(p.ID, 16))
	}
}

// logEnd logs the end of a request; a status of 0 means that the connection was
// closed.
func (c *call) logEnd(status int, ending string) {
	took := c.f.settings.Clock.Since(c.startedAt)
	c.f.settings.Scope.Record("forwarder.request", took, "how", ending)
	e := c.f.requestLog.Info().Str("request", c.envelope.ID).Int("status", status).Str("how", ending).
		Dur("took", took).Int("tries", c.attempts).Int("events", c.events)
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
