package syncer

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"foxtailwall/controller"
	"foxtailwall/isolator"
	"foxtailwall/stager"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// maxWait caps Report.Wait.
	maxWait = 5 * time.Second
	// leaderPollInterval is how often a call that waits for an election looks for the
	// leader.
	leaderPollInterval = 20 * time.Millisecond
	// liveHostsMaxAge is how long a count of the live hosts is reused.
	liveHostsMaxAge = 200 * time.Millisecond
	// positionDelay is how long a host leads before it tells hosts their positions:
	// by then all hosts have reported to it.
	positionDelay = 3 * DefaultWait
	// maxHelpers is the number of helpers that a host is told.
	maxHelpers = 4
	// maxDocuments is the number of documents that a hub retains, so that a host
	// receives one to its end although newer ones are published.
	maxDocuments = 4
)

type (
	// Source is the view that this host has of the control group.
	Source interface {
		// Leading reports whether this host leads the group and has applied
		// every entry committed before it became leader.
		Leading() bool
		// Leader returns the address of the leader, invalid if none is known.
		Leader() netip.AddrPort
		// Members returns the addresses of the group's members.
		Members() []netip.AddrPort
		Published() controller.Published
		// Changed returns a channel that is closed when Published changes.
		Changed() <-chan struct{}
	}

	// HubSettings configures a Hub.
	HubSettings struct {
		Source Source
		// Judge receives the evidence about prompt parts and requests; nil ignores it.
		Judge *isolator.Judge
		Clock timekeeper.Clock
		Log   zerolog.Logger
	}

	// Hub answers the calls of hosts and collects their reports. Make it with
	// NewHub. It is safe for use by several goroutines.
	Hub struct {
		set HubSettings

		mu     sync.Mutex
		list   List
		readAt time.Time
		// changes has the newest changes of the list, oldest first.
		changes     []Change
		listChanged chan struct{}
		cold        coldClock
		outages     outageLog
		// evacuated has the evacuated zones.
		evacuated map[string]bool
		// listBlob is the encoding of list, nil until a host needs it.
		listBlob *blob
		// documents has the newest documents, oldest first.
		documents []*encodedDocument
		reports   map[hostKey]hostReport
		// leadingSince is when this host first answered as the leader, zero if it does
		// not lead.
		leadingSince time.Time
		// liveHosts are the live hosts by name among countedReports reports, and staying
		// the number of those that do not leave by zone, as counted at countedAt.
		liveHosts map[string]liveHost
		staying   map[string]int
		// helpers are those of them that take requests of others.
		helpers []helper
		// brittle are the services that one of them has reported as brittle.
		brittle        []string
		countedAt      time.Time
		countedReports int
		// excluded counts the hosts that exclude a session, by trial.
		excluded map[trial]map[uint64]int
	}

	// encodedDocument is a document that is sent in parts.
	encodedDocument struct {
		// published is the newest state with this document, without its body.
		published controller.Published
		blob      *blob
	}

	// trial identifies the trial of a version by a rollout of a service.
	trial struct{ service, target string }

	// hostKey identifies one run of a host's process.
	hostKey struct {
		host    string
		started int64
	}

	// liveHost is what other hosts are told of a live host.
	liveHost struct {
		// position is the host's position among the live hosts by name, from 1.
		position int
		zone     string
		leaving  bool
	}

	// helper is a host that reaches upstreams and takes requests of other hosts.
	helper struct {
		host    string
		hash    uint64
		address netip.AddrPort
	}

	// hostReport is the newest report of one run of a host.
	hostReport struct {
		at      time.Time
		zone    string
		leaving bool
		// delegated is Report.Delegated, invalid if the host cannot help others now.
		delegated netip.AddrPort
		brittle   []string
		counts    []AnswerCount
		running   map[string]int
		excluded  []ExcludedSessions
	}
)

// NewHub returns a hub without a list or reports.
func NewHub(s HubSettings) *Hub {
	return &Hub{
		set: s, listChanged: make(chan struct{}), reports: make(map[hostKey]hostReport), excluded: make(map[trial]map[uint64]int),
	}
}

// SetList replaces the list of upstreams by one that has just been read. The
// name must be unique among the lists of all control hosts.
func (h *Hub) SetList(name string, ups []tracker.Upstream) error {
	list, err := newList(name, ups)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.list.Name != "" {
		h.changes = append(h.changes, diffLists(h.list, list))
		h.changes = h.changes[max(0, len(h.changes)-maxChanges):]
	}
	h.list, h.listBlob = list, nil
	h.readAt = h.set.Clock.Now()
	h.cold.update(ups, h.readAt)
	h.wakeWatchers()
	return nil
}

