// Package stager moves the traffic of a service to a new version that an
// operator has ordered, and takes it back when the version turns out to be
// bad.
//
// The leader of the control group calls Next with what all hosts have counted.
// The first half of the time is a trial: a small share of new sessions runs on
// the target, and sessions keep their version. Then sessions are moved in
// growing steps, until all traffic goes to the target and the rollout is
// completed before its time is over. On each host, an Assigner keeps sessions
// on their version.
//
// # Usage
//
//	step, ok := stager.Next(rollout, now, evidence)
//	if ok {
//		// Propose step to the control group.
//	}
//
//	var a stager.Assigner
//	target := a.Target(rollout, session, now) // on a host, for each request
package stager

import (
	"time"

	"foxtailwall/controller"
)

const (
	// trialShare is the share of new sessions that the target gets in the
	// trial, in thousandths. At 100 requests a second, a version that fails
	// half of them shows within about five seconds.
	trialShare = 20
	// allShare is the whole traffic, in thousandths.
	allShare = 1000

	// badLeast is the number of bad answers on a route before a version is
	// judged.
	badLeast = 5
	// badExcess is how far the share of bad answers of the target may be above
	// that of the other versions on the same route, and badRatio by which
	// factor.
	badExcess = 0.12
	badRatio  = 2.0
	// priorBad and priorAll stand beside the counts of the other versions, so
	// that a few answers without a failure do not make every failure of the
	// target look bad.
	priorBad, priorAll = 1.0, 20.0
)

// stages are the steps after the trial, by the part of the time that has
// passed. The last quarter of the time is left for answers that are under way
// on the old version.
var stages = []stage{
	{after: 0.50, share: 200},
	{after: 0.58, share: 450},
	{after: 0.66, share: allShare},
}

// prepareTime bounds the wait for hosts that have not told their sessions.
const prepareTime = 2500 * time.Millisecond

// completeAfter is the part of the time after which a rollout is completed even
// if answers are still under way on the old version.
const completeAfter = 0.88

type (
	stage struct {
		after float64
		share int
	}

	// Line names what answers are counted by.
	Line struct {
		Service string `cbor:"service"`
		Version string `cbor:"version"`
		Route   string `cbor:"route"`
	}

	// Count counts the answers of a version on a route.
	Count struct {
		All uint64 `cbor:"all"`
		// Bad answers are failures or came several times later than usual.
		Bad uint64 `cbor:"bad"`
	}

	// Evidence is what is known about a rollout.
	Evidence struct {
		// Counts has the answers of all versions of the service.
		Counts map[Line]Count
		// Ready is the number of upstreams of the target that take requests,
		// and Old that of all other versions.
		Ready, Old int
		// Running is the number of requests under way on other versions, or
		// below 0 if not all hosts have told.
		Running int
		// Prepared says that all hosts know which sessions keep their version.
		Prepared bool
	}
)

// Next returns the next step of a running rollout, and false if it stays as it
// is.
func Next(r controller.OrderedRollout, now time.Time, e Evidence) (controller.RolloutStep, bool) {
	step := controller.RolloutStep{Service: r.Service, Target: r.Target, State: r.State, Share: r.Share, Moving: r.Moving}
	if r.State != controller.RolloutRunning {
		return step, false
	}
	if bad(r, e.Counts) {
		step.State, step.Share, step.Moving = controller.RolloutRolledBack, 0, false
		return step, true
	}
	if e.Ready == 0 {
		return step, false
	}
	if r.Share == 0 && !e.Prepared && now.Sub(r.StartedAt) < prepareTime {
		return step, false
	}
	passed := float64(now.Sub(r.StartedAt)) / float64(max(r.Duration, time.Second))
	step.Share = max(step.Share, trialShare)
	for _, s := range stages {
		if passed >= s.after {
			step.Share, step.Moving = max(step.Share, s.share), true
		}
	}
	if r.Share == allShare && (passed >= completeAfter || e.Running == 0 && passed >= completeAfter-0.1) {
		step.State = controller.RolloutCompleted
	}
	return step, step.Share != r.Share || step.Moving != r.Moving || step.State != r.State
}

// bad reports whether the target answers worse than the other versions on any
// route.
func bad(r controller.OrderedRollout, counts map[Line]Count) bool {
	type pair struct{ target, others Count }
	routes := make(map[string]*pair)
	for l, c := range counts {
		if l.Service != r.Service {
			continue
		}
		p := routes[l.Route]
		if p == nil {
			p = &pair{}
			routes[l.Route] = p
		}
		if l.Version == r.Target {
			p.target.add(c)
		} else {
			p.others.add(c)
		}
	}
	var all pair
	for _, p := range routes {
		if worse(p.target, p.others) {
			return true
		}
		all.target.add(p.target)
		all.others.add(p.others)
	}
	return worse(all.target, all.others)
}

func worse(target, others Count) bool {
	if target.Bad < badLeast {
		return false
	}
	rate := float64(target.Bad) / float64(max(target.All, 1))
	usual := (float64(others.Bad) + priorBad) / (float64(others.All) + priorAll)
	return rate > usual+badExcess && rate > badRatio*usual
}

func (c *Count) add(o Count) {
	c.All += o.All
	c.Bad += o.Bad
}
