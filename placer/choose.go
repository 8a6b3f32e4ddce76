package placer

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// choose returns the upstream for r. Healthy upstreams of the own zone come
// first, then healthy ones elsewhere, then those that are passed over.
func (p *Placer) choose(pl *pool, r Request) *upstream {
	now := p.set.Clock.Now()
	var near, far, out []*upstream
	for _, u := range pl.ups {
		switch {
		case u.Leaving || !r.Versions.allow(u.Version) || slices.Contains(r.Tried, u.Key()):
		case !u.usable(now):
			out = append(out, u)
		case u.Zone == p.set.Zone:
			near = append(near, u)
		default:
			far = append(far, u)
		}
	}
	switch {
	case len(near)+len(far) == 0:
		return soonest(out)
	case len(near) == 0:
		return pick(far, r)
	}
	u := pick(near, r)
	if len(far) > 0 && u.full(r) {
		if other := pick(far, r); !other.full(r) {
			return other
		}
	}
	return u
}

func pick(ups []*upstream, r Request) *upstream {
	if r.Work > 0 {
		return grouped(ups, r.Group)
	}
	return shortest(ups)
}

// grouped returns the upstream with the highest rank for the group among
// those whose load is near the mean or below.
//
// It answers a load in which a few subjects get much of the traffic: their
// requests stay where their prompts are cached until that engine has more than
// its part, and then overflow to the next in rank, which all hosts agree on.
func grouped(ups []*upstream, group uint64) *upstream {
	sum := 0.0
	for _, u := range ups {
		sum += u.work
	}
	bound := loadBound*sum/float64(len(ups)) + loadSlack
	var best *upstream
	var rank uint64
	for _, u := range ups {
		if u.work > bound {
			continue
		}
		h := mix(u.hash ^ group)
		if group == 0 {
			// Without a group, the least loaded upstream ranks first.
			h = ^uint64(u.work)
		}
		if best == nil || h > rank {
			best, rank = u, h
		}
	}
	return best
}

// shortest returns the upstream with the shortest expected wait.
func shortest(ups []*upstream) *upstream {
	var best *upstream
	var least time.Duration
	for _, u := range ups {
		first := u.first
		if first == 0 {
			first = unknownLatency
		}
		wait := time.Duration(u.running+1) * first
		if best == nil || wait < least || wait == least && u.outcomes < best.outcomes {
			best, least = u, wait
		}
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

// full reports whether this host fills its part of the upstream.
func (u *upstream) full(r Request) bool {
	if r.Work > 0 {
		return float64(u.running) >= spillShare*float64(u.Slots)
	}
	return u.running >= plainSpill
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
