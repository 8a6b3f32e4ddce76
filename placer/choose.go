package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPrefixCaches bounds the upstreams that are remembered for a group.
	maxPrefixCaches = 6
	// maxFirstHomes is the number of upstreams that may be a group's first home.
	maxFirstHomes = 4
)

// chooseUpstream returns the upstream for r, nil if there is none, and what recordChoice
// needs if r is sent. It uses up nothing, so that it also serves estimates. Upstreams of
// the own zone are preferred unless others are much less loaded. Ejected or unreachable
// upstreams are the last resort.
func (p *Placer) chooseUpstream(pl *pool, r Request) (*upstream, coldChoice) {
	now := p.settings.Clock.Now()
	loads := p.remoteLoads
	if now.Sub(p.remoteLoadsAt) > remoteLoadsTTL {
		loads = nil
	}
	local, remote, unusable := p.memory.local[:0], p.memory.remote[:0], p.memory.unusable[:0]
	defer func() { p.memory.local, p.memory.remote, p.memory.unusable = local, remote, unusable }()
	cold := p.newColdChoice(now)
	// The flags spare most upstreams the calls.
	anyVersion, mayBeCold := r.Versions == (VersionFilter{}), p.cold.rates[pl.service()].PerSecond > 0
	for _, u := range pl.upstreams {
		switch {
		case u.Leaving || len(p.evacuated) > 0 && p.evacuated[u.Zone] || u.withdrawal.refuses(now) || !anyVersion && !r.Versions.allows(u.Version):
		case len(r.Tried) > 0 && slices.Contains(r.Tried, u.Key()):
		case u.limit.named && p.throttled(u, now) || u.brittle.named && !p.hasPlace(u, now):
		case mayBeCold && p.withheld(&cold, u, now):
		case r.MaxConns > 0 && float64(u.running+u.remoteRunning(loads)) >= usableConnFraction*float64(r.MaxConns):
			// A further connection would be reset, which leaves it unknown
			// whether the request has run.
		case !u.misdirectedAt.IsZero() && now.Sub(u.misdirectedAt) < misdirectedProbeInterval:
			// The request would certainly be refused.
		case !u.usable(now) || !u.path.usable(now):
			unusable = append(unusable, u)
		case u.Zone == p.settings.Zone:
			local = append(local, u)
		default:
			remote = append(remote, u)
		}
	}
	if len(local)+len(remote)+len(unusable) == 0 {
		trial := p.coldTrial(&cold, now)
		return trial, cold
	}
	if len(local)+len(remote) == 0 {
		return firstReinstated(unusable), cold
	}
	if r.Work > 0 {
		firstHomes := 1
		if loads != nil && p.remoteLoadsInterval <= maxCoordinationInterval {
			firstHomes = maxFirstHomes
		}
		if pl.estimates(r) {
			return p.earliestFirstByte(pl, local, remote, loads, firstHomes, r), cold
		}
		return p.leastWork(pl, local, remote, loads, firstHomes, r), cold
	}
	return shortestWait(local, remote, loads), cold
}

// leastWork returns the upstream with the least work before the request's first
// byte. Processing the group's prefix counts as work where it is not cached.
// Equals are ranked by rendezvous hashing.
//
// It handles loads in which a few groups get much of the traffic: their
// requests stay where their prefix is cached until the wait there is longer
// than processing it elsewhere. Hosts tell each other where that was. A group
// that is cached nowhere goes to the least loaded of its firstHomes highest
// ranked upstreams, so that hosts that meet it at the same time mostly agree, and
// the groups' homes do not pile up on a few engines.
func (p *Placer) leastWork(pl *pool, local, remote []*upstream, loads map[uint32]Load, firstHomes int, r Request) *upstream {
	homes := p.homes(pl, local, remote, firstHomes, r)
	var best *upstream
	var bestWork float64
	for i, zone := range [...][]*upstream{local, remote} {
		zoneWork := float64(i * crossZoneWork)
		for _, u := range zone {
			work := u.work
			if loads != nil {
				work += float64(u.admitted.remote.Work)
			}
			home := slices.Contains(homes, u)
			if !home {
				work += uncachedTokenCost * r.SharedTokens
			}
			// Processing a long prefix once in each zone costs more than sending its
			// requests to another zone.
			if !home || r.SharedTokens <= crossZoneWork {
				work += zoneWork
			}
			if best == nil || work < bestWork || work == bestWork && u.outranks(best, r.Group) {
				best, bestWork = u, work
			}
		}
	}
	return best
}

