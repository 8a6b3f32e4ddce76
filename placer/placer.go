// Package placer chooses the upstream for each attempt of a request.
//
// It knows what this host itself has under way and how attempts have ended, and
// is told what the other hosts have under way; no upstream is asked for its
// health. Upstreams of the host's own zone come first, but for requests that
// share the beginning of a long prompt: those are kept together on the same
// engine by rendezvous hashing over all zones, until the wait there is longer
// than reading the prompt elsewhere. All hosts agree on that engine without
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
//	t.Done(placer.Good, firstByte)
package placer

import (
	"slices"
	"sync"
	"time"

	"foxtailwall/buffer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

// Outcomes of attempts.
const (
	// Good means that the whole answer arrived.
	Good Outcome = iota
	// Failed means that the upstream answered with a failure of its own.
	Failed
	// Broken means that the answer broke off or was no answer.
	Broken
	// Refused means that no connection could be opened.
	Refused
	// Silent means that the upstream sent nothing for too long.
	Silent
	// Stale means that a connection that had worked before carried nothing
	// more, of which a new one may know nothing.
	Stale
	// Busy means that the upstream refused the request because it is full.
	Busy
	// Misdirected means that another upstream has the address.
	Misdirected
	// Abandoned means that the attempt was given up for reasons that say
	// nothing about the upstream.
	Abandoned
)

const (
	// ejectBase is how long an upstream is passed over after its first
	// failure; it doubles up to ejectMost with each further one.
	ejectBase = 500 * time.Millisecond
	ejectMost = 4 * time.Second
	// ejectBusy is how long a full upstream is passed over.
	ejectBusy = 60 * time.Millisecond
	// ejectGone is how long an address that belongs to another upstream is
	// passed over; the list will have changed by then.
	ejectGone = 10 * time.Second
	// ejectGrey is how long an upstream is passed over that fails more often
	// or answers later than its peers.
	ejectGrey = 1500 * time.Millisecond

	// rateDecay is the weight of the newest outcome in the failure rates.
	rateDecay = 0.1
	// greyRate is how far above the rate of its peers an upstream's failure
	// rate may be, and greyLeast the number of outcomes before it counts.
	greyRate  = 0.25
	greyLeast = 5
	// expectedRate is the failure rate of an upstream of which nothing is
	// known.
	expectedRate = 0.05
	// slowRatio is how much later than its peers an upstream may answer, and
	// slowLeast the smallest time to the first byte that counts as late.
	slowRatio = 3.0
	slowLeast = 150 * time.Millisecond

	// readCost is what a token of shared parts counts for where they are not
	// known to be cached, whatever the model: reading it again is paid for,
	// delays what comes after, and drops other parts from the cache.
	readCost = 6.0
	// generating is the work of a request that has begun to answer, in tokens:
	// it runs in a batch and hardly delays the others.
	generating = 60
	// maxGroups bounds the groups whose engines are remembered.
	maxGroups = 4096
	// farWork is the work, in tokens, that is waited for in the own zone
	// before a request goes to another, for the bytes between zones.
	farWork = 1500
	// connShare is the part of the connections of an upstream that may carry
	// requests, since unused ones and those that are being closed count as well.
	connShare = 0.8
	// farWait is how much longer than elsewhere, as a factor, the wait at a
	// plain service of the own zone may be.
	farWait = 1.3
	// othersLife is how long the loads of other hosts count after they were
	// told.
	othersLife = 500 * time.Millisecond
	// unknownLatency stands for the latency of an upstream not used yet.
	unknownLatency = 20 * time.Millisecond
)

type (
	// Outcome says how an attempt ended.
	Outcome uint8

	// Settings configures a Placer.
	Settings struct {
		Clock timekeeper.Clock
		// Zone is the availability zone of this host.
		Zone string
	}

	// Versions restricts the versions of a service that may be used.
	Versions struct {
		// Only is the one version to use, Not the one not to use; empty
		// means no restriction.
		Only, Not string
	}

	// Request is what matters of a request for its placement.
	Request struct {
		Service  string
		Versions Versions
		// Group is the hash of what requests share that should run at the
		// same upstream; zero means nothing.
		Group uint64
		// Work is what has to be read of the prompt in any case, in tokens of
		// the largest model; zero for plain services.
		Work float64
		// Shared is what has to be read besides where the parts of the group
		// are not cached.
		Shared float64
		// SharedTokens is the same without regard to the model.
		SharedTokens float64
		// MaxConns is the number of connections that an upstream accepts from
		// all hosts together, zero for no bound.
		MaxConns int
		// Tried lists the upstreams that the request was sent to.
		Tried []tracker.Key
	}

	// Load is what a host has under way at an upstream.
	Load struct {
		// Upstream is the hash of the upstream's ID.
		Upstream uint32
		// Running is the number of requests.
		Running uint32
		// Work is the work before the first byte of their answers, in tokens of
		// the largest model.
		Work uint32
	}

	// Placer chooses upstreams. Make it with New. It is safe for use by
	// several goroutines.
	Placer struct {
		set Settings

		mu    sync.Mutex
		pools map[string]*pool
		// others are the sums of the other hosts' loads, told at othersAt.
		others   map[uint32]Load
		othersAt time.Time
		// paths are those to the zones.
		paths map[string]*path
	}

	// pool is the upstreams of a service.
	pool struct {
		ups []*upstream
		// cached has, for each group, the hashes of the upstreams that were
		// sent requests of it.
		cached *buffer.LRU[uint64, []uint64]
	}

	// upstream is one upstream with what this host knows of it.
	upstream struct {
		tracker.Upstream
		hash uint64
		// running and work count the requests under way and their tokens.
		running int
		work    float64

		outcomes int
		badRate  float64
		first    time.Duration

		ejected   time.Time
		ejections int
		// trial lets one request through at a time after an ejection.
		trial bool
		heard time.Time
	}

	// Ticket is an attempt under way. Done ends it.
	Ticket struct {
		p    *Placer
		up   *upstream
		work float64
		done bool
	}
)

// New returns a placer without upstreams.
func New(s Settings) *Placer {
	return &Placer{set: s, pools: make(map[string]*pool), paths: make(map[string]*path)}
}

// Update takes over a list of upstreams. What is known of those that stay is
// kept.
func (p *Placer) Update(list []tracker.Upstream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := make(map[tracker.Key]*upstream)
	pools := p.pools
	for _, pl := range pools {
		for _, u := range pl.ups {
			old[u.Key()] = u
		}
	}
	p.pools = make(map[string]*pool)
	for _, in := range list {
		u := old[in.Key()]
		if u == nil || u.Service != in.Service {
			u = &upstream{hash: hashString(in.ID)}
		}
		u.Upstream = in
		pl := p.pools[in.Service]
		if pl == nil {
			pl = &pool{cached: buffer.NewLRU[uint64, []uint64](maxGroups)}
			if before := pools[in.Service]; before != nil {
				pl.cached = before.cached
			}
			p.pools[in.Service] = pl
		}
		pl.ups = append(pl.ups, u)
	}
}

// Pick chooses an upstream; ok is false if there is none to choose from.
func (p *Placer) Pick(r Request) (t *Ticket, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl := p.pools[r.Service]
	if pl == nil {
		return nil, false
	}
	u := p.choose(pl, r)
	if u == nil {
		return nil, false
	}
	t = &Ticket{p: p, up: u, work: r.Work}
	if r.Work > 0 && !slices.Contains(pl.copies(r.Group), u.hash) {
		t.work += r.Shared
		pl.remember(u, r.Group)
	}
	u.running++
	u.work += t.work
	p.path(u.Zone).sent(p.set.Clock.Now())
	return t, true
}

// path returns the path to a zone.
func (p *Placer) path(zone string) *path {
	if p.paths[zone] == nil {
		p.paths[zone] = &path{}
	}
	return p.paths[zone]
}

// Loads returns what this host has under way.
func (p *Placer) Loads() []Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Load
	for _, pl := range p.pools {
		for _, u := range pl.ups {
			if u.running > 0 {
				out = append(out, Load{Upstream: u.id(), Running: uint32(u.running), Work: uint32(max(u.work, 0))})
			}
		}
	}
	return out
}

