package placer

import (
	"cmp"
	"slices"
	"time"

	"foxtailwall/tracker"
)

const (
	// minUnreachedUpstreams is the number of upstreams that this host must fail to reach,
	// without any data from an upstream in between, before it counts as partitioned; of
	// fewer listed ones, all but not a single one.
	minUnreachedUpstreams, leastUnreachedUpstreams = 3, 2
	// partitionTime is how long it must receive no data after the first of them. While
	// only many upstreams have stopped, the others respond in that time.
	partitionTime = 300 * time.Millisecond
)

// reach tracks whether this host can reach any upstream.
//
// It handles a host that is partitioned from all upstreams while callers and other
// hosts reach it: the failures say nothing about the upstreams.
type reach struct {
	// unreached has the services of the upstreams, by their hash, that could not be
	// reached since data was last received from any, the first of them at since.
	unreached map[uint64]string
	since     time.Time
	// receivedAt is when data was last received from any upstream.
	receivedAt time.Time
	// partitioned is what the last call of update returned.
	partitioned bool
	// probed is the number of upstreams that NextProbed has returned.
	probed int
}

// recordUnreached records that an upstream was not reached or sent nothing in time.
func (r *reach) recordUnreached(u *upstream, now time.Time) {
	if r.unreached == nil {
		r.unreached = make(map[uint64]string)
	}
	if len(r.unreached) == 0 {
		r.since = now
	}
	r.unreached[u.hash] = u.Service
}

// recordReceived records that data was received from an upstream.
func (r *reach) recordReceived(now time.Time) {
	r.receivedAt, r.partitioned = now, false
	clear(r.unreached)
}

// update reports whether this host is partitioned from all of the listed upstreams.
func (r *reach) update(listed int, now time.Time) bool {
	needed := max(min(minUnreachedUpstreams, listed), leastUnreachedUpstreams)
	if len(r.unreached) >= needed && now.Sub(r.since) >= partitionTime {
		r.partitioned = true
	}
	return r.partitioned
}

// Partitioned reports whether this host seems to reach no upstream at all.
func (p *Placer) Partitioned() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPartitioned()
}

// PartitionedFrom reports whether this host seems to reach no upstream of the service,
// nor of any other. A service to which it has sent nothing since is still to be tried:
// all upstreams of the others may have stopped.
func (p *Placer) PartitionedFrom(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isPartitioned() {
		return false
	}
	for _, unreached := range p.reach.unreached {
		if unreached == service {
			return true
		}
	}
	return false
}

// Path returns when data was last received from any upstream, and what Partitioned
// returns.
func (p *Placer) Path() (receivedAt time.Time, partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reach.receivedAt, p.isPartitioned()
}

// isPartitioned is Partitioned. The caller holds mu.
func (p *Placer) isPartitioned() bool {
	before := p.reach.partitioned
	if before || len(p.reach.unreached) == 0 {
		return before
	}
	listed := 0
	for _, pl := range p.pools {
		listed += len(pl.upstreams)
	}
	if !p.reach.update(listed, p.settings.Clock.Now()) {
		return false
	}
	p.forgive()
	return true
}

// recordReceived records that data was received from an upstream. The caller holds mu.
func (p *Placer) recordReceived(u *upstream) {
	now := p.settings.Clock.Now()
	if p.reach.partitioned {
		p.suspectAll("", now)
	} else if path := p.zonePath(u.Zone); path.unreachable() {
		p.suspectAll(u.Zone, now)
	}
	p.zonePath(u.Zone).recordReceived()
	p.reach.recordReceived(now)
}

// forgive ends the ejections of the upstreams to which this host has lost its path, and
// does not tell other hosts of them. The caller holds mu.
func (p *Placer) forgive() {
	p.unreachable = nil
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if _, ok := p.reach.unreached[u.hash]; ok {
				u.ejectedUntil, u.ejections, u.probing = time.Time{}, 0, false
			}
		}
	}
}

// NextProbed returns the upstream to probe next while this host is partitioned, each in
// turn, but first those that have not failed, of services none of whose have; ok is false
// if there is none.
func (p *Placer) NextProbed() (u tracker.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var all, withheld []*upstream
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			switch {
			case u.Leaving || p.evacuated[u.Zone] || u.withdrawal.refuses(now) || p.throttled(u, now):
			case p.withheld(u, now):
				withheld = append(withheld, u)
			default:
				all = append(all, u)
			}
		}
	}
	if len(all) == 0 {
		if trial := p.coldTrial(withheld, now); trial != nil {
			p.takeColdPermit(trial, now)
			return trial.Upstream, true
		}
		return tracker.Upstream{}, false
	}
	failed := make(map[string]bool)
	for _, service := range p.reach.unreached {
		failed[service] = true
	}
	without := func(has func(u *upstream) bool) {
		if rest := slices.DeleteFunc(slices.Clone(all), has); len(rest) > 0 {
			all = rest
		}
	}
	without(func(u *upstream) bool { _, ok := p.reach.unreached[u.hash]; return ok })
	without(func(u *upstream) bool { return failed[u.Service] })
	slices.SortFunc(all, func(a, b *upstream) int { return cmp.Compare(a.hash, b.hash) })
	p.reach.probed++
	chosen := all[p.reach.probed%len(all)]
	if chosen.limit.named {
		chosen.limit.pace.Take()
	}
	p.takeColdPermit(chosen, now)
	return chosen.Upstream, true
}

// RecordUnreached records that an upstream has not responded to a probe.
func (p *Placer) RecordUnreached(key tracker.Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if u.Key() == key {
				p.reach.recordUnreached(u, p.settings.Clock.Now())
			}
		}
	}
}

// RecordReached records that an upstream has responded to a probe.
func (p *Placer) RecordReached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	if p.reach.partitioned {
		p.suspectAll("", now)
	}
	p.reach.recordReceived(now)
}
