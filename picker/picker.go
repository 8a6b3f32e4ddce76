// Package picker decides which replica runs a request, among up to 1,500
// replicas of the model version that package chooser planned.
//
// The score of a replica is its expected wait plus the prefill time of the
// prompt tokens that are not in its prefix cache. Load reports lag, so the
// picker adds the requests that this host sent since the report was sampled and
// subtracts those that ended since. The reported requests of other hosts count
// less as the report ages. Hosts that see the same stale report spread their
// requests by drawing at random among the replicas whose scores are close to
// the best, with weights that fall exponentially with the score.
//
// # Usage
//
//	p := picker.New(picker.Settings{Zone: "a", Clock: clock, Seed: seed})
//	pool := p.Pool(targets) // once per configuration and version
//
//	choice, ok := p.Pick(picker.Request{Prefixes: hashes, PromptTokens: n}, pool)
//	ticket := p.RecordSent(choice.Replica)
//	defer p.Done(ticket, true)
//
// The code that polls the upstreams passes on load reports and cache events:
//
//	p.Report(address, picker.LoadReport{Incarnation: inc, At: sampled, Running: 4, Slots: 16})
//	p.CacheEvents(address, inc, events)
//
// Long prompts and other requests run on different replicas of a pool as long
// as the load allows; see separation.
//
// Package monitor sets the weight of each replica: a replica with weight zero
// gets no requests, and one with a weight below one is returning to service.
//
//	p.Replica(address).SetWeight(w)
//
// Settings.Policy replaces the score by a simpler policy for comparison.
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
	// defaultCrossZoneWait is the expected wait in the host's own zone above
	// which replicas of other zones are considered.
	defaultCrossZoneWait = 150 * time.Millisecond
	// defaultServiceTime is how long a request is expected to occupy a slot
	// before the replica has completed any requests.
	defaultServiceTime = 2 * time.Second
	// defaultPrefillRate is in prompt tokens per second.
	defaultPrefillRate = 8000
	// spreadRatio is the default spread as a fraction of the service time for
	// fullSpreadHosts hosts or more; fewer hosts get proportionally less. With
	// 40 hosts and reports half a second old, a fifth of it made hosts choose
	// the same replicas: the 95th percentile of the time to first token rose
	// from 2.4 s to 4.3 s. With 6 hosts the full ratio spreads too widely:
	// 796 ms to the first token in the festival scenario at 50 requests/s.
	spreadRatio     = 0.05
	fullSpreadHosts = 40
	// crossZonePenalty is added to the score of replicas in other zones, so
	// that none is chosen for a saving that the longer network path consumes.
	crossZonePenalty = 5 * time.Millisecond
	// maxSeparationWait is the most, in seconds, that the separation penalty
	// adds to the wait that is compared with CrossZoneWait. It is below the
	// default of CrossZoneWait, so that an idle zone keeps its long prompts while
	// a zone under some load may use other zones' replicas for them.
	maxSeparationWait = 0.12
	// noiseSize is the number of precomputed noise values: a power of two above
	// the largest pool, so that no value is used twice in one scan.
	noiseSize = 4096
	// noiseMin and noiseMax bound the noise, in multiples of the spread. A
	// replica whose score exceeds the best by more than noiseMax - noiseMin is
	// never chosen.
	noiseMin, noiseMax = -2, 8
)

