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
	// liveFor is the silence after which a host counts as gone. A live host
	// confirms every RenewEvery, by way of a relay that waits gatherEvery.
	liveFor = LeaseTime
	// forgetAfter is the silence after which a host is forgotten.
	forgetAfter = time.Hour
)

type (
	// Registry is the control leader's knowledge of the hosts: versions,
	// leases and signs of life. It is volatile; a new leader starts with the
	// configured hosts only and counts all leases as running for one lease
	// time. Make it with NewRegistry.
	Registry struct {
		clock timekeeper.Clock
		// configured are the hosts that a new leader expects, so that a zone
		// that is cut off when the leader changes is known.
		configured []Host

		mu       sync.Mutex
		term     uint64
		since    time.Time
		accepted []acceptance
		hosts    map[string]*hostState
	}

	// acceptance is when this leader first saw a version.
	acceptance struct {
		version uint64
		at      time.Time
	}

	hostState struct {
		host    Host
		version uint64
		// highest is the highest version that the host has confirmed. A host
		// that restarts may confirm an older one, but holds no lease then.
		highest uint64
		// seen is zero if this leader has not heard of the host.
		seen  time.Time
		lease time.Time
	}

	// Standing says how far a version has come into force.
	Standing struct {
		Version uint64
		// InForce is set once no host may act on an older version: for
		// leased versions each host has confirmed or its lease has ended,
		// for others each live host has confirmed.
		InForce bool
		// Pending names the hosts that are waited for.
		Pending []string
		// CutOff names the zones of which every host is silent and whose
		// hosts may still use an older version.
		CutOff []string
	}

	// HostStatus is what the leader knows about a host.
	HostStatus struct {
		Host    Host
		Version uint64
		Live    bool
		// CutOff means that the host is silent along with its whole zone,
		// so that it may be running.
		CutOff bool
		// Seen is when the host last confirmed, zero if it has not.
		Seen time.Time
		// Lease is how long the host's lease still runs, at most.
		Lease time.Duration
	}
)

// NewRegistry returns a registry of a member that does not lead yet, in a
// deployment of the given hosts.
func NewRegistry(clock timekeeper.Clock, configured ...Host) *Registry {
	return &Registry{clock: clock, configured: configured, hosts: make(map[string]*hostState)}
}

// Confirm records confirmations as the leader of a term whose newest version
// is current, and returns the leases.
func (r *Registry) Confirm(term, current uint64, cs []Confirmation) []time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.lead(term, now)
	r.accept(current, now)
	out := make([]time.Duration, len(cs))
	for i, c := range cs {
		h := r.hosts[c.Host.Name]
		if h == nil {
			h = &hostState{}
			r.hosts[c.Host.Name] = h
		}
		fresh := !now.Before(h.lease) || c.Version < h.highest
		h.host, h.version, h.seen = c.Host, c.Version, now
		h.highest = max(h.highest, c.Version)
		out[i] = r.grant(c.Version, fresh, now)
		if end := now.Add(out[i] + leaseSlack); out[i] > 0 && end.After(h.lease) {
			h.lease = end
		}
	}
	return out
}

// Lead tells the registry which term this member leads, so that the time for
// old leases begins. Confirm does so too.
func (r *Registry) Lead(term uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lead(term, r.clock.Now())
}

func (r *Registry) lead(term uint64, now time.Time) {
	if term == r.term {
		return
	}
	r.term, r.since, r.accepted = term, now, nil
	clear(r.hosts)
	for _, h := range r.configured {
		r.hosts[h.Name] = &hostState{host: h}
	}
}

func (r *Registry) accept(version uint64, now time.Time) {
	if n := len(r.accepted); n == 0 || r.accepted[n-1].version < version {
		r.accepted = append(r.accepted, acceptance{version, now})
	}
	// Only versions accepted within a lease time shorten leases.
	for len(r.accepted) > 1 && now.Sub(r.accepted[1].at) > LeaseTime {
		r.accepted = r.accepted[1:]
	}
}

// grant returns the lease for a host with the version: the whole time if it
// has the newest, else what is left since the first version it lacks. A host
// without a running lease must have the newest: the version it lacks may be in
// force already. Zero for every host that lags would end all leases when the
// view changes each second.
func (r *Registry) grant(version uint64, fresh bool, now time.Time) time.Duration {
	for _, a := range r.accepted {
		switch {
		case a.version <= version:
		case fresh:
			return 0
		default:
			return max(0, LeaseTime-now.Sub(a.at))
		}
	}
	return LeaseTime
}

