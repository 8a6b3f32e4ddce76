package placer

import "time"

const (
	// minSilentUpstreams is the number of upstreams of a zone that must go silent,
	// without any data from the zone in between, before the zone counts as
	// unreachable.
	minSilentUpstreams = 2
	// zoneProbeInterval is the interval between requests that probe an unreachable
	// zone.
	zoneProbeInterval = 750 * time.Millisecond
)

// zonePath tracks whether this host can reach a zone.
//
// It handles network partitions between zones. A request takes a second or more
// to detect one silent upstream, and a zone has more upstreams than a host sends
// requests in that time. So the zone counts as unreachable once two upstreams
// have gone silent and none has sent data since.
type zonePath struct {
	// silentUpstreams are the hashes of the upstreams that have gone silent since
	// data was last received from the zone.
	silentUpstreams map[uint64]bool
	// nextProbe is when the next request may probe the zone.
	nextProbe time.Time
}

// recordSilent records that an upstream of the zone sent nothing in time.
func (p *zonePath) recordSilent(upstream uint64, now time.Time) {
	if p.silentUpstreams == nil {
		p.silentUpstreams = make(map[uint64]bool)
	}
	p.silentUpstreams[upstream] = true
	if p.unreachable() {
		p.nextProbe = now.Add(zoneProbeInterval)
	}
}

// recordReceived records that data arrived from an upstream of the zone.
func (p *zonePath) recordReceived() { p.silentUpstreams = nil }

func (p *zonePath) unreachable() bool { return len(p.silentUpstreams) >= minSilentUpstreams }

// usable reports whether a request may be sent to the zone.
func (p *zonePath) usable(now time.Time) bool { return !p.unreachable() || !now.Before(p.nextProbe) }

// recordSent records that a request is sent to the zone.
func (p *zonePath) recordSent(now time.Time) {
	if p.unreachable() {
		p.nextProbe = now.Add(zoneProbeInterval)
	}
}
