package comparer

import (
	"math/rand/v2"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
)

type (
	// fixedChooser chooses by a fixed rule and ignores ratings and durations.
	fixedChooser struct {
		pick func(q *Query) []declarer.VersionRef
	}

	// noFeedback provides no-op Picker callbacks for pickers to embed.
	noFeedback struct{}

	// roundRobin cycles through the replicas of each version.
	roundRobin struct {
		noFeedback
		next map[declarer.VersionRef]int
	}

	// random picks replicas with equal probability.
	random struct {
		noFeedback
		rng *rand.Rand
	}

	// leastRequests picks the replica with the fewest requests of this host in
	// flight, and the first of them if there are several.
	leastRequests struct {
		noFeedback
		inFlight map[*declarer.Upstream]int
	}
)

// Baselines returns the naive policies that the router is compared with: each
// naive chooser with round robin, and AlwaysBest and AlwaysCascade also with the
// other naive pickers.
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

// AlwaysBest returns a chooser of the version with the highest declared quality.
func AlwaysBest(Setup) Chooser {
	return fixedChooser{func(q *Query) []declarer.VersionRef { return []declarer.VersionRef{bestCandidate(q).Ref} }}
}

// AlwaysCheapest returns a chooser of the version with the lowest expected cost.
func AlwaysCheapest(Setup) Chooser {
	return fixedChooser{func(q *Query) []declarer.VersionRef { return []declarer.VersionRef{q.Allowed[0].Ref} }}
}

// AlwaysCascade returns a chooser that tries the cheapest version and then the one
// with the highest declared quality. Streams get only the latter.
func AlwaysCascade(Setup) Chooser {
	return fixedChooser{func(q *Query) []declarer.VersionRef {
		if cheap := q.Allowed[0].Ref; q.Kind != declarer.KindChat && cheap != bestCandidate(q).Ref {
			return []declarer.VersionRef{cheap, bestCandidate(q).Ref}
		}
		return []declarer.VersionRef{bestCandidate(q).Ref}
	}}
}

// RoundRobin returns a picker that cycles through the replicas of a version.
func RoundRobin(Setup) Picker {
	return &roundRobin{next: make(map[declarer.VersionRef]int)}
}

// Random returns a picker of replicas with equal probability.
func Random(s Setup) Picker {
	return &random{rng: rand.New(rand.NewPCG(s.Seed, uint64(s.Host)))}
}

// LeastRequests returns a picker of the replica with the fewest requests of this
// host in flight.
func LeastRequests(Setup) Picker {
	return &leastRequests{inFlight: make(map[*declarer.Upstream]int)}
}

// bestCandidate returns the allowed version with the highest declared quality.
func bestCandidate(q *Query) Candidate {
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

// AddRating implements Chooser.
func (fixedChooser) AddRating(*Query, declarer.VersionRef, bool) {}

// AddDuration implements Chooser.
func (fixedChooser) AddDuration(*Query, declarer.VersionRef, int, time.Duration) {}

// WaitEnded implements Chooser. Without a rating the request escalates.
func (fixedChooser) WaitEnded(_ *Query, _ declarer.VersionRef, inTime bool) bool { return inTime }

// RequestSent implements Picker.
func (noFeedback) RequestSent(*Query, *declarer.Upstream) {}

// RequestDone implements Picker.
func (noFeedback) RequestDone(*Query, *declarer.Upstream) {}

// AddLoadReport implements Picker.
func (noFeedback) AddLoadReport(*declarer.Upstream, Load) {}

// AddCacheEvents implements Picker.
func (noFeedback) AddCacheEvents(*declarer.Upstream, []emulator.CacheEvent) {}

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
		if p.inFlight[u] < p.inFlight[b] {
			b = u
		}
	}
	return b
}

// RequestSent implements Picker.
func (p *leastRequests) RequestSent(_ *Query, u *declarer.Upstream) { p.inFlight[u]++ }

// RequestDone implements Picker.
func (p *leastRequests) RequestDone(_ *Query, u *declarer.Upstream) { p.inFlight[u]-- }
