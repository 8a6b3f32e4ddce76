package relayer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/timekeeper"
)

const (
	// liveTimeout is the time since its last confirmation after which a host no
	// longer counts as live. A live host confirms every RenewInterval, through a
	// relay that may wait batchInterval.
	liveTimeout = LeaseTime
	// hostRetention is the time after which a silent host is removed.
	hostRetention = time.Hour
)

type (
	// Registry records for the control leader each host's version, lease and
	// last confirmation. It is kept in memory only: a new leader starts with
	// the configured hosts and treats all leases as running for one lease
	// time. Make it with NewRegistry.
	Registry struct {
		clock timekeeper.Clock
		// configured lists the hosts that a new leader expects, so that a zone
		// that is cut off during the leader change is still reported.
		configured []Host

		mu        sync.Mutex
		term      uint64
		termStart time.Time
		accepted  []acceptance
		hosts     map[string]*hostState
	}

	// acceptance records when this leader first saw a version.
	acceptance struct {
		version uint64
		at      time.Time
	}

	hostState struct {
		host    Host
		version uint64
		// highestVersion is the highest version that the host has confirmed. A
		// host that restarts may confirm an older one, but holds no lease then.
		highestVersion uint64
		// lastSeen is the time of the last confirmation in this term, zero if
		// there is none.
		lastSeen time.Time
		leaseEnd time.Time
		// queue is the queue's state as of lastSeen.
		queue *QueueStatus
	}

	// VersionStatus describes how far a version has come into force.
	VersionStatus struct {
		Version uint64
		// InForce is set once no host may act on an older version: each host
		// has confirmed the version or its lease has ended, or, for changes
		// that need no lease, each live host has confirmed.
		InForce bool
		// Pending names the hosts that still have to confirm.
		Pending []string
		// CutOff names the zones in which no host is live and whose hosts may
		// still use an older version.
		CutOff []string
	}

	// HostStatus describes a host as the control leader knows it.
	HostStatus struct {
		Host    Host
		Version uint64
		Live    bool
		// CutOff means that no host of the zone is live, so that this host may
		// be running but unreachable.
		CutOff bool
		// Seen is the time of the host's last confirmation in this term, zero
		// if there is none.
		Seen time.Time
		// Lease is an upper bound on the remaining time of the host's lease.
		Lease time.Duration
		// Queue is the state of the host's queue as of Seen, nil if unknown.
		Queue *QueueStatus
	}
)

// NewRegistry returns the registry of a control host that does not lead yet;
// configured lists the hosts of the deployment.
func NewRegistry(clock timekeeper.Clock, configured ...Host) *Registry {
	return &Registry{clock: clock, configured: configured, hosts: make(map[string]*hostState)}
}

// Confirm records confirmations as the leader of the given term, with current
// as the newest version, and returns the length of each lease.
func (r *Registry) Confirm(term, current uint64, cs []Confirmation) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.startTerm(term, now)
	r.recordVersion(current, now)
	out := make([]time.Duration, len(cs))
	for i, c := range cs {
		h := r.hosts[c.Host.Name]
		if h == nil {
			h = &hostState{}
			r.hosts[c.Host.Name] = h
		}
		newLease := !now.Before(h.leaseEnd) || c.Version < h.highestVersion
		h.host, h.version, h.lastSeen, h.queue = c.Host, c.Version, now, c.Queue
		h.highestVersion = max(h.highestVersion, c.Version)
		out[i] = r.leaseFor(c.Version, newLease, now)
		if end := now.Add(out[i] + leaseSlack); out[i] > 0 && end.After(h.leaseEnd) {
			h.leaseEnd = end
		}
	}
	return out
}

// StartTerm starts the given term if it is new, as Confirm does. The wait for the
// leases of earlier leaders counts from then.
func (r *Registry) StartTerm(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startTerm(term, r.clock.Now())
}

// startTerm resets the registry to the configured hosts if the term is new. The
// caller holds r.mu, as in all unexported methods.
func (r *Registry) startTerm(term uint64, now time.Time) {
	if term == r.term {
		return
	}
	r.term, r.termStart, r.accepted = term, now, nil
	clear(r.hosts)
	for _, h := range r.configured {
		r.hosts[h.Name] = &hostState{host: h}
	}
}

// recordVersion records when a newer version was accepted.
func (r *Registry) recordVersion(version uint64, now time.Time) {
	if n := len(r.accepted); n == 0 || r.accepted[n-1].version < version {
		r.accepted = append(r.accepted, acceptance{version, now})
	}
	// Only versions accepted within the last LeaseTime shorten leases.
	for len(r.accepted) > 1 && now.Sub(r.accepted[1].at) > LeaseTime {
		r.accepted = r.accepted[1:]
	}
}

// leaseFor returns the lease for a host with the given version: LeaseTime for
// the newest version, else what remains of LeaseTime since the first version
// that the host lacks was accepted. A new lease requires the newest version,
// because a version that the host lacks may be in force already. Refusing every
// host that lags would end all leases if the view changed each second.
func (r *Registry) leaseFor(version uint64, newLease bool, now time.Time) time.Duration {
	for _, a := range r.accepted {
		switch {
		case a.version <= version:
		case newLease:
			return 0
		default:
			return max(0, LeaseTime-now.Sub(a.at))
		}
	}
	return LeaseTime
}

