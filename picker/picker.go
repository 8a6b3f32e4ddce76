// Package picker selects the replica that runs a request, among up to 1,500
// replicas of a version.
//
// The score of a replica is its expected wait plus the prefill time of the
// prompt tokens that are not in its prefix cache. Load reports lag, so the
// picker adds its own work sent since the report was sampled and subtracts its
// own work completed since; what it cannot know of the other hosts' work counts
// less with the age of the report. Hosts that see the same stale report spread their
// requests by drawing at random among the replicas whose scores are close to
// the best, with weights that fall exponentially with the score.
//
// # Usage
//
//	p := picker.New(picker.Settings{Zone: "a", Clock: clock, Seed: seed})
//	pool := p.Pool(targets) // once per configuration and version
//
//	choice, ok := p.Pick(picker.Request{Prefixes: hashes, PromptTokens: n}, pool)
//	ticket := p.Sent(choice.Replica)
//	defer p.Done(ticket, true)
//
// Load reports and cache events come from whoever polls the upstreams:
//
//	p.Report(address, picker.LoadReport{Incarnation: inc, At: sampled, Running: 4, Slots: 16})
//	p.CacheEvents(address, inc, events)
//
// Long prompts and other requests are kept on different replicas of a pool as
// long as the load allows; see separation.
//
// The weight of a replica comes from package monitor: zero takes it out, a
// value below one is a replica that is returning to service.
//
//	p.Replica(address).SetWeight(w)
//
// Settings.Policy replaces the selection by a simpler one for comparison.
package picker

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// defaultCrossZone is the expected wait in the own zone beyond which
	// replicas of other zones are considered.
	defaultCrossZone = 150 * time.Millisecond
	// defaultService is the time a request occupies a slot until the replica
	// has completed requests of its own to learn from.
	defaultService = 2 * time.Second
	// defaultPrefillRate is in prompt tokens per second.
	defaultPrefillRate = 8000
	// spreadOfService is the default spread as a share of the service time for
	// spreadHosts hosts or more. In trials with 40 hosts and reports half a
	// second old, a fifth of it herded: 95 in 100 first tokens came within
	// 4.3 s, against 2.4 s. With 6 hosts the whole of it mixes too much: at
	// 50 requests/s the first tokens of the festival took 796 ms.
	spreadOfService = 0.05
	spreadHosts     = 40
	// crossZonePenalty keeps a replica of another zone from being chosen for
	// a difference that the longer path consumes.
	crossZonePenalty = 5 * time.Millisecond
	// crossSeparation bounds in seconds what the separation of long prompts
	// adds to the wait in the own zone. It is below the default of CrossZone,
	// so that an idle zone keeps its requests, and lets a zone with some load
	// use the others' replicas for long prompts.
	crossSeparation = 0.12
	// noiseSize is a power of two above the largest pool, so that one pick
	// uses no noise value twice.
	noiseSize = 4096
	// noiseMin and noiseMax bound the noise, in multiples of the spread: a
	// replica that scores worse than the best by more than their difference
	// is never chosen.
	noiseMin, noiseMax = -2, 8
)

