// Package reporter records the counters of a host in a file and computes from
// such files how fast each workspace burns its error budgets.
//
// # Usage
//
// A host appends its counters to a file:
//
//	rec := &reporter.Recorder{Scope: scope, Host: "entry-1", Path: path}
//	err := rec.Run(ctx)
//
// A report covers the files of any number of hosts:
//
//	series := &reporter.Series{}
//	err := series.Read(file)
//	rep := reporter.NewReport(series, reporter.Defaults(), end)
//	rep.Print(os.Stdout)
//	err = rep.Page(w)
//
// # Terms
//
// A service-level objective has a target, the share of requests that must be
// good. The error budget is the rest. The burn rate of a window is the share of
// bad requests in it divided by the error budget: at a rate of 1, the budget of
// a period lasts exactly that period. A burn is fast if the rates of the 5 min
// and the 1 h window both exceed 14.4 (2% of a 30-day budget in an hour), and
// slow if the rates of the 6 h and the 3 d window both exceed 1. The short
// window of each pair ends the alert soon after its cause has ended.
//
// # Counters
//
// The objectives of Defaults use these counters, under any prefix, with the
// tags workspace and, where applicable, code or version:
//
//	router.requests        requests admitted or refused
//	router.refusals        requests refused, by code
//	router.streams         requests with a first token
//	router.slowFirst       of these, first token later than the objective
//	router.gaps            intervals between two tokens of a stream
//	router.slowGaps        of these, longer than the objective
//	router.ratings         rated answers
//	router.failedRatings   of these, failed ratings
package reporter

import (
	"time"

	"foxtailwall/refuser"
)

const (
	// fastBurnRate is the burn rate that spends 2% of a 30-day budget in 1 h.
	fastBurnRate = 14.4
	// slowBurnRate is the burn rate above which the budget is spent before its
	// period ends.
	slowBurnRate = 1

	defaultPeriod = 30 * 24 * time.Hour

	tagWorkspace = "workspace"
	tagCode      = "code"
	tagVersion   = "version"
)

// States of a workspace with regard to an objective.
const (
	// OK means that neither pair of windows exceeds its burn rate and budget is
	// left.
	OK State = "ok"
	// FastBurn means that a full budget would be spent within about two days.
	FastBurn State = "fast burn"
	// SlowBurn means that the budget would be spent before its period ends.
	SlowBurn State = "slow burn"
	// BudgetSpent means that no budget of the period is left.
	BudgetSpent State = "spent"
)

type (
	// State classifies the burn of an objective.
	State string

	// Objective is a service-level objective (SLO).
	Objective struct {
		Name string
		// Target is the share of events that must be good, from 0 to 1.
		Target float64
		// Total and Bad are the names of the counters of all and of bad events,
		// without prefix.
		Total, Bad string
		// Ignore lists the codes of errors caused by the caller, which do not
		// count as bad.
		Ignore []refuser.Code
		// Period is the budget period; 0 means 30 days.
		Period time.Duration
	}
)

// windows are the lengths of the windows of a report, shortest first.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Indexes into windows and Burn.Windows.
const (
	fiveMinutes = iota
	oneHour
	sixHours
	threeDays
)

// Defaults returns the default objectives, those of the first two deployments.
func Defaults() []Objective {
	return []Objective{
		{
			Name: "answered", Target: 0.999, Total: "router.requests", Bad: "router.refusals",
			Ignore: []refuser.Code{
				refuser.BadRequest, refuser.BodyTooLarge, refuser.Unauthorized, refuser.UnknownModel,
				refuser.UnknownService, refuser.ModelNotAllowed, refuser.SessionInvalid, refuser.KeyRequired,
				refuser.KeyInvalid, refuser.KeyExpired, refuser.KeyReused,
			},
		},
		{Name: "first token in time", Target: 0.95, Total: "router.streams", Bad: "router.slowFirst"},
		{Name: "tokens in time", Target: 0.95, Total: "router.gaps", Bad: "router.slowGaps"},
		{Name: "rated quality", Target: 0.80, Total: "router.ratings", Bad: "router.failedRatings"},
	}
}