// ConfirmList records that the list was read again and is unchanged but for the times for
// which upstreams stay cold.
func (h *Hub) ConfirmList(ups []tracker.Upstream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readAt = h.set.Clock.Now()
	if h.cold.update(ups, h.readAt) {
		h.wakeWatchers()
	}
}

// wakeWatchers lets the waiting calls see what has changed. The caller holds mu.
func (h *Hub) wakeWatchers() {
	close(h.listChanged)
	h.listChanged = make(chan struct{})
}

// ClearList drops the list, because this host no longer reads it.
func (h *Hub) ClearList() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list, h.listBlob, h.changes, h.readAt = List{}, nil, nil, time.Time{}
	h.cold, h.evacuated = coldClock{}, nil
}

// Watch records the report and waits until there is state that the reporting
// host does not have, for at most r.Wait and only while this host leads or no
// leader is known.
func (h *Hub) Watch(ctx context.Context, r *Report) *Update {
	h.recordReport(r)
	if h.set.Judge != nil {
		h.set.Judge.Add(r.Evidence)
	}
	timer := h.set.Clock.NewTimer(min(max(r.Wait, 0), maxWait))
	defer timer.Stop()
	for {
		published, listChanged := h.set.Source.Changed(), h.listChangedChan()
		if !h.updateLeading() {
			u := &Update{Leader: h.set.Source.Leader(), Members: h.set.Source.Members()}
			if u.Leader.IsValid() || !h.pause(ctx, timer) {
				return u
			}
			continue
		}
		u := h.newUpdate(r)
		if u.Published != nil || u.Part != nil || u.Upstreams != nil || u.Change != nil || u.Cold != nil && r.Cold != 0 && u.Cold.Version != r.Cold {
			return u
		}
		select {
		case <-ctx.Done():
			return u
		case <-timer.C():
			return u
		case <-published:
		case <-listChanged:
		}
	}
}

// pause waits for leaderPollInterval and reports whether ctx and the timer go on.
func (h *Hub) pause(ctx context.Context, timer timekeeper.Timer) bool {
	poll := h.set.Clock.NewTimer(leaderPollInterval)
	defer poll.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	case <-poll.C():
		return true
	}
	return false
}

// updateLeading reports whether this host leads, and records since when.
func (h *Hub) updateLeading() bool {
	leading := h.set.Source.Leading()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !leading:
		h.leadingSince = time.Time{}
	case h.leadingSince.IsZero():
		h.leadingSince = h.set.Clock.Now()
	}
	return leading
}

func (h *Hub) listChangedChan() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.listChanged
}

func (h *Hub) recordReport(r *Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := hostKey{r.Host, r.Started}
	h.outages.add(r.Outages, h.set.Clock.Now())
	h.countExcluded(h.reports[k].excluded, -1)
	h.countExcluded(r.Excluded, 1)
	report := hostReport{
		at: h.set.Clock.Now(), zone: r.Zone, leaving: r.Leaving, counts: r.Counts, running: r.Running, excluded: r.Excluded,
		brittle: r.Brittle,
	}
	if !r.Leaving && !r.Partitioned {
		report.delegated = r.Delegated
	}
	h.reports[k] = report
}

// countExcluded adds delta to the number of hosts that exclude each session.
func (h *Hub) countExcluded(excluded []ExcludedSessions, delta int) {
	for _, e := range excluded {
		t := trial{e.Service, e.Target}
		if h.excluded[t] == nil {
			h.excluded[t] = make(map[uint64]int)
		}
		for _, s := range e.Sessions {
			if h.excluded[t][s] += delta; h.excluded[t][s] == 0 {
				delete(h.excluded[t], s)
			}
		}
		if len(h.excluded[t]) == 0 {
			delete(h.excluded, t)
		}
	}
}

