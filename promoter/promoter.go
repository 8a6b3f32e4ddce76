// Package promoter decides how a rollout goes on: when it advances to the next
// stage, when it stops assigning sessions, when it is halted and when it is
// done.
//
// Next is a function of the declaration, the progress in the log, the counts
// so far and the time. It keeps nothing, so a new leader of the control group
// goes on from the progress alone.
//
// A stage advances once its soak time has passed, no limit of the guard is
// proven to be exceeded, and the guard has seen enough events to judge by. The
// exposure budget bounds the requests of the stage in advance: hosts divide it
// among themselves (Exposure), and once it is spent the stage assigns no more
// sessions until the guard has decided.
//
// # Usage
//
// On the leader, about once a second and at Transition.Check:
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
	// Done makes the version the stable one.
	Done Action = "done"
)

const (
	// minEvidence is the number of events that each limit must have seen for
	// a stage to advance.
	minEvidence = 30
	// evidenceShare lowers minEvidence for small budgets, since the rating
	// service rates only a part of the requests.
	evidenceShare = 0.1
	// Unlimited is the budget of a stage without a bound.
	Unlimited = math.MaxInt64
	// defaultBudget is the budget of a stage that names none and that does
	// not get all sessions.
	defaultBudget = 1000
)

// defaultStages are used by a rollout that declares none.
var defaultStages = []declarer.Stage{
	{Share: 0.01, Soak: 10 * time.Minute, Budget: 500},
	{Share: 0.05, Soak: 10 * time.Minute, Budget: 2000},
	{Share: 0.25, Soak: 20 * time.Minute, Budget: 10_000},
	{Share: 1, Soak: 20 * time.Minute},
}

type (
	// Action says what a transition does.
	Action string

	// Transition is the decision on a rollout.
	Transition struct {
		Action Action
		// Progress holds after the transition.
		Progress declarer.Progress
		// Changed says that Progress differs from the one given.
		Changed bool
		// Reason says why, for operators.
		Reason string
		// Check is when the passing of time alone may change the decision;
		// the zero time means never.
		Check time.Time
	}
)

// Start returns the progress of a rollout that begins now.
func Start(r declarer.Rollout, now time.Time) declarer.Progress {
	return declarer.Progress{
		Model: r.Model, Version: r.Version, Share: Stages(r)[0].Share,
		State: declarer.RolloutRunning, Since: now,
	}
}

// Stages returns the stages of the rollout, with the defaults filled in.
func Stages(r declarer.Rollout) []declarer.Stage {
	if len(r.Stages) == 0 {
		return defaultStages
	}
	return r.Stages
}

// Budget returns the number of requests that may reach the version in the
// stage, or Unlimited.
func Budget(s declarer.Stage) int64 {
	switch {
	case s.Budget > 0:
		return int64(s.Budget)
	case s.Share >= 1:
		return Unlimited
	}
	return defaultBudget
}

// Next returns what follows for the rollout. The stats count since the start
// of the rollout. Progress of another version, or none, starts the rollout.
func Next(r declarer.Rollout, p declarer.Progress, s detector.Stats, now time.Time) Transition {
	if p.Model != r.Model || p.Version != r.Version || p.State == "" {
		return Transition{Action: Advance, Progress: Start(r, now), Changed: true, Reason: "the rollout begins"}
	}
	if p.State != declarer.RolloutRunning {
		return Transition{Action: Stay, Progress: p, Reason: p.Reason}
	}
	limits := detector.LimitsOf(r.Guard)
	verdict := detector.Evaluate(limits, s)
	if verdict.Alarm {
		return halt(p, verdict.Reason)
	}
	stages := Stages(r)
	stage := min(p.Stage, len(stages)-1)
	soaked := p.Since.Add(stages[stage].Soak)
	wanted := evidence(stages[:stage+1])
	switch {
	case now.Before(soaked):
		return stay(stages[stage], p, "the stage soaks", soaked)
	case limits != (detector.Limits{}) && verdict.Least < wanted:
		return stay(stages[stage], p, fmt.Sprintf("the guard has %d of %d events", verdict.Least, wanted), time.Time{})
	case stage == len(stages)-1:
		p.State, p.Share, p.Reason = declarer.RolloutDone, 1, ""
		return Transition{Action: Done, Progress: p, Changed: true, Reason: "all stages have passed"}
	}
	p.Stage, p.Share, p.Since, p.Spent = stage+1, stages[stage+1].Share, now, 0
	return Transition{
		Action: Advance, Progress: p, Changed: true,
		Reason: fmt.Sprintf("stage %d has passed", stage+1), Check: now.Add(stages[stage+1].Soak),
	}
}

func halt(p declarer.Progress, reason string) Transition {
	p.State, p.Share, p.Reason = declarer.RolloutHalted, 0, reason
	return Transition{Action: Halt, Progress: p, Changed: true, Reason: reason}
}

// stay keeps the stage and assigns no sessions while its budget is spent.
func stay(s declarer.Stage, p declarer.Progress, reason string, check time.Time) Transition {
	share := s.Share
	if p.Spent >= Budget(s) {
		share = 0
		reason += "; its budget is spent"
	}
	t := Transition{Action: Stay, Changed: p.Share != share, Reason: reason, Check: check}
	p.Share = share
	t.Progress = p
	return t
}

// evidence returns the number of events that the guard must have seen since
// the start of the rollout to pass the last of the stages.
func evidence(stages []declarer.Stage) int64 {
	total := 0.0
	for _, s := range stages {
		total += min(minEvidence, math.Ceil(evidenceShare*float64(Budget(s))))
	}
	return int64(total)
}
