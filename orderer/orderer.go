// Package orderer plans which engine loads and unloads which version.
//
// One host at a time owns the engines. The log assigns the ownership together
// with a fencing token that grows with each owner. Engines that check tokens
// refuse the orders of an older owner; for the others a new owner waits until
// the lease of the old one and the longest order it may have sent have ended.
//
// Loads are queued to the rate of the weight store. An engine that has just
// returned waits a random time first, so that a zone that returns as a whole
// does not ask for all its weights at once. After a lost answer nothing more is
// sent to the engine until its state was read.
//
// # Usage
//
//	o := orderer.New(orderer.Settings{Clock: clock, Seed: seed})
//	o.SetEngines(engines)
//	o.SetWants(wants)
//	o.Own(logIndex, leaseEnd, tookOver) // and Renew with each renewed lease
//
//	for _, a := range o.Reads() { // GET /orders
//		o.Observe(a, state)
//	}
//	for _, order := range o.Next() { // POST /orders, then
//		o.Result(order, orderer.Accepted)
//	}
//
// Wants for a model in rollout come from Split.
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

// Actions of an order.
const (
	// Load makes the engine load a version.
	Load Action = "load"
	// Unload makes the engine drop a version.
	Unload Action = "unload"
)

// Results of an order.
const (
	// Accepted means that the engine carries the order out. Its state tells
	// when it has.
	Accepted Result = iota
	// Refused means that the engine refused the order, for instance because
	// it knows a newer fencing token.
	Refused
	// Lost means that no answer came, so that the order may have arrived.
	Lost
)

const (
	defaultLease        = 8 * time.Second
	defaultLongestOrder = 5 * time.Minute
	defaultLoadRate     = 0.5
	defaultLoadBurst    = 2
	defaultJitter       = 10 * time.Second
	// readInterval is the age at which the state of an engine is read again.
	readInterval = 10 * time.Second
)

type (
	// Action is what an order makes an engine do.
	Action string

	// Result is what became of an order.
	Result uint8

	// Settings configure an Orderer. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		// Seed makes the random waits repeatable.
		Seed uint64
		// Lease is the length of an owner's lease. Zero takes 8 s.
		Lease time.Duration
		// LongestOrder bounds the time an order takes; it is the deadline that
		// orders carry. Zero takes 5 min.
		LongestOrder time.Duration
		// LoadRate is the rate of the weight store in loads per second, and
		// LoadBurst the number it takes at once. Zeros take 0.5 and 2.
		LoadRate, LoadBurst float64
		// Jitter is the longest random wait of an engine that has just
		// returned. Zero takes 10 s.
		Jitter time.Duration
	}

	// Engine is an engine that can be given orders.
	Engine struct {
		Address netip.AddrPort
		Zone    string
		// Capacity is the number of versions it holds at a time. Zero counts
		// as one.
		Capacity int
		// ChecksFencing says that it refuses orders with an older token.
		ChecksFencing bool
	}

	// Want is the number of engines of a zone that are to hold a version.
	Want struct {
		Zone    string
		Ref     declarer.VersionRef
		Engines int
	}

	// State is what an engine says about itself.
	State struct {
		Incarnation uint64
		// Fence is the highest token the engine has seen.
		Fence  uint64
		Loaded []declarer.VersionRef
		// Loading and Unloading list the versions of orders under way.
		Loading, Unloading []declarer.VersionRef
	}

	// Order is an order to one engine.
	Order struct {
		Address netip.AddrPort
		Fence   uint64
		Action  Action
		Ref     declarer.VersionRef
		// SendBy is when the owner's lease ends; the order must not be sent
		// after it.
		SendBy time.Time
		// Deadline is when the engine must have carried the order out.
		Deadline time.Time
	}

	// Orderer plans orders. It is safe for concurrent use. Make it with New.
	Orderer struct {
		set     Settings
		mu      sync.Mutex
		rng     *rand.Rand
		engines map[netip.AddrPort]*engine
		// sorted holds the engines by address, so that plans are repeatable.
		sorted []*engine
		wants  []Want
		// fence is the present token, zero without ownership; leaseEnd ends
		// the ownership and quiet the wait for engines that check no tokens.
		fence           uint64
		leaseEnd, quiet time.Time
		tokens          float64
		filled, paused  time.Time
	}

	engine struct {
		Engine
		state State
		known bool
		// read is when the state was read; a zero time asks for a reading.
		read time.Time
		// ready is when the engine may load after it has returned.
		ready time.Time
	}
)