type (
	// Settings configure a Picker. The zero value works.
	Settings struct {
		// Zone is the availability zone of this host.
		Zone  string
		Clock timekeeper.Clock
		// Seed of the random choices. Pickers with the same seed make the same
		// choices.
		Seed uint64
		// Hosts is the number of hosts that pick among the same replicas from
		// the same reports. Zero means fullSpreadHosts.
		Hosts int
		// CrossZoneWait is the expected wait in the host's own zone above which
		// other zones are considered. Zero means 150 ms.
		CrossZoneWait time.Duration
		// ServiceTime is the initial estimate of how long a request occupies a
		// slot. Zero means 2 s.
		ServiceTime time.Duration
		// PrefillRate is in prompt tokens per second. Zero means 8000.
		PrefillRate float64
		// Spread is the increase in score that divides the probability of a
		// replica by e. Zero means up to a twentieth of ServiceTime, in
		// proportion to Hosts.
		Spread time.Duration
		// MaxPrefixes bounds the number of prefixes in the index. Zero means
		// 65536.
		MaxPrefixes int
		// PrefixAge is the time after which a cached prefix is dropped from the
		// index. Zero means 10 minutes.
		PrefixAge time.Duration
		// Policy overrides the selection. Nil means the score of this package.
		Policy Policy
	}

	// Request describes a request to Pick.
	Request struct {
		// Prefixes are the chained hashes of the prompt's leading blocks,
		// shortest prefix first.
		Prefixes []uint64
		// PromptTokens is the estimated length of the whole prompt.
		PromptTokens int
		// Exclude lists replicas that must not be chosen, such as those already
		// tried.
		Exclude []*Replica
	}

	// Choice is a selected replica.
	Choice struct {
		Replica *Replica
		// CachedTokens is the number of prompt tokens expected in the replica's
		// prefix cache.
		CachedTokens int
		// Wait is the expected wait for a slot.
		Wait time.Duration
		// CrossZone is true if the replica is in another zone.
		CrossZone bool
	}

	// Policy selects a replica of a pool. It returns false when no replica can
	// take the request.
	Policy interface {
		Pick(r Request, pool *Pool) (Choice, bool)
	}

	// Picker selects replicas. It is safe for concurrent use. Make it with
	// New.
	Picker struct {
		settings    Settings
		index       *prefixIndex
		mu          sync.RWMutex
		replicas    map[netip.AddrPort]*Replica
		randomState atomic.Uint64
		noise       [noiseSize]float32
	}

	// selection is the replica with the lowest score so far in one pick.
	selection struct {
		replica *Replica
		score   float64
		// minWait is the shortest wait seen, in seconds.
		minWait float64
		// cached is the number of prompt tokens in the prefix cache.
		cached int
		found  bool
	}
)

// New returns a Picker that knows no replicas yet.
func New(s Settings) *Picker {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	s.CrossZoneWait = orDefault(s.CrossZoneWait, defaultCrossZoneWait)
	s.ServiceTime = orDefault(s.ServiceTime, defaultServiceTime)
	if s.Hosts <= 0 || s.Hosts > fullSpreadHosts {
		s.Hosts = fullSpreadHosts
	}
	share := spreadRatio * float64(s.Hosts) / fullSpreadHosts
	s.Spread = orDefault(s.Spread, time.Duration(share*float64(s.ServiceTime)))
	s.PrefillRate = orDefault(s.PrefillRate, defaultPrefillRate)
	s.MaxPrefixes = orDefault(s.MaxPrefixes, defaultMaxPrefixes)
	s.PrefixAge = orDefault(s.PrefixAge, defaultPrefixAge)
	p := &Picker{settings: s, index: newPrefixIndex(s.MaxPrefixes, s.PrefixAge, s.Clock.Now()), replicas: make(map[netip.AddrPort]*Replica)}
	p.randomState.Store(s.Seed)
	spread := s.Spread.Seconds()
	for i := range p.noise {
		uniform := (float64(p.random()>>11) + 0.5) / (1 << 53)
		gumbel := -math.Log(-math.Log(uniform))
		p.noise[i] = float32(min(max(gumbel, noiseMin), noiseMax) * spread)
	}
	return p
}

