// Package comparer runs policies side by side, on the same seed and arrivals,
// in a simulation of a deployment with virtual time. The engines are those of
// package emulator (emulator.Batch, emulator.Cache), which documents their time
// model.
//
// # Usage
//
//	s := comparer.Cooperative()
//	results := comparer.Run(s, comparer.Baselines(), comparer.Options{Seed: 1, Repeats: 3})
//	err := comparer.Print(os.Stdout, results)
//	err = comparer.PlotLatency(results, "latency.svg")
//
// # Policies
//
// A policy consists of a Chooser (which model or cascade) and a Picker (which
// replica). Each simulated entry host has its own instances, which learn only
// from what that host can observe: its own requests, late and incomplete
// ratings, and delayed load reports and cache events. To compare a policy of
// the router, adapt it to the two interfaces; Setup provides the configuration,
// the catalog and the virtual clock.
//
// # Scope of the simulation
//
// Requests come from loader.Plan, so arrivals, prompts, prefixes and sessions
// match those of a load run; calls of plain services are left out. Each cascade
// step but the last waits Scenario.RatingDelay for a rating. The answer is
// accepted if it passes; if the rating is missing, the policy decides. Requests
// to other zones take Scenario.CrossZone longer. Scenario.WithFault adds a version
// that turns bad, or a rating service outage, for a third of the run. Engine
// failures are not simulated.
package comparer

import (
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

type (
	// Setup holds what a policy is created from. Choosers and pickers get one for
	// each entry host, a guard one for all hosts.
	Setup struct {
		Config  declarer.Config
		Catalog *declarer.Catalog
		// Clock shows virtual time and fires its timers in virtual time.
		Clock timekeeper.Clock
		Seed  uint64
		// Host is the index of the entry host, Zone its availability zone.
		Host int
		Zone string
		// Hosts is the number of entry hosts.
		Hosts int
	}

	// Query is a request for which a policy chooses versions and replicas.
	Query struct {
		ID        int
		Workspace *declarer.Workspace
		Kind      declarer.Kind
		Session   string
		// Prompt is the prompt length and Output the limit of the answer length,
		// both in tokens.
		Prompt, Output int
		// Prefix holds the hashes of the prompt's blocks; see
		// emulator.PrefixHashes.
		Prefix []uint64
		// Allowed lists the versions that the workspace may use, sorted by the
		// expected cost of this request, cheapest first.
		Allowed []Candidate
	}

	// Candidate is a version that the workspace of a query may use.
	Candidate struct {
		Ref declarer.VersionRef
		// Cost is the cost of the request with an answer of maximum length, in
		// billionths of a currency unit.
		Cost int64
		// Quality is the quality declared in the configuration.
		Quality float64
		// Quarantined means that the guard of the policy took the version out of
		// use.
		Quarantined bool
	}

	// Chooser decides which versions answer a request.
	Chooser interface {
		// Choose returns the versions to try in order, at least one. An answer
		// other than the last is accepted if its rating is a pass. Streams use
		// only the first version.
		Choose(q *Query) []declarer.VersionRef
		// AddRating passes the rating of an answer to a request of this host.
		AddRating(q *Query, ref declarer.VersionRef, pass bool)
		// AddDuration passes the duration of a step; step is its index in the
		// list that Choose returned.
		AddDuration(q *Query, ref declarer.VersionRef, step int, d time.Duration)
		// WaitEnded is called when a cascade step stops waiting for its rating;
		// inTime reports whether the rating arrived. If not, the result decides
		// whether the answer is accepted without a rating. Otherwise the result
		// must be true for a passing answer to be accepted.
		WaitEnded(q *Query, ref declarer.VersionRef, inTime bool) bool
	}

	// Picker decides which replica of a version gets a request.
	Picker interface {
		// Pick returns one of the replicas. The list is never empty.
		Pick(q *Query, ref declarer.VersionRef, replicas []*declarer.Upstream) *declarer.Upstream
		// RequestSent is called when this host sends a request to a replica,
		// RequestDone when the answer is complete or the replica refused it.
		RequestSent(q *Query, u *declarer.Upstream)
		RequestDone(q *Query, u *declarer.Upstream)
		// AddLoadReport passes the load of a replica as it was
		// Scenario.ReportLag ago.
		AddLoadReport(u *declarer.Upstream, l Load)
		// AddCacheEvents passes cache events of a replica with the same delay.
		// Some events are lost.
		AddCacheEvents(u *declarer.Upstream, events []emulator.CacheEvent)
	}

	// Load is a load report of a replica.
	Load struct {
		At                      time.Time
		Running, Waiting, Slots int
		// TokensPerSecond is the rate of output tokens since the previous
		// measurement.
		TokensPerSecond float64
	}

	// Policy names a policy and creates its parts.
	Policy struct {
		Name       string
		NewChooser func(Setup) Chooser
		NewPicker  func(Setup) Picker
		// NewGuard creates the guard that all hosts share; nil means none.
		NewGuard func(Setup) Guard
	}

	// Options are the settings of a comparison. Rate (requests per second) and
	// Duration default to those of the scenario.
	Options struct {
		Seed uint64
		// Repeats is the number of consecutive seeds, starting at Seed, whose
		// results are pooled; 0 means 1.
		Repeats  int
		Rate     float64
		Duration time.Duration
	}
)
