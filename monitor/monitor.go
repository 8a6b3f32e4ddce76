// Package monitor decides from the traffic itself which upstreams are healthy
// enough to receive requests.
//
// An upstream is ejected after consecutive failures, a high error rate or
// repeated stalls between tokens, for a time that doubles with each ejection.
// At most half of the members of a pool that are not leaving are ejected at
// the same time, since a fault of all members is more likely a fault of what
// they share. After an ejection the upstream returns by a ramp.
//
// A leaving upstream receives nothing, from the first signal of the platform
// list or of the upstream itself. Leaving belongs to an incarnation of the
// upstream's process: only a newer incarnation ends it.
//
// # Usage
//
//	m := monitor.New(monitor.Settings{Clock: clock, Changed: func(a netip.AddrPort, w float64) {
//		picker.Replica(a).SetWeight(w)
//	}})
//	m.SetPools(pools) // once per configuration
//
//	m.Observe(address, incarnation, monitor.Failure)
//	m.Leaving(address, incarnation)  // the upstream's own signal
//	m.List(hosts)                    // the platform list
//	if !m.Usable(address) { ... }    // once more at dispatch
//	m.Refresh()                      // every 100 ms or so, moves the ramps
package monitor

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"foxtailwall/counter"
	"foxtailwall/timekeeper"
)

// Outcomes of a request, as far as they tell about the upstream's health.
const (
	// Success is a complete response, whatever its content.
	Success Outcome = iota
	// Failure is a refused or broken connection, a 5xx status or a response
	// that belongs to another request.
	Failure
	// Stall is a response that made no progress within the bound of the
	// progress deadline.
	Stall
)

const (
	defaultConsecutive = 5
	defaultErrorRate   = 0.5
	defaultMinRequests = 20
	defaultStalls      = 3
	defaultWindow      = 10 * time.Second
	defaultEjection    = 5 * time.Second
	defaultMaxEjection = 5 * time.Minute
	defaultRamp        = 20 * time.Second
	// rampStart is the weight right after an ejection; a weight of zero would
	// never let the upstream prove itself.
	rampStart = 0.1
)

type (
	// Outcome is what a request tells about an upstream.
	Outcome uint8

	// Settings configure a Monitor. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// Changed is called after the weight of an upstream may have changed.
		// It must not call the Monitor.
		Changed func(address netip.AddrPort, weight float64)
		// Consecutive failures eject an upstream. Zero takes 5. During the
		// ramp half as many do.
		Consecutive int
		// ErrorRate within Window ejects an upstream that had MinRequests.
		// Zeros take 0.5, 10 s and 20.
		ErrorRate   float64
		Window      time.Duration
		MinRequests int
		// Stalls within Window eject an upstream. Zero takes 3.
		Stalls int
		// Ejection is the time of the first ejection; each further one takes
		// twice as long, up to MaxEjection. Zeros take 5 s and 5 min.
		Ejection, MaxEjection time.Duration
		// Ramp is the time in which the weight returns to one after an
		// ejection or a restart. Zero takes 20 s.
		Ramp time.Duration
	}

	// Pool is a set of upstreams that stand in for each other, usually those
	// of one version.
	Pool struct {
		Name    string
		Members []netip.AddrPort
	}

	// Host is an entry of the platform list.
	Host struct {
		Address netip.AddrPort
		// Incarnation grows with each start of the upstream's process.
		Incarnation uint64
		Leaving     bool
	}

	// Status is the state of an upstream for the operators' port.
	Status struct {
		Address     netip.AddrPort
		Incarnation uint64
		Weight      float64
		Leaving     bool
		Ejected     bool
		Ejections   int
		Silent      int64
	}

	// Monitor keeps the health of all upstreams. It is safe for concurrent
	// use. Make it with New.
	Monitor struct {
		set       Settings
		mu        sync.RWMutex
		upstreams map[netip.AddrPort]*upstream
		pools     [][]*upstream
	}
)

