// Package promoter decides on the rollout of a model version that the
// configuration declares with stages, request budgets and a guard: when it
// advances to the next stage, pauses, is halted or is done. Rollouts that an
// operator orders for a service are decided on by package stager instead.
//
// Next is a pure function of the declaration, the progress in the log, the
// event counts and the time, so that a new leader of the control group can
// continue from the progress alone.
//
// A rollout advances to the next stage once the soak time has passed, no limit
// of the guard is proven to be exceeded, and the guard has counted enough
// events. A budget limits the requests of the stage in advance: the hosts divide
// it among themselves (Exposure), and once it is spent the stage assigns no more
// sessions until the guard has decided.
//
// # Usage
//
// On the leader, about once a second and at the time Transition.Check:
//
//	t := promoter.Next(rollout, progress, stats, clock.Now())
//	if t.Changed {
//		propose(t.Progress)
//	}
//
// On each host, before a new session is assigned to the version:
//
//	if !exposure.Take(rollout, progress, hosts, index) { /* use the stable version */ }
package promoter

import (
	"fmt"
	"math"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/detector"
)

// Actions of a transition.
const (
	// Stay keeps the stage. The share may change: it is zero while the budget
	// is spent.
	Stay Action = "stay"
	// Advance begins the next stage.
	Advance Action = "advance"
	// Halt ends the rollout and rolls it back.
	Halt Action = "halt"
	// Done ends the rollout and makes its version stable.
	Done Action = "done"
)

const (
	// minEventsPerStage is the number of events that must be counted for each
	// limit of the guard in each stage before the rollout advances.
	minEventsPerStage = 30
	// minEventsBudgetShare lowers minEventsPerStage to this share of a small
	// budget, since the rating service rates only a part of the requests.
	minEventsBudgetShare = 0.1
	// Unlimited is the budget of a stage without a limit on requests.
	Unlimited = math.MaxInt64
	// defaultBudget is the budget, in requests, of a stage that declares none
	// and does not get all sessions.
	defaultBudget = 1000
)

// defaultStages are the stages of a rollout that declares none.
var defaultStages = []declarer.Stage{
	{Share: 0.01, Soak: 10 * time.Minute, Budget: 500},
	{Share: 0.05, Soak: 10 * time.Minute, Budget: 2000},
	{Share: 0.25, Soak: 20 * time.Minute, Budget: 10_000},
	{Share: 1, Soak: 20 * time.Minute},
}

type (
	// Action is what a Transition does to the rollout.
	Action string

	// Transition is a decision of Next.
	Transition struct {
		Action Action
		// Progress is the progress after the transition.
		Progress declarer.Progress
		// Changed says that Progress differs from that before the transition.
		Changed bool
		// Reason explains the decision to operators.
		Reason string
		// Check is the time at which the decision may change even without new
		// events. The zero time means never.
		Check time.Time
	}
)

// Start returns the progress of a rollout whose first stage starts now.
func Start(r declarer.Rollout, now time.Time) declarer.Progress {
	return declarer.Progress{
		Model: r.Model, Version: r.Version, Share: Stages(r)[0].Share,
		State: declarer.RolloutRunning, Since: now,
	}
}

// Stages returns the declared stages of the rollout, or the default ones.
func Stages(r declarer.Rollout) []declarer.Stage {
	if len(r.Stages) == 0 {
		return defaultStages
	}
	return r.Stages
}

// Budget returns the number of requests that may be assigned to the version in
// the stage, or Unlimited.
func Budget(s declarer.Stage) int64 {
	switch {
	case s.Budget > 0:
		return int64(s.Budget)
	case s.Share >= 1:
		return Unlimited
	}
	return defaultBudget
}

// Next decides on the rollout. The stats are the counts since its start. If
// progress is empty or of another version, the rollout starts.
func Next(rollout declarer.Rollout, progress declarer.Progress, stats detector.Stats, now time.Time) Transition {
	if progress.Model != rollout.Model || progress.Version != rollout.Version || progress.State == "" {
		return Transition{Action: Advance, Progress: Start(rollout, now), Changed: true, Reason: "the rollout starts"}
	}
	if progress.State != declarer.RolloutRunning {
		return Transition{Action: Stay, Progress: progress, Reason: progress.Reason}
	}
	limits := detector.LimitsOf(rollout.Guard)
	verdict := detector.Evaluate(limits, stats)
	if verdict.Alarm {
		return haltRollout(progress, verdict.Reason)
	}
	stages := Stages(rollout)
	stage := min(progress.Stage, len(stages)-1)
	soakEnd := progress.Since.Add(stages[stage].Soak)
	required := requiredEvents(stages[:stage+1])
	switch {
	case now.Before(soakEnd):
		return stayInStage(stages[stage], progress, "the soak time has not passed", soakEnd)
	case limits != (detector.Limits{}) && verdict.MinEvents < required:
		return stayInStage(stages[stage], progress, fmt.Sprintf("the guard has counted %d of %d required events", verdict.MinEvents, required), time.Time{})
	case stage == len(stages)-1:
		progress.State, progress.Share, progress.Reason = declarer.RolloutDone, 1, ""
		return Transition{Action: Done, Progress: progress, Changed: true, Reason: "the last stage has passed"}
	}
	progress.Stage, progress.Share, progress.Since, progress.Spent = stage+1, stages[stage+1].Share, now, 0
	return Transition{
		Action: Advance, Progress: progress, Changed: true,
		Reason: fmt.Sprintf("stage %d has passed", stage+1), Check: now.Add(stages[stage+1].Soak),
	}
}

func haltRollout(p declarer.Progress, reason string) Transition {
	p.State, p.Share, p.Reason = declarer.RolloutHalted, 0, reason
	return Transition{Action: Halt, Progress: p, Changed: true, Reason: reason}
}

// stayInStage returns a Transition that stays in the stage. The share is zero if
// the budget is spent.
func stayInStage(s declarer.Stage, p declarer.Progress, reason string, check time.Time) Transition {
	share := s.Share
	if p.Spent >= Budget(s) {
		share = 0
		reason += "; the stage's budget is spent"
	}
	t := Transition{Action: Stay, Changed: p.Share != share, Reason: reason, Check: check}
	p.Share = share
	t.Progress = p
	return t
}

// requiredEvents returns the number of events that the guard must have counted
// since the start of the rollout to pass the last of the given stages.
func requiredEvents(stages []declarer.Stage) int64 {
	total := 0.0
	for _, s := range stages {
		total += min(minEventsPerStage, math.Ceil(minEventsBudgetShare*float64(Budget(s))))
	}
	return int64(total)
}
