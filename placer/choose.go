package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxPrefixCaches bounds the upstreams that are remembered for a group.
const maxPrefixCaches = 6

// chooseUpstream returns the upstream for r, nil if there is none. Upstreams of
// the own zone are preferred unless others are much less loaded. Ejected or
// unreachable upstreams are the last resort.
func (p *Placer) chooseUpstream(pl *pool, r Request) *upstream {
	now := p.settings.Clock.Now()
	loads := p.remoteLoads
	if now.Sub(p.remoteLoadsAt) > remoteLoadsTTL {
		loads = nil
	}
	var local, remote, unusable []*upstream
	for _, u := range pl.upstreams {
		switch {
		case u.Leaving || !r.Versions.allows(u.Version) || slices.Contains(r.Tried, u.Key()):
		case r.MaxConns > 0 && float64(u.running+int(loads[u.loadID()].Running)) >= usableConnFraction*float64(r.MaxConns):
			// A further connection would be reset, which leaves it unknown
			// whether the request has run.
		case !u.usable(now) || !p.zonePath(u.Zone).usable(now):
			unusable = append(unusable, u)
		case u.Zone == p.settings.Zone:
			local = append(local, u)
		default:
			remote = append(remote, u)
		}
	}
	if len(local)+len(remote) == 0 {
		return firstReinstated(unusable)
	}
	if r.Work > 0 {
		return pl.leastWork(local, remote, loads, r)
	}
	return shortestWait(local, remote, loads)
}

// leastWork returns the upstream with the least work before the request's first
// byte. Processing the group's prefix counts as work where it is not cached.
// Equals are ranked by rendezvous hashing.
//
// It handles loads in which a few groups get much of the traffic: their
// requests stay where their prefix is cached until the wait there is longer
// than processing it elsewhere, and then overflow to the next in rank, on which
// all hosts agree.
func (pl *pool) leastWork(local, remote []*upstream, loads map[uint32]Load, r Request) *upstream {
	preferred := highestRanked(local, r.Group)
	// Processing a long prefix once in each zone costs more than sending its
	// requests to another zone.
	if preferred == nil || r.SharedTokens > crossZoneWork {
		preferred = highestRanked(slices.Concat(local, remote), r.Group)
	}
	prefixCaches := pl.prefixCachesOf(r.Group)
	var best *upstream
	var bestWork float64
	var bestRank uint64
	consider := func(u *upstream, work float64) {
		work += u.work + float64(loads[u.loadID()].Work)
		if u != preferred && !slices.Contains(prefixCaches, u.hash) {
			work += uncachedTokenCost * r.SharedTokens
		}
		rank := mix64(u.hash ^ r.Group)
		if r.Group == 0 {
			rank = 0
		}
		if best == nil || work < bestWork || work == bestWork && rank > bestRank {
			best, bestWork, bestRank = u, work, rank
		}
	}
	for _, u := range local {
		consider(u, 0)
	}
	for _, u := range remote {
		if u == preferred {
			consider(u, 0)
		} else {
			consider(u, crossZoneWork)
		}
	}
	return best
}

// highestRanked returns the upstream with the highest rendezvous rank for the
// group, nil if group is zero.
func highestRanked(ups []*upstream, group uint64) *upstream {
	if group == 0 {
		return nil
	}
	var best *upstream
	for _, u := range ups {
		if best == nil || mix64(u.hash^group) > mix64(best.hash^group) {
			best = u
		}
	}
	return best
}

// prefixCachesOf returns the hashes of the upstreams that were sent requests of
// the group.
func (pl *pool) prefixCachesOf(group uint64) []uint64 {
	hashes, _ := pl.prefixCaches.Get(group) // Absent means none.
	return hashes
}

// addPrefixCache records that the upstream has the group's prefix cached.
// Beyond maxPrefixCaches, the oldest entry is dropped.
func (pl *pool) addPrefixCache(u *upstream, group uint64) {
	if group == 0 {
		return
	}
	hashes := pl.prefixCachesOf(group)
	if len(hashes) >= maxPrefixCaches {
		hashes = hashes[1:]
	}
	pl.prefixCaches.Put(group, append(slices.Clip(hashes), u.hash))
}

// shortestWait returns the upstream with the shortest expected wait.
func shortestWait(local, remote []*upstream, loads map[uint32]Load) *upstream {
	var best *upstream
	var bestWait float64
	consider := func(u *upstream, factor float64) {
		firstByte := u.firstByte
		if firstByte == 0 {
			firstByte = defaultFirstByte
		}
		running := u.running + int(loads[u.loadID()].Running)
		wait := factor * float64(running+1) * float64(firstByte)
		if best == nil || wait < bestWait || wait == bestWait && u.outcomes < best.outcomes {
			best, bestWait = u, wait
		}
	}
	for _, u := range local {
		consider(u, 1)
	}
	for _, u := range remote {
		consider(u, crossZoneWaitFactor)
	}
	return best
}

// firstReinstated returns the upstream whose ejection ends first.
func firstReinstated(ups []*upstream) *upstream {
	var best *upstream
	for _, u := range ups {
		if best == nil || u.ejectedUntil.Before(best.ejectedUntil) {
			best = u
		}
	}
	return best
}

func (v VersionFilter) allows(version string) bool {
	return (v.Only == "" || v.Only == version) && (v.Except == "" || v.Except != version)
}

// usable reports whether the upstream may be sent a request: not while it is
// ejected, and one at a time while it is probed.
func (u *upstream) usable(now time.Time) bool {
	return !now.Before(u.ejectedUntil) && (!u.probing || u.running == 0)
}

// loadID identifies the upstream in the loads that hosts share.
func (u *upstream) loadID() uint32 { return uint32(u.hash) }

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