// New returns an orderer that owns nothing.
func New(s Settings) *Orderer {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	s.Lease = positive(s.Lease, defaultLease)
	s.LongestOrder = positive(s.LongestOrder, defaultLongestOrder)
	s.LoadRate = positive(s.LoadRate, defaultLoadRate)
	s.LoadBurst = max(positive(s.LoadBurst, defaultLoadBurst), 1)
	s.Jitter = positive(s.Jitter, defaultJitter)
	return &Orderer{
		set: s, rng: rand.New(rand.NewPCG(s.Seed, s.Seed)),
		engines: make(map[netip.AddrPort]*engine), tokens: s.LoadBurst, filled: s.Clock.Now(),
	}
}

// SetEngines replaces the engines. What is known of those that stay is kept.
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

// SetWants replaces the wanted state.
func (o *Orderer) SetWants(wants []Want) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wants = slices.Clone(wants)
}

// Own begins an ownership. Engines that check no tokens get no order before
// the lease and the longest order of the previous owner have ended; tookOver
// is false for the first owner of all.
func (o *Orderer) Own(fence uint64, leaseEnd time.Time, tookOver bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence <= o.fence {
		return
	}
	now := o.set.Clock.Now()
	o.fence, o.leaseEnd, o.quiet = fence, leaseEnd, now
	if tookOver {
		o.quiet = now.Add(o.set.Lease + o.set.LongestOrder)
	}
	// Orders of the previous owner may have changed every engine.
	for _, e := range o.engines {
		e.read = time.Time{}
	}
}

// Renew extends the lease of the ownership with the token.
func (o *Orderer) Renew(fence uint64, leaseEnd time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fence == o.fence && leaseEnd.After(o.leaseEnd) {
		o.leaseEnd = leaseEnd
	}
}

// Owns reports whether this host owns the engines now.
func (o *Orderer) Owns() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owns(o.set.Clock.Now())
}

// Reads returns the engines whose state must be read.
func (o *Orderer) Reads() []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.set.Clock.Now()
	var out []netip.AddrPort
	for _, e := range o.sorted {
		if now.Sub(e.read) >= readInterval {
			out = append(out, e.Address)
		}
	}
	return out
}

// Observe takes the state that an engine was read to be in. The reading must
// have begun after the answer to the last order, or after it was given up. A
// token above the present one ends the ownership.
func (o *Orderer) Observe(address netip.AddrPort, s State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.engines[address]
	if !ok {
		return
	}
	now := o.set.Clock.Now()
	if !e.known || s.Incarnation > e.state.Incarnation {
		e.ready = now.Add(time.Duration(o.rng.Float64() * float64(o.set.Jitter)))
	}
	e.state, e.known, e.read = s, true, now
	if s.Fence > o.fence {
		o.leaseEnd = time.Time{}
	}
}

// Result takes what became of an order.
func (o *Orderer) Result(order Order, r Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.engines[order.Address]
	if !ok || r == Accepted {
		return
	}
	// Whether the order was refused or lost, only the engine knows its state.
	e.read = time.Time{}
}

// Throttled pauses all loads, as the weight store has asked for.
func (o *Orderer) Throttled(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paused = o.set.Clock.Now().Add(d)
}

func (o *Orderer) owns(now time.Time) bool { return o.fence > 0 && now.Before(o.leaseEnd) }

func positive[T cmp.Ordered](v, otherwise T) T {
	var zero T
	if v > zero {
		return v
	}
	return otherwise
}
