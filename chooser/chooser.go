// Package chooser decides which model versions answer a request: a single one,
// or a cascade that asks a cheap model first and a strong one if the cheap
// answer does not pass its rating. Package picker then selects the replica.
//
// A plan meets the quality target if the lower 90% confidence bound of its
// quality does. Of the plans that meet it and fit the deadline, the chooser
// takes the one of lowest expected cost, or of lowest expected latency if the
// workspace weighs latency. If none meets it, the same order applies to plans
// whose upper bound does, and otherwise the plan of highest quality is taken;
// both cases are counted. A declared share of the requests explores by Thompson
// sampling.
//
// Pass rates, token counts and latencies are learned from past requests; see
// Learner. The policies AlwaysBest, AlwaysCheapest and RoundRobin implement the
// same interface for comparison.
//
// # Usage
//
//	learner := chooser.NewLearner(chooser.Settings{Clock: clock, Seed: seed})
//	policy := chooser.New(learner)
//
//	allowed := chooser.Allowed(catalog, workspace.Name, model, leased, sessionKey)
//	plan, ok := policy.Plan(chooser.Request{
//		Workspace: workspace, Kind: kind, TimeLeft: timeLeft, PromptTokens: n, Candidates: allowed,
//	})
//
//	// After each step:
//	learner.RecordStep(stepID, chooser.Run{Workspace: workspace.Name, Kind: kind, Ref: ref, Step: 0, ...})
//	// In a cascade, report whether the rating arrived in time, and decide if not:
//	learner.RecordRatingWait(kind, rated)
//	if !rated && !learner.AcceptsUnrated(workspace, kind, candidate) { /* escalate */ }
//	// When a rating arrives, however late:
//	learner.Rate(stepID, pass)
package chooser

import (
	"math"
	"time"

	"foxtailwall/declarer"
)

// normalQuantile90 is the 90% quantile of the standard normal distribution.
const normalQuantile90 = 1.2815515655446004

type (
	// Request describes a request to plan.
	Request struct {
		Workspace *declarer.Workspace
		Kind      declarer.Kind
		// Stream is true if the response is streamed and so cannot be replaced
		// after its first token.
		Stream bool
		// TimeLeft is the time until the deadline. Zero means no deadline.
		TimeLeft time.Duration
		// PromptTokens is the estimated length of the prompt. Zero means the
		// mean of the kind.
		PromptTokens int
		// Candidates are those returned by Allowed. Unassigned ones are
		// ignored.
		Candidates Candidates
	}

	// Plan lists the versions that answer a request.
	Plan struct {
		// Steps holds one version, or two for a cascade, the cheap one first.
		Steps []Candidate
		// CostNanos is the expected cost in billionths of the currency unit.
		CostNanos float64
		// Latency is the expected latency.
		Latency time.Duration
		// Quality is the expected quality, 0 to 1, and QualityLower its lower
		// 90% bound.
		Quality, QualityLower float64
		// MeetsTarget is true if QualityLower meets the workspace's target.
		MeetsTarget bool
		// Explores is true if the plan was taken to learn pass rates.
		Explores bool
	}

	// Policy selects a plan. It returns false if there is no candidate.
	Policy interface {
		Plan(r Request) (Plan, bool)
	}

	// Chooser is the Policy that meets the quality target at the lowest cost or
	// latency.
	Chooser struct{ learner *Learner }

	// planOption is a plan under comparison. It refers to the estimates by
	// index, so that comparing many plans does not allocate memory.
	planOption struct {
		// second is -1 without a second step.
		first, second int
		// cost is in nanos, latency in seconds.
		cost, latency  float64
		quality, lower float64
		// upper is the upper 90% bound of the quality.
		upper        float64
		fitsDeadline bool
	}
)

// New returns a Chooser that uses the rates of the learner.
func New(l *Learner) *Chooser { return &Chooser{learner: l} }

// Plan implements Policy.
func (c *Chooser) Plan(r Request) (Plan, bool) {
	l := c.learner
	l.mu.Lock()
	defer l.mu.Unlock()
	explores := l.shouldExplore(r.Workspace, r.Candidates.countAssigned())
	estimates := l.estimates(r, explores)
	if len(estimates) == 0 {
		return Plan{}, false
	}
	target := r.Workspace.Quality[r.Kind]
	best := bestOption(estimates, r, target, l.inTimeShare(r.Kind))
	meetsTarget := best.lower >= target
	if !meetsTarget && !explores {
		l.settings.Scope.Counter("chooser.belowTarget", "workspace", r.Workspace.Name, "kind", string(r.Kind)).Inc(1)
	}
	p := Plan{
		Steps: []Candidate{estimates[best.first].candidate}, CostNanos: best.cost,
		Latency: time.Duration(best.latency * float64(time.Second)),
		Quality: best.quality, QualityLower: best.lower, MeetsTarget: meetsTarget, Explores: explores,
	}
	if best.second >= 0 {
		p.Steps = append(p.Steps, estimates[best.second].candidate)
	}
	return p, true
}

