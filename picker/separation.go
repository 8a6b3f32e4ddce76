package picker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// longPrefill is the prefill time in seconds from which a prompt is long.
	// The first token of every other request on the replica waits for it.
	longPrefill = 0.1
	// separationPenalty in seconds keeps long prompts and the others on
	// different replicas until the wait differs by more. With 0.2 whole
	// answers of long prompts took longer than with the strong model and
	// least requests; with 0.05 first tokens waited a third longer. It is
	// below the cross-zone threshold, so that an idle zone keeps its requests.
	separationPenalty = 0.12
	// minSeparated is the size of a pool from which prompts are separated.
	minSeparated = 3
	// workKept bounds the sums of work, in seconds, so that they follow
	// changes: beyond it both are halved.
	workKept = 500
)

type (
	// separated is the separation that holds for one pick.
	separated struct {
		ranks int
		long  bool
	}
)

// penalty returns the penalty in seconds of a replica of that rank.
func (s separated) penalty(rank int) float64 {
	if s.ranks == 0 || s.long == (rank < s.ranks) {
		return 0
	}
	return separationPenalty
}

// separation keeps long prompts away from the other requests of a pool. All
// hosts rank the replicas in the same way, by the hash of the address; the
// first ranks take the long prompts, as many as their share of the work asks
// for.
type separation struct {
	mu        sync.Mutex
	long, all float64
}

// note counts the expected work of a request and returns the number of ranks
// for long prompts in a pool of n replicas, zero for none.
func (s *separation) note(prefill, service float64, n int) int {
	if n < minSeparated {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all > workKept {
		s.all, s.long = s.all/2, s.long/2
	}
	s.all += prefill + service
	if prefill >= longPrefill {
		s.long += prefill + service
	}
	if s.long == 0 {
		return 0
	}
	return min(max(int(s.long/s.all*float64(n)+0.5), 1), n-1)
}

// ranked sorts replicas by the hash of the address.
func ranked(all []*Replica) map[*Replica]int {
	sorted := slices.SortedFunc(slices.Values(all), func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(hashOf(a), hashOf(b)), a.Address.Compare(b.Address))
	})
	out := make(map[*Replica]int, len(sorted))
	for i, r := range sorted {
		out[r] = i
	}
	return out
}

func hashOf(r *Replica) uint64 { return xxhash.Sum64String(r.Address.String()) }
