package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxCopies bounds the upstreams that are remembered for a group.
const maxCopies = 6

// choose returns the upstream for r. Healthy upstreams of the own zone come
// first unless others are much less busy; those that are passed over come last.
func (p *Placer) choose(pl *pool, r Request) *upstream {
	now := p.set.Clock.Now()
	others := p.others
	if now.Sub(p.othersAt) > othersLife {
		others = nil
	}
	var near, far, out []*upstream
	for _, u := range pl.ups {
		switch {
		case u.Leaving || !r.Versions.allow(u.Version) || slices.Contains(r.Tried, u.Key()):
		case r.MaxConns > 0 && float64(u.running+int(others[u.id()].Running)) >= connShare*float64(r.MaxConns):
			// A further connection would be reset, after which nobody knows
			// whether the request has run.
		case !u.usable(now) || !p.path(u.Zone).usable(now):
			out = append(out, u)
		case u.Zone == p.set.Zone:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	if len(near)+len(far) == 0 {
		return soonest(out)
	}
	if r.Work > 0 {
		return pl.lightest(near, far, others, r)
	}
	return shortest(near, far, others)
}

// lightest returns the upstream that begins to answer first: the one with the
// least work before it, where those that do not cache the parts of the group
// have to read them as well. Equals are ranked by rendezvous hashing.
//
// It answers a load in which a few subjects get much of the traffic: their
// requests stay where their prompts are cached until the wait there is longer
// than reading the parts elsewhere, and then overflow to the next in rank, on
// which all hosts agree.
func (pl *pool) lightest(near, far []*upstream, others map[uint32]Load, r Request) *upstream {
	home := ranked(near, r.Group)
	// Reading long parts once in each zone costs more than the way to one home.
	if home == nil || r.SharedTokens > farWork {
		home = ranked(slices.Concat(near, far), r.Group)
	}
	copies := pl.copies(r.Group)
	var best *upstream
	var least float64
	var rank uint64
	weigh := func(u *upstream, work float64) {
		work += u.work + float64(others[u.id()].Work)
		if u != home && !slices.Contains(copies, u.hash) {
			work += readCost * r.SharedTokens
		}
		h := mix(u.hash ^ r.Group)
		if r.Group == 0 {
			h = 0
		}
		if best == nil || work < least || work == least && h > rank {
			best, least, rank = u, work, h
		}
	}
	for _, u := range near {
		weigh(u, 0)
	}
	for _, u := range far {
		if u == home {
			weigh(u, 0)
		} else {
			weigh(u, farWork)
		}
	}
	return best
}

// ranked returns the upstream with the highest rank for the group, nil if there
// is no group.
func ranked(ups []*upstream, group uint64) *upstream {
	if group == 0 {
		return nil
	}
	var best *upstream
	for _, u := range ups {
		if best == nil || mix(u.hash^group) > mix(best.hash^group) {
			best = u
		}
	}
	return best
}

// copies returns the hashes of the upstreams that were sent requests of the
// group.
func (pl *pool) copies(group uint64) []uint64 {
	hashes, _ := pl.cached.Get(group) // Absent means none.
	return hashes
}

// remember notes that the upstream reads the parts of the group.
func (pl *pool) remember(u *upstream, group uint64) {
	if group == 0 {
		return
	}
	hashes := pl.copies(group)
	if len(hashes) >= maxCopies {
		hashes = hashes[1:]
	}
	pl.cached.Put(group, append(slices.Clip(hashes), u.hash))
}

// shortest returns the upstream with the shortest expected wait.
func shortest(near, far []*upstream, others map[uint32]Load) *upstream {
	var best *upstream
	var least float64
	weigh := func(u *upstream, factor float64) {
		first := u.first
		if first == 0 {
			first = unknownLatency
		}
		running := u.running + int(others[u.id()].Running)
		wait := factor * float64(running+1) * float64(first)
		if best == nil || wait < least || wait == least && u.outcomes < best.outcomes {
			best, least = u, wait
		}
	}
	for _, u := range near {
		weigh(u, 1)
	}
	for _, u := range far {
		weigh(u, farWait)
	}
	return best
}

// soonest returns the upstream whose ejection ends first.
func soonest(ups []*upstream) *upstream {
	var best *upstream
	for _, u := range ups {
		if best == nil || u.ejected.Before(best.ejected) {
			best = u
		}
	}
	return best
}

func (v Versions) allow(version string) bool {
	return (v.Only == "" || v.Only == version) && (v.Not == "" || v.Not != version)
}

// usable reports whether the upstream takes requests: one at a time while it
// is on trial.
func (u *upstream) usable(now time.Time) bool {
	return !now.Before(u.ejected) && (!u.trial || u.running == 0)
}

// id names the upstream among hosts.
func (u *upstream) id() uint32 { return uint32(u.hash) }

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
