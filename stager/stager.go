// Package stager decides on the rollout that an operator orders for a service:
// it moves the traffic to the upstreams of the target version within a given
// time, and rolls back if the target has clearly more bad answers. Rollouts of
// model versions that the configuration declares are decided on by package
// promoter instead.
//
// The leader of the control group calls Next with the counts of all hosts. The
// first half of the time is a trial: a small share of new sessions runs on the
// target, and sessions do not change their version. Then sessions move to the
// target in growing steps, so that the rollout is completed before its time is
// over. On each host, an Assigner chooses the version of each session.
//
// # Usage
//
//	step, ok := stager.Next(rollout, now, evidence)
//	if ok {
//		// Propose step to the control group.
//	}
//
//	var a stager.Assigner
//	target := a.RunsOnTarget(rollout, session, now) // on a host, for each request
package stager

import (
	"time"

	"foxtailwall/controller"
)

const (
	// trialShare is the largest share of new sessions on the target during the
	// trial, in thousandths. At 100 requests a second, a version that fails half of
	// them is detected within about five seconds.
	trialShare = 20
	// trialAnswers is the number of answers from which more add no evidence: a
	// version that looks good in the trial may still be bad under load. With many
	// requests the share is smaller, so that a trial has about as many.
	trialAnswers = 30
	// fullShare is the share of all traffic, in thousandths.
	fullShare = 1000

	// minBadAnswers is the number of bad answers of the target below which it
	// is not rolled back.
	minBadAnswers = 5
	// The target is rolled back if its rate of bad answers exceeds that of the
	// other versions by more than maxBadRateExcess and is more than
	// maxBadRateRatio times as high.
	maxBadRateExcess = 0.12
	maxBadRateRatio  = 2.0
	// priorBadAnswers and priorAnswers are added to the counts of the other
	// versions. Otherwise a few good answers would give them a rate of zero,
	// and any failure of the target would look bad.
	priorBadAnswers, priorAnswers = 1.0, 20.0
)

// stagesAfterTrial are the shares of the target after the trial. The last third
// of the time remains for requests in flight on the old version.
var stagesAfterTrial = []stage{
	{minElapsed: 0.50, share: 200},
	{minElapsed: 0.58, share: 450},
	{minElapsed: 0.66, share: fullShare},
}

// maxPrepareWait is the longest time to wait for Evidence.Prepared before the
// trial starts.
const maxPrepareWait = 2500 * time.Millisecond

// completeAfterFraction is the fraction of a rollout's duration after which it
// is completed even if requests are still in flight on other versions. If none
// are, it is completed 0.1 earlier.
const completeAfterFraction = 0.88

type (
	// stage gives the target a share, in thousandths, once the fraction
	// minElapsed of the rollout's duration has passed.
	stage struct {
		minElapsed float64
		share      int
	}

	// CountKey identifies the answers of a service's version on a route.
	CountKey struct {
		Service string `cbor:"service"`
		Version string `cbor:"version"`
		Route   string `cbor:"route"`
	}

	// Count counts the answers of a version on a route.
	Count struct {
		All uint64 `cbor:"all"`
		// Bad counts failures and answers whose first byte took several times
		// as long as usual.
		Bad uint64 `cbor:"bad"`
		// Failed counts failures alone, which are included in Bad. Hosts of earlier
		// releases do not report it.
		Failed uint64 `cbor:"failed,omitempty"`
	}

	// Evidence is the state of upstreams and requests on which Next decides.
	Evidence struct {
		// Counts has the answers of all versions of the service. Next ignores
		// those of other services.
		Counts map[CountKey]Count
		// Ready is the number of upstreams of the target that accept requests,
		// and Old that of the other versions, which Next does not use.
		Ready, Old int
		// Running is the number of requests in flight on other versions, or
		// negative if not all hosts have reported.
		Running int
		// PerSecond is the number of answers per second of all versions, 0 if unknown.
		PerSecond float64
		// Prepared says that all hosts have reported their Assigner.Kept.
		Prepared bool
	}
)

