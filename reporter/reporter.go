// Package reporter records the counters of a host and reports from the record
// how fast each workspace burns the error budget of its service levels.
//
// # Usage
//
// A host appends its counters to a file:
//
//	rec := &reporter.Recorder{Scope: scope, Host: "entry-1", Path: path}
//	err := rec.Run(ctx)
//
// An operator reports over the files of any number of hosts:
//
//	series := &reporter.Series{}
//	err := series.Read(file)
//	rep := reporter.Make(series, reporter.Defaults(), end)
//	rep.Print(os.Stdout)
//	err = rep.Page(w)
//
// # Terms
//
// An objective has a target, the share of requests that must be good. The error
// budget is the rest. The burn rate of a window is the share of bad requests in
// it divided by the error budget: at 1 the budget of a period lasts exactly the
// period. A burn is fast if the 5 m and the 1 h window both exceed 14.4 (2% of a
// budget of 30 days in an hour), and slow if the 6 h and the 3 d window both
// exceed 1. The short window of each pair ends the alarm soon after its cause.
//
// # Counters
//
// Defaults reads these counters, each under any prefix, with the tags
// workspace, and code or version where there is one:
//
//	router.requests        requests admitted or refused
//	router.refusals        requests refused, by code
//	router.streams         requests with a first token
//	router.slowFirst       of these, the first token came after the bound
//	router.gaps            times between two tokens of a stream
//	router.slowGaps        of these, the time was above the bound
//	router.ratings         rated answers
//	router.failedRatings   of these, those that did not pass
package reporter

import (
	"time"

	"foxtailwall/refuser"
)

const (
	// fastBurn is the burn rate that spends 2% of a budget of 30 days in 1 h.
	fastBurn = 14.4
	// slowBurn is the burn rate that spends the budget before its period ends.
	slowBurn = 1

	defaultPeriod = 30 * 24 * time.Hour

	tagWorkspace = "workspace"
	tagCode      = "code"
	tagVersion   = "version"
)

// States of an objective.
const (
	// OK means that neither pair of windows exceeds its burn rate.
	OK State = "ok"
	// Fast means that the budget is gone within about two days.
	Fast State = "fast burn"
	// Slow means that the budget is gone before its period ends.
	Slow State = "slow burn"
	// Spent means that the budget of the period is gone.
	Spent State = "spent"
)

type (
	// State says how an objective stands.
	State string

	// Objective is a service level.
	Objective struct {
		Name string
		// Target is the share of requests that must be good, 0 to 1.
		Target float64
		// Total and Bad are the names of counters, without prefix.
		Total, Bad string
		// Ignore lists codes that do not count as bad: failures of the caller.
		Ignore []refuser.Code
		// Period is the period of the budget; 0 means 30 days.
		Period time.Duration
	}
)

// windows are the windows of a report, shortest first.
var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Indexes of windows.
const (
	fiveMinutes = iota
	oneHour
	sixHours
	threeDays
)

// Defaults returns the objectives of the first two deployments.
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
