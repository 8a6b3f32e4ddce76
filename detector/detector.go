// Package detector decides from counts whether a version is worse than it may
// be: during a rollout (Evaluate) and after it (Watch).
//
// Both bet against the hypothesis that the rate of bad events is within its
// limit. During a rollout the wealth of the bets is an e-process: by Ville's
// inequality it ever exceeds 1/FalseAlarms with a probability of at most
// FalseAlarms, however often it is looked at, so the guard of a whole rollout
// raises a false alarm with a probability of at most 1%. After the rollout a
// restarting e-detector looks for a change at an unknown time.
//
// The evidence depends only on sums of counts. Those of zones and hosts are
// added up in any order.
//
// # Usage
//
//	limits := detector.LimitsOf(rollout.Guard)
//	total := zoneA.Add(zoneB)
//	if v := detector.Evaluate(limits, total); v.Alarm {
//		halt(v.Reason)
//	}
//
//	w := detector.NewWatch(limits, detector.Settings{Clock: clock})
//	switch w.Add(batch) { // once a second
//	case detector.Quarantined: // no requests
//	case detector.Probation: // a small share of requests
//	case detector.Healthy:
//	}
package detector

import (
	"fmt"
	"math"

	"foxtailwall/declarer"
)

const (
	// FalseAlarms bounds the probability that the guard of a rollout ever
	// raises an alarm on a version that is within its limits.
	FalseAlarms = 0.01
	// lateShare is the share of first tokens that may be late: the guard
	// names the time for 95 in 100.
	lateShare = 0.05
)

type (
	// Counts are events of one kind and how many of them were bad.
	Counts struct {
		All int64 `cbor:"all"`
		Bad int64 `cbor:"bad"`
	}

	// Stats are the counts for one version. The zero value has no events.
	Stats struct {
		// Rated counts rated answers; bad ones did not pass.
		Rated Counts `cbor:"rated"`
		// Served counts requests; bad ones failed.
		Served Counts `cbor:"served"`
		// Tokens counts first tokens; bad ones came later than the guard
		// allows.
		Tokens Counts `cbor:"tokens"`
	}

	// Limits are the highest acceptable rates of bad events, 0 to 1. Zero
	// means that there is no limit.
	Limits struct{ Rated, Served, Tokens float64 }

	// Verdict is the evidence against a version.
	Verdict struct {
		// Evidence is the wealth of the bets; one to begin with.
		Evidence float64
		// Alarm says that the evidence suffices to act.
		Alarm bool
		// Least is the lowest number of events seen under any limit.
		Least int64
		// Reason names the limit with the most evidence against it, if there
		// is an alarm.
		Reason string
	}

	// measure is one limit with its counts.
	measure struct {
		name   string
		limit  float64
		counts Counts
	}
)

// Add returns the sum of both counts.
func (c Counts) Add(o Counts) Counts { return Counts{c.All + o.All, c.Bad + o.Bad} }

// Add returns the sum of both statistics.
func (s Stats) Add(o Stats) Stats {
	return Stats{s.Rated.Add(o.Rated), s.Served.Add(o.Served), s.Tokens.Add(o.Tokens)}
}

// LimitsOf returns the limits that a guard sets.
func LimitsOf(g declarer.Guard) Limits {
	var l Limits
	if g.MinQuality > 0 {
		l.Rated = 1 - g.MinQuality
	}
	l.Served = g.MaxErrors
	if g.FirstToken > 0 {
		l.Tokens = lateShare
	}
	return l
}

// Evaluate returns the evidence that the counts since the start of a rollout
// give against the version. The mean of the wealths of several bets is itself
// the wealth of a bet, so the bound holds for all limits together.
func Evaluate(l Limits, s Stats) Verdict {
	v := Verdict{Evidence: 1}
	ms := measures(l, s)
	if len(ms) == 0 {
		return v
	}
	v.Least = math.MaxInt64
	sum, most, worst := 0.0, -1.0, measure{}
	for _, m := range ms {
		e := math.Exp(logMean(above(m.limit).logWealth(m.counts)))
		sum += e
		v.Least = min(v.Least, m.counts.All)
		if e > most {
			most, worst = e, m
		}
	}
	v.Evidence = sum / float64(len(ms))
	if v.Evidence >= 1/FalseAlarms {
		v.Alarm, v.Reason = true, worst.String()
	}
	return v
}

// String describes the counts and the limit for operators.
func (m measure) String() string {
	return fmt.Sprintf("%s: %d of %d, limit %.3g", m.name, m.counts.Bad, m.counts.All, m.limit)
}

// measures returns the counts that have a limit.
func measures(l Limits, s Stats) []measure {
	all := []measure{
		{"answers that did not pass", l.Rated, s.Rated},
		{"failed requests", l.Served, s.Served},
		{"late first tokens", l.Tokens, s.Tokens},
	}
	out := all[:0]
	for _, m := range all {
		if m.limit > 0 && m.limit < 1 {
			out = append(out, m)
		}
	}
	return out
}
