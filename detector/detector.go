// Package detector decides from counts whether a version exceeds its limits on
// bad events: during a rollout (Evaluate) and after it (Watch).
//
// Both bet against the hypothesis that the rate of bad events is within its
// limit. During a rollout the wealth of the bets is an e-process: by Ville's
// inequality it ever reaches 1/FalseAlarms with a probability of at most
// FalseAlarms, however often it is evaluated, so the guard of a whole rollout
// raises a false alarm with a probability of at most 1%. After the rollout a
// restarting e-detector looks for a change at an unknown time.
//
// The evidence depends only on sums of counts, so the counts of zones and hosts
// can be added in any order.
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
	// maxLateShare is the share of first tokens that may be late: the guard
	// declares the 95th percentile of the time to first token.
	maxLateShare = 0.05
)

type (
	// Counts holds the number of events of one kind and how many of them were
	// bad.
	Counts struct {
		All int64 `cbor:"all"`
		Bad int64 `cbor:"bad"`
	}

	// Stats holds the counts of one version. The zero value has no events.
	Stats struct {
		// Rated counts rated answers; the bad ones did not pass.
		Rated Counts `cbor:"rated"`
		// Served counts requests; the bad ones failed.
		Served Counts `cbor:"served"`
		// FirstTokens counts first tokens; the bad ones came later than the guard
		// allows.
		FirstTokens Counts `cbor:"tokens"`
	}

	// Limits are the highest acceptable rates of bad events, 0 to 1. Zero
	// means that there is no limit.
	Limits struct{ Rated, Served, FirstTokens float64 }

	// Verdict is the evidence against a version.
	Verdict struct {
		// Evidence is the wealth of the bets, which is one without events.
		Evidence float64
		// Alarm is true if Evidence has reached 1/FalseAlarms.
		Alarm bool
		// MinEvents is the smallest number of events counted under any limit.
		MinEvents int64
		// Reason describes the limit with the most evidence against it if Alarm
		// is true.
		Reason string
	}

	// limitCheck is a limit with the counts of its events.
	limitCheck struct {
		name   string
		limit  float64
		counts Counts
	}
)

// Add returns the sum of both counts.
func (c Counts) Add(o Counts) Counts { return Counts{c.All + o.All, c.Bad + o.Bad} }

// Add returns the sum of both statistics.
func (s Stats) Add(o Stats) Stats {
	return Stats{s.Rated.Add(o.Rated), s.Served.Add(o.Served), s.FirstTokens.Add(o.FirstTokens)}
}

// LimitsOf returns the limits that a rollout guard declares.
func LimitsOf(g declarer.Guard) Limits {
	var l Limits
	if g.MinQuality > 0 {
		l.Rated = 1 - g.MinQuality
	}
	l.Served = g.MaxErrors
	if g.FirstToken > 0 {
		l.FirstTokens = maxLateShare
	}
	return l
}

// Evaluate returns the evidence against the version in the counts since the
// start of its rollout. The mean wealth of several bets is itself the wealth of
// a bet, so the false-alarm bound holds for all limits together.
func Evaluate(l Limits, s Stats) Verdict {
	verdict := Verdict{Evidence: 1}
	checks := limitChecks(l, s)
	if len(checks) == 0 {
		return verdict
	}
	verdict.MinEvents = math.MaxInt64
	sum, maxWealth, worst := 0.0, -1.0, limitCheck{}
	for _, check := range checks {
		wealth := math.Exp(logMeanWealth(betsAbove(check.limit).logWealths(check.counts)))
		sum += wealth
		verdict.MinEvents = min(verdict.MinEvents, check.counts.All)
		if wealth > maxWealth {
			maxWealth, worst = wealth, check
		}
	}
	verdict.Evidence = sum / float64(len(checks))
	if verdict.Evidence >= 1/FalseAlarms {
		verdict.Alarm, verdict.Reason = true, worst.String()
	}
	return verdict
}

// String describes the counts and the limit to operators.
func (c limitCheck) String() string {
	return fmt.Sprintf("%s: %d of %d, limit %.3g", c.name, c.counts.Bad, c.counts.All, c.limit)
}

// limitChecks returns the checks of the limits that are set.
func limitChecks(l Limits, s Stats) []limitCheck {
	all := []limitCheck{
		{"answers that did not pass", l.Rated, s.Rated},
		{"failed requests", l.Served, s.Served},
		{"late first tokens", l.FirstTokens, s.FirstTokens},
	}
	checks := all[:0]
	for _, check := range all {
		if check.limit > 0 && check.limit < 1 {
			checks = append(checks, check)
		}
	}
	return checks
}
