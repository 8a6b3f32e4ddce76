package syncer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"foxtailwall/controller"
	"foxtailwall/stager"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// maxWait bounds the time that a call may wait, in place of what the host
	// asks.
	maxWait = 5 * time.Second
	// countEvery is how often live hosts are counted anew.
	countEvery = 200 * time.Millisecond
)

type (
	// Source is the state of the control group on this host.
	Source interface {
		// Leading reports whether this host leads the group and has applied
		// all that was committed before.
		Leading() bool
		// Leader returns the address of the leader, if it is known.
		Leader() netip.AddrPort
		// Members returns the addresses of the group's members.
		Members() []netip.AddrPort
		Published() controller.Published
		// Changed is closed when Published changes.
		Changed() <-chan struct{}
	}

	// HubSettings configures a Hub.
	HubSettings struct {
		Source Source
		Clock  timekeeper.Clock
	}

	// Hub answers hosts and collects their reports. Make it with NewHub. It is
	// safe for use by several goroutines.
	Hub struct {
		set HubSettings

		mu     sync.Mutex
		list   List
		readAt time.Time
		// changes lead to the newest list, each from the one before.
		changes []Change
		news    chan struct{}
		reports map[hostKey]reported
		// hosts is the number of live hosts at the time counted, when there were
		// so many reports.
		hosts   int
		counted time.Time
		reportN int
		// kept counts, for each rollout's trial, the hosts that keep a session.
		kept map[trial]map[uint64]int
	}

	trial struct{ service, target string }

	hostKey struct {
		host    string
		started int64
	}

	reported struct {
		at      time.Time
		counts  []Counted
		running map[string]int
		kept    []Kept
	}
)

// NewHub returns a hub without a list.
func NewHub(s HubSettings) *Hub {
	return &Hub{
		set: s, news: make(chan struct{}), reports: make(map[hostKey]reported), kept: make(map[trial]map[uint64]int),
	}
}

// Put takes over a list of upstreams that has just been read. The name must
// differ from that of every other list of any host.
func (h *Hub) Put(name string, ups []tracker.Upstream) error {
	list, err := newList(name, ups)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list.Name != "" {
		h.changes = append(h.changes, changeOf(h.list, list))
		h.changes = h.changes[max(0, len(h.changes)-maxChanges):]
	}
	h.list = list
	h.readAt = h.set.Clock.Now()
	close(h.news)
	h.news = make(chan struct{})
	return nil
}

// Reread notes that the list was read again without a change.
func (h *Hub) Reread() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readAt = h.set.Clock.Now()
}

// Forget drops the list, because this host no longer reads it.
func (h *Hub) Forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list, h.changes, h.readAt = List{}, nil, time.Time{}
}

// Watch answers a host as soon as there is something that it does not have.
func (h *Hub) Watch(ctx context.Context, r *Report) *Update {
	h.take(r)
	timer := h.set.Clock.NewTimer(min(max(r.Wait, 0), maxWait))
	defer timer.Stop()
	for {
		changed, news := h.set.Source.Changed(), h.newsChan()
		if !h.set.Source.Leading() {
			return &Update{Leader: h.set.Source.Leader(), Members: h.set.Source.Members()}
		}
		u := h.update(r)
		if u.Published != nil || u.Upstreams != nil || u.Change != nil {
			return u
		}
		select {
		case <-ctx.Done():
			return u
		case <-timer.C():
			return u
		case <-changed:
		case <-news:
		}
	}
}

func (h *Hub) newsChan() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.news
}

func (h *Hub) take(r *Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := hostKey{r.Host, r.Started}
	h.keep(h.reports[k].kept, -1)
	h.keep(r.Kept, 1)
	h.reports[k] = reported{at: h.set.Clock.Now(), counts: r.Counts, running: r.Running, kept: r.Kept}
}

