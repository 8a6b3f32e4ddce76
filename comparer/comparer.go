// Package comparer runs policies side by side, on the same seed and arrivals,
// against a model of a deployment in virtual time: nothing waits. The engines
// are those of package emulator (emulator.Batch, emulator.Cache), so that the
// time model is the one stated there.
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
// A policy consists of a Chooser (which model, or which cascade) and a Picker
// (which replica). Each simulated entry host has its own instances, which learn
// only from what that host sees: its own requests, ratings that come late and
// in part, and load reports and cache events that are old. A policy of the
// router is adapted by a type that implements the two interfaces over it; Setup
// has the configuration, the catalog and the virtual clock that it needs.
//
// # What is modelled
//
// Requests come from loader.Plan, so arrivals, prompts, prefixes and sessions
// are those of the load; calls of plain services are left out. A cascade step
// that is not the last one ends with a rating, after Scenario.RatingDelay; the
// answer is taken if it passes; if the rating is missing, the policy decides.
// Network times are added for other zones. Scenario.Faulty adds a version that turns bad or a
// rating service that is down for a third of the run; failures of engines are
// not modelled.
package comparer

import (
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

type (
	// Setup is what a policy is made from, once for each entry host.
	Setup struct {
		Config  declarer.Config
		Catalog *declarer.Catalog
		// Clock shows virtual time. Timers on it fire.
		Clock timekeeper.Clock
		Seed  uint64
		// Host is the index of the entry host, Zone its availability zone.
		Host int
		Zone string
		// Hosts is the number of entry hosts.
		Hosts int
	}

	// Query is one request that a policy decides on.
	Query struct {
		ID        int
		Workspace *declarer.Workspace
		Kind      declarer.Kind
		Session   string
		// Prompt and Output are in tokens; Output is the bound that the caller
		// set.
		Prompt, Output int
		// Prefix holds the hashes of the prompt's blocks; see
		// emulator.PrefixHashes.
		Prefix []uint64
		// Allowed lists the versions that the workspace may use, sorted by the
		// expected cost of this request, cheapest first.
		Allowed []Candidate
	}

	// Candidate is a version that may answer a query.
	Candidate struct {
		Ref declarer.VersionRef
		// Cost is the cost of the request with an answer of full length, in
		// nanos of the currency.
		Cost int64
		// Quality is the declared quality.
		Quality float64
		// Quarantined says that the policy's guard took the version out of
		// use.
		Quarantined bool
	}

	// Chooser chooses models.
	Chooser interface {
		// Choose returns the versions to try in order; an answer but the last
		// is taken if it is rated as passed. Streams use only the first.
		Choose(q *Query) []declarer.VersionRef
		// Rated tells the rating of an answer of this host.
		Rated(q *Query, ref declarer.VersionRef, pass bool)
		// Took tells how long a step took; step is its position in the plan.
		Took(q *Query, ref declarer.VersionRef, step int, d time.Duration)
		// Waited tells whether the rating that a step of a cascade waited for
		// came in time. If not, it reports whether the answer is taken
		// without one.
		Waited(q *Query, ref declarer.VersionRef, inTime bool) bool
	}

	// Picker picks replicas.
	Picker interface {
		// Pick returns one of the replicas, which is not empty.
		Pick(q *Query, ref declarer.VersionRef, replicas []*declarer.Upstream) *declarer.Upstream
		// Sent and Done tell that a request of this host went to a replica and
		// that its answer is complete.
		Sent(q *Query, u *declarer.Upstream)
		Done(q *Query, u *declarer.Upstream)
		// Report tells an old load of a replica.
		Report(u *declarer.Upstream, l Load)
		// Events tells late cache events of a replica.
		Events(u *declarer.Upstream, events []emulator.CacheEvent)
	}

	// Load is the load of a replica as it reports it.
	Load struct {
		At                      time.Time
		Running, Waiting, Slots int
		// TokensPerSecond is the rate of answer tokens since the report before.
		TokensPerSecond float64
	}

	// Policy names how a Chooser and a Picker are made.
	Policy struct {
		Name       string
		NewChooser func(Setup) Chooser
		NewPicker  func(Setup) Picker
		// NewGuard makes the guard that all hosts share; nil means none.
		NewGuard func(Setup) Guard
	}

	// Options are the settings of a comparison. Zero fields take those of the
	// scenario.
	Options struct {
		Seed uint64
		// Repeats is the number of seeds, from Seed on, over which the results
		// are pooled; 0 means 1.
		Repeats  int
		Rate     float64
		Duration time.Duration
	}
)
