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
	// keep their limits again.
	Probation
)

const (
	// defaultFalseAlarmInterval is the mean number of batches between false
	// alarms: a month of batches of one second.
	defaultFalseAlarmInterval = 30 * 24 * 3600
	defaultQuarantineTime     = 5 * time.Minute
	defaultMaxQuarantineTime  = 6 * time.Hour
	// returnEvidence is the wealth required to return to service. The
	// probability that a version beyond its limit ever passes one probation is
	// at most 1/returnEvidence.
	returnEvidence = 20
)

type (
	// State says how many requests a version may get.
	State uint8

	// Settings configure a Watch. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		// FalseAlarmInterval is the smallest acceptable mean number of batches
		// until a false alarm. Zero means a month of batches of one second.
		FalseAlarmInterval float64
		// QuarantineTime is the duration of the first quarantine. It doubles,
		// up to MaxQuarantineTime, after each failed probation. Zeros mean
		// 5 min and 6 h.
		QuarantineTime, MaxQuarantineTime time.Duration
	}

	// Watch detects when a version starts to exceed its limits and decides on
	// its return. It is safe for concurrent use. Make it with NewWatch.
	Watch struct {
		settings Settings
		limits   Limits
		mu       sync.Mutex
		state    State
		reason   string
		// quarantineEnd is the end of the current quarantine, nextQuarantine
		// the duration of the next one.
		quarantineEnd  time.Time
		nextQuarantine time.Duration
		// changeStats holds the change statistic of each limit while the
		// version is healthy; probationStats holds the counts of the current
		// probation.
		changeStats    map[string]*logWealths
		probationStats Stats
	}
)

// NewWatch returns a Watch of a healthy version.
func NewWatch(l Limits, s Settings) *Watch {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	if s.FalseAlarmInterval <= 0 {
		s.FalseAlarmInterval = defaultFalseAlarmInterval
	}
	if s.QuarantineTime <= 0 {
		s.QuarantineTime = defaultQuarantineTime
	}
	if s.MaxQuarantineTime <= 0 {
		s.MaxQuarantineTime = defaultMaxQuarantineTime
	}
	return &Watch{settings: s, limits: l, nextQuarantine: s.QuarantineTime, changeStats: make(map[string]*logWealths)}
}

// Add adds the counts since the last call and returns the resulting state.
// Counts that arrive during a quarantine are ignored, since they belong to
// requests sent before it.
func (w *Watch) Add(batch Stats) State {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.state {
	case Healthy:
		if w.detectChange(batch) {
			w.startQuarantine()
		}
	case Quarantined:
		if !w.settings.Clock.Now().Before(w.quarantineEnd) {
			w.state, w.probationStats = Probation, Stats{}
		}
	case Probation:
		w.probationStats = w.probationStats.Add(batch)
		w.evaluateProbation()
	}
	return w.state
}

// Quarantine starts a quarantine unless there is one, for instance because
// another zone has detected a change.
func (w *Watch) Quarantine(reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state != Quarantined {
		w.reason = reason
		w.startQuarantine()
	}
}

// State returns the state and the reason of the latest quarantine.
func (w *Watch) State() (State, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state, w.reason
}

// detectChange updates the Shiryaev-Roberts statistics and reports whether they
// show a change. Each is the sum of the wealths of bets started before every
// batch so far. While the version is within its limits, their mean grows by at
// most one per batch on average, so that it takes at least FalseAlarmInterval
// batches on average to reach FalseAlarmInterval.
func (w *Watch) detectChange(batch Stats) bool {
	checks := limitChecks(w.limits, batch)
	sum, maxWealth, worst := 0.0, -1.0, limitCheck{}
	for _, check := range checks {
		statistic, ok := w.changeStats[check.name]
		if !ok {
			statistic = &logWealths{}
			for i := range statistic {
				statistic[i] = math.Inf(-1)
			}
			w.changeStats[check.name] = statistic
		}
		growth := betsAbove(check.limit).logWealths(check.counts)
		for i := range statistic {
			statistic[i] = logAddOne(statistic[i]) + growth[i]
		}
		wealth := math.Exp(logMeanWealth(*statistic))
		sum += wealth
		if wealth > maxWealth {
			maxWealth, worst = wealth, check
		}
	}
	if len(checks) == 0 || sum/float64(len(checks)) < w.settings.FalseAlarmInterval {
		return false
	}
	w.reason = worst.String()
	return true
}

// evaluateProbation ends a probation if the evidence suffices. To return, the
// version must be shown to keep every limit, which takes more than a lack of
// evidence against it: until then it stays on probation, so that a version near
// its limit does not alternate between states.
func (w *Watch) evaluateProbation() {
	if verdict := Evaluate(w.limits, w.probationStats); verdict.Alarm {
		w.nextQuarantine = min(2*w.nextQuarantine, w.settings.MaxQuarantineTime)
		w.reason = verdict.Reason
		w.startQuarantine()
		return
	}
	for _, check := range limitChecks(w.limits, w.probationStats) {
		if logMeanWealth(betsBelow(check.limit).logWealths(check.counts)) < math.Log(returnEvidence) {
			return
		}
	}
	w.state, w.nextQuarantine = Healthy, w.settings.QuarantineTime
	clear(w.changeStats)
}

func (w *Watch) startQuarantine() {
	w.state, w.quarantineEnd = Quarantined, w.settings.Clock.Now().Add(w.nextQuarantine)
}

// logAddOne returns log(1 + exp(x)).
func logAddOne(x float64) float64 {
	if x > 0 {
		return x + math.Log1p(math.Exp(-x))
	}
	return math.Log1p(math.Exp(x))
}
