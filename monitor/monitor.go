// Package monitor decides from the outcomes of requests which upstreams are
// healthy enough to receive more.
//
// An upstream is ejected after consecutive failures, a high error rate or
// repeated stalls between tokens, for a time that doubles with each ejection.
// At most half of the members of a pool that are not leaving are ejected at
// the same time, since a fault of all members is more likely a fault of what
// they share. After an ejection the weight of the upstream ramps up.
//
// A leaving upstream (one that is shutting down) receives no requests as soon
// as the platform's host list or the upstream itself says so. The leaving state
// belongs to an incarnation of the upstream's process: only a newer incarnation
// ends it.
//
// # Usage
//
//	m := monitor.New(monitor.Settings{Clock: clock, OnWeightChange: func(a netip.AddrPort, w float64) {
//		picker.Replica(a).SetWeight(w)
//	}})
//	m.SetPools(pools) // once per configuration
//
//	m.Observe(address, incarnation, monitor.Failure)
//	m.MarkLeaving(address, incarnation) // the upstream's own signal
//	m.ApplyHostList(hosts)              // the platform's host list
//	if !m.Usable(address) { ... }       // once more at dispatch
//	m.Refresh()                         // every 100 ms or so, advances the ramps
package monitor

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"foxtailwall/counter"
	"foxtailwall/timekeeper"
)

// Outcomes of a request that say something about the health of its upstream.
const (
	// Success is a complete response, whatever its content.
	Success Outcome = iota
	// Failure is a refused or broken connection, a 5xx status or a response
	// that belongs to another request.
	Failure
	// Stall is a response without progress within the progress deadline.
	Stall
)

const (
	defaultConsecutiveFailures = 5
	defaultErrorRate           = 0.5
	defaultMinRequests         = 20
	defaultStalls              = 3
	defaultWindow              = 10 * time.Second
	defaultEjectionTime        = 5 * time.Second
	defaultMaxEjectionTime     = 5 * time.Minute
	defaultRampTime            = 20 * time.Second
	// rampStartWeight is the weight right after an ejection; at a weight of
	// zero the upstream would get no requests to recover by.
	rampStartWeight = 0.1
)

type (
	// Outcome is the outcome of a request on an upstream.
	Outcome uint8

	// Settings configure a Monitor. The zero value works.
	Settings struct {
		Clock timekeeper.Clock
		Scope counter.Scope
		// OnWeightChange is called when the weight of an upstream has changed. It
		// must not call the Monitor.
		OnWeightChange func(address netip.AddrPort, weight float64)
		// ConsecutiveFailures is the number of failures in a row that eject an
		// upstream. Zero means 5. During the ramp half as many do.
		ConsecutiveFailures int
		// ErrorRate is the share of failures within Window that ejects an
		// upstream with at least MinRequests requests. Zeros mean 0.5, 10 s and
		// 20.
		ErrorRate   float64
		Window      time.Duration
		MinRequests int
		// Stalls is the number of stalls within Window that ejects an upstream.
		// Zero means 3.
		Stalls int
		// EjectionTime is the duration of the first ejection; each further one
		// lasts twice as long, up to MaxEjectionTime. Zeros mean 5 s and 5 min.
		EjectionTime, MaxEjectionTime time.Duration
		// RampTime is the time in which the weight rises to one after an
		// ejection or a restart. Zero means 20 s.
		RampTime time.Duration
	}

	// Pool is a set of interchangeable upstreams, usually those of one version.
	Pool struct {
		Name    string
		Members []netip.AddrPort
	}

	// Host is an entry of the platform's host list.
	Host struct {
		Address netip.AddrPort
		// Incarnation increases with each start of the upstream's process.
		Incarnation uint64
		Leaving     bool
	}

	// Status is a snapshot of the health of an upstream.
	Status struct {
		Address           netip.AddrPort
		Incarnation       uint64
		Weight            float64
		Leaving           bool
		Ejected           bool
		Ejections         int
		SilentConnections int64
	}

	// Monitor tracks the health of all upstreams. It is safe for concurrent
	// use. Make it with New.
	Monitor struct {
		settings  Settings
		mu        sync.RWMutex
		upstreams map[netip.AddrPort]*upstream
		pools     [][]*upstream
	}
)