// New returns a monitor that knows no upstreams.
func New(s Settings) *Monitor {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	s.Consecutive = positive(s.Consecutive, defaultConsecutive)
	s.ErrorRate = positive(s.ErrorRate, defaultErrorRate)
	s.MinRequests = positive(s.MinRequests, defaultMinRequests)
	s.Stalls = positive(s.Stalls, defaultStalls)
	s.Window = positive(s.Window, defaultWindow)
	s.Ejection = positive(s.Ejection, defaultEjection)
	s.MaxEjection = positive(s.MaxEjection, defaultMaxEjection)
	s.Ramp = positive(s.Ramp, defaultRamp)
	return &Monitor{set: s, upstreams: make(map[netip.AddrPort]*upstream)}
}

// SetPools replaces the pools. Upstreams in none of them keep their leaving
// state, so that a changed configuration does not bring one back.
func (m *Monitor) SetPools(pools []Pool) {
	m.change(func(now time.Time) {
		m.pools = m.pools[:0]
		for _, u := range m.upstreams {
			u.pools = u.pools[:0]
		}
		for i, p := range pools {
			var members []*upstream
			for _, a := range p.Members {
				u := m.upstream(a)
				if slices.Contains(members, u) {
					continue
				}
				u.pools = append(u.pools, i)
				members = append(members, u)
			}
			m.pools = append(m.pools, members)
		}
		m.keepFloor(now)
	})
}

// Observe takes the outcome of a request that ran on an incarnation of the
// upstream. Outcomes of older incarnations do not count. An incarnation of
// zero stands for the newest known.
func (m *Monitor) Observe(address netip.AddrPort, incarnation uint64, o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.set.Clock.Now()
	u := m.upstream(address)
	m.meet(u, incarnation, now)
	if incarnation != 0 && incarnation < u.incarnation {
		return
	}
	u.observe(o, now, m.set.Window)
	if o != Success && m.failing(u, now) && m.mayEject(u, now) {
		u.eject(now, m.set)
		m.set.Scope.Counter("monitor.ejections").Inc(1)
	}
	m.tell(u, now)
}

// Seen notes that an incarnation of the upstream is running.
func (m *Monitor) Seen(address netip.AddrPort, incarnation uint64) {
	m.mu.RLock()
	u, ok := m.upstreams[address]
	known := ok && incarnation <= u.incarnation
	m.mu.RUnlock()
	if !known {
		m.change(func(now time.Time) { m.meet(m.upstream(address), incarnation, now) })
	}
}

// Leaving takes the upstream's own signal that the incarnation is leaving. An
// incarnation of zero stands for the newest known, or for the first that
// becomes known.
func (m *Monitor) Leaving(address netip.AddrPort, incarnation uint64) {
	m.change(func(now time.Time) { m.leave(m.upstream(address), incarnation, now) })
}

// List takes the platform list. A host that the list lacks or calls live is
// left as it is: the list lags, so neither proves anything against a newer
// signal.
func (m *Monitor) List(hosts []Host) {
	m.change(func(now time.Time) {
		for _, h := range hosts {
			u := m.upstream(h.Address)
			m.meet(u, h.Incarnation, now)
			if h.Leaving {
				m.leave(u, h.Incarnation, now)
			}
		}
	})
}

// Silent counts a connection to the upstream that went silent. It says nothing
// about the upstream itself, to which new connections may work.
func (m *Monitor) Silent(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstream(address).silent++
	m.set.Scope.Counter("monitor.silentConnections").Inc(1)
}

// Usable reports whether the upstream may receive a request now.
func (m *Monitor) Usable(address netip.AddrPort) bool { return m.Weight(address) > 0 }

// Weight returns the share of its normal load, 0 to 1, that the upstream may
// take now. An unknown upstream has weight one.
func (m *Monitor) Weight(address netip.AddrPort) float64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	u, ok := m.upstreams[address]
	if !ok {
		return 1
	}
	return u.weight(m.set.Clock.Now(), m.set.Ramp)
}

