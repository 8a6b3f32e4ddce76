package picker

import (
	"slices"
	"sync/atomic"
)

type (
	// RoundRobin takes the usable replicas in turn.
	RoundRobin struct{ next atomic.Uint64 }

	// LeastConnections takes the replica with the fewest own requests, any of
	// them among equals.
	LeastConnections struct{}

	// Random takes a usable replica at random. Its zero value works.
	Random struct {
		// Seed makes the choices repeatable.
		Seed uint64

		drawn atomic.Uint64
	}
)

// Pick implements Policy.
func (p *RoundRobin) Pick(r Request, pool *Pool) (Choice, bool) {
	return pool.from(r, p.next.Add(1)-1)
}

// Pick implements Policy.
func (LeastConnections) Pick(r Request, pool *Pool) (Choice, bool) {
	var best *Replica
	least := 0
	start := mix(pool.turn.Add(1))
	for i := range uint64(len(pool.all)) {
		c := pool.all[(start+i)%uint64(len(pool.all))]
		if !c.Usable() || slices.Contains(r.Exclude, c) {
			continue
		}
		if n := c.InFlight(); best == nil || n < least {
			best, least = c, n
		}
	}
	return pool.choice(best)
}

// Pick implements Policy.
func (p *Random) Pick(r Request, pool *Pool) (Choice, bool) {
	return pool.from(r, mix(p.Seed+p.drawn.Add(1)))
}

// mix returns a 32 bit hash of x.
func mix(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x >> 32
}

// from returns the first usable replica at or after the position.
func (p *Pool) from(r Request, start uint64) (Choice, bool) {
	n := uint64(len(p.all))
	for i := range n {
		c := p.all[(start+i)%n]
		if c.Usable() && !slices.Contains(r.Exclude, c) {
			return p.choice(c)
		}
	}
	return Choice{}, false
}

func (p *Pool) choice(r *Replica) (Choice, bool) {
	if r == nil {
		return Choice{}, false
	}
	return Choice{Replica: r, CrossZone: p.zone(r) == zoneOther}, true
}
