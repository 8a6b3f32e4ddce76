package comparer

import (
	"math/rand/v2"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
)

type (
	// fixedChooser is a naive chooser that learns nothing.
	fixedChooser struct {
		pick func(q *Query) []declarer.VersionRef
	}

	// noFeedback is a picker's part that ignores what it is told.
	noFeedback struct{}

	// roundRobin takes the replicas of a version in turn.
	roundRobin struct {
		noFeedback
		next map[declarer.VersionRef]int
	}

	// random takes any replica.
	random struct {
		noFeedback
		rng *rand.Rand
	}

	// leastRequests takes the replica with the fewest requests of this host,
	// the first of equals.
	leastRequests struct {
		noFeedback
		open map[*declarer.Upstream]int
	}
)

// Baselines returns the naive policies: each naive chooser with round robin,
// and the naive pickers with the best model.
func Baselines() []Policy {
	return []Policy{
		{"always best, round robin", AlwaysBest, RoundRobin, nil},
		{"always cheapest, round robin", AlwaysCheapest, RoundRobin, nil},
		{"always cascade, round robin", AlwaysCascade, RoundRobin, nil},
		{"always best, random", AlwaysBest, Random, nil},
		{"always best, least requests", AlwaysBest, LeastRequests, nil},
		{"always cascade, random", AlwaysCascade, Random, nil},
		{"always cascade, least requests", AlwaysCascade, LeastRequests, nil},
	}
}

// AlwaysBest uses the version with the highest declared quality.
func AlwaysBest(Setup) Chooser {
	return fixedChooser{func(q *Query) []declarer.VersionRef { return []declarer.VersionRef{best(q).Ref} }}
}

// AlwaysCheapest uses the cheapest version.
func AlwaysCheapest(Setup) Chooser {
	return fixedChooser{func(q *Query) []declarer.VersionRef { return []declarer.VersionRef{q.Allowed[0].Ref} }}
}

// AlwaysCascade tries the cheapest version and then the best one; a stream
// gets the best one.
func AlwaysCascade(Setup) Chooser {
	return fixedChooser{func(q *Query) []declarer.VersionRef {
		if cheap := q.Allowed[0].Ref; q.Kind != declarer.KindChat && cheap != best(q).Ref {
			return []declarer.VersionRef{cheap, best(q).Ref}
		}
		return []declarer.VersionRef{best(q).Ref}
	}}
}

// RoundRobin takes the replicas in turn.
func RoundRobin(Setup) Picker {
	return &roundRobin{next: make(map[declarer.VersionRef]int)}
}

// Random takes any replica with the same probability.
func Random(s Setup) Picker {
	return &random{rng: rand.New(rand.NewPCG(s.Seed, uint64(s.Host)))}
}

// LeastRequests takes the replica with the fewest requests of this host.
func LeastRequests(Setup) Picker {
	return &leastRequests{open: make(map[*declarer.Upstream]int)}
}

func best(q *Query) Candidate {
	b := q.Allowed[0]
	for _, c := range q.Allowed[1:] {
		if c.Quality > b.Quality {
			b = c
		}
	}
	return b
}

// Choose implements Chooser.
func (c fixedChooser) Choose(q *Query) []declarer.VersionRef { return c.pick(q) }

// Rated implements Chooser.
func (fixedChooser) Rated(*Query, declarer.VersionRef, bool) {}

// Took implements Chooser.
func (fixedChooser) Took(*Query, declarer.VersionRef, int, time.Duration) {}

// Waited implements Chooser. Without a rating the request escalates.
func (fixedChooser) Waited(_ *Query, _ declarer.VersionRef, inTime bool) bool { return inTime }

// Sent implements Picker.
func (noFeedback) Sent(*Query, *declarer.Upstream) {}

// Done implements Picker.
func (noFeedback) Done(*Query, *declarer.Upstream) {}

// Report implements Picker.
func (noFeedback) Report(*declarer.Upstream, Load) {}

// Events implements Picker.
func (noFeedback) Events(*declarer.Upstream, []emulator.CacheEvent) {}

// Pick implements Picker.
func (p *roundRobin) Pick(_ *Query, ref declarer.VersionRef, replicas []*declarer.Upstream) *declarer.Upstream {
	p.next[ref]++
	return replicas[p.next[ref]%len(replicas)]
}

// Pick implements Picker.
func (p *random) Pick(_ *Query, _ declarer.VersionRef, replicas []*declarer.Upstream) *declarer.Upstream {
	return replicas[p.rng.IntN(len(replicas))]
}

// Pick implements Picker.
func (p *leastRequests) Pick(_ *Query, _ declarer.VersionRef, replicas []*declarer.Upstream) *declarer.Upstream {
	b := replicas[0]
	for _, u := range replicas[1:] {
		if p.open[u] < p.open[b] {
			b = u
		}
	}
	return b
}

// Sent implements Picker.
func (p *leastRequests) Sent(_ *Query, u *declarer.Upstream) { p.open[u]++ }

// Done implements Picker.
func (p *leastRequests) Done(_ *Query, u *declarer.Upstream) { p.open[u]-- }
