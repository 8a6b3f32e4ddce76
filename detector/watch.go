package detector

import (
	"math"
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

// States of a watched version.
const (
	// Healthy versions get their full share of requests.
	Healthy State = iota
	// Quarantined versions get no requests.
	Quarantined
	// Probation versions get a small share of requests, to show whether they
	// are within their limits again.
	Probation
)

const (
	// defaultInterval is the mean number of batches between false alarms, a
	// month of batches of one second.
	defaultInterval = 30 * 24 * 3600
	defaultHold     = 5 * time.Minute
	defaultMaxHold  = 6 * time.Hour
	// returnEvidence is required for the return: the probability that a
	// version beyond its limit ever passes one probation is at most its
	// inverse.
	returnEvidence = 20
)

type (
	// State says how many requests a version may get.
	State uint8

	// Settings configure a Watch. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		// Interval is the least mean number of batches until a false alarm.
		// Zero takes a month of batches of one second.
		Interval float64
		// Hold is the time of the first quarantine. It doubles, up to MaxHold,
		// with each one that follows a failed probation. Zeros take 5 min and
		// 6 h.
		Hold, MaxHold time.Duration
	}

	// Watch looks for a change for the worse of one version and decides on
	// its return. It is safe for concurrent use. Make it with NewWatch.
	Watch struct {
		set    Settings
		limits Limits
		mu     sync.Mutex
		state  State
		reason string
		// until is the end of the quarantine, hold the length of the next one.
		until time.Time
		hold  time.Duration
		// charts hold the statistic of each limit while healthy; trial holds
		// the counts of the present probation.
		charts map[string]*wealths
		trial  Stats
	}
)

// NewWatch returns a watch of a healthy version.
func NewWatch(l Limits, s Settings) *Watch {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	if s.Interval <= 0 {
		s.Interval = defaultInterval
	}
	if s.Hold <= 0 {
		s.Hold = defaultHold
	}
	if s.MaxHold <= 0 {
		s.MaxHold = defaultMaxHold
	}
	return &Watch{set: s, limits: l, hold: s.Hold, charts: make(map[string]*wealths)}
}

// Add takes the counts since the last call and returns the state that follows.
// Counts that arrive during a quarantine are of requests sent before it and do
// not count.
func (w *Watch) Add(batch Stats) State {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.state {
	case Healthy:
		if w.changed(batch) {
			w.quarantine()
		}
	case Quarantined:
		if !w.set.Clock.Now().Before(w.until) {
			w.state, w.trial = Probation, Stats{}
		}
	case Probation:
		w.trial = w.trial.Add(batch)
		w.try()
	}
	return w.state
}

// Quarantine takes the version out, for instance because another zone has
// detected a change.
func (w *Watch) Quarantine(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != Quarantined {
		w.reason = reason
		w.quarantine()
	}
}

// State returns the state and the reason of the latest quarantine.
func (w *Watch) State() (State, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.reason
}

// changed updates the Shiryaev-Roberts statistics, each the sum of the wealths
// of bets started before every batch so far. On a version within its limits
// their mean grows by at most one a batch, so that it takes Interval batches
// on average to reach Interval.
func (w *Watch) changed(batch Stats) bool {
	ms := measures(w.limits, batch)
	sum, most, worst := 0.0, -1.0, measure{}
	for _, m := range ms {
		chart, ok := w.charts[m.name]
		if !ok {
			chart = &wealths{}
			for i := range chart {
				chart[i] = math.Inf(-1)
			}
			w.charts[m.name] = chart
		}
		grown := above(m.limit).logWealth(m.counts)
		for i := range chart {
			chart[i] = logAddOne(chart[i]) + grown[i]
		}
		e := math.Exp(logMean(*chart))
		sum += e
		if e > most {
			most, worst = e, m
		}
	}
	if len(ms) == 0 || sum/float64(len(ms)) < w.set.Interval {
		return false
	}
	w.reason = worst.String()
	return true
}

// try ends a probation. The return needs proof that every limit is kept, which
// is more than a lack of proof that one is not: between the two the version
// stays on probation, so that one near its limit does not come and go.
func (w *Watch) try() {
	if v := Evaluate(w.limits, w.trial); v.Alarm {
		w.hold = min(2*w.hold, w.set.MaxHold)
		w.reason = v.Reason
		w.quarantine()
		return
	}
	for _, m := range measures(w.limits, w.trial) {
		if logMean(below(m.limit).logWealth(m.counts)) < math.Log(returnEvidence) {
			return
		}
	}
	w.state, w.hold = Healthy, w.set.Hold
	clear(w.charts)
}

func (w *Watch) quarantine() {
	w.state, w.until = Quarantined, w.set.Clock.Now().Add(w.hold)
}

// logAddOne returns log(1 + exp(x)).
func logAddOne(x float64) float64 {
	if x > 0 {
		return x + math.Log1p(math.Exp(-x))
	}
	return math.Log1p(math.Exp(x))
}