// SetOthers takes over the sums of what the other hosts have under way.
func (p *Placer) SetOthers(loads []Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others = make(map[uint32]Load, len(loads))
	for _, l := range loads {
		p.others[l.Upstream] = l
	}
	p.othersAt = p.set.Clock.Now()
}

// Running returns the number of requests of this host at upstreams of the
// service that have another version.
func (p *Placer) Running(service, not string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	if pl := p.pools[service]; pl != nil {
		for _, u := range pl.ups {
			if u.Version != not {
				n += u.running
			}
		}
	}
	return n
}

// Upstream returns the chosen upstream.
func (t *Ticket) Upstream() tracker.Upstream { return t.up.Upstream }

// Heard notes that bytes have arrived from the upstream. With the first, the
// prompt has been read.
func (t *Ticket) Heard() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.up.heard = t.p.set.Clock.Now()
	t.p.path(t.up.Zone).heard()
	if t.work > generating && !t.done {
		t.up.work -= t.work - generating
		t.work = generating
	}
}

// HeardSince reports whether any request of this host has received bytes from
// the upstream since the time.
func (t *Ticket) HeardSince(at time.Time) bool {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	return t.up.heard.After(at)
}

// Running returns the number of requests of this host at the upstream.
func (t *Ticket) Running() int {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	return t.up.running
}

// Done ends the attempt. The first byte of its answer came after first, which
// is zero if there was none. Only the first call counts.
func (t *Ticket) Done(o Outcome, first time.Duration) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	u := t.up
	u.running--
	u.work -= t.work
	now := t.p.set.Clock.Now()
	u.note(o, first, now)
	switch o {
	case Good, Failed, Busy, Misdirected:
		t.p.path(u.Zone).heard()
	case Silent, Stale:
		// The path within the own zone never counts as cut.
		if u.Zone != t.p.set.Zone {
			t.p.path(u.Zone).silent(u.hash, now)
		}
	case Broken, Refused, Abandoned:
		// A reset may come from either side of a cut.
	}
	if o == Good || o == Failed || o == Broken {
		t.p.judge(u)
	}
}
