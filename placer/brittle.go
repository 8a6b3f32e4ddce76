package placer

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// usedPlaces is the fraction of the places at a brittle upstream that several hosts
	// use together. The rest allows for requests that the upstream still runs and hosts
	// no longer count.
	usedPlaces = 0.95
	// growth is the fraction of the free places that the hosts together take between two
	// exchanges of loads. Those that were taken since the last one are not known yet.
	growth = 0.5
	// returnedPlaces is the fraction of the places beyond its share that a host gives up
	// between two exchanges while none are free, so that hosts with fewer get some.
	returnedPlaces = 0.1
	// rejectionFactor multiplies the places after a rejection, at most once in
	// rejectionInterval: several requests may be rejected for the same reason.
	rejectionFactor   = 0.8
	rejectionInterval = 100 * time.Millisecond
	// regainedPerSecond is the fraction of the slots that the places regain in a second.
	regainedPerSecond = 0.1
	// newPlaces is the fraction of the slots with which a new upstream of a brittle
	// service begins, and rampPerSecond what it gains in a second.
	newPlaces     = 0.25
	rampPerSecond = 0.5
	// denialTime is how long the word of other upstreams does not count for one that has
	// responded without it.
	denialTime = 3 * time.Second
	// toldTime is how long the word counts without a response of the upstream itself, and
	// how long other hosts are told of a word.
	toldTime = 3 * time.Second
)

// brittleness is what is known of an upstream that falls over if it must turn too many
// requests away. It ends with the upstream's incarnation.
type brittleness struct {
	// named means that the upstream, or another one of its service, has said so, last at
	// the time in at.
	named bool
	at    time.Time
	// own means that the upstream has said so to this host.
	own bool
	// deniedAt is when the upstream last responded without it.
	deniedAt time.Time
	// places is the number of requests that the upstream seems to have room for, from all
	// hosts together, at updatedAt. It grows by gain, in places per second.
	places, gain float64
	updatedAt    time.Time
	rejectedAt   time.Time
	// limit is the number of places that this host may use until the next loads of other
	// hosts arrive, if limited is true.
	limit   int
	limited bool
}

// begin starts the time in which the upstream is brittle, with a fraction of its slots.
func (b *brittleness) begin(now time.Time, slots int, fraction, gain float64) {
	size := float64(max(slots, 1))
	*b = brittleness{named: true, at: now, places: max(1, fraction*size), gain: gain * size, updatedAt: now}
}

// name records the upstream's word that it is brittle, or that of another one.
func (b *brittleness) name(now time.Time, slots int) {
	if b.named {
		b.at = now
		return
	}
	b.begin(now, slots, 1, regainedPerSecond)
}

// update lets the places grow up to the slots.
func (b *brittleness) update(now time.Time, slots int) {
	size := float64(max(slots, 1))
	b.places = min(size, b.places+b.gain*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.places == size {
		b.gain = regainedPerSecond * size
	}
}

// reject records that the upstream had no room for a request.
func (b *brittleness) reject(now time.Time, slots int) {
	if !b.named || now.Sub(b.rejectedAt) < rejectionInterval {
		return
	}
	b.update(now, slots)
	b.rejectedAt = now
	b.places = max(1, rejectionFactor*b.places)
	b.gain = regainedPerSecond * float64(max(slots, 1))
}

// share returns this host's even part of the places, of a number of hosts. The remainder
// goes to the hosts with the lowest ranks, which differ between upstreams; a negative
// rank is not known and gets none of it.
func (b *brittleness) share(hosts, rank int) int {
	if hosts <= 1 {
		return int(b.places)
	}
	divided := int(math.Floor(usedPlaces * b.places))
	if rank >= 0 && rank%hosts < divided%hosts {
		return divided/hosts + 1
	}
	return divided / hosts
}

// RecordBrittle records whether the response to the attempt says that the upstream is
// brittle, and reports whether that is a change. sentAt is when the attempt was sent: a
// response that was generated before the word does not end it.
//
// The word of one upstream counts for all of its service that have not just said
// otherwise: of many hosts, few have a response of each.
func (t *Ticket) RecordBrittle(brittle bool, sentAt time.Time) (changed bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	b, now := &t.up.brittle, t.p.settings.Clock.Now()
	switch {
	case brittle:
		changed = !b.named
		for _, u := range t.p.pools[t.up.Service].members() {
			if u == t.up || now.Sub(u.brittle.deniedAt) > denialTime {
				u.brittle.name(now, u.Slots)
			}
		}
		b.own = true
	case !sentAt.After(b.at):
	default:
		changed = b.named
		*b = brittleness{deniedAt: now}
	}
	return changed
}

// BrittleServices returns the services of which an upstream has told this host lately that
// it is brittle.
func (p *Placer) BrittleServices() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var out []string
	for name, pl := range p.pools {
		if slices.ContainsFunc(pl.upstreams, func(u *upstream) bool {
			return u.brittle.named && u.brittle.own && now.Sub(u.brittle.at) <= toldTime
		}) {
			out = append(out, name)
		}
	}
	return out
}