// VersionStatus returns how far the version has come into force. Set leased for
// changes to model versions that hosts use only under a lease.
func (r *Registry) VersionStatus(version uint64, leased bool) VersionStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := VersionStatus{Version: version}
	settled, cut := r.termSettled(now), r.cutOffZones(now)
	for _, h := range r.hosts {
		switch {
		case h.version >= version, leased && h.highestVersion >= version:
		case !settled, leased && now.Before(h.leaseEnd), !leased && r.isLive(h, now):
			// Until the term has settled, a host may hold a lease from an
			// earlier leader, or be live but not have confirmed yet.
			s.Pending = append(s.Pending, h.host.Name)
		case cut[h.host.Zone] && !slices.Contains(s.CutOff, h.host.Zone):
			s.CutOff = append(s.CutOff, h.host.Zone)
		}
	}
	slices.Sort(s.Pending)
	slices.Sort(s.CutOff)
	// A host unknown to this leader may also hold a lease from an earlier one.
	s.InForce = settled && len(s.Pending) == 0
	return s
}

// Hosts returns all known hosts sorted by name, and removes those that have
// been silent for hostRetention, except in zones that are cut off.
func (r *Registry) Hosts() []HostStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	cut := r.cutOffZones(now)
	out := make([]HostStatus, 0, len(r.hosts))
	for name, h := range r.hosts {
		live := r.isLive(h, now)
		silentSince := h.lastSeen
		if silentSince.IsZero() {
			silentSince = r.termStart
		}
		if !live && !cut[h.host.Zone] && now.Sub(silentSince) > hostRetention {
			delete(r.hosts, name)
			continue
		}
		out = append(out, HostStatus{
			Host: h.host, Version: h.version, Live: live, CutOff: cut[h.host.Zone], Seen: h.lastSeen,
			Lease: max(0, h.leaseEnd.Sub(now)), Queue: h.queue,
		})
	}
	slices.SortFunc(out, func(a, b HostStatus) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return out
}

// ZoneHosts returns the live hosts of the zones that the confirmations come
// from, or nil if haveDigest is the digest of that list. A new leader has not
// heard from all hosts yet, so it returns a list only to senders without one.
func (r *Registry) ZoneHosts(cs []Confirmation, haveDigest uint64) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !r.termSettled(now) && haveDigest != hostsDigest(nil) {
		return nil
	}
	zones := make(map[string]bool)
	for _, c := range cs {
		zones[c.Host.Zone] = true
	}
	var out []Host
	for _, h := range r.hosts {
		if zones[h.host.Zone] && r.isLive(h, now) {
			out = append(out, h.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	if hostsDigest(out) == haveDigest {
		return nil
	}
	return out
}

// termSettled reports whether all leases of earlier leaders have ended and all
// live hosts have had time to confirm to this one.
func (r *Registry) termSettled(now time.Time) bool {
	return r.term > 0 && now.Sub(r.termStart) >= LeaseTime+leaseSlack
}

// isLive reports whether the host has confirmed within liveTimeout.
func (r *Registry) isLive(h *hostState, now time.Time) bool {
	return !h.lastSeen.IsZero() && now.Sub(h.lastSeen) < liveTimeout
}

// cutOffZones returns the zones in which no known host is live. Silent hosts in
// a zone with live ones count as dead, not cut off. The result is empty until
// the term has settled, as a new leader must first wait for confirmations.
func (r *Registry) cutOffZones(now time.Time) map[string]bool {
	cut := make(map[string]bool)
	if !r.termSettled(now) {
		return cut
	}
	for _, h := range r.hosts {
		noneLive, known := cut[h.host.Zone]
		cut[h.host.Zone] = (!known || noneLive) && !r.isLive(h, now)
	}
	return cut
}

// hostsDigest returns a hash of the names, zones and addresses of the hosts.
func hostsDigest(hs []Host) uint64 {
	d := xxhash.New()
	for _, h := range hs {
		// A Digest never returns an error.
		_, _ = d.WriteString(h.Name + "\x00" + h.Zone + "\x00" + h.Addr.String() + "\x00")
	}
	return d.Sum64()
}

// selectRelays returns the two hosts of hs that relay for the zone, fewer if the
// zone has fewer, in the order in which the host called name prefers them.
func selectRelays(hs []Host, zone, name string) []Host {
	var out []Host
	for _, h := range hs {
		if h.Zone == zone && !h.Control {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(zone, b.Name), rendezvousWeight(zone, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	out = out[:min(2, len(out))]
	if len(out) == 2 && xxhash.Sum64String(name)%2 == 1 {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

// rendezvousWeight returns the weight by which the zone's relays are chosen: the
// two hosts with the highest weights relay.
func rendezvousWeight(zone, name string) uint64 {
	b := append([]byte(zone), 0)
	b = append(b, name...)
	return xxhash.Sum64(b)
}
