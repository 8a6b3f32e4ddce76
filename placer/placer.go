// Package placer chooses the upstream of a service for each attempt of a
// request that package forwarder proxies; package picker chooses replicas of a
// model version by polled load reports, and package chooser chooses models.
//
// The choice is based on this host's requests in progress, the outcomes of its
// attempts and the loads that other hosts share; upstreams are not
// health-checked. An upstream that names a rate limit gets no more than that from
// all hosts together. Upstreams of the host's own zone are preferred, except for
// requests that share a long prompt prefix: those are kept on the same engine
// by rendezvous hashing over all zones, until the wait there is longer than
// processing the prefix elsewhere. All hosts agree on that engine without
// messages. Requests to plain services go where the expected wait is shortest.
//
// # Usage
//
//	p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
//	p.Update(list)
//	t, ok := p.Pick(placer.Request{Service: "engines", Group: hash, Work: 1200})
//	if !ok {
//		// No upstream may serve the request now.
//	}
//	t.Done(placer.Succeeded, firstByte)
package placer

import (
	"math"
	"slices"
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

// Outcomes of attempts.
const (
	// Succeeded means that the upstream served the request.
	Succeeded Outcome = iota
	// Failed means that the upstream responded with an error status.
	Failed
	// Broken means that the response broke off or was invalid.
	Broken
	// Reset means that the connection ended before the first byte of the response. The
	// request may have run.
	Reset
	// Unsent means that the connection ended before the first byte of the request was
	// sent, which says nothing about the upstream.
	Unsent
	// Refused means that no connection could be opened.
	Refused
	// NotListening means that the upstream's host refused the connection, since no
	// process listens there.
	NotListening
	// Silent means that the upstream sent nothing within the timeout.
	Silent
	// Stale means that a connection that had worked before carried no more data,
	// which need not affect new connections.
	Stale
	// Busy means that the upstream refused the request because it is full.
	Busy
	// Misdirected means that another upstream now has the address.
	Misdirected
	// Abandoned means that the attempt ended for reasons that say nothing about
	// the upstream.
	Abandoned
)

// NeverReceived is the Load.SinceReceived of an upstream from which no data has
// arrived.
const NeverReceived time.Duration = math.MaxInt64

const (
	// baseEjection is how long an upstream is ejected after its first failure; it
	// doubles with each further one, up to maxEjection.
	baseEjection = 500 * time.Millisecond
	maxEjection  = 4 * time.Second
	// busyEjection is how long a full upstream is ejected.
	busyEjection = 60 * time.Millisecond
	// misdirectedEjection is how long an address that belongs to another upstream
	// is ejected; the list will have changed by then.
	misdirectedEjection = 10 * time.Second
	// misdirectedProbeInterval is how long no request is sent to such an address
	// even if there is no other upstream.
	misdirectedProbeInterval = time.Second
	// outlierEjection is how long an upstream is ejected that fails more often or
	// responds later than its peers.
	outlierEjection = 1500 * time.Millisecond

	// newSampleWeight is the weight of the latest attempt in the moving averages.
	newSampleWeight = 0.1
	// outlierRateMargin is how far an upstream's failure rate may exceed that of
	// its peers, and minOutcomes the number of outcomes before it is compared.
	outlierRateMargin = 0.25
	minOutcomes       = 5
	// priorFailureRate is the assumed failure rate of an unused upstream.
	priorFailureRate = 0.05
	// outlierLatencyRatio is the multiple of its peers' time to the first byte
	// that an upstream may take, and minOutlierLatency the least time that counts
	// as late.
	outlierLatencyRatio = 3.0
	minOutlierLatency   = 150 * time.Millisecond

	// uncachedTokenCost is the work that a shared prompt token counts for where it
	// is not known to be cached, whatever the model: processing it again is paid
	// for, delays later requests, and evicts other parts from the cache.
	uncachedTokenCost = 6.0
	// generationWork is the work of a request whose response has begun, in tokens:
	// it runs in a batch and hardly delays the others.
	generationWork = 60
	// maxGroups bounds the groups per service whose engines are remembered.
	maxGroups = 4096
	// maxPlacements bounds the placements that wait until other hosts are told;
	// further ones are not told.
	maxPlacements = 256
	// crossZoneWork is the work, in tokens, that a request to another zone adds,
	// to save traffic between zones. Groups with a longer shared prefix may prefer
	// an engine in any zone.
	crossZoneWork = 1500
	// usableConnFraction is the fraction of an upstream's connection limit that
	// requests may use, since idle and closing connections count as well.
	usableConnFraction = 0.8
	// crossZoneWaitFactor multiplies the expected wait at plain services of other
	// zones.
	crossZoneWaitFactor = 1.3
	// remoteLoadsTTL is how long the loads of other hosts are used after they were
	// received.
	remoteLoadsTTL = 500 * time.Millisecond
	// maxCoordinationInterval is the longest time between loads with which hosts
	// choose a group's first home by load. With older loads they would choose
	// different ones at the same time, and each would process the prefix.
	maxCoordinationInterval = 100 * time.Millisecond
	// defaultFirstByte is the assumed time to the first byte of an unused
	// upstream.
	defaultFirstByte = 20 * time.Millisecond
)

type (
	// Outcome says how an attempt ended.
	Outcome uint8

	// Settings configures a Placer.
	Settings struct {
		Clock timekeeper.Clock
		// Zone is the availability zone of this host.
		Zone string
		// Host is the name of this host.
		Host string
		// ColdOverage and ColdSlack give the bound on the requests of all hosts to a
		// cold upstream within any second: its rate times ColdOverage, plus ColdSlack. If
		// both are zero, they are 1.5 and 5.
		ColdOverage, ColdSlack float64
		// Admission bounds the requests that wait for room.
		Admission AdmissionSettings
	}

	// VersionFilter restricts the versions of a service that may be used.
	VersionFilter struct {
		// Only is the one version to use, Except the one to exclude; empty means no
		// restriction.
		Only, Except string
	}

	// Request holds the properties of a request that its placement depends on.
	Request struct {
		Service  string
		Versions VersionFilter
		// Group is the hash of the prompt prefix that requests share; they should run
		// at the same upstream. Zero means none.
		Group uint64
		// Work is the work for the request's own part of the prompt, in tokens of the
		// largest model; zero for plain services.
		Work float64
		// SharedWork is the additional work where the group's prefix is not cached.
		SharedWork float64
		// SharedTokens is the number of tokens of the prefix, not weighted by model.
		SharedTokens float64
		// MaxConns is the number of connections that an upstream accepts from all
		// hosts together, zero for no bound.
		MaxConns int
		// ID is the hash of the request's ID.
		ID uint64
		// Tried lists the upstreams to exclude because the request was sent to them.
		Tried []tracker.Key
		// Admission is what the admission of requests to engines depends on.
		Admission AdmissionRequest
	}

	// Load is the load that a host puts on an upstream.
	Load struct {
		// Upstream is the hash of the upstream's ID.
		Upstream uint32
		// Running is the number of requests in progress.
		Running uint32
		// Work is the work until the first bytes of their responses, in tokens of the
		// largest model.
		Work uint32
		// SinceReceived is the time since data last arrived from the upstream, or
		// NeverReceived.
		SinceReceived time.Duration
	}

	// Placement says that an upstream was sent a group's prefix, and so has it
	// cached.
	Placement struct {
		_ struct{} `cbor:",toarray"`
		// Group is the hash of the group, and Upstream that of the upstream's ID.
		Group, Upstream uint32
	}

	// Unreachable says that no process listens at an upstream's address or, if
	// Misdirected is set, that the address belongs to another upstream.
	Unreachable struct {
		_ struct{} `cbor:",toarray"`
		// Upstream is the hash of the upstream's ID.
		Upstream    uint32
		Misdirected bool
	}

	// Placer chooses upstreams. Create it with New. It is safe for concurrent use.
	Placer struct {
		settings Settings

		mu    sync.Mutex
		pools map[string]*pool
		// remoteLoads are the sums of the other hosts' loads by loadID, received at
		// remoteLoadsAt.
		remoteLoads   map[uint32]Load
		remoteLoadsAt time.Time
		// remoteLoadsInterval is the time between the last two loads received.
		remoteLoadsInterval time.Duration
		zonePaths           map[string]*zonePath
		reach               reach
		// evacuated has the zones whose upstreams get no requests.
		evacuated map[string]bool
		// placements are those that other hosts were not told yet, at most
		// maxPlacements.
		placements []Placement
		// unreachable are the upstreams that this host could not reach and other
		// hosts were not told yet.
		unreachable []Unreachable
		// hosts is the number of hosts that share rate limits, and rank this host's
		// rank among them.
		hosts, rank int
		cold        coldState
		memory      choiceMemory
	}

	// choiceMemory is the memory of chooseUpstream and what it calls.
	choiceMemory struct {
		local, remote, unusable, candidates, withheld []*upstream
	}

	// pool holds the upstreams of a service.
	pool struct {
		upstreams []*upstream
		// prefixCaches maps the hash of each group to those of the upstreams that were
		// sent its requests by any host, and so should have its prefix cached.
		prefixCaches *buffer.LRU[uint32, []uint32]
		// admission is nil until the service gets a request that states the slots of its
		// engines.
		admission *admission
	}

	// upstream adds this host's requests, statistics and ejections to an upstream.
	upstream struct {
		tracker.Upstream
		hash uint64
		// key is the hash of Key, and incarnation its lower half.
		key         uint64
		incarnation uint32
		// running is the number of requests in progress, and work their work in
		// tokens of the largest model.
		running int
		work    float64

		outcomes    int
		failureRate float64
		firstByte   time.Duration

		ejectedUntil time.Time
		ejections    int
		// misdirectedAt is when a request last reached another upstream at the
		// address, zero if one has reached this one since.
		misdirectedAt time.Time
		// probing lets only one request through at a time after an ejection.
		probing bool
		// lastReceived is when this host last received data from the upstream, and
		// lastReceivedElsewhere when another host did.
		lastReceived, lastReceivedElsewhere time.Time

		// path is that of the zone.
		path       *zonePath
		limit      rateLimit
		withdrawal withdrawal
		brittle    brittleness
		cold       coldness
		admitted   upstreamAdmission
	}
)

// New returns a placer without upstreams.
func New(s Settings) *Placer {
	if s.ColdOverage == 0 && s.ColdSlack == 0 {
		s.ColdOverage, s.ColdSlack = defaultColdOverage, defaultColdSlack
	}
	return &Placer{settings: s, pools: make(map[string]*pool), zonePaths: make(map[string]*zonePath)}
}

// Update replaces the list of upstreams. The state of those that remain is
// kept.
func (p *Placer) Update(list []tracker.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := make(map[tracker.Key]*upstream)
	oldPools := p.pools
	for _, pl := range oldPools {
		for _, u := range pl.upstreams {
			known[u.Key()] = u
		}
	}
	p.pools = make(map[string]*pool)
	for _, listed := range list {
		u := known[listed.Key()]
		if u == nil || u.Service != listed.Service {
			key := listed.Key().Hash()
			u = &upstream{hash: hashString(listed.ID), key: key, incarnation: uint32(key)}
			u.admitted.remote = p.remoteLoads[u.loadID()]
			if oldPool := oldPools[listed.Service]; oldPool != nil && oldPool.isBrittle() {
				// It has not said so yet, and gets the requests of the one that it replaces.
				u.brittle.begin(p.settings.Clock.Now(), listed.Slots, newPlaces, rampPerSecond)
			}
			p.beginCold(u, listed, oldPools[listed.Service])
		}
		u.Upstream = listed
		u.path = p.zonePath(listed.Zone)
		pl := p.pools[listed.Service]
		if pl == nil {
			pl = &pool{prefixCaches: buffer.NewLRU[uint32, []uint32](maxGroups)}
			if oldPool := oldPools[listed.Service]; oldPool != nil {
				pl.prefixCaches = oldPool.prefixCaches
				pl.admission = oldPool.admission
			}
			p.pools[listed.Service] = pl
		}
		pl.upstreams = append(pl.upstreams, u)
	}
}

// Pick chooses an upstream; ok is false if no upstream is available.
func (p *Placer) Pick(r Request) (t *Ticket, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[r.Service]
	if pl == nil {
		return nil, false
	}
	t = p.pick(pl, r)
	return t, t != nil
}

// pick chooses an upstream and records the attempt; it returns nil if none is
// available.
func (p *Placer) pick(pl *pool, r Request) *Ticket {
	u, cold := p.chooseUpstream(pl, r)
	p.recordChoice(cold, u != nil, p.settings.Clock.Now())
	if u == nil {
		return nil
	}
	t := &Ticket{p: p, up: u, listed: u.Upstream, request: r.ID, work: r.Work}
	if r.Work > 0 && !slices.Contains(pl.prefixCachesOf(r.Group), u.loadID()) {
		t.work += r.SharedWork
		t.pool, t.placement = pl, p.recordPlacement(pl, r.Group, u)
	}
	if u.limit.named {
		u.limit.pace.Take()
	}
	p.countCold(t, p.settings.Clock.Now())
	u.running++
	u.work += t.work
	p.zonePath(u.Zone).recordSent(p.settings.Clock.Now())
	p.recordAdmitted(t, pl, r)
	return t
}

// zonePath returns the reachability state of a zone, creating it if needed.
func (p *Placer) zonePath(zone string) *zonePath {
	path := p.zonePaths[zone]
	if path == nil {
		path = &zonePath{}
		p.zonePaths[zone] = path
	}
	return path
}

// Loads returns the load that this host puts on each upstream in use.
func (p *Placer) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var out []Load
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if u.running > 0 {
				since := NeverReceived
				if !u.lastReceived.IsZero() {
					since = now.Sub(u.lastReceived)
				}
				out = append(out, Load{
					Upstream: u.loadID(), Running: uint32(u.running), Work: uint32(max(u.work, 0)), SinceReceived: since,
				})
			}
		}
	}
	return out
}

