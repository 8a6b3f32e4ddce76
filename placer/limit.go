package placer

import (
	"time"

	"foxtailwall/throttler"
)

// limitMemory is how long hosts tell each other that a rate limit has ended,
// longer than a host is usually cut off.
const limitMemory = time.Minute

type (
	// RateLimit says that an upstream accepts a limited number of requests per
	// second, or that its limit has ended.
	RateLimit struct {
		// Upstream is the hash of the upstream's incarnation.
		Upstream uint32
		// PerSecond is the limit, from all hosts together.
		PerSecond float64
		Ended     bool
		// Age is the time since the upstream said so.
		Age time.Duration
	}

	// rateLimit is what is known about the rate limit of an upstream.
	rateLimit struct {
		perSecond float64
		named     bool
		// at is when the limit was named or, if named is false, a lower bound on when
		// it ended; zero if it was never named.
		at time.Time
		// own means that this host received it from the upstream. Only such limits
		// are told to other hosts, so that their age does not grow by each exchange.
		own  bool
		pace throttler.Pace
	}
)

// SetHosts sets the number of hosts that share the rate limits of upstreams, and
// this host's rank among them from 0, negative if unknown.
func (p *Placer) SetHosts(n, rank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts, p.rank = n, rank
}

// RecordRateLimit records the rate limit that the response to the attempt names,
// in requests per second from all hosts together, or nil if it names none. It
// reports whether that is a change. sentAt is when the attempt was sent: a
// response that was generated before the limit was named does not end it.
func (t *Ticket) RecordRateLimit(perSecond *float64, sentAt time.Time) (changed bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	limit := &t.up.limit
	switch {
	case perSecond != nil:
		return t.p.setLimit(t.up, rateLimit{perSecond: *perSecond, named: true, at: t.p.settings.Clock.Now(), own: true})
	case limit.named && sentAt.After(limit.at):
		return t.p.setLimit(t.up, rateLimit{at: sentAt, own: true})
	}
	return false
}

// setLimit replaces what is known about an upstream's rate limit and reports
// whether the limit has changed.
func (p *Placer) setLimit(u *upstream, next rateLimit) (changed bool) {
	before := u.limit
	next.pace = before.pace
	if next.named && !before.named {
		next.pace.Reset(throttler.Phase(p.settings.Host, u.ID), p.settings.Clock.Now())
	}
	u.limit = next
	return next.named != before.named || next.perSecond != before.perSecond
}

// throttled reports whether the upstream's rate limit forbids a request now.
func (p *Placer) throttled(u *upstream, now time.Time) bool {
	if !u.limit.named {
		return false
	}
	limit := throttler.Limit{PerSecond: u.limit.perSecond, Hosts: p.hosts, Rank: p.rankAt(u)}
	return !u.limit.pace.Allows(limit, now)
}

// RateLimited reports whether any upstream of the service has a rate limit.
func (p *Placer) RateLimited(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl := p.pools[service]; pl != nil {
		for _, u := range pl.upstreams {
			if u.limit.named && !u.Leaving && !u.withdrawal.leaving {
				return true
			}
		}
	}
	return false
}

// RateLimits returns the rate limits that this host received from upstreams, and
// those that have ended within limitMemory.
func (p *Placer) RateLimits() []RateLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var out []RateLimit
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			age := now.Sub(u.limit.at)
			if u.limit.own && (u.limit.named || age <= limitMemory) {
				out = append(out, RateLimit{Upstream: u.incarnation, PerSecond: u.limit.perSecond, Ended: !u.limit.named, Age: age})
			}
		}
	}
	return out
}

// AddRateLimits adds what other hosts have received from upstreams, if it is newer
// than what this host knows, and returns the IDs of the upstreams whose limits
// have changed.
func (p *Placer) AddRateLimits(limits []RateLimit) (changed []string) {
	if len(limits) == 0 {
		return nil
	}
	told := make(map[uint32]RateLimit, len(limits))
	for _, l := range limits {
		told[l.Upstream] = l
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			l, ok := told[u.incarnation]
			at := now.Add(-l.Age)
			if !ok || !at.After(u.limit.at) {
				continue
			}
			if p.setLimit(u, rateLimit{perSecond: l.PerSecond, named: !l.Ended, at: at}) {
				changed = append(changed, u.ID)
			}
		}
	}
	return changed
}
