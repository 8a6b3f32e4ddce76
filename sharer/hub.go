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
	// hostLife is how long after its last report the loads of a host count.
	hostLife = 500 * time.Millisecond
	// sweepEvery is how often hosts that are silent are looked for.
	sweepEvery = 100 * time.Millisecond
	// rankEvery is how often the heaviest sums are looked for where not all of
	// them can be told.
	rankEvery = 50 * time.Millisecond
)

type (
	// HubSettings configures a Hub.
	HubSettings struct {
		// Leading reports whether this host leads the control group. Other
		// hosts answer nothing, since hosts report to the leader alone.
		Leading func() bool
		Clock   timekeeper.Clock
	}

	// Hub adds up the loads of all hosts. Make it with NewHub. It is safe for
	// use by several goroutines.
	Hub struct {
		set HubSettings

		mu    sync.Mutex
		hosts map[string]*told
		sums  map[uint32]placer.Load
		swept time.Time
		// heavy are the upstreams with the most work, as of ranked.
		heavy  []uint32
		ranked time.Time
	}

	// told is the newest report of a host.
	told struct {
		started int64
		count   uint64
		at      time.Time
		loads   []placer.Load
	}
)

// NewHub returns a hub that has heard of no host.
func NewHub(s HubSettings) *Hub {
	return &Hub{set: s, hosts: make(map[string]*told), sums: make(map[uint32]placer.Load)}
}

// take notes a report and returns the sums of the other hosts' loads; false if
// the report is not to be answered.
func (h *Hub) take(r *report) ([]placer.Load, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.set.Leading() {
		clear(h.hosts)
		clear(h.sums)
		return nil, false
	}
	now := h.set.Clock.Now()
	h.sweep(now)
	t := h.hosts[r.Host]
	if t == nil {
		t = &told{}
		h.hosts[r.Host] = t
	}
	if r.Started < t.started || r.Started == t.started && r.Count <= t.count {
		// Datagrams may overtake each other and arrive twice.
		return nil, false
	}
	h.drop(t)
	t.started, t.count, t.at, t.loads = r.Started, r.Count, now, fromWire(r.Loads)
	own := make(map[uint32]placer.Load, len(t.loads))
	for _, l := range t.loads {
		own[l.Upstream] = l
		s := h.sums[l.Upstream]
		h.sums[l.Upstream] = placer.Load{Upstream: l.Upstream, Running: s.Running + l.Running, Work: s.Work + l.Work}
	}
	out := make([]placer.Load, 0, min(len(h.sums), maxLoads))
	add := func(s placer.Load) {
		s.Running -= own[s.Upstream].Running
		s.Work -= own[s.Upstream].Work
		if s.Running > 0 || s.Work > 0 {
			out = append(out, s)
		}
	}
	if len(h.sums) <= maxLoads {
		for _, s := range h.sums {
			add(s)
		}
		return out, true
	}
	for _, id := range h.heaviest(now) {
		if s, ok := h.sums[id]; ok {
			add(s)
		}
	}
	return out, true
}

// heaviest returns the upstreams with the most work, as many as can be told.
func (h *Hub) heaviest(now time.Time) []uint32 {
	if h.heavy != nil && now.Sub(h.ranked) < rankEvery {
		return h.heavy
	}
	h.ranked = now
	ids := slices.Collect(maps.Keys(h.sums))
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(h.sums[b].Work, h.sums[a].Work) })
	h.heavy = ids[:min(len(ids), maxLoads)]
	return h.heavy
}

// sweep forgets the loads of hosts that are silent.
func (h *Hub) sweep(now time.Time) {
	if now.Sub(h.swept) < sweepEvery {
		return
	}
	h.swept = now
	for name, t := range h.hosts {
		if now.Sub(t.at) > hostLife {
			h.drop(t)
			delete(h.hosts, name)
		}
	}
}

// drop takes the loads of a report out of the sums.
func (h *Hub) drop(t *told) {
	for _, l := range t.loads {
		s := h.sums[l.Upstream]
		s.Running -= l.Running
		s.Work -= l.Work
		if s.Running == 0 && s.Work == 0 {
			delete(h.sums, l.Upstream)
		} else {
			h.sums[l.Upstream] = s
		}
	}
	t.loads = nil
}
