package picker

import (
	"slices"
	"sync/atomic"
)

type (
	// RoundRobin picks the usable replicas in turn.
	RoundRobin struct{ next atomic.Uint64 }

	// LeastConnections picks the replica with the fewest requests of this host,
	// a random one among equals.
	LeastConnections struct{}

	// Random picks a usable replica at random.
	Random struct {
		// Seed of the random choices.
		Seed uint64

		draws atomic.Uint64
	}
)

// Pick implements Policy.
func (p *RoundRobin) Pick(r Request, pool *Pool) (Choice, bool) {
	return pool.firstUsable(r, p.next.Add(1)-1)
}

// Pick implements Policy.
func (LeastConnections) Pick(r Request, pool *Pool) (Choice, bool) {
	var best *Replica
	fewest := 0
	start := hash32(pool.nextStart.Add(1))
	for i := range uint64(len(pool.all)) {
		c := pool.all[(start+i)%uint64(len(pool.all))]
		if !c.Usable() || slices.Contains(r.Exclude, c) {
			continue
		}
		if n := c.InFlight(); best == nil || n < fewest {
			best, fewest = c, n
		}
	}
	return pool.newChoice(best)
}

// Pick implements Policy.
func (p *Random) Pick(r Request, pool *Pool) (Choice, bool) {
	return pool.firstUsable(r, hash32(p.Seed+p.draws.Add(1)))
}

// hash32 returns a 32-bit hash of x.
func hash32(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x >> 32
}

// firstUsable returns the first usable replica at or after the position start
// in the pool, wrapping around.
func (p *Pool) firstUsable(r Request, start uint64) (Choice, bool) {
	n := uint64(len(p.all))
	for i := range n {
		c := p.all[(start+i)%n]
		if c.Usable() && !slices.Contains(r.Exclude, c) {
			return p.newChoice(c)
		}
	}
	return Choice{}, false
}

func (p *Pool) newChoice(r *Replica) (Choice, bool) {
	if r == nil {
		return Choice{}, false
	}
	return Choice{Replica: r, CrossZone: p.zone(r) == zoneOther}, true
}
