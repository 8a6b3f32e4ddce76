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
	// maxUndecided bounds the broken attempts at an upstream that are counted later; the
	// failure rate hardly changes with further ones.
	maxUndecided = 16
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
	// resets has the services of the upstreams, by their hash, whose connections ended
	// before the first byte of a response since data was last received from any.
	// resetRequest is the first request to which that happened, and severalReset whether
	// it has happened to another one.
	resets       map[uint64]string
	resetRequest uint64
	severalReset bool
	// failedProbes has the hashes of the upstreams that have not responded to a probe
	// since data was last received from any.
	failedProbes map[uint64]bool
	// undecided has the number of attempts at each upstream that have broken since data
	// was last received from any.
	undecided map[*upstream]int
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

// recordBroken records an attempt that ended with Broken, Reset or Unsent.
func (r *reach) recordBroken(u *upstream, outcome Outcome, request uint64) {
	if outcome != Unsent && !r.partitioned {
		if r.undecided == nil {
			r.undecided = make(map[*upstream]int)
		}
		r.undecided[u] = min(r.undecided[u]+1, maxUndecided)
	}
	if outcome == Broken {
		return
	}
	if r.resets == nil {
		r.resets = make(map[uint64]string)
	}
	if len(r.resets) == 0 {
		r.resetRequest = request
	}
	r.severalReset = r.severalReset || request != r.resetRequest
	r.resets[u.hash] = u.Service
}

// recordProbeFailed records that an upstream has not responded to a probe.
func (r *reach) recordProbeFailed(u *upstream, now time.Time) {
	if r.failedProbes == nil {
		r.failedProbes = make(map[uint64]bool)
	}
	r.failedProbes[u.hash] = true
	r.recordUnreached(u, now)
}

// recordReceived records that data was received from an upstream.
func (r *reach) recordReceived(now time.Time) {
	r.receivedAt, r.partitioned, r.severalReset = now, false, false
	clear(r.unreached)
	clear(r.resets)
	clear(r.failedProbes)
	clear(r.undecided)
}

// hasFailed reports whether the upstream has failed since data was last received.
func (r *reach) hasFailed(u *upstream) bool {
	_, unreached := r.unreached[u.hash]
	_, reset := r.resets[u.hash]
	return unreached || reset
}

// failedServices returns the services with upstreams that have failed since data was
// last received.
func (r *reach) failedServices() map[string]bool {
	failed := make(map[string]bool)
	for _, service := range r.unreached {
		failed[service] = true
	}
	for _, service := range r.resets {
		failed[service] = true
	}
	return failed
}

// suspected reports whether the resets may be due to this host's own path. Those of a
// single request may be due to the request.
func (r *reach) suspected(listed int) bool {
	return r.severalReset && !r.partitioned && listed >= leastUnreachedUpstreams
}

// update reports whether this host is partitioned from all of the listed upstreams.
func (r *reach) update(listed int, now time.Time) bool {
	needed := max(min(minUnreachedUpstreams, listed), leastUnreachedUpstreams)
	switch {
	case len(r.unreached) >= needed && now.Sub(r.since) >= partitionTime:
		r.partitioned = true
	case r.suspected(listed) && len(r.failedProbes) >= needed:
		// New connections to other upstreams fail too.
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
	return p.reach.failedServices()[service]
}

// Suspected reports whether the connections of several requests were reset before the
// first byte of a response, and no data came from any upstream since, so that probes are
// to show whether this host reaches upstreams.
func (p *Placer) Suspected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isPartitioned() && p.reach.suspected(p.listed())
}

// SuspectedFrom reports whether Suspected is true and a connection to an upstream of the
// service was reset.
func (p *Placer) SuspectedFrom(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.isPartitioned() && p.reach.suspected(p.listed()) && p.reach.failedServices()[service]
}

// listed returns the number of listed upstreams. The caller holds mu.
func (p *Placer) listed() int {
	n := 0
	for _, pl := range p.pools {
		n += len(pl.upstreams)
	}
	return n
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
	if !p.reach.update(p.listed(), p.settings.Clock.Now()) {
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
	p.recordReached()
}

// recordReached records that this host reaches an upstream. Attempts that have broken
// before were then broken by their upstreams, unless the host was partitioned. The caller
// holds mu.
func (p *Placer) recordReached() {
	now := p.settings.Clock.Now()
	if !p.reach.partitioned {
		for u, n := range p.reach.undecided {
			for range n {
				u.recordOutcome(Broken, 0, now)
				p.ejectOutlier(u)
			}
		}
	}
	p.reach.recordReceived(now)
}

// forgive ends the ejections of the upstreams to which this host has lost its path, and
// does not tell other hosts of them. The caller holds mu.
func (p *Placer) forgive() {
	p.unreachable = nil
	clear(p.reach.undecided)
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if _, ok := p.reach.unreached[u.hash]; ok {
				u.ejectedUntil, u.ejections, u.probing = time.Time{}, 0, false
			}
		}
	}
}

// NextProbed returns the upstream to probe next while this host is partitioned or
// suspected to be, each in turn, but first those that have not failed, of services none
// of whose have; ok is false if there is none.
func (p *Placer) NextProbed() (u tracker.Upstream, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var all []*upstream
	cold := p.newColdChoice(now)
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			switch {
			case u.Leaving || p.evacuated[u.Zone] || u.withdrawal.refuses(now) || p.throttled(u, now):
			case p.withheld(&cold, u, now):
			default:
				all = append(all, u)
			}
		}
	}
	if len(all) == 0 {
		trial := p.coldTrial(&cold, now)
		p.recordChoice(cold, trial != nil, now)
		if trial != nil {
			p.takeColdPermit(trial, now)
			return trial.Upstream, true
		}
		return tracker.Upstream{}, false
	}
	p.recordChoice(cold, true, now)
	failed := p.reach.failedServices()
	without := func(has func(u *upstream) bool) {
		if rest := slices.DeleteFunc(slices.Clone(all), has); len(rest) > 0 {
			all = rest
		}
	}
	without(p.reach.hasFailed)
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
				p.reach.recordProbeFailed(u, p.settings.Clock.Now())
			}
		}
	}
}

// RecordReached records that an upstream has responded to a probe.
func (p *Placer) RecordReached() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach.partitioned {
		p.suspectAll("", p.settings.Clock.Now())
	}
	p.recordReached()
}
