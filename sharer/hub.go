package sharer

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

const (
	// hostTimeout is how long after its last report the loads of a host count.
	hostTimeout = 500 * time.Millisecond
	// expireInterval is the shortest interval between two searches for hosts
	// past hostTimeout.
	expireInterval = 100 * time.Millisecond
	// rankInterval is the shortest interval between two rankings of more than
	// maxLoads upstreams by work.
	rankInterval = 50 * time.Millisecond
	// unreachableTTL is how long hosts are told that an upstream could not be
	// reached. The host that probes it next reports it again or uses it.
	unreachableTTL = 300 * time.Millisecond
)

type (
	// HubSettings configures a Hub.
	HubSettings struct {
		// Leading reports whether this host leads the control group. Only the
		// leader answers, since hosts report to the leader alone.
		Leading func() bool
		Clock   timekeeper.Clock
	}

	// Hub adds up the loads of all hosts. Make it with NewHub. It is safe for
	// use by several goroutines.
	Hub struct {
		set HubSettings

		mu    sync.Mutex
		hosts map[string]*hostLoads
		// sums has the loads of all hosts, by Load.Upstream.
		sums map[uint32]placer.Load
		// receivedAt is when any host last received data, by Load.Upstream.
		receivedAt map[uint32]time.Time
		expiredAt  time.Time
		// busiest are the keys of the sums with the most work, as of rankedAt.
		busiest  []uint32
		rankedAt time.Time
		placed   placementLog
		// unreachableAt is when a host last reported that an upstream could not be
		// reached.
		unreachableAt map[placer.Unreachable]time.Time
		limits        limitLog
	}

	// hostLoads is the newest report of a host.
	hostLoads struct {
		started int64
		count   uint64
		at      time.Time
		loads   []placer.Load
	}
)

// NewHub returns a hub without any reports.
func NewHub(s HubSettings) *Hub {
	return &Hub{set: s, hosts: make(map[string]*hostLoads), sums: make(map[uint32]placer.Load), receivedAt: make(map[uint32]time.Time), unreachableAt: make(map[placer.Unreachable]time.Time)}
}

// record stores a report and returns the answer to it, with the sums of the other
// hosts' loads, or false if this host does not lead or the report is outdated.
func (h *Hub) record(r *report) (*answer, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.set.Leading() {
		clear(h.hosts)
		clear(h.sums)
		clear(h.receivedAt)
		h.placed = placementLog{}
		clear(h.unreachableAt)
		h.limits = limitLog{}
		return nil, false
	}
	now := h.set.Clock.Now()
	h.expireHosts(now)
	host := h.hosts[r.Host]
	if host == nil {
		host = &hostLoads{}
		h.hosts[r.Host] = host
	}
	if r.Started < host.started || r.Started == host.started && r.Count <= host.count {
		// Datagrams may arrive out of order or twice.
		return nil, false
	}
	h.placed.add(r.Placements, now)
	for _, un := range r.Unreachable {
		h.unreachableAt[un] = now
	}
	h.limits.add(r.Limits, now)
	h.subtract(host)
	host.started, host.count, host.at, host.loads = r.Started, r.Count, now, fromWire(r.Loads)
	own := make(map[uint32]placer.Load, len(host.loads))
	for _, l := range host.loads {
		own[l.Upstream] = l
		s := h.sums[l.Upstream]
		h.sums[l.Upstream] = placer.Load{Upstream: l.Upstream, Running: s.Running + l.Running, Work: s.Work + l.Work}
		if at := now.Add(-l.SinceReceived); at.After(h.receivedAt[l.Upstream]) {
			h.receivedAt[l.Upstream] = at
		}
	}
	a := &answer{Count: r.Count, Loads: toWire(h.othersLoads(own, now))}
	a.Placements, a.Known = h.placed.since(r.Known)
	a.Unreachable = h.unreachable(now)
	a.Limits = h.limits.newest(r.Count, now)
	return a, true
}

// othersLoads returns the sums without the loads of one host, own by
// Load.Upstream.
func (h *Hub) othersLoads(own map[uint32]placer.Load, now time.Time) []placer.Load {
	out := make([]placer.Load, 0, min(len(h.sums), maxLoads))
	addOthers := func(s placer.Load) {
		s.Running -= own[s.Upstream].Running
		s.Work -= own[s.Upstream].Work
		if s.Running > 0 || s.Work > 0 {
			s.SinceReceived = now.Sub(h.receivedAt[s.Upstream])
			out = append(out, s)
		}
	}
	if len(h.sums) <= maxLoads {
		for _, s := range h.sums {
			addOthers(s)
		}
		return out
	}
	for _, id := range h.busiestUpstreams(now) {
		if s, ok := h.sums[id]; ok {
			addOthers(s)
		}
	}
	return out
}

// unreachable returns the upstreams reported within unreachableTTL, at most
// maxUnreachable, and forgets the others.
func (h *Hub) unreachable(now time.Time) []placer.Unreachable {
	maps.DeleteFunc(h.unreachableAt, func(_ placer.Unreachable, at time.Time) bool { return now.Sub(at) > unreachableTTL })
	out := slices.Collect(maps.Keys(h.unreachableAt))
	return out[:min(len(out), maxUnreachable)]
}

// UpstreamsReplaced reports whether a host has found another upstream at the address
// of a listed one within unreachableTTL.
func (h *Hub) UpstreamsReplaced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.set.Clock.Now()
	for un, at := range h.unreachableAt {
		if un.Misdirected && now.Sub(at) <= unreachableTTL {
			return true
		}
	}
	return false
}

// busiestUpstreams returns the keys of the maxLoads sums with the most work, as
// of at most rankInterval ago.
func (h *Hub) busiestUpstreams(now time.Time) []uint32 {
	if h.busiest != nil && now.Sub(h.rankedAt) < rankInterval {
		return h.busiest
	}
	h.rankedAt = now
	ids := slices.Collect(maps.Keys(h.sums))
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(h.sums[b].Work, h.sums[a].Work) })
	h.busiest = ids[:min(len(ids), maxLoads)]
	return h.busiest
}

// expireHosts removes the loads of hosts that have not reported for
// hostTimeout.
func (h *Hub) expireHosts(now time.Time) {
	if now.Sub(h.expiredAt) < expireInterval {
		return
	}
	h.expiredAt = now
	for name, host := range h.hosts {
		if now.Sub(host.at) > hostTimeout {
			h.subtract(host)
			delete(h.hosts, name)
		}
	}
}

// subtract removes the loads of a host from the sums.
func (h *Hub) subtract(host *hostLoads) {
	for _, l := range host.loads {
		s := h.sums[l.Upstream]
		s.Running -= l.Running
		s.Work -= l.Work
		if s.Running == 0 && s.Work == 0 {
			delete(h.sums, l.Upstream)
			delete(h.receivedAt, l.Upstream)
		} else {
			h.sums[l.Upstream] = s
		}
	}
	host.loads = nil
}
