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
	// unreached are the hashes of the upstreams that could not be reached since data was
	// last received from any, the first of them at since.
	unreached map[uint64]bool
	since     time.Time
	// receivedAt is when data was last received from any upstream.
	receivedAt time.Time
	// partitioned is what the last call of update returned.
	partitioned bool
	// probed is the number of upstreams that NextProbed has returned.
	probed int
}

// recordUnreached records that an upstream was not reached or sent nothing in time.
func (r *reach) recordUnreached(upstream uint64, now time.Time) {
	if r.unreached == nil {
		r.unreached = make(map[uint64]bool)
	}
	if len(r.unreached) == 0 {
		r.since = now
	}
	r.unreached[upstream] = true
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
	p.zonePath(u.Zone).recordReceived()
	p.reach.recordReceived(p.settings.Clock.Now())
}

// forgive ends the ejections of the upstreams to which this host has lost its path, and
// does not tell other hosts of them. The caller holds mu.
func (p *Placer) forgive() {
	p.unreachable = nil
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if p.reach.unreached[u.hash] {
				u.ejectedUntil, u.ejections, u.probing = time.Time{}, 0, false
			}
		}
	}
}

// NextProbed returns the upstream to probe next while this host is partitioned, each in
// turn; ok is false if there is none.
func (p *Placer) NextProbed() (u tracker.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var all []*upstream
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if !u.Leaving && !u.withdrawal.refuses(now) && !p.throttled(u, now) {
				all = append(all, u)
			}
		}
	}
	if len(all) == 0 {
		return tracker.Upstream{}, false
	}
	slices.SortFunc(all, func(a, b *upstream) int { return cmp.Compare(a.hash, b.hash) })
	p.reach.probed++
	chosen := all[p.reach.probed%len(all)]
	if chosen.limit.named {
		chosen.limit.pace.Take()
	}
	return chosen.Upstream, true
}

// RecordReached records that an upstream has responded to a probe.
func (p *Placer) RecordReached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reach.recordReceived(p.settings.Clock.Now())
}