// SetRemoteLoads replaces the sums of the loads of the other hosts.
func (p *Placer) SetRemoteLoads(loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.remoteLoads == nil {
		p.remoteLoads = make(map[uint32]Load, len(loads))
	}
	clear(p.remoteLoads)
	for _, l := range loads {
		p.remoteLoads[l.Upstream] = l
	}
	now := p.settings.Clock.Now()
	p.remoteLoadsInterval, p.remoteLoadsAt = now.Sub(p.remoteLoadsAt), now
	p.recordContact(now)
	p.dividePlaces(now)
	defer p.drainFree(now)
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			l, ok := p.remoteLoads[u.loadID()]
			u.admitted.remote = l
			if at := p.remoteLoadsAt.Add(-l.SinceReceived); ok && at.After(u.lastReceivedElsewhere) {
				u.lastReceivedElsewhere = at
				u.cold.recordElsewhere(at, now)
			}
		}
	}
	p.suspectEndedZones(now)
}

// recordPlacement records that the upstream was sent the group's prefix, and
// that other hosts are to be told, and returns the placement.
func (p *Placer) recordPlacement(pl *pool, group uint64, u *upstream) Placement {
	if group == 0 {
		return Placement{}
	}
	pm := Placement{Group: groupID(group), Upstream: u.loadID()}
	pl.addPrefixCache(pm.Group, pm.Upstream)
	if len(p.placements) < maxPlacements {
		p.placements = append(p.placements, pm)
	}
	return pm
}