// keep adds so many hosts to each of the sessions.
func (h *Hub) keep(kept []Kept, hosts int) {
	for _, k := range kept {
		t := trial{k.Service, k.Target}
		if h.kept[t] == nil {
			h.kept[t] = make(map[uint64]int)
		}
		for _, s := range k.Sessions {
			if h.kept[t][s] += hosts; h.kept[t][s] == 0 {
				delete(h.kept[t], s)
			}
		}
		if len(h.kept[t]) == 0 {
			delete(h.kept, t)
		}
	}
}

func (h *Hub) update(r *Report) *Update {
	p := h.set.Source.Published()
	h.mu.Lock()
	defer h.mu.Unlock()
	u := &Update{
		Leads: true, Leader: h.set.Source.Leader(), Members: h.set.Source.Members(), Hosts: h.liveHosts(), ListAge: -1,
	}
	u.Kept = h.otherKept(r)
	if !h.readAt.IsZero() {
		u.ListAge = h.set.Clock.Since(h.readAt)
	}
	if p.Version > r.Published {
		u.Published = &p
	}
	if h.list.Name != "" && h.list.Name != r.List {
		if c, ok := h.changeSince(r.List); ok {
			u.Change = &c
		} else {
			l := h.list
			u.Upstreams = &l
		}
	}
	return u
}

// changeSince returns what leads from the list of that name to the newest one.
func (h *Hub) changeSince(name string) (Change, bool) {
	first := slices.IndexFunc(h.changes, func(c Change) bool { return c.From == name })
	if first < 0 {
		return Change{}, false
	}
	out := h.changes[first]
	for _, c := range h.changes[first+1:] {
		out = out.then(c)
	}
	return out, true
}

// liveHosts returns the number of live hosts, as it was lately.
func (h *Hub) liveHosts() int {
	now := h.set.Clock.Now()
	if h.reportN != len(h.reports) || now.Sub(h.counted) > countEvery {
		h.hosts, h.counted, h.reportN = len(h.live()), now, len(h.reports)
	}
	return h.hosts
}

// live returns the hosts that reported lately.
func (h *Hub) live() map[string]reported {
	out := make(map[string]reported)
	for k, r := range h.reports {
		if h.set.Clock.Since(r.at) < hostLife && !out[k.host].at.After(r.at) {
			out[k.host] = r
		}
	}
	return out
}

// Counts returns the answers that all hosts have counted, those included that
// no longer live.
func (h *Hub) Counts() map[stager.Line]stager.Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[stager.Line]stager.Count)
	for _, r := range h.reports {
		for _, c := range r.counts {
			n := out[c.Line]
			n.All += c.Count.All
			n.Bad += c.Count.Bad
			out[c.Line] = n
		}
	}
	return out
}

// Running returns the requests under way at live hosts on other versions than
// the target of the service's rollout, below 0 if a host has not told.
func (h *Hub) Running(service string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, r := range h.live() {
		n, ok := r.running[service]
		if !ok {
			return -1
		}
		sum += n
	}
	return sum
}

// Prepared reports whether all live hosts have told their sessions for the
// rollout.
func (h *Hub) Prepared(service, target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.live() {
		if !slices.ContainsFunc(r.kept, func(k Kept) bool { return k.Service == service && k.Target == target }) {
			return false
		}
	}
	return true
}

// otherKept returns the sessions that other hosts keep, and the host of the
// report does not, for the rollouts that it knows.
func (h *Hub) otherKept(r *Report) []Kept {
	var out []Kept
	for _, k := range r.Kept {
		all := h.kept[trial{k.Service, k.Target}]
		own := make(map[uint64]bool, len(k.Sessions))
		for _, s := range k.Sessions {
			own[s] = true
		}
		other := Kept{Service: k.Service, Target: k.Target}
		for s := range all {
			if !own[s] {
				other.Sessions = append(other.Sessions, s)
			}
		}
		if len(other.Sessions) > 0 {
			out = append(out, other)
		}
	}
	return out
}

// Upstreams returns the newest list.
func (h *Hub) Upstreams() []tracker.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list.Upstreams
}