// Refresh calls Settings.Changed for the upstreams whose weight moves with
// time.
func (m *Monitor) Refresh() { m.change(func(time.Time) {}) }

// Statuses returns the state of all upstreams, sorted by address.
func (m *Monitor) Statuses() []Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.set.Clock.Now()
	out := make([]Status, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		out = append(out, Status{
			Address: u.address, Incarnation: u.incarnation, Weight: u.weight(now, m.set.Ramp),
			Leaving: u.leaving(), Ejected: u.ejected(now), Ejections: u.ejections, Silent: u.silent,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return a.Address.Compare(b.Address) })
	return out
}

// change runs f under the lock and reports the weights that changed since the
// last call.
func (m *Monitor) change(f func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.set.Clock.Now()
	f(now)
	for _, u := range m.upstreams {
		m.tell(u, now)
	}
}

func (m *Monitor) tell(u *upstream, now time.Time) {
	if m.set.Changed == nil {
		return
	}
	if w := u.weight(now, m.set.Ramp); w != u.told {
		u.told = w
		m.set.Changed(u.address, w)
	}
}

func (m *Monitor) upstream(address netip.AddrPort) *upstream {
	u, ok := m.upstreams[address]
	if !ok {
		u = &upstream{address: address, told: 1}
		m.upstreams[address] = u
	}
	return u
}

// meet starts a newer incarnation with a clean record and a ramp. The first
// one ever seen is taken as the one in use so far: it needs no ramp, and it is
// leaving if the signal came before its number was known.
func (m *Monitor) meet(u *upstream, incarnation uint64, now time.Time) {
	if incarnation <= u.incarnation {
		return
	}
	first := u.incarnation == 0
	u.incarnation = incarnation
	if first {
		return
	}
	u.left = false
	u.until, u.ejections = now, 0
	u.consecutive, u.slices = 0, [windowSlices]tally{}
}

// leave marks the incarnation as leaving and returns ejected upstreams to
// service if too few others are left.
func (m *Monitor) leave(u *upstream, incarnation uint64, now time.Time) {
	if incarnation != 0 && incarnation < u.incarnation {
		return
	}
	u.incarnation = max(u.incarnation, incarnation)
	if !u.left {
		u.left = true
		m.set.Scope.Counter("monitor.leaving").Inc(1)
		m.keepFloor(now)
	}
}

func (m *Monitor) failing(u *upstream, now time.Time) bool {
	if u.ejected(now) {
		return false
	}
	limit := m.set.Consecutive
	if u.weight(now, m.set.Ramp) < 1 {
		limit = (limit + 1) / 2
	}
	t := u.window(now, m.set.Window)
	return u.consecutive >= limit || t.stalls >= m.set.Stalls ||
		t.all >= m.set.MinRequests && float64(t.failed) >= m.set.ErrorRate*float64(t.all)
}

// mayEject reports whether every pool of u keeps half of its members that are
// not leaving.
func (m *Monitor) mayEject(u *upstream, now time.Time) bool {
	for _, i := range u.pools {
		if staying, ejected := count(m.pools[i], now); !u.left && 2*(ejected+1) > staying {
			return false
		}
	}
	return true
}

// keepFloor ends the ejections that end soonest in pools that have too many.
func (m *Monitor) keepFloor(now time.Time) {
	for _, members := range m.pools {
		for {
			staying, ejected := count(members, now)
			if 2*ejected <= staying {
				break
			}
			var first *upstream
			for _, u := range members {
				if u.ejected(now) && !u.left && (first == nil || u.until.Before(first.until)) {
					first = u
				}
			}
			first.until = now
		}
	}
}

// count returns how many members are not leaving and how many of those are
// ejected.
func count(members []*upstream, now time.Time) (staying, ejected int) {
	for _, u := range members {
		if u.left {
			continue
		}
		staying++
		if u.ejected(now) {
			ejected++
		}
	}
	return staying, ejected
}

func positive[T int | float64 | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}
