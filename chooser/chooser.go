// Package chooser selects how a request is answered: by one model, or by a
// cascade that asks a cheap model first and a strong one if the answer of the
// first does not pass.
//
// A plan meets the quality target if the lower 90% confidence bound of its
// quality does. Among the plans that meet it and fit the deadline the one of
// lowest expected cost is taken, or of lowest expected latency, as the
// workspace weighs. If none meets it, the same order holds among those whose
// upper bound does, and then the best one is taken; both are counted. A
// declared share of the requests explores by Thompson sampling.
//
// Pass rates, token counts and latencies are learned from what requests did;
// see Learner. The policies AlwaysBest, AlwaysCheapest and RoundRobin stand
// behind the same interface for comparison.
//
// # Usage
//
//	learner := chooser.NewLearner(chooser.Settings{Clock: clock, Seed: seed})
//	policy := chooser.New(learner)
//
//	allowed := chooser.Allowed(catalog, workspace.Name, model, leased, sessionKey)
//	plan, ok := policy.Plan(chooser.Request{
//		Workspace: workspace, Kind: kind, Left: left, PromptTokens: n, Candidates: allowed,
//	})
//
//	// Once a step has run:
//	learner.Ran(attemptID, chooser.Run{Workspace: workspace.Name, Kind: kind, Ref: ref, Step: 0, ...})
//	// In a cascade, whether the rating came in time, and what to do if not:
//	learner.Waited(kind, rated)
//	if !rated && !learner.Accept(workspace, kind, candidate) { /* escalate */ }
//	// When a rating arrives, however late:
//	learner.Rate(attemptID, pass)
package chooser

import (
	"math"
	"time"

	"foxtailwall/declarer"
)

// normalLower is the 10% quantile of the normal distribution, negated.
const normalLower = 1.2815515655446004

type (
	// Request is what the selection needs to know about a request.
	Request struct {
		Workspace *declarer.Workspace
		Kind      declarer.Kind
		// Stream says that the response is streamed, so that it cannot be
		// replaced after its first token.
		Stream bool
		// Left is the time until the deadline. Zero means no deadline.
		Left time.Duration
		// PromptTokens is the estimated length of the prompt. Zero takes the
		// mean of the kind.
		PromptTokens int
		// Candidates come from Allowed. Those not assigned are ignored.
		Candidates Candidates
	}

	// Plan says how to answer a request.
	Plan struct {
		// Steps has one version, or two for a cascade, cheap first.
		Steps []Candidate
		// CostNanos is the expected cost in nanos of the currency.
		CostNanos float64
		Latency   time.Duration
		// Quality is the expected quality, Lower its lower 90% bound.
		Quality, Lower float64
		// Met says that Lower meets the workspace's target.
		Met bool
		// Explores says that the plan was taken in order to learn.
		Explores bool
	}

	// Policy selects a plan. It returns false when there is no candidate.
	Policy interface {
		Plan(r Request) (Plan, bool)
	}

	// Chooser is the Policy of this package.
	Chooser struct{ learner *Learner }

	// option is a plan under comparison. It refers to the candidates by index,
	// so that comparing many plans does not allocate.
	option struct {
		first, second  int
		cost, latency  float64
		quality, lower float64
		// upper is the upper 90% bound of the quality.
		upper float64
		fits  bool
	}
)

// New returns a policy that uses what the learner knows.
func New(l *Learner) *Chooser { return &Chooser{learner: l} }

// Plan implements Policy.
func (c *Chooser) Plan(r Request) (Plan, bool) {
	l := c.learner
	l.mu.Lock()
	defer l.mu.Unlock()
	explores := l.explores(r.Workspace, r.Candidates.assigned())
	ests := l.estimates(r, explores)
	if len(ests) == 0 {
		return Plan{}, false
	}
	target := r.Workspace.Quality[r.Kind]
	best := pick(ests, r, target, l.ratedInTime(r.Kind))
	met := best.lower >= target
	if !met && !explores {
		l.set.Scope.Counter("chooser.belowTarget", "workspace", r.Workspace.Name, "kind", string(r.Kind)).Inc(1)
	}
	p := Plan{
		Steps: []Candidate{ests[best.first].candidate}, CostNanos: best.cost,
		Latency: time.Duration(best.latency * float64(time.Second)),
		Quality: best.quality, Lower: best.lower, Met: met, Explores: explores,
	}
	if best.second >= 0 {
		p.Steps = append(p.Steps, ests[best.second].candidate)
	}
	return p, true
}