type (
	// Settings configure a Picker. The zero value works.
	Settings struct {
		// Zone is the availability zone of this host.
		Zone  string
		Clock timekeeper.Clock
		// Seed makes the random choices repeatable.
		Seed uint64
		// Hosts is the number of hosts that choose among the same replicas by
		// the same reports. Zero counts as many.
		Hosts int
		// CrossZone is the expected wait in the own zone beyond which other
		// zones are considered. Zero takes 150 ms.
		CrossZone time.Duration
		// Service is the first estimate of the time a request occupies a
		// slot. Zero takes 2 s.
		Service time.Duration
		// PrefillRate is in prompt tokens per second. Zero takes 8000.
		PrefillRate float64
		// Spread is the score difference at which the weight of a replica
		// falls by the factor e. Zero takes a twentieth of Service.
		Spread time.Duration
		// Prefixes bounds the prefix index, in prefixes. Zero takes 65536.
		Prefixes int
		// PrefixAge is the time after which a cached prefix is forgotten.
		// Zero takes 10 minutes.
		PrefixAge time.Duration
		// Policy replaces the selection. Nil takes the score of this package.
		Policy Policy
	}

	// Request is what the selection needs to know about a request.
	Request struct {
		// Prefixes are the chained hashes of the prompt's leading blocks,
		// shortest prefix first.
		Prefixes []uint64
		// PromptTokens is the estimated length of the whole prompt.
		PromptTokens int
		// Exclude lists replicas that were tried before.
		Exclude []*Replica
	}

	// Choice is a selected replica.
	Choice struct {
		Replica *Replica
		// CachedTokens is the part of the prompt expected in the prefix
		// cache.
		CachedTokens int
		// Wait is the expected wait for a slot.
		Wait time.Duration
		// CrossZone says that the replica is in another zone.
		CrossZone bool
	}

	// Policy selects a replica of a pool.
	Policy interface {
		Pick(r Request, pool *Pool) (Choice, bool)
	}

	// Picker selects replicas. It is safe for concurrent use. Make it with
	// New.
	Picker struct {
		set      Settings
		index    *prefixIndex
		mu       sync.RWMutex
		replicas map[netip.AddrPort]*Replica
		state    atomic.Uint64
		noise    [noiseSize]float32
	}
)

// New returns a picker without replicas.
func New(s Settings) *Picker {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	s.CrossZone = positive(s.CrossZone, defaultCrossZone)
	s.Service = positive(s.Service, defaultService)
	if s.Hosts <= 0 || s.Hosts > spreadHosts {
		s.Hosts = spreadHosts
	}
	share := spreadOfService * float64(s.Hosts) / spreadHosts
	s.Spread = positive(s.Spread, time.Duration(share*float64(s.Service)))
	s.PrefillRate = positive(s.PrefillRate, defaultPrefillRate)
	s.Prefixes = positive(s.Prefixes, defaultPrefixes)
	s.PrefixAge = positive(s.PrefixAge, defaultPrefixAge)
	p := &Picker{set: s, index: newPrefixIndex(s.Prefixes, s.PrefixAge, s.Clock.Now()), replicas: make(map[netip.AddrPort]*Replica)}
	p.state.Store(s.Seed)
	spread := s.Spread.Seconds()
	for i := range p.noise {
		u := (float64(p.random()>>11) + 0.5) / (1 << 53)
		gumbel := -math.Log(-math.Log(u))
		p.noise[i] = float32(min(max(gumbel, noiseMin), noiseMax) * spread)
	}
	return p
}

// Replica returns the state of the replica at the address, which is made when
// it is unknown.
func (p *Picker) Replica(address netip.AddrPort) *Replica {
	if r := p.known(address); r != nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[address]
	if !ok {
		r = newReplica(address, p.set.Service)
		p.replicas[address] = r
	}
	return r
}

// Retain forgets every replica for which keep returns false.
func (p *Picker) Retain(keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, r := range p.replicas {
		if !keep(a) {
			r.SetWeight(0)
			p.index.forget(r)
			delete(p.replicas, a)
		}
	}
}

// Sent notes that a request is about to be sent to the replica. Every ticket
// must be given to Done.
func (p *Picker) Sent(r *Replica) Ticket { return r.sent(p.set.Clock.Now()) }

// Done notes the end of a request. Only the duration of a completed request
// counts towards the replica's service time.
func (p *Picker) Done(t Ticket, completed bool) { t.replica.done(t, p.set.Clock.Now(), completed) }

// Report takes a load report. Reports of older incarnations and reports
// sampled before the newest one are ignored.
func (p *Picker) Report(address netip.AddrPort, rep LoadReport) {
	if r := p.known(address); r != nil && r.report(rep, p.set.Clock.Now()) {
		p.index.invalidate(r, rep.Incarnation)
	}
}

// CacheEvents takes events of the replica's prefix cache, in the order of
// their sequence numbers.
func (p *Picker) CacheEvents(address netip.AddrPort, incarnation uint64, events []CacheEvent) {
	if r := p.known(address); r != nil {
		p.index.apply(r, incarnation, events, p.set.Clock.Now())
	}
}

