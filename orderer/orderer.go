// Package orderer plans which engines load and unload which model versions.
//
// One host at a time owns the engines, that is, may send them orders. The
// replicated log assigns the ownership together with a fencing token that grows
// with each owner. Engines that check tokens refuse the orders of an earlier
// owner; for the others a new owner waits until the lease of the previous one
// and the longest order it may have sent have ended.
//
// Loads are limited to the rate of the weight store. An engine that has just
// restarted or appeared waits a random time before its first order, so that a
// zone that returns as a whole does not request all its weights at once. After
// an order is refused or its response lost, no more orders are sent to the
// engine until its state has been read.
//
// # Usage
//
//	o := orderer.New(orderer.Settings{Clock: clock, Seed: seed})
//	o.SetEngines(engines)
//	o.SetWants(wants)
//	o.StartOwnership(logIndex, leaseEnd, tookOver) // and Renew with each renewed lease
//
//	for _, a := range o.EnginesToRead() { // GET /orders
//		o.Observe(a, state)
//	}
//	for _, order := range o.Next() { // POST /orders, then
//		o.RecordResult(order, orderer.Accepted)
//	}
//
// For a model in rollout, Split computes the numbers of engines to want.
package orderer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/timekeeper"
)

// The actions of an order.
const (
	// Load makes the engine load a version.
	Load Action = "load"
	// Unload makes the engine unload a version.
	Unload Action = "unload"
)

// The results of sending an order.
const (
	// Accepted means that the engine has begun to carry out the order. Its
	// state shows when the order is complete.
	Accepted Result = iota
	// Refused means that the engine refused the order, for instance because
	// it knows a newer fencing token.
	Refused
	// Lost means that no response arrived, so that the engine may or may not
	// have received the order.
	Lost
)

const (
	defaultLease        = 8 * time.Second
	defaultLongestOrder = 5 * time.Minute
	defaultLoadRate     = 0.5
	defaultLoadBurst    = 2
	defaultJitter       = 10 * time.Second
	// maxStateAge is the age at which an engine's state is read again.
	maxStateAge = 10 * time.Second
)

type (
	// Action is Load or Unload.
	Action string

	// Result is the outcome of sending an order.
	Result uint8

	// Settings configures an Orderer. The zero value is valid.
	Settings struct {
		Clock timekeeper.Clock
		// Seed makes the random waits reproducible.
		Seed uint64
		// Lease is the length of an owner's lease. Zero means 8 s.
		Lease time.Duration
		// LongestOrder is the time from the planning of an order to its
		// deadline. Zero means 5 min.
		LongestOrder time.Duration
		// LoadRate is the rate of the weight store in loads per second, and
		// LoadBurst the number of loads that may start at once. Zeros mean 0.5
		// and 2.
		LoadRate, LoadBurst float64
		// Jitter is the longest random wait before the first order to an engine
		// that has just restarted or appeared. Zero means 10 s.
		Jitter time.Duration
	}

	// Engine describes an engine that takes orders.
	Engine struct {
		Address netip.AddrPort
		Zone    string
		// Capacity is the number of versions that the engine can hold at a
		// time. Zero means 1.
		Capacity int
		// ChecksFencing is set if the engine refuses orders whose fencing token
		// is lower than one that it has seen.
		ChecksFencing bool
	}

	// Want is the wanted number of engines of a zone that hold a version.
	Want struct {
		Zone    string
		Ref     declarer.VersionRef
		Engines int
	}

	// State is the state that an engine reports.
	State struct {
		// Incarnation grows with each restart of the engine.
		Incarnation uint64
		// Fence is the highest fencing token that the engine has seen.
		Fence  uint64
		Loaded []declarer.VersionRef
		// Loading and Unloading list the versions of orders that are not yet
		// complete.
		Loading, Unloading []declarer.VersionRef
	}

	// Order tells one engine to load or unload one version.
	Order struct {
		Address netip.AddrPort
		Fence   uint64
		Action  Action
		Ref     declarer.VersionRef
		// SendBy is the end of the owner's lease, at which the order may no
		// longer be sent.
		SendBy time.Time
		// Deadline is the time by which the engine must have carried out the
		// order.
		Deadline time.Time
	}

	// Orderer plans orders. It is safe for concurrent use. Make it with New.
	Orderer struct {
		settings Settings
		mu       sync.Mutex
		rng      *rand.Rand
		engines  map[netip.AddrPort]*engine
		// sorted holds the engines by address, so that plans are reproducible.
		sorted []*engine
		wants  []Want
		// fence is the token of the latest ownership, zero before the first,
		// and leaseEnd the time at which it ends. From unfencedStart on, orders
		// may also go to engines that check no tokens.
		fence                   uint64
		leaseEnd, unfencedStart time.Time
		loadTokens              float64
		refilledAt, pausedUntil time.Time
	}

	engine struct {
		Engine
		state    State
		observed bool
		// readAt is when the state was read; with the zero time it must be read
		// before the next order.
		readAt time.Time
		// readyAt is the end of the random wait after a restart.
		readyAt time.Time
	}
)