// Standing returns how far the version has come into force. Set leased for
// changes to versions that hosts use under a lease only.
func (r *Registry) Standing(version uint64, leased bool) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	s := Standing{Version: version}
	settled, cut := r.settled(now), r.cutOff(now)
	for _, h := range r.hosts {
		switch {
		case h.version >= version, leased && h.highest >= version:
		case !settled, leased && now.Before(h.lease), !leased && r.live(h, now):
			// Until all is settled a host may hold a lease of an earlier
			// leader, or be live and not have confirmed yet.
			s.Pending = append(s.Pending, h.host.Name)
		case cut[h.host.Zone] && !slices.Contains(s.CutOff, h.host.Zone):
			s.CutOff = append(s.CutOff, h.host.Zone)
		}
	}
	slices.Sort(s.Pending)
	slices.Sort(s.CutOff)
	// A host that is neither configured nor heard of may hold such a lease too.
	s.InForce = settled && len(s.Pending) == 0
	return s
}

// Hosts returns all known hosts by name.
func (r *Registry) Hosts() []HostStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	cut := r.cutOff(now)
	out := make([]HostStatus, 0, len(r.hosts))
	for name, h := range r.hosts {
		live := r.live(h, now)
		heard := h.seen
		if heard.IsZero() {
			heard = r.since
		}
		if !live && !cut[h.host.Zone] && now.Sub(heard) > forgetAfter {
			delete(r.hosts, name)
			continue
		}
		out = append(out, HostStatus{
			Host: h.host, Version: h.version, Live: live, CutOff: cut[h.host.Zone], Seen: h.seen,
			Lease: max(0, h.lease.Sub(now)),
		})
	}
	slices.SortFunc(out, func(a, b HostStatus) int { return cmp.Compare(a.Host.Name, b.Host.Name) })
	return out
}

// Zone returns the live hosts of the zones that the confirmations come from if
// the digest is that of another list. A new leader has not heard of all hosts
// yet, so it answers only those that have no list at all.
func (r *Registry) Zone(cs []Confirmation, have uint64) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if !r.settled(now) && have != hostsDigest(nil) {
		return nil
	}
	zones := make(map[string]bool)
	for _, c := range cs {
		zones[c.Host.Zone] = true
	}
	var out []Host
	for _, h := range r.hosts {
		if zones[h.host.Zone] && r.live(h, now) {
			out = append(out, h.host)
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	if hostsDigest(out) == have {
		return nil
	}
	return out
}

// settled reports whether all leases of earlier leaders have ended, and all
// live hosts had time to confirm.
func (r *Registry) settled(now time.Time) bool {
	return r.term > 0 && now.Sub(r.since) >= LeaseTime+leaseSlack
}

func (r *Registry) live(h *hostState, now time.Time) bool {
	return !h.seen.IsZero() && now.Sub(h.seen) < liveFor
}

// cutOff returns the zones of which all known hosts are silent. Some silent
// hosts in a zone with live ones are dead instead. A new leader has to wait
// for the hosts to confirm before it can tell.
func (r *Registry) cutOff(now time.Time) map[string]bool {
	cut := make(map[string]bool)
	if !r.settled(now) {
		return cut
	}
	for _, h := range r.hosts {
		live, known := cut[h.host.Zone]
		cut[h.host.Zone] = (!known || live) && !r.live(h, now)
	}
	return cut
}

func hostsDigest(hs []Host) uint64 {
	d := xxhash.New()
	for _, h := range hs {
		// A Digest never returns an error.
		_, _ = d.WriteString(h.Name + "\x00" + h.Zone + "\x00" + h.Addr.String() + "\x00")
	}
	return d.Sum64()
}

// relays returns the two hosts of the list that relay for the zone, in the
// order in which the named host prefers them.
func relays(hs []Host, zone, name string) []Host {
	var out []Host
	for _, h := range hs {
		if h.Zone == zone && !h.Control {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight(zone, b.Name), weight(zone, a.Name)), cmp.Compare(a.Name, b.Name))
	})
	out = out[:min(2, len(out))]
	if len(out) == 2 && xxhash.Sum64String(name)%2 == 1 {
		out[0], out[1] = out[1], out[0]
	}
	return out
}

func weight(zone, name string) uint64 {
	b := append([]byte(zone), 0)
	b = append(b, name...)
	return xxhash.Sum64(b)
}