// pick compares all plans over the estimates.
func pick(ests []estimate, r Request, target, inTime float64) option {
	best := single(ests, 0, r)
	for i := range ests {
		best = better(best, single(ests, i, r), r.Workspace.Weigh, target)
		byCost := r.Workspace.Weigh != declarer.WeighLatency
		if r.Stream || byCost && best.fits && best.lower >= target && ests[i].cost >= best.cost {
			continue // no cascade that starts with i is cheaper than best
		}
		for j := range ests {
			if ests[i].cost >= ests[j].cost || ests[i].candidate.Ref.Model == ests[j].candidate.Ref.Model {
				continue
			}
			if o := cascade(ests, i, j, r, inTime, target); o.fits {
				best = better(best, o, r.Workspace.Weigh, target)
			}
		}
	}
	return best
}

// better orders plans: those that fit the deadline, then those that meet the
// target, then those that may still turn out to meet it, each group by what the
// workspace weighs; the rest by quality. A plan that may meet the target is
// taken because nothing is learned of a cascade that never runs: ordered by
// quality, a workspace stays with the strong model although the cascade is
// better and costs less. If neither fits the deadline, the faster one is more
// likely to.
func better(a, b option, weigh declarer.Weigh, target float64) option {
	am, bm := a.lower >= target, b.lower >= target
	ah, bh := a.upper >= target, b.upper >= target
	switch {
	case a.fits != b.fits:
		return first(a.fits, a, b)
	case !a.fits && a.latency != b.latency:
		return first(a.latency < b.latency, a, b)
	case am != bm:
		return first(am, a, b)
	case !am && ah != bh:
		return first(ah, a, b)
	case !am && !ah && a.quality != b.quality:
		return first(a.quality > b.quality, a, b)
	case weigh == declarer.WeighLatency && a.latency != b.latency:
		return first(a.latency < b.latency, a, b)
	case a.cost != b.cost:
		return first(a.cost < b.cost, a, b)
	}
	return first(a.latency <= b.latency, a, b)
}

func first(takeA bool, a, b option) option {
	if takeA {
		return a
	}
	return b
}

func single(ests []estimate, i int, r Request) option {
	e := &ests[i]
	return option{
		first: i, second: -1, cost: e.cost, latency: e.latency,
		quality: e.rate.mean, lower: e.rate.lower,
		upper: e.rate.mean + normalLower*math.Sqrt(e.rate.variance),
		fits:  fits(e.p95, r.Left),
	}
}

// cascade expects the cheap answer to be kept if it is rated in time and
// passes. Without a rating it is kept if its own lower bound meets the target,
// else the request escalates. The bound of the cascade follows from the
// variances of its parts by the delta method.
func cascade(ests []estimate, i, j int, r Request, inTime, target float64) option {
	cheap, strong := &ests[i], &ests[j]
	p, q, s := cheap.rate, strong.escalated, strong.rate
	unrated := 1 - inTime
	kept := inTime * p.mean
	quality := inTime * (p.mean + (1-p.mean)*q.mean)
	variance := square(inTime*(1-q.mean))*p.variance + square(inTime*(1-p.mean))*q.variance
	if p.lower >= target {
		kept += unrated
		quality += unrated * p.mean
		variance += square(unrated) * p.variance
	} else {
		quality += unrated * s.mean
		variance += square(unrated) * s.variance
	}
	return option{
		first: i, second: j,
		cost:    cheap.cost + (1-kept)*strong.cost,
		latency: cheap.latency + (1-kept)*strong.latency,
		quality: quality, lower: quality - normalLower*math.Sqrt(variance), upper: quality + normalLower*math.Sqrt(variance),
		fits: fits(cheap.p95+strong.p95, r.Left),
	}
}

func fits(seconds float64, left time.Duration) bool {
	return left <= 0 || seconds <= left.Seconds()
}

func square(x float64) float64 { return x * x }