// New returns an orderer without ownership, engines or wants.
func New(s Settings) *Orderer {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	s.Lease = positiveOr(s.Lease, defaultLease)
	s.LongestOrder = positiveOr(s.LongestOrder, defaultLongestOrder)
	s.LoadRate = positiveOr(s.LoadRate, defaultLoadRate)
	s.LoadBurst = max(positiveOr(s.LoadBurst, defaultLoadBurst), 1)
	s.Jitter = positiveOr(s.Jitter, defaultJitter)
	return &Orderer{
		settings: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)),
		engines: make(map[netip.AddrPort]*engine), loadTokens: s.LoadBurst, refilledAt: s.Clock.Now(),
	}
}

// SetEngines replaces the list of engines. The state of engines whose address
// was already listed is kept.
func (o *Orderer) SetEngines(engines []Engine) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.engines
	o.engines = make(map[netip.AddrPort]*engine, len(engines))
	for _, e := range engines {
		e.Capacity = max(e.Capacity, 1)
		n, ok := old[e.Address]
		if !ok {
			n = &engine{}
		}
		n.Engine = e
		o.engines[e.Address] = n
	}
	o.sorted = slices.SortedFunc(maps.Values(o.engines), func(a, b *engine) int { return a.Address.Compare(b.Address) })
}

// SetWants replaces the wanted numbers of engines.
func (o *Orderer) SetWants(wants []Want) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wants = slices.Clone(wants)
}

// StartOwnership starts an ownership, unless its fencing token is not above the
// last one. With tookOver, engines that check no tokens get no orders before
// the lease and the longest order of the previous owner have ended; it is false
// only if there was no previous owner.
func (o *Orderer) StartOwnership(fence uint64, leaseEnd time.Time, tookOver bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence <= o.fence {
		return
	}
	now := o.settings.Clock.Now()
	o.fence, o.leaseEnd, o.unfencedStart = fence, leaseEnd, now
	if tookOver {
		o.unfencedStart = now.Add(o.settings.Lease + o.settings.LongestOrder)
	}
	// Orders of the previous owner may have changed every engine.
	for _, e := range o.engines {
		e.readAt = time.Time{}
	}
}

// Renew extends the lease of the ownership that has the given token. It never
// shortens the lease.
func (o *Orderer) Renew(fence uint64, leaseEnd time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence == o.fence && leaseEnd.After(o.leaseEnd) {
		o.leaseEnd = leaseEnd
	}
}

// Owns reports whether this host holds the ownership and its lease still runs.
func (o *Orderer) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owns(o.settings.Clock.Now())
}

// EnginesToRead returns the addresses of the engines whose state must be read.
func (o *Orderer) EnginesToRead() []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.settings.Clock.Now()
	var out []netip.AddrPort
	for _, e := range o.sorted {
		if now.Sub(e.readAt) >= maxStateAge {
			out = append(out, e.Address)
		}
	}
	return out
}

// Observe records the state that was read from an engine. The read must have
// started after the last order to the engine was answered or abandoned. A state
// with a token above this host's ends the ownership.
func (o *Orderer) Observe(address netip.AddrPort, s State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.engines[address]
	if !ok {
		return
	}
	now := o.settings.Clock.Now()
	if !e.observed || s.Incarnation > e.state.Incarnation {
		e.readyAt = now.Add(time.Duration(o.rng.Float64() * float64(o.settings.Jitter)))
	}
	e.state, e.observed, e.readAt = s, true, now
	if s.Fence > o.fence {
		o.leaseEnd = time.Time{}
	}
}

// RecordResult records the outcome of sending an order.
func (o *Orderer) RecordResult(order Order, r Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.engines[order.Address]
	if !ok || r == Accepted {
		return
	}
	// After a refused or lost order the engine's state is unknown.
	e.readAt = time.Time{}
}

// PauseLoads pauses all loads for d, as requested by the weight store.
func (o *Orderer) PauseLoads(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pausedUntil = o.settings.Clock.Now().Add(d)
}

// owns reports whether the ownership's lease runs at now. The caller holds o.mu.
func (o *Orderer) owns(now time.Time) bool { return o.fence > 0 && now.Before(o.leaseEnd) }

// positiveOr returns v if it is positive, else fallback.
func positiveOr[T cmp.Ordered](v, fallback T) T {
	var zero T
	if v > zero {
		return v
	}
	return fallback
}
