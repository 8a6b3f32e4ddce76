package forwarder

import (
	"bytes"
	"maps"
	"time"

	"foxtailwall/stager"
	"foxtailwall/tracker"
)

const (
	// slowFactor is the multiple of the usual time to the first byte, or between
	// events, above which a response counts as bad.
	slowFactor = 4.0
	// minSlowLatency is the least time to the first byte that counts as bad, and
	// minSlowPace the least time between events.
	minSlowLatency = 250 * time.Millisecond
	minSlowPace    = 60 * time.Millisecond
	// minPaceEvents is the number of events after the first from which the time
	// between them is compared.
	minPaceEvents = 3
	// newSampleWeight is the weight of the latest response in the means.
	newSampleWeight = 0.05
)

type (
	// responseStats counts responses by version and route since the host started.
	// A response is counted as soon as it is known to be in time or late, not at
	// its end: the responses of a slow version end last.
	responseStats struct {
		counts map[stager.CountKey]stager.Count
		// meanFirstByte and meanPace are the moving averages of the time to the first
		// byte and between events.
		meanFirstByte map[routeKey]time.Duration
		meanPace      map[routeKey]time.Duration
		// awaited are the attempts whose response has not begun.
		awaited map[*attemptStats]struct{}
	}

	// routeKey identifies the responses of one model on a route; larger models
	// respond later.
	routeKey struct{ service, route, model string }

	// attemptStats is what is known about the response of an attempt.
	attemptStats struct {
		route routeKey
		line  stager.CountKey
		// sentAt is when the attempt was sent, and begunAt when its first byte
		// arrived.
		sentAt, begunAt time.Time
		// firstEventAt is when the first event of a stream arrived, and served means
		// that RecordSuccess was told that the upstream went on after it.
		firstEventAt time.Time
		served       bool
		// events is the number of events after the first bytes.
		events       int
		counted, bad bool
		// cold means that the upstream counted as cold. Its response is late for that
		// reason and says nothing about the version's speed.
		cold bool
	}
)

func newResponseStats() responseStats {
	return responseStats{
		counts:        make(map[stager.CountKey]stager.Count),
		meanFirstByte: make(map[routeKey]time.Duration), meanPace: make(map[routeKey]time.Duration),
		awaited: make(map[*attemptStats]struct{}),
	}
}

// Counts returns the number of responses by version and route since the host
// started. Late ones are included before they arrive.
func (f *Forwarder) Counts() map[stager.CountKey]stager.Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.settings.Clock.Now()
	for a := range f.stats.awaited {
		if f.stats.isLate(a, now.Sub(a.sentAt)) {
			f.stats.count(a, true)
			delete(f.stats.awaited, a)
		}
	}
	return maps.Clone(f.stats.counts)
}

// isLate reports whether a response whose first byte takes this long is late.
func (s *responseStats) isLate(a *attemptStats, firstByte time.Duration) bool {
	return !a.cold && isSlow(firstByte, s.meanFirstByte[a.route], minSlowLatency)
}

// isSlow reports whether d is several times the mean, if that is known.
func isSlow(d, mean, least time.Duration) bool {
	return mean > 0 && d > least && float64(d) > slowFactor*float64(mean)
}

// count counts a response, unless it is counted, and notes whether it is bad.
func (s *responseStats) count(a *attemptStats, bad bool) {
	n := s.counts[a.line]
	if !a.counted {
		a.counted = true
		n.All++
	}
	if bad && !a.bad {
		a.bad = true
		n.Bad++
	}
	s.counts[a.line] = n
}

// countFailed notes that a counted response is a failure. Each attempt is noted once.
func (s *responseStats) countFailed(a *attemptStats) {
	n := s.counts[a.line]
	n.Failed++
	s.counts[a.line] = n
}

// average adds a sample to a moving average. The sample is capped, so that a
// burst of slow responses does not raise the mean at once.
func average(means map[routeKey]time.Duration, key routeKey, sample time.Duration) {
	mean, ok := means[key]
	if !ok {
		mean = sample
	}
	means[key] = mean + time.Duration(newSampleWeight*float64(min(sample, 2*mean)-mean))
}

// beginAttempt starts to await the response of an attempt that was just sent.
// cold says that the upstream counts as cold.
func (c *call) beginAttempt(upstream tracker.Upstream, cold bool, sentAt time.Time) {
	a := &attemptStats{
		route:  routeKey{service: c.service.Name, route: c.route.Name, model: c.model},
		line:   stager.CountKey{Service: c.service.Name, Version: upstream.Version, Route: c.route.Name},
		sentAt: sentAt, cold: cold,
	}
	c.stats = a
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.stats.awaited[a] = struct{}{}
}

// endAttempt stops awaiting the response.
func (c *call) endAttempt() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	delete(c.f.stats.awaited, c.stats)
}

// recordResponse counts a response that has begun or, if it failed, ended.
func (c *call) recordResponse(failed bool, firstByte time.Duration) {
	f, a := c.f, c.stats
	if a == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.stats.awaited, a)
	a.begunAt = f.settings.Clock.Now()
	f.stats.count(a, failed || f.stats.isLate(a, firstByte))
	if failed {
		f.stats.countFailed(a)
	}
	if !a.cold {
		average(f.stats.meanFirstByte, a.route, firstByte)
	}
}

// recordEvents counts events of a stream, which is bad if they come several times
// more slowly than usual.
func (c *call) recordEvents(events []byte) {
	f, a := c.f, c.stats
	if a == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.firstEventAt.IsZero() {
		a.firstEventAt = f.settings.Clock.Now()
	}
	a.events += bytes.Count(events, []byte("\n\n")) + bytes.Count(events, []byte("\r\n\r\n"))
	if pace, ok := a.pace(f.settings.Clock.Now()); ok && !a.cold && isSlow(pace, f.stats.meanPace[a.route], minSlowPace) {
		f.stats.count(a, true)
	}
}

// discardResponse takes back a response that was counted as good and then broke
// off: a connection that ends says little about the version.
func (c *call) discardResponse() {
	f, a := c.f, c.stats
	if a == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !a.counted || a.bad {
		return
	}
	n := f.stats.counts[a.line]
	n.All--
	f.stats.counts[a.line] = n
	a.counted = false
}

// recordStreamEnd adds a complete stream to the usual time between events.
func (c *call) recordStreamEnd() {
	f, a := c.f, c.stats
	if a == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if pace, ok := a.pace(f.settings.Clock.Now()); ok && !a.cold {
		average(f.stats.meanPace, a.route, pace)
	}
}

// pace returns the mean time between events, and false if there are too few.
func (a *attemptStats) pace(now time.Time) (time.Duration, bool) {
	if a.events < minPaceEvents {
		return 0, false
	}
	return max(now.Sub(a.begunAt)/time.Duration(a.events), 1), true
}