// New returns a Monitor that knows no upstreams yet.
func New(s Settings) *Monitor {
	if s.Clock == nil {
		s.Clock = timekeeper.System{}
	}
	s.ConsecutiveFailures = orDefault(s.ConsecutiveFailures, defaultConsecutiveFailures)
	s.ErrorRate = orDefault(s.ErrorRate, defaultErrorRate)
	s.MinRequests = orDefault(s.MinRequests, defaultMinRequests)
	s.Stalls = orDefault(s.Stalls, defaultStalls)
	s.Window = orDefault(s.Window, defaultWindow)
	s.EjectionTime = orDefault(s.EjectionTime, defaultEjectionTime)
	s.MaxEjectionTime = orDefault(s.MaxEjectionTime, defaultMaxEjectionTime)
	s.RampTime = orDefault(s.RampTime, defaultRampTime)
	return &Monitor{settings: s, upstreams: make(map[netip.AddrPort]*upstream)}
}

// SetPools replaces the pools. Upstreams in none of them keep their leaving
// state, so that a later configuration does not return a leaving one to
// service.
func (m *Monitor) SetPools(pools []Pool) {
	m.update(func(now time.Time) {
		m.pools = m.pools[:0]
		for _, u := range m.upstreams {
			u.pools = u.pools[:0]
		}
		for i, pool := range pools {
			var members []*upstream
			for _, a := range pool.Members {
				u := m.upstreamAt(a)
				if slices.Contains(members, u) {
					continue
				}
				u.pools = append(u.pools, i)
				members = append(members, u)
			}
			m.pools = append(m.pools, members)
		}
		m.endExcessEjections(now)
	})
}

// Observe records the outcome of a request that ran on an incarnation of the
// upstream. Outcomes of older incarnations are ignored. An incarnation of zero
// means the newest known one.
func (m *Monitor) Observe(address netip.AddrPort, incarnation uint64, o Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.settings.Clock.Now()
	u := m.upstreamAt(address)
	m.updateIncarnation(u, incarnation, now)
	if incarnation != 0 && incarnation < u.incarnation {
		return
	}
	u.recordOutcome(o, now, m.settings.Window)
	if o != Success && m.exceedsLimits(u, now) && m.canEject(u, now) {
		u.eject(now, m.settings)
		m.settings.Scope.Counter("monitor.ejections").Inc(1)
	}
	m.reportWeight(u, now)
}

// RecordIncarnation records that an incarnation of the upstream is running.
func (m *Monitor) RecordIncarnation(address netip.AddrPort, incarnation uint64) {
	m.mu.RLock()
	u, ok := m.upstreams[address]
	known := ok && incarnation <= u.incarnation
	m.mu.RUnlock()
	if !known {
		m.update(func(now time.Time) { m.updateIncarnation(m.upstreamAt(address), incarnation, now) })
	}
}

// MarkLeaving records the upstream's own signal that the incarnation is
// leaving. An incarnation of zero means the newest known one, or the first that
// becomes known.
func (m *Monitor) MarkLeaving(address netip.AddrPort, incarnation uint64) {
	m.update(func(now time.Time) { m.markLeaving(m.upstreamAt(address), incarnation, now) })
}

// ApplyHostList applies the platform's host list. A host that the list lacks or
// shows as live keeps its state: the list lags, so neither overrides a newer
// signal.
func (m *Monitor) ApplyHostList(hosts []Host) {
	m.update(func(now time.Time) {
		for _, h := range hosts {
			u := m.upstreamAt(h.Address)
			m.updateIncarnation(u, h.Incarnation, now)
			if h.Leaving {
				m.markLeaving(u, h.Incarnation, now)
			}
		}
	})
}

// CountSilentConnection counts a connection to the upstream on which nothing
// more arrives. It does not affect the weight, since new connections to the
// upstream may work.
func (m *Monitor) CountSilentConnection(address netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upstreamAt(address).silentConnections++
	m.settings.Scope.Counter("monitor.silentConnections").Inc(1)
}

// Usable reports whether the upstream may receive a request now.
func (m *Monitor) Usable(address netip.AddrPort) bool { return m.Weight(address) > 0 }

// Weight returns the fraction of its normal load, 0 to 1, that the upstream may
// take now. An unknown upstream has weight one.
func (m *Monitor) Weight(address netip.AddrPort) float64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	u, ok := m.upstreams[address]
	if !ok {
		return 1
	}
	return u.weight(m.settings.Clock.Now(), m.settings.RampTime)
}

// Refresh calls Settings.OnWeightChange for each upstream whose weight has
// changed, since a ramp changes weights with time.
func (m *Monitor) Refresh() { m.update(func(time.Time) {}) }