// AddBrittleServices adds what upstreams have told other hosts.
func (p *Placer) AddBrittleServices(services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	for _, name := range services {
		for _, u := range p.pools[name].members() {
			if !u.brittle.own && now.Sub(u.brittle.deniedAt) > denialTime {
				u.brittle.name(now, u.Slots)
			}
		}
	}
}

// hasPlace reports whether a brittle upstream has a place for a request of this host.
// While hosts do not know each other's loads, each has its share. The caller holds mu.
func (p *Placer) hasPlace(u *upstream, now time.Time) bool {
	b := &u.brittle
	if b.named && !b.own && now.Sub(b.at) > toldTime {
		*b = brittleness{}
	}
	if !b.named {
		return true
	}
	b.update(now, u.Slots)
	if p.hosts <= 1 || !b.limited || now.Sub(p.remoteLoadsAt) > remoteLoadsTTL {
		return u.running < b.share(p.hosts, p.rankAt(u))
	}
	return u.running < b.limit
}

// rankAt returns this host's rank among the hosts, rotated by a number that differs
// between upstreams; negative if unknown.
func (p *Placer) rankAt(u *upstream) int {
	if p.rank < 0 {
		return p.rank
	}
	return p.rank + int(u.incarnation)
}

// dividePlaces sets how many places this host may use at brittle upstreams until the next
// loads arrive: those that it uses now and its part of the free ones. Fractions are added
// up over the upstreams of a service, so that one of many hosts, whose part of each
// upstream is less than one place, gets some.
func (p *Placer) dividePlaces(now time.Time) {
	for _, pl := range p.pools {
		fractions := rand.Float64()
		first := rand.IntN(max(len(pl.upstreams), 1))
		for i := range pl.upstreams {
			u := pl.upstreams[(first+i)%len(pl.upstreams)]
			b := &u.brittle
			if !b.named || p.hosts <= 1 {
				continue
			}
			b.update(now, u.Slots)
			part := growth * p.freePlaces(u) / float64(p.hosts)
			if excess := u.running - b.share(p.hosts, p.rankAt(u)); part <= 0 && excess > 0 {
				part = -math.Ceil(returnedPlaces * float64(excess))
			}
			b.limit, b.limited = u.running+int(math.Floor(part)), true
			if fractions += part - math.Floor(part); fractions >= 1 {
				fractions--
				b.limit++
			}
		}
	}
}

// freePlaces returns the number of places at a brittle upstream that no host uses, zero
// if there is none, as far as this host knows.
func (p *Placer) freePlaces(u *upstream) float64 {
	return max(0, usedPlaces*u.brittle.places-float64(u.running)-float64(p.remoteLoads[u.loadID()].Running))
}

// members returns the upstreams of the pool, none of a nil one.
func (pl *pool) members() []*upstream {
	if pl == nil {
		return nil
	}
	return pl.upstreams
}

// isBrittle reports whether an upstream of the pool is brittle.
func (pl *pool) isBrittle() bool {
	for _, u := range pl.upstreams {
		if u.brittle.named && !u.Leaving && !u.withdrawal.leaving {
			return true
		}
	}
	return false
}

// Brittle reports whether any upstream of the service is brittle, and whether this host
// may soon have a place at one of those: a place is free, as far as the loads of other
// hosts tell; or, while those are not known, this host has a share, whose places become
// free as its own requests end; or its share is not known either.
func (p *Placer) Brittle(service string) (brittle, soon bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[service]
	if pl == nil || !pl.isBrittle() {
		return false, false
	}
	informed := p.settings.Clock.Since(p.remoteLoadsAt) <= remoteLoadsTTL
	return true, slices.ContainsFunc(pl.upstreams, func(u *upstream) bool {
		switch {
		case !u.brittle.named || u.Leaving || u.withdrawal.leaving || !informed && p.hosts <= 1:
			return false
		case informed:
			return p.freePlaces(u) >= 1
		}
		return p.rank < 0 || u.brittle.share(p.hosts, p.rankAt(u)) > 0
	})
}