// TakePlacements returns at most limit of this host's placements since the last
// call.
func (p *Placer) TakePlacements(limit int) []Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(limit, len(p.placements))
	out := slices.Clone(p.placements[:n])
	p.placements = slices.Delete(p.placements, 0, n)
	return out
}

// AddPlacements adds the placements of other hosts.
func (p *Placer) AddPlacements(placements []Placement) {
	if len(placements) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make(map[uint32]*pool)
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			pools[u.loadID()] = pl
		}
	}
	for _, pm := range placements {
		// An upstream that is not listed here may have left.
		if pl := pools[pm.Upstream]; pl != nil && !slices.Contains(pl.cachesOf(pm.Group), pm.Upstream) {
			pl.addPrefixCache(pm.Group, pm.Upstream)
		}
	}
}

// recordUnreachable records that other hosts are to be told of an upstream.
func (p *Placer) recordUnreachable(un Unreachable) {
	if !slices.Contains(p.unreachable, un) {
		p.unreachable = append(p.unreachable, un)
	}
}

// TakeUnreachable returns at most limit of the upstreams that this host could not
// reach since the last call.
func (p *Placer) TakeUnreachable(limit int) []Unreachable {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := min(limit, len(p.unreachable))
	out := slices.Clone(p.unreachable[:n])
	p.unreachable = slices.Delete(p.unreachable, 0, n)
	return out
}

// AvoidUnreachable ejects upstreams that other hosts could not reach, unless this
// host has just received data from them.
//
// It handles upstreams that crash while others are busy: with no work left they
// look the least loaded, and each request of each host would try several of
// them in turn.
func (p *Placer) AvoidUnreachable(list []Unreachable) {
	if len(list) == 0 {
		return
	}
	misdirected := make(map[uint32]bool)
	for _, un := range list {
		misdirected[un.Upstream] = misdirected[un.Upstream] || un.Misdirected
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			replaced, ok := misdirected[u.loadID()]
			if ok {
				u.suspectTold(now)
				p.cold.endedAt = now
			}
			switch {
			case !ok || now.Sub(u.lastReceived) <= baseEjection:
			case replaced:
				u.recordMisdirected(now)
			default:
				u.eject(now, baseEjection)
			}
		}
	}
}

// RunningOtherVersions returns the number of this host's requests in progress
// at upstreams of the service that do not have the version.
func (p *Placer) RunningOtherVersions(service, version string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	if pl := p.pools[service]; pl != nil {
		for _, u := range pl.upstreams {
			if u.Version != version {
				n += u.running
			}
		}
	}
	return n
}
