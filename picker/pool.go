package picker

import (
	"net/netip"
	"sync/atomic"
)

// Where a replica of a pool is.
const (
	zoneNone zone = iota
	zoneOwn
	zoneOther
)

type (
	zone uint8

	// Target is a replica that a pool consists of.
	Target struct {
		Address netip.AddrPort
		Zone    string
		// Slots is the declared batch size, used until the replica reports
		// one. Zero takes the default.
		Slots int
	}

	// Pool is the set of replicas that may run a request, usually those of
	// one version. Its members do not change; their state is shared with other
	// pools of the same Picker.
	Pool struct {
		// turn gives naive policies a random place to start from.
		turn            atomic.Uint64
		own, other, all []*Replica
		// ownRanks and otherRanks are the ranks of own and other.
		ownRanks, otherRanks []int
		ranks                map[*Replica]int
		separation           separation
		zones                map[*Replica]zone
	}
)

// Pool returns the pool of the given replicas.
func (p *Picker) Pool(targets []Target) *Pool {
	pool := &Pool{zones: make(map[*Replica]zone, len(targets))}
	pool.turn.Store(p.random())
	var common *norm
	for _, t := range targets {
		r := p.Replica(t.Address)
		if common == nil {
			common = r.join(nil, t.Slots)
		}
		r.join(common, t.Slots)
		if pool.zones[r] != zoneNone {
			continue
		}
		pool.all = append(pool.all, r)
		if t.Zone == p.set.Zone {
			pool.zones[r] = zoneOwn
			pool.own = append(pool.own, r)
			continue
		}
		pool.zones[r] = zoneOther
		pool.other = append(pool.other, r)
	}
	pool.ranks = ranked(pool.all)
	for _, r := range pool.own {
		pool.ownRanks = append(pool.ownRanks, pool.ranks[r])
	}
	for _, r := range pool.other {
		pool.otherRanks = append(pool.otherRanks, pool.ranks[r])
	}
	return pool
}

// Replicas returns the replicas of the pool. The caller must not change the
// slice.
func (p *Pool) Replicas() []*Replica { return p.all }

func (p *Pool) zone(r *Replica) zone { return p.zones[r] }

// join makes the replica share the norm of its pool, if there is one yet, and
// sets the batch size until the replica reports its own. It returns the norm.
func (r *Replica) join(n *norm, slots int) *norm {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n != nil {
		r.norm = n
	}
	if slots > 0 && r.reported.Slots == 0 {
		r.slots = slots
	}
	r.update()
	return r.norm
}