// newUpdate returns what the reporting host does not have yet.
func (h *Hub) newUpdate(r *Report) *Update {
	p := h.set.Source.Published()
	h.mu.Lock()
	defer h.mu.Unlock()
	u := &Update{
		FromLeader: true, Leader: h.set.Source.Leader(), Members: h.set.Source.Members(), ListAge: -1,
	}
	h.recordEvacuations(p.Evacuations)
	h.countLiveHosts()
	own := h.liveHosts[r.Host]
	u.Hosts, u.Neighbours = len(h.liveHosts), h.staying[own.zone]
	if !own.leaving {
		u.Neighbours--
	}
	if h.set.Clock.Since(h.leadingSince) >= positionDelay {
		u.Position = own.position
	}
	u.Helpers, u.Brittle = h.helpersOf(r.Host), h.brittle
	u.Excluded = h.excludedByOthers(r)
	if h.set.Judge != nil {
		u.Suspects = h.set.Judge.Suspects()
	}
	if !h.readAt.IsZero() {
		u.ListAge = h.set.Clock.Since(h.readAt)
		u.Cold = h.cold.times(h.set.Clock.Now())
	}
	u.Outages = h.outages.newest(h.set.Clock.Now())
	u.Turn = int(h.set.Clock.Since(h.leadingSince) / turnTime)
	if r.PartBytes > 0 {
		h.addParts(u, r, p)
		return u
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

// changeSince returns the change from the list of that name to the newest one,
// and false if it is no longer retained.
func (h *Hub) changeSince(name string) (Change, bool) {
	first := slices.IndexFunc(h.changes, func(c Change) bool { return c.From == name })
	if first < 0 {
		return Change{}, false
	}
	out := h.changes[first]
	for _, c := range h.changes[first+1:] {
		out = out.compose(c)
	}
	return out, true
}

// countLiveHosts updates liveHosts and staying unless they are at most
// liveHostsMaxAge old.
func (h *Hub) countLiveHosts() {
	now := h.set.Clock.Now()
	if h.countedReports == len(h.reports) && now.Sub(h.countedAt) <= liveHostsMaxAge {
		return
	}
	h.liveHosts, h.staying, h.helpers = make(map[string]liveHost), make(map[string]int), nil
	h.brittle = nil
	h.countedAt, h.countedReports = now, len(h.reports)
	reports := h.liveReports()
	for i, name := range slices.Sorted(maps.Keys(reports)) {
		r := reports[name]
		h.liveHosts[name] = liveHost{position: i + 1, zone: r.zone, leaving: r.leaving}
		if !r.leaving {
			h.staying[r.zone]++
		}
		for _, service := range r.brittle {
			if !slices.Contains(h.brittle, service) {
				h.brittle = append(h.brittle, service)
			}
		}
		if r.delegated.IsValid() {
			h.helpers = append(h.helpers, helper{host: name, hash: xxhash.Sum64String(name), address: r.delegated})
		}
	}
}

// helpersOf returns the addresses of the maxHelpers helpers with the highest rendezvous
// rank for the host, so that each helps about as many hosts.
func (h *Hub) helpersOf(host string) []netip.AddrPort {
	hash := xxhash.Sum64String(host)
	rank := func(o helper) uint64 { return xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, o.hash^hash)) }
	ranked := slices.DeleteFunc(slices.Clone(h.helpers), func(o helper) bool { return o.host == host })
	slices.SortFunc(ranked, func(a, b helper) int { return cmp.Compare(rank(b), rank(a)) })
	var out []netip.AddrPort
	for _, o := range ranked[:min(len(ranked), maxHelpers)] {
		out = append(out, o.address)
	}
	return out
}

// liveReports returns the newest report of each live host, by host name.
func (h *Hub) liveReports() map[string]hostReport {
	out := make(map[string]hostReport)
	for k, r := range h.reports {
		if h.set.Clock.Since(r.at) < hostTimeout && !out[k.host].at.After(r.at) {
			out[k.host] = r
		}
	}
	return out
}

// Counts returns the answer counts summed over all hosts, including earlier
// runs and hosts that are no longer live.
func (h *Hub) Counts() map[stager.CountKey]stager.Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[stager.CountKey]stager.Count)
	for _, r := range h.reports {
		for _, c := range r.counts {
			n := out[c.Line]
			n.All += c.Count.All
			n.Bad += c.Count.Bad
			n.Failed += c.Count.Failed
			out[c.Line] = n
		}
	}
	return out
}

// RunningOtherVersions returns the requests under way at live hosts on versions
// other than the target of the service's rollout, or -1 if a host has not
// reported them.
func (h *Hub) RunningOtherVersions(service string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0
	for _, r := range h.liveReports() {
		n, ok := r.running[service]
		if !ok {
			return -1
		}
		sum += n
	}
	return sum
}

// ExclusionsReported reports whether all live hosts have reported which
// sessions they exclude from the trial of the rollout.
func (h *Hub) ExclusionsReported(service, target string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.liveReports() {
		if !slices.ContainsFunc(r.excluded, func(e ExcludedSessions) bool { return e.Service == service && e.Target == target }) {
			return false
		}
	}
	return true
}

// excludedByOthers returns, for the rollouts in the report, the sessions that
// other hosts exclude and the reporting host does not.
func (h *Hub) excludedByOthers(r *Report) []ExcludedSessions {
	var out []ExcludedSessions
	for _, e := range r.Excluded {
		all := h.excluded[trial{e.Service, e.Target}]
		own := make(map[uint64]bool, len(e.Sessions))
		for _, s := range e.Sessions {
			own[s] = true
		}
		other := ExcludedSessions{Service: e.Service, Target: e.Target}
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

// Upstreams returns the newest list, which must not be modified.
func (h *Hub) Upstreams() []tracker.Upstream {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list.Upstreams
}
