package forwarder

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/refuser"
	"foxtailwall/tracker"
)

const (
	// logBurst is the number of request log lines per second that are all written;
	// beyond it, one in logSampling is.
	logBurst    = 300
	logSampling = 20
)

// sampledLogger limits the volume of request log lines.
func sampledLogger(log zerolog.Logger) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{
		Burst: logBurst, Period: time.Second, NextSampler: &zerolog.BasicSampler{N: logSampling},
	})
}

// logAttempt logs an attempt that did not answer the request.
func (c *call) logAttempt(upstream tracker.Upstream, kind string, outcome refuser.Outcome, err error) {
	c.f.settings.Scope.Counter("forwarder.attemptsFailed", "kind", kind).Inc(1)
	e := c.f.requestLog.Info().Str("request", c.envelope.ID).Str("route", c.route.Name).Str("upstream", upstream.ID).
		Str("version", upstream.Version).Str("kind", kind).Str("outcome", string(outcome)).Int("try", c.attempts).
		Int("events", c.events).Uint64("config", c.table.Version())
	if outcome != refuser.NotRun {
		e = e.Str("content", strconv.FormatUint(c.contentID(), 16))
	}
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
	if !c.pace.firstAt.IsZero() {
		e = e.Dur("first", c.pace.firstAt.Sub(c.startedAt)).Dur("pause", c.pace.longestPause)
	}
	if c.upstream.ID != "" {
		e = e.Str("upstream", c.upstream.ID).Str("version", c.upstream.Version)
	}
	if c.model != "" {
		e = e.Str("model", c.model).Int("confidence", c.confidence)
	}
	e.Msg("request ended")
}