// Replica returns the replica at the address and creates it if it is unknown.
func (p *Picker) Replica(address netip.AddrPort) *Replica {
	if r := p.lookup(address); r != nil {
		return r
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.replicas[address]
	if !ok {
		r = newReplica(address, p.settings.ServiceTime)
		p.replicas[address] = r
	}
	return r
}

// Retain removes every replica for which keep returns false.
func (p *Picker) Retain(keep func(netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, replica := range p.replicas {
		if !keep(address) {
			replica.SetWeight(0)
			p.index.removeReplica(replica)
			delete(p.replicas, address)
		}
	}
}

// RecordSent records that a request is about to be sent to the replica. Every
// ticket must be passed to Done.
func (p *Picker) RecordSent(r *Replica) Ticket { return r.recordSent(p.settings.Clock.Now()) }

// Done records the end of a request. Only completed requests update the mean
// service time.
func (p *Picker) Done(t Ticket, completed bool) { t.replica.end(t, p.settings.Clock.Now(), completed) }

// Report applies a load report of a known replica. Reports of older
// incarnations and reports sampled before the newest one are ignored.
func (p *Picker) Report(address netip.AddrPort, report LoadReport) {
	if r := p.lookup(address); r != nil && r.applyReport(report, p.settings.Clock.Now()) {
		p.index.invalidateOlder(r, report.Incarnation)
	}
}

// CacheEvents applies events of the replica's prefix cache, in the order of
// their sequence numbers.
func (p *Picker) CacheEvents(address netip.AddrPort, incarnation uint64, events []CacheEvent) {
	if r := p.lookup(address); r != nil {
		p.index.applyEvents(r, incarnation, events, p.settings.Clock.Now())
	}
}

// Pick selects a replica of the pool. It returns false when no replica can
// take the request.
func (p *Picker) Pick(r Request, pool *Pool) (Choice, bool) {
	if p.settings.Policy != nil {
		return p.settings.Policy.Pick(r, pool)
	}
	prefill := float64(r.PromptTokens) / p.settings.PrefillRate
	separated := pickSeparation{longRanks: pool.separation.recordWork(prefill, p.settings.ServiceTime.Seconds(), len(pool.all)), longPrompt: prefill >= longPrefill, mismatchPenalty: separationPenalty * p.settings.Spread.Seconds()}
	best := p.selectByScore(r, pool.own, pool.ownRanks, separated, 0)
	cross := !best.found || best.minWait > p.settings.CrossZoneWait.Seconds()
	if cross {
		best = best.merge(p.selectByScore(r, pool.other, pool.otherRanks, separated, crossZonePenalty.Seconds()))
	}
	if len(r.Prefixes) > 0 {
		best = p.preferCacheHolder(r, pool, separated, cross, best)
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

// merge returns the selection with the lower score, s if they are equal.
func (s selection) merge(other selection) selection {
	if !s.found || other.found && other.score < s.score {
		return other
	}
	return s
}

// selectByScore returns the replica with the lowest wait minus Gumbel noise,
// which draws each replica with a probability proportional to
// exp(-wait/spread).
func (p *Picker) selectByScore(r Request, replicas []*Replica, ranks []int, separated pickSeparation, penalty float64) selection {
	best := selection{score: math.Inf(1), minWait: math.Inf(1)}
	draw := p.random()
	noiseIndex, stride := uint32(draw), uint32(draw>>32)|1
	for i, replica := range replicas {
		noiseIndex += stride
		separationWait := separated.penalty(ranks[i])
		wait := replica.wait() + min(separationWait, maxSeparationWait)
		score := replica.wait() + separationWait + penalty - float64(p.noise[noiseIndex%noiseSize])
		if score >= best.score && wait >= best.minWait || math.IsInf(wait, 1) || slices.Contains(r.Exclude, replica) {
			continue
		}
		best.minWait = min(best.minWait, wait)
		if score < best.score {
			best.replica, best.score, best.found = replica, score, true
		}
	}
	return best
}

// preferCacheHolder returns the replica that holds a prefix of the prompt if
// the prefill it saves exceeds its additional wait, or else best. Noise decides
// among the holders as in selectByScore, since hosts that share a stale report
// would otherwise all send a popular prompt to the same one.
func (p *Picker) preferCacheHolder(r Request, pool *Pool, separated pickSeparation, cross bool, best selection) selection {
	var found [maxMatches]match
	holder := selection{score: math.Inf(1)}
	holderWait := math.Inf(1)
	noiseIndex := uint32(p.random())
	for _, hit := range p.index.findHolders(r.Prefixes, p.settings.Clock.Now(), found[:0]) {
		hitZone := pool.zone(hit.replica)
		if hitZone == zoneNone || hitZone == zoneOther && !cross || slices.Contains(r.Exclude, hit.replica) {
			continue
		}
		cached := r.PromptTokens * hit.depth / len(r.Prefixes)
		wait := pool.waitWithPenalties(hit.replica, separated) - float64(cached)/p.settings.PrefillRate
		noiseIndex++
		if score := wait - float64(p.noise[noiseIndex%noiseSize]); score < holder.score {
			holder, holderWait = selection{replica: hit.replica, score: score, cached: cached, found: true}, wait
		}
	}
	if holder.found && (!best.found || holderWait < pool.waitWithPenalties(best.replica, separated)) {
		return holder
	}
	return best
}

// waitWithPenalties returns the expected wait in seconds plus the penalties for
// another zone and for the separation of long prompts.
func (p *Pool) waitWithPenalties(r *Replica, separated pickSeparation) float64 {
	wait := r.wait() + separated.penalty(p.ranks[r])
	if p.zone(r) == zoneOther {
		wait += crossZonePenalty.Seconds()
	}
	return wait
}

func (p *Picker) lookup(address netip.AddrPort) *Replica {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.replicas[address]
}

// random returns the next value of a splitmix64 sequence. It needs no lock.
func (p *Picker) random() uint64 {
	z := p.randomState.Add(0x9e3779b97f4a7c15)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func orDefault[T int | float64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}
