package picker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// longPrefill is the prefill time in seconds from which a prompt is long.
	// The first tokens of all other requests on the replica wait for it.
	longPrefill = 0.1
	// separationPenalty, in multiples of the spread, is the difference in wait
	// up to which long prompts and other requests stay on different replicas.
	// It equals the range of the noise, which would otherwise mix them again.
	separationPenalty = noiseMax - noiseMin
	// minSeparatedReplicas is the smallest pool size with separation.
	minSeparatedReplicas = 3
	// maxRecordedWork is the total work, in seconds, above which both sums are
	// halved, so that they follow changes.
	maxRecordedWork = 500
)

type (
	// pickSeparation holds the separation parameters of one pick.
	pickSeparation struct {
		// longRanks is the number of ranks reserved for long prompts, zero
		// without separation.
		longRanks  int
		longPrompt bool
		// mismatchPenalty is in seconds.
		mismatchPenalty float64
	}
)

// penalty returns the penalty in seconds for picking a replica of that rank.
func (s pickSeparation) penalty(rank int) float64 {
	if s.longRanks == 0 || s.longPrompt == (rank < s.longRanks) {
		return 0
	}
	return s.mismatchPenalty
}

// separation keeps long prompts and the other requests of a pool apart. All
// hosts rank the replicas in the same way, by the hash of the address; the
// lowest ranks take the long prompts, in proportion to their share of the work.
type separation struct {
	mu sync.Mutex
	// longWork and totalWork are in seconds.
	longWork, totalWork float64
}

// recordWork adds the expected work of a request, in seconds, and returns the
// number of ranks reserved for long prompts in a pool of n replicas, zero for
// no separation.
func (s *separation) recordWork(prefill, service float64, n int) int {
	if n < minSeparatedReplicas {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.totalWork > maxRecordedWork {
		s.totalWork, s.longWork = s.totalWork/2, s.longWork/2
	}
	s.totalWork += prefill + service
	if prefill >= longPrefill {
		s.longWork += prefill + service
	}
	if s.longWork == 0 {
		return 0
	}
	return min(max(int(s.longWork/s.totalWork*float64(n)+0.5), 1), n-1)
}

// rankByAddressHash returns the rank of each replica in the order of their
// address hashes.
func rankByAddressHash(replicas []*Replica) map[*Replica]int {
	sorted := slices.SortedFunc(slices.Values(replicas), func(a, b *Replica) int {
		return cmp.Or(cmp.Compare(addressHash(a), addressHash(b)), a.Address.Compare(b.Address))
	})
	ranks := make(map[*Replica]int, len(sorted))
	for i, r := range sorted {
		ranks[r] = i
	}
	return ranks
}

func addressHash(r *Replica) uint64 { return xxhash.Sum64String(r.Address.String()) }