// Pick selects a replica of the pool. It returns false when no replica can
// take the request.
func (p *Picker) Pick(r Request, pool *Pool) (Choice, bool) {
	if p.set.Policy != nil {
		return p.set.Policy.Pick(r, pool)
	}
	prefill := float64(r.PromptTokens) / p.set.PrefillRate
	sep := separated{ranks: pool.separation.note(prefill, p.set.Service.Seconds(), len(pool.all)), long: prefill >= longPrefill, cost: separationPenalty * p.set.Spread.Seconds()}
	best := p.scan(r, pool.own, pool.ownRanks, sep, 0)
	cross := !best.found || best.minWait > p.set.CrossZone.Seconds()
	if cross {
		best = best.merge(p.scan(r, pool.other, pool.otherRanks, sep, crossZonePenalty.Seconds()))
	}
	if len(r.Prefixes) > 0 {
		best = p.tryHolders(r, pool, sep, cross, best)
	}
	if !best.found {
		return Choice{}, false
	}
	return Choice{
		Replica: best.replica, CachedTokens: best.cached,
		Wait:      time.Duration(best.replica.wait() * float64(time.Second)),
		CrossZone: pool.zone(best.replica) == zoneOther,
	}, true
}

// leader is the best replica seen so far in one pick.
type leader struct {
	replica *Replica
	score   float64
	minWait float64
	cached  int
	found   bool
}

func (l leader) merge(o leader) leader {
	if !l.found || o.found && o.score < l.score {
		return o
	}
	return l
}

// scan returns the replica with the lowest wait plus noise. The minimum over
// Gumbel noise draws each replica with a weight of exp(-wait/spread).
func (p *Picker) scan(r Request, replicas []*Replica, ranks []int, sep separated, penalty float64) leader {
	l := leader{score: math.Inf(1), minWait: math.Inf(1)}
	draw := p.random()
	at, stride := uint32(draw), uint32(draw>>32)|1
	for i, c := range replicas {
		at += stride
		apart := sep.penalty(ranks[i])
		wait := c.wait() + min(apart, crossSeparation)
		score := c.wait() + apart + penalty - float64(p.noise[at%noiseSize])
		if score >= l.score && wait >= l.minWait || math.IsInf(wait, 1) || slices.Contains(r.Exclude, c) {
			continue
		}
		l.minWait = min(l.minWait, wait)
		if score < l.score {
			l.replica, l.score, l.found = c, score, true
		}
	}
	return l
}

// tryHolders compares best with the replicas that hold a prefix of the prompt.
// A holder wins only while the prefill it saves exceeds its additional wait.
// Among the holders noise decides as in scan, since hosts that share a stale
// report would otherwise all send a popular prompt to the same one.
func (p *Picker) tryHolders(r Request, pool *Pool, sep separated, cross bool, best leader) leader {
	var found [maxMatches]match
	holder := leader{score: math.Inf(1)}
	value := math.Inf(1)
	at := uint32(p.random())
	for _, m := range p.index.find(r.Prefixes, p.set.Clock.Now(), found[:0]) {
		z := pool.zone(m.replica)
		if z == zoneNone || z == zoneOther && !cross || slices.Contains(r.Exclude, m.replica) {
			continue
		}
		cached := r.PromptTokens * m.depth / len(r.Prefixes)
		v := pool.value(m.replica, sep) - float64(cached)/p.set.PrefillRate
		at++
		if score := v - float64(p.noise[at%noiseSize]); score < holder.score {
			holder, value = leader{replica: m.replica, score: score, cached: cached, found: true}, v
		}
	}
	if holder.found && (!best.found || value < pool.value(best.replica, sep)) {
		return holder
	}
	return best
}

// value returns the expected wait for the replica with the costs of its zone
// and of its place in the separation.
func (p *Pool) value(r *Replica, sep separated) float64 {
	v := r.wait() + sep.penalty(p.ranks[r])
	if p.zone(r) == zoneOther {
		v += crossZonePenalty.Seconds()
	}
	return v
}

func (p *Picker) known(address netip.AddrPort) *Replica {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.replicas[address]
}

// random returns the next value of a splitmix64 sequence, which needs no lock.
func (p *Picker) random() uint64 {
	z := p.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func positive[T int | float64 | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}