// bestOption returns the best of all plans over the estimates. inTime is the
// probability that a rating arrives while a cascade waits for it.
func bestOption(estimates []estimate, r Request, target, inTime float64) planOption {
	best := singleOption(estimates, 0, r)
	for i := range estimates {
		best = betterOption(best, singleOption(estimates, i, r), r.Workspace.Weigh, target)
		byCost := r.Workspace.Weigh != declarer.WeighLatency
		if r.Stream || byCost && best.fitsDeadline && best.lower >= target && estimates[i].cost >= best.cost {
			continue // no cascade that starts with i is cheaper than best
		}
		for j := range estimates {
			if estimates[i].cost >= estimates[j].cost || estimates[i].candidate.Ref.Model == estimates[j].candidate.Ref.Model {
				continue
			}
			if option := cascadeOption(estimates, i, j, r, inTime, target); option.fitsDeadline {
				best = betterOption(best, option, r.Workspace.Weigh, target)
			}
		}
	}
	return best
}

// betterOption returns the better plan: plans that fit the deadline come first,
// then those that meet the target, then those whose upper bound meets it, each
// group ordered by what the workspace weighs; the rest are ordered by quality.
// Plans whose upper bound meets the target come before the rest because nothing
// is learned about a cascade that never runs: ordered by quality, a workspace
// would stay with the strong model even if the cascade were better and cheaper.
// If neither fits the deadline, the faster one comes first, since it is more
// likely to finish in time.
func betterOption(a, b planOption, weigh declarer.Weigh, target float64) planOption {
	aMeets, bMeets := a.lower >= target, b.lower >= target
	aMayMeet, bMayMeet := a.upper >= target, b.upper >= target
	switch {
	case a.fitsDeadline != b.fitsDeadline:
		return chooseOption(a.fitsDeadline, a, b)
	case !a.fitsDeadline && a.latency != b.latency:
		return chooseOption(a.latency < b.latency, a, b)
	case aMeets != bMeets:
		return chooseOption(aMeets, a, b)
	case !aMeets && aMayMeet != bMayMeet:
		return chooseOption(aMayMeet, a, b)
	case !aMeets && !aMayMeet && a.quality != b.quality:
		return chooseOption(a.quality > b.quality, a, b)
	case weigh == declarer.WeighLatency && a.latency != b.latency:
		return chooseOption(a.latency < b.latency, a, b)
	case a.cost != b.cost:
		return chooseOption(a.cost < b.cost, a, b)
	}
	return chooseOption(a.latency <= b.latency, a, b)
}

// chooseOption returns a if takeA is true, else b.
func chooseOption(takeA bool, a, b planOption) planOption {
	if takeA {
		return a
	}
	return b
}

// singleOption returns the plan of one step on candidate i.
func singleOption(estimates []estimate, i int, r Request) planOption {
	e := &estimates[i]
	return planOption{
		first: i, second: -1, cost: e.cost, latency: e.latency,
		quality: e.rate.mean, lower: e.rate.lower,
		upper:        e.rate.mean + normalQuantile90*math.Sqrt(e.rate.variance),
		fitsDeadline: fitsDeadline(e.p95, r.TimeLeft),
	}
}

// cascadeOption estimates a cascade from candidate i to j. The cheap answer is
// kept if it is rated in time and passes. Without a rating it is kept if its
// own lower bound meets the target; otherwise the request escalates. The bounds
// of the cascade follow from the variances of its parts by the delta method.
func cascadeOption(estimates []estimate, i, j int, r Request, inTime, target float64) planOption {
	cheap, strong := &estimates[i], &estimates[j]
	cheapRate, escalatedRate, strongRate := cheap.rate, strong.escalated, strong.rate
	unratedShare := 1 - inTime
	keptShare := inTime * cheapRate.mean
	quality := inTime * (cheapRate.mean + (1-cheapRate.mean)*escalatedRate.mean)
	variance := square(inTime*(1-escalatedRate.mean))*cheapRate.variance + square(inTime*(1-cheapRate.mean))*escalatedRate.variance
	if cheapRate.lower >= target {
		keptShare += unratedShare
		quality += unratedShare * cheapRate.mean
		variance += square(unratedShare) * cheapRate.variance
	} else {
		quality += unratedShare * strongRate.mean
		variance += square(unratedShare) * strongRate.variance
	}
	return planOption{
		first: i, second: j,
		cost:    cheap.cost + (1-keptShare)*strong.cost,
		latency: cheap.latency + (1-keptShare)*strong.latency,
		quality: quality, lower: quality - normalQuantile90*math.Sqrt(variance), upper: quality + normalQuantile90*math.Sqrt(variance),
		fitsDeadline: fitsDeadline(cheap.p95+strong.p95, r.TimeLeft),
	}
}

func fitsDeadline(seconds float64, left time.Duration) bool {
	return left <= 0 || seconds <= left.Seconds()
}

func square(x float64) float64 { return x * x }