// Next returns the next step of a running rollout, and false if nothing changes.
func Next(rollout controller.OrderedRollout, now time.Time, evidence Evidence) (controller.RolloutStep, bool) {
	step := controller.RolloutStep{Service: rollout.Service, Target: rollout.Target, State: rollout.State, Share: rollout.Share, Moving: rollout.Moving}
	if rollout.State != controller.RolloutRunning {
		return step, false
	}
	if targetIsBad(rollout, evidence.Counts) {
		step.State, step.Share, step.Moving = controller.RolloutRolledBack, 0, false
		return step, true
	}
	if evidence.Ready == 0 {
		return step, false
	}
	if rollout.Share == 0 && !evidence.Prepared && now.Sub(rollout.StartedAt) < maxPrepareWait {
		return step, false
	}
	elapsed := float64(now.Sub(rollout.StartedAt)) / float64(max(rollout.Duration, time.Second))
	if step.Share == 0 {
		step.Share = initialShare(rollout, now, evidence.PerSecond)
	}
	for _, s := range stagesAfterTrial {
		if elapsed >= s.minElapsed {
			step.Share, step.Moving = max(step.Share, s.share), true
		}
	}
	if rollout.Share == fullShare && (elapsed >= completeAfterFraction || evidence.Running == 0 && elapsed >= completeAfterFraction-0.1) {
		step.State = controller.RolloutCompleted
	}
	return step, step.Share != rollout.Share || step.Moving != rollout.Moving || step.State != rollout.State
}

// initialShare returns the share with which the trial starts, with which the target
// gives about trialAnswers answers until the first stage after the trial.
func initialShare(rollout controller.OrderedRollout, now time.Time, perSecond float64) int {
	rest := stagesAfterTrial[0].minElapsed*rollout.Duration.Seconds() - now.Sub(rollout.StartedAt).Seconds()
	answers := perSecond * rest
	if answers <= 0 {
		return trialShare
	}
	return max(1, min(trialShare, int(fullShare*trialAnswers/answers)))
}

// targetIsBad reports whether the target has excess bad answers on any route or
// over all routes.
func targetIsBad(r controller.OrderedRollout, counts map[CountKey]Count) bool {
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
		if hasExcessBadAnswers(p.target, p.others) {
			return true
		}
		all.target.add(p.target)
		all.others.add(p.others)
	}
	return hasExcessBadAnswers(all.target, all.others)
}

// Sum returns the answers of the rollout's target and of the other versions of its
// service.
func Sum(r controller.OrderedRollout, counts map[CountKey]Count) (target, others Count) {
	for key, c := range counts {
		switch {
		case key.Service != r.Service:
		case key.Version == r.Target:
			target.add(c)
		default:
			others.add(c)
		}
	}
	return target, others
}

// hasExcessBadAnswers reports whether the target has enough bad answers, and a
// rate of them that exceeds that of the other versions by enough, to roll back.
//
// Failures are also compared by themselves: while upstreams are overloaded, so many
// answers of all versions are late that the rate of bad answers shows no excess.
func hasExcessBadAnswers(target, others Count) bool {
	return hasExcess(target.Bad, target.All, others.Bad, others.All) || hasExcess(target.Failed, target.All, others.Failed, others.All)
}

func hasExcess(bad, all, othersBad, othersAll uint64) bool {
	if bad < minBadAnswers {
		return false
	}
	rate := float64(bad) / float64(max(all, 1))
	usualRate := (float64(othersBad) + priorBadAnswers) / (float64(othersAll) + priorAnswers)
	return rate > usualRate+maxBadRateExcess && rate > maxBadRateRatio*usualRate
}

func (c *Count) add(o Count) {
	c.All += o.All
	c.Bad += o.Bad
	c.Failed += o.Failed
}