// Statuses returns the state of all upstreams, sorted by address.
func (m *Monitor) Statuses() []Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := m.settings.Clock.Now()
	out := make([]Status, 0, len(m.upstreams))
	for _, u := range m.upstreams {
		out = append(out, Status{
			Address: u.address, Incarnation: u.incarnation, Weight: u.weight(now, m.settings.RampTime),
			Leaving: u.isLeaving(), Ejected: u.ejected(now), Ejections: u.ejections, SilentConnections: u.silentConnections,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return a.Address.Compare(b.Address) })
	return out
}

// update runs f under the lock and reports all weights that have changed.
func (m *Monitor) update(f func(now time.Time)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.settings.Clock.Now()
	f(now)
	for _, u := range m.upstreams {
		m.reportWeight(u, now)
	}
}

// reportWeight calls Settings.OnWeightChange if the weight of u has changed
// since the last call.
func (m *Monitor) reportWeight(u *upstream, now time.Time) {
	if m.settings.OnWeightChange == nil {
		return
	}
	if w := u.weight(now, m.settings.RampTime); w != u.reportedWeight {
		u.reportedWeight = w
		m.settings.OnWeightChange(u.address, w)
	}
}

func (m *Monitor) upstreamAt(address netip.AddrPort) *upstream {
	u, ok := m.upstreams[address]
	if !ok {
		u = &upstream{address: address, reportedWeight: 1}
		m.upstreams[address] = u
	}
	return u
}

// updateIncarnation resets the record of a newer incarnation and starts its
// ramp. The first incarnation seen is assumed to have run all along: it needs
// no ramp, and it is leaving if that signal came before its number was known.
func (m *Monitor) updateIncarnation(u *upstream, incarnation uint64, now time.Time) {
	if incarnation <= u.incarnation {
		return
	}
	first := u.incarnation == 0
	u.incarnation = incarnation
	if first {
		return
	}
	u.leaving = false
	u.ejectedUntil, u.ejections = now, 0
	u.consecutiveFailures, u.buckets = 0, [windowBuckets]outcomeCounts{}
}

// markLeaving marks the incarnation as leaving and ends ejections if too few
// other members remain.
func (m *Monitor) markLeaving(u *upstream, incarnation uint64, now time.Time) {
	if incarnation != 0 && incarnation < u.incarnation {
		return
	}
	u.incarnation = max(u.incarnation, incarnation)
	if !u.leaving {
		u.leaving = true
		m.settings.Scope.Counter("monitor.leaving").Inc(1)
		m.endExcessEjections(now)
	}
}

// exceedsLimits reports whether the recent failures of u call for its ejection.
func (m *Monitor) exceedsLimits(u *upstream, now time.Time) bool {
	if u.ejected(now) {
		return false
	}
	limit := m.settings.ConsecutiveFailures
	if u.weight(now, m.settings.RampTime) < 1 {
		limit = (limit + 1) / 2
	}
	counts := u.windowCounts(now, m.settings.Window)
	return u.consecutiveFailures >= limit || counts.stalls >= m.settings.Stalls ||
		counts.all >= m.settings.MinRequests && float64(counts.failed) >= m.settings.ErrorRate*float64(counts.all)
}

// canEject reports whether, in every pool of u, no more than half of the
// members that are not leaving would be ejected.
func (m *Monitor) canEject(u *upstream, now time.Time) bool {
	for _, i := range u.pools {
		if active, ejected := countMembers(m.pools[i], now); !u.leaving && 2*(ejected+1) > active {
			return false
		}
	}
	return true
}

// endExcessEjections ends ejections in pools where more than half of the
// members that are not leaving are ejected, the ones nearest their end first.
func (m *Monitor) endExcessEjections(now time.Time) {
	for _, members := range m.pools {
		for {
			active, ejected := countMembers(members, now)
			if 2*ejected <= active {
				break
			}
			var soonest *upstream
			for _, u := range members {
				if u.ejected(now) && !u.leaving && (soonest == nil || u.ejectedUntil.Before(soonest.ejectedUntil)) {
					soonest = u
				}
			}
			soonest.ejectedUntil = now
		}
	}
}

// countMembers returns how many members are not leaving and how many of those are
// ejected.
func countMembers(members []*upstream, now time.Time) (active, ejected int) {
	for _, u := range members {
		if u.leaving {
			continue
		}
		active++
		if u.ejected(now) {
			ejected++
		}
	}
	return active, ejected
}

func orDefault[T int | float64 | time.Duration](v, fallback T) T {
	if v > 0 {
		return v
	}
	return fallback
}
