package chooser

import "sync/atomic"

type (
	// AlwaysBest plans the version of the highest declared quality.
	AlwaysBest struct{}

	// AlwaysCheapest plans the version with the lowest sum of input and output
	// price.
	AlwaysCheapest struct{}

	// RoundRobin plans the assigned versions in turn.
	RoundRobin struct{ next atomic.Uint64 }
)

// Plan implements Policy.
func (AlwaysBest) Plan(r Request) (Plan, bool) {
	return singleBest(r, func(a, b Candidate) bool { return a.Version.Quality > b.Version.Quality })
}

// Plan implements Policy.
func (AlwaysCheapest) Plan(r Request) (Plan, bool) {
	return singleBest(r, func(a, b Candidate) bool {
		return a.Version.Price.InputNanos+a.Version.Price.OutputNanos < b.Version.Price.InputNanos+b.Version.Price.OutputNanos
	})
}

// Plan implements Policy.
func (p *RoundRobin) Plan(r Request) (Plan, bool) {
	var assigned []Candidate
	for _, c := range r.Candidates {
		if c.Assigned {
			assigned = append(assigned, c)
		}
	}
	if len(assigned) == 0 {
		return Plan{}, false
	}
	return Plan{Steps: []Candidate{assigned[(p.next.Add(1)-1)%uint64(len(assigned))]}}, true
}

// singleBest plans the assigned candidate that comes first in the order.
func singleBest(r Request, before func(a, b Candidate) bool) (Plan, bool) {
	var best *Candidate
	for i := range r.Candidates {
		c := &r.Candidates[i]
		if c.Assigned && (best == nil || before(*c, *best)) {
			best = c
		}
	}
	if best == nil {
		return Plan{}, false
	}
	return Plan{Steps: []Candidate{*best}}, true
}
