package comparer

import (
	"time"

	"foxtailwall/declarer"
)

const (
	// badQuality is the factor of the quality of a version that turned bad.
	badQuality = 0.4
	// Faults last for the second of faultParts equal parts of a run.
	faultParts = 3
	// guardEvery is the time between two looks at the reports of versions.
	guardEvery = time.Second
)

type (
	// Fault is a failure during the second third of a run.
	Fault struct {
		// Bad is a version whose quality falls; empty means none.
		Bad declarer.VersionRef
		// Unrated says that the rating service is down.
		Unrated bool
		// RatingWait is the time for which a cascade waits for a rating that
		// does not come.
		RatingWait time.Duration
	}

	// Guard watches versions over all hosts, as the control group does.
	Guard interface {
		// Rated takes a rating of any host.
		Rated(ref declarer.VersionRef, pass bool)
		// Step is called once a second.
		Step()
		// Quarantined reports whether the version was taken out of use.
		Quarantined(ref declarer.VersionRef) bool
	}

	// During is what happened during the fault.
	During struct {
		Requests int `json:"requests"`
		// Quality is the share of answers that pass, Cost the mean cost of a
		// request in units of the currency.
		Quality float64 `json:"quality"`
		Cost    float64 `json:"cost"`
		// Exposed counts the answers of the bad version.
		Exposed int `json:"exposed"`
	}

	during struct {
		requests, passed, exposed int
		cost                      int64
	}

	noGuard struct{}
)

// Faulty returns the scenario with the version of the large model turning bad,
// or with the rating service down.
func (s Scenario) Faulty(kind string) (Scenario, bool) {
	const ratingWait = 300 * time.Millisecond // that of package hoster
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

// faulty reports whether the fault lasts at the present time.
func (m *simulation) faulty() bool {
	part := m.duration / faultParts
	at := m.now.Sub(m.start)
	return m.s.Fault != nil && at >= part && at < 2*part
}

// passes reports whether the answer of the version passes.
func (m *simulation) passes(ref declarer.VersionRef, digest string, kind declarer.Kind) bool {
	v := m.s.Versions[ref]
	if m.bad(ref) {
		low := make(map[declarer.Kind]float64, len(v.ByKind))
		for k, q := range v.ByKind {
			low[k] = badQuality * q
		}
		v.ByKind = low
	}
	return v.Passes(m.seed, digest, kind)
}

func (m *simulation) bad(ref declarer.VersionRef) bool {
	return m.faulty() && m.s.Fault.Bad == ref
}

// unrated reports whether the rating service is down.
func (m *simulation) unrated() bool { return m.faulty() && m.s.Fault.Unrated }

// ratingWait returns the time that a cascade waits for a rating.
func (m *simulation) ratingWait() time.Duration {
	if m.unrated() {
		return m.s.Fault.RatingWait
	}
	return m.s.RatingDelay
}

// watch steps the guard once a second.
func (m *simulation) watch() {
	m.guard.Step()
	m.after(guardEvery, m.watch)
}

// noteDuring counts an answer given during the fault.
func (m *simulation) noteDuring(c *call, ref declarer.VersionRef, pass bool) {
	if !m.faulty() {
		return
	}
	d := &m.sums.during
	d.requests++
	d.cost += c.cost
	if pass {
		d.passed++
	}
	if m.bad(ref) {
		d.exposed++
	}
}

func (d during) result() *During {
	if d.requests == 0 {
		return nil
	}
	n := float64(d.requests)
	return &During{Requests: d.requests, Quality: float64(d.passed) / n, Cost: float64(d.cost) / nanosPerUnit / n, Exposed: d.exposed}
}

// Rated implements Guard.
func (noGuard) Rated(declarer.VersionRef, bool) {}

// Step implements Guard.
func (noGuard) Step() {}

// Quarantined implements Guard.
func (noGuard) Quarantined(declarer.VersionRef) bool { return false }
