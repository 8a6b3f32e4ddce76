package comparer

import (
	"time"

	"foxtailwall/declarer"
)

const (
	// badQualityFactor multiplies the quality of the bad version.
	badQualityFactor = 0.4
	// faultDivisor splits a run into equal parts; a fault lasts for the second.
	faultDivisor = 3
	// guardInterval is the time between two evaluations of the guard.
	guardInterval = time.Second
)

type (
	// Fault is a failure during the second third of a run.
	Fault struct {
		// Bad is a version whose quality drops; the zero value means none.
		Bad declarer.VersionRef
		// Unrated means that the rating service is down.
		Unrated bool
		// RatingWait is how long a cascade step waits for a rating while the
		// rating service is down.
		RatingWait time.Duration
	}

	// Guard detects bad versions from the ratings of all hosts, as the control
	// group does.
	Guard interface {
		// AddRating passes a rating from any host.
		AddRating(ref declarer.VersionRef, pass bool)
		// Evaluate updates the set of quarantined versions. It is called once a
		// second of virtual time.
		Evaluate()
		// Quarantined reports whether the version is out of use.
		Quarantined(ref declarer.VersionRef) bool
	}

	// FaultResult summarizes the answers given during the fault.
	FaultResult struct {
		Requests int `json:"requests"`
		// Quality is the share of answers that pass, Cost the mean cost of a
		// request in units of the currency.
		Quality float64 `json:"quality"`
		Cost    float64 `json:"cost"`
		// Exposed counts the answers of the bad version.
		Exposed int `json:"exposed"`
	}

	// faultTotals accumulates the answers given during the fault.
	faultTotals struct {
		requests, passed, exposed int
		cost                      int64
	}

	// noGuard is a guard that never quarantines a version.
	noGuard struct{}
)

// WithFault returns the scenario with a fault and reports whether the kind is known:
// "bad" turns the stable version of the large model bad, "unrated" stops the rating
// service, and an empty kind adds no fault.
func (s Scenario) WithFault(kind string) (Scenario, bool) {
	const ratingWait = 300 * time.Millisecond // same as in package hoster
	switch kind {
	case "":
	case "bad":
		m := s.Config.Models[len(s.Config.Models)-1]
		s.Fault = &Fault{Bad: declarer.VersionRef{Model: m.Name, Version: m.Stable}}
	case "unrated":
		s.Fault = &Fault{Unrated: true, RatingWait: ratingWait}
	default:
		return s, false
	}
	if kind != "" {
		s.Name += "-" + kind
	}
	return s, true
}

// faultActive reports whether the current time is in the second third of a run
// with a fault.
func (m *simulation) faultActive() bool {
	part := m.duration / faultDivisor
	at := m.now.Sub(m.start)
	return m.scenario.Fault != nil && at >= part && at < 2*part
}

// passes reports whether an answer of the version to the prompt passes.
func (m *simulation) passes(ref declarer.VersionRef, digest string, kind declarer.Kind) bool {
	v := m.scenario.Versions[ref]
	if m.isBad(ref) {
		low := make(map[declarer.Kind]float64, len(v.ByKind))
		for k, q := range v.ByKind {
			low[k] = badQualityFactor * q
		}
		v.ByKind = low
	}
	return v.Passes(m.seed, digest, kind)
}

// isBad reports whether the fault currently affects the version.
func (m *simulation) isBad(ref declarer.VersionRef) bool {
	return m.faultActive() && m.scenario.Fault.Bad == ref
}

// ratingServiceDown reports whether a fault currently stops all ratings.
func (m *simulation) ratingServiceDown() bool { return m.faultActive() && m.scenario.Fault.Unrated }

// ratingWait returns how long a cascade step waits for its rating.
func (m *simulation) ratingWait() time.Duration {
	if m.ratingServiceDown() {
		return m.scenario.Fault.RatingWait
	}
	return m.scenario.RatingDelay
}

// evaluateGuard runs the guard and schedules its next evaluation.
func (m *simulation) evaluateGuard() {
	m.guard.Evaluate()
	m.scheduleAfter(guardInterval, m.evaluateGuard)
}

// addFaultAnswer counts an answer if a fault is active.
func (m *simulation) addFaultAnswer(c *simulatedRequest, ref declarer.VersionRef, pass bool) {
	if !m.faultActive() {
		return
	}
	d := &m.totals.during
	d.requests++
	d.cost += c.cost
	if pass {
		d.passed++
	}
	if m.isBad(ref) {
		d.exposed++
	}
}

// result returns nil if no answer was counted.
func (d faultTotals) result() *FaultResult {
	if d.requests == 0 {
		return nil
	}
	n := float64(d.requests)
	return &FaultResult{Requests: d.requests, Quality: float64(d.passed) / n, Cost: float64(d.cost) / nanosPerUnit / n, Exposed: d.exposed}
}

// AddRating implements Guard.
func (noGuard) AddRating(declarer.VersionRef, bool) {}

// Evaluate implements Guard.
func (noGuard) Evaluate() {}

// Quarantined implements Guard.
func (noGuard) Quarantined(declarer.VersionRef) bool { return false }
