package picker

import (
	"net/netip"
	"sync/atomic"
)

// Zones of replicas as seen from this host. A replica outside the pool has
// zoneNone.
const (
	zoneNone zone = iota
	zoneOwn
	zoneOther
)

type (
	zone uint8

	// Target describes a replica of a pool.
	Target struct {
		Address netip.AddrPort
		Zone    string
		// Slots is the declared batch size, used until the replica reports one.
		// Zero means 16.
		Slots int
	}

	// Pool is the fixed set of replicas that may run a request, usually those
	// of one version. Pools of the same Picker share the state of common
	// replicas.
	Pool struct {
		// nextStart is the source of random start positions for
		// LeastConnections.
		nextStart       atomic.Uint64
		own, other, all []*Replica
		// ownRanks and otherRanks hold the rank of each replica in own and
		// other.
		ownRanks, otherRanks []int
		// ranks orders the replicas for the separation of long prompts.
		ranks      map[*Replica]int
		separation separation
		zones      map[*Replica]zone
	}
)

// Pool returns a pool of the given replicas.
func (p *Picker) Pool(targets []Target) *Pool {
	pool := &Pool{zones: make(map[*Replica]zone, len(targets))}
	pool.nextStart.Store(p.random())
	var shared *poolMeans
	for _, target := range targets {
		replica := p.Replica(target.Address)
		if shared == nil {
			shared = replica.joinPool(nil, target.Slots)
		}
		replica.joinPool(shared, target.Slots)
		if pool.zones[replica] != zoneNone {
			continue
		}
		pool.all = append(pool.all, replica)
		if target.Zone == p.settings.Zone {
			pool.zones[replica] = zoneOwn
			pool.own = append(pool.own, replica)
			continue
		}
		pool.zones[replica] = zoneOther
		pool.other = append(pool.other, replica)
	}
	pool.ranks = rankByAddressHash(pool.all)
	for _, replica := range pool.own {
		pool.ownRanks = append(pool.ownRanks, pool.ranks[replica])
	}
	for _, replica := range pool.other {
		pool.otherRanks = append(pool.otherRanks, pool.ranks[replica])
	}
	return pool
}

// Replicas returns the replicas of the pool. The caller must not change the
// slice.
func (p *Pool) Replicas() []*Replica { return p.all }

func (p *Pool) zone(r *Replica) zone { return p.zones[r] }

// joinPool makes the replica use the means of its pool, unless m is nil, and
// sets the batch size until the replica reports one. It returns the means in
// use.
func (r *Replica) joinPool(m *poolMeans, slots int) *poolMeans {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m != nil {
		r.means = m
	}
	if slots > 0 && r.lastReport.Slots == 0 {
		r.slots = slots
	}
	r.updateWait()
	return r.means
}