// outranks reports whether the upstream has a higher rendezvous rank for the group than
// another one; no upstream has without a group.
func (u *upstream) outranks(other *upstream, group uint64) bool {
	return group != 0 && mix64(u.hash^group) > mix64(other.hash^group)
}

// homes returns the upstreams at which the group's prefix costs nothing extra:
// those that have it cached or, if none has, those that may be the first. A short prefix has homes in each zone.
func (p *Placer) homes(pl *pool, local, remote []*upstream, firstHomes int, r Request) []*upstream {
	if r.Group == 0 {
		return nil
	}
	candidates := local
	if len(local) == 0 || r.SharedTokens > crossZoneWork {
		p.memory.candidates = append(append(p.memory.candidates[:0], local...), remote...)
		candidates = p.memory.candidates
	}
	caches := pl.peekPrefixCaches(r.Group)
	var homes []*upstream
	for _, u := range candidates {
		if slices.Contains(caches, u.loadID()) {
			homes = append(homes, u)
		}
	}
	if len(homes) > 0 {
		return homes
	}
	return highestRanked(candidates, r.Group, firstHomes)
}

// highestRanked returns the n upstreams with the highest rendezvous rank for the
// group, highest first, or all if there are fewer.
func highestRanked(ups []*upstream, group uint64, n int) []*upstream {
	top := make([]*upstream, 0, n+1)
	for _, u := range ups {
		i, _ := slices.BinarySearchFunc(top, u, func(a, b *upstream) int {
			return cmp.Compare(mix64(b.hash^group), mix64(a.hash^group))
		})
		if i < n {
			top = slices.Insert(top, i, u)[:min(len(top)+1, n)]
		}
	}
	return top
}

// peekPrefixCaches is prefixCachesOf for a choice that may send nothing, after which the
// group is not kept any longer.
func (pl *pool) peekPrefixCaches(group uint64) []uint32 {
	hashes, _ := pl.prefixCaches.Peek(groupID(group)) // Absent means none.
	return hashes
}

// prefixCachesOf returns the hashes of the upstreams that were sent requests of
// the group.
func (pl *pool) prefixCachesOf(group uint64) []uint32 { return pl.cachesOf(groupID(group)) }

func (pl *pool) cachesOf(group uint32) []uint32 {
	hashes, _ := pl.prefixCaches.Get(group) // Absent means none.
	return hashes
}

// addPrefixCache records that the upstream has the group's prefix cached.
// Beyond maxPrefixCaches, the oldest entry is dropped.
func (pl *pool) addPrefixCache(group, upstream uint32) {
	hashes := pl.cachesOf(group)
	if len(hashes) >= maxPrefixCaches {
		hashes = hashes[1:]
	}
	pl.prefixCaches.Put(group, append(slices.Clip(hashes), upstream))
}

// removePrefixCache records that the upstream does not have the group's prefix
// cached.
func (pl *pool) removePrefixCache(group, upstream uint32) {
	hashes := pl.cachesOf(group)
	if i := slices.Index(hashes, upstream); i >= 0 {
		pl.prefixCaches.Put(group, slices.Concat(hashes[:i], hashes[i+1:]))
	}
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
		running := u.running + u.remoteRunning(loads)
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

// groupID identifies a group in the placements that hosts share.
func groupID(group uint64) uint32 { return uint32(group ^ group>>32) }

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
