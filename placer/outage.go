package placer

import "time"

const (
	// outageMemory is how long hosts tell each other of an upstream that could not be
	// reached, longer than a host is usually cut off.
	outageMemory = 30 * time.Second
	// outageError is the difference between two times of the same outage, which come
	// from ages.
	outageError = 300 * time.Millisecond
	// A zone has failed if this many of its upstreams could not be reached and none has
	// sent data to any host for silentZoneTime.
	minFailedUpstreams = 2
	silentZoneTime     = 300 * time.Millisecond
	// endedZoneFraction is the part of a zone's upstreams at which nothing listened, for any
	// host, from which on the others count as restarted unless they have sent data since.
	// Above silentZoneFraction, they do if the zone is silent: faults that are not those of
	// a zone stop up to a quarter of the upstreams, and hosts hear little of the data that
	// others receive.
	endedZoneFraction  = 0.5
	silentZoneFraction = 0.25
)

// Outage says that an upstream could not be reached.
type Outage struct {
	_ struct{} `cbor:",toarray"`
	// Upstream is the hash of the upstream's key.
	Upstream uint64
	// Ended means that nothing listened at its address, so that its process had ended.
	Ended bool
	// Age is the time since then.
	Age time.Duration
}

// suspectFailedZone records that the upstreams of a zone may have become cold if the zone
// seems to have failed: those that this host has not tried may have failed as well. The
// caller holds mu.
func (p *Placer) suspectFailedZone(zone string, now time.Time) {
	failed, first := 0, now
	var receivedAt time.Time
	var others []*upstream
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			switch c := &u.cold; {
			case u.Zone != zone:
			case !c.suspectedAt.IsZero():
				if c.answeredAt.IsZero() && (now.Sub(c.failedAt) < restartListDelay || now.Sub(c.endedAt) < restartListDelay) {
					failed++
					first = earlier(first, c.suspectedAt)
				}
			default:
				receivedAt = later(receivedAt, u.receivedAnywhere())
				others = append(others, u)
			}
		}
	}
	isolated := now.Sub(p.remoteLoadsAt) > isolatedTime
	switch {
	case receivedAt.After(first):
		return
	case !isolated && (failed < minFailedUpstreams || now.Sub(first) < silentZoneTime):
		return
	}
	for _, u := range others {
		if !isolated || now.Sub(u.lastReceived) > isolatedTime {
			u.cold.suspect(now, first, false)
		}
	}
}

// suspectEndedZones records that the upstreams of a zone may have become cold if most
// others have ended by the word of this host or others, and they have sent no data since.
// The caller holds mu.
func (p *Placer) suspectEndedZones(now time.Time) {
	if now.Sub(p.cold.endedAt) >= restartListDelay {
		return
	}
	type zone struct {
		listed, ended     int
		first, receivedAt time.Time
	}
	zones := make(map[string]zone)
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if !u.cold.hasEnded(now) {
				continue
			}
			z, known := zones[u.Zone]
			if !known {
				z.first = now
			}
			z.ended++
			z.first = earlier(z.first, u.cold.suspectedAt)
			zones[u.Zone] = z
		}
	}
	if len(zones) == 0 {
		return
	}
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if z, ok := zones[u.Zone]; ok {
				z.listed++
				if u.cold.suspectedAt.IsZero() {
					z.receivedAt = later(z.receivedAt, u.receivedAnywhere())
				}
				zones[u.Zone] = z
			}
		}
	}
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			z, ok := zones[u.Zone]
			if !ok || z.ended < minFailedUpstreams || !u.cold.suspectedAt.IsZero() {
				continue
			}
			ended := float64(z.ended) / float64(z.listed)
			silent := ended > silentZoneFraction && !z.receivedAt.After(z.first) && now.Sub(z.first) >= silentZoneTime
			if silent || ended >= endedZoneFraction && !u.receivedAnywhere().After(z.first) {
				u.cold.suspect(now, z.first, true)
				u.cold.inferredAt = now
			}
		}
	}
}

// receivedAnywhere returns when data was last received from the upstream, by this host or
// another.
func (u *upstream) receivedAnywhere() time.Time {
	return later(u.lastReceived, u.lastReceivedElsewhere)
}

// hasEnded reports whether nothing listened lately, for this host or another, and the
// upstream has not responded since.
func (c *coldness) hasEnded(now time.Time) bool {
	return !c.suspectedAt.IsZero() && c.answeredAt.IsZero() && now.Sub(later(c.toldAt, c.endedAt)) < restartListDelay
}

// Outages returns the upstreams that this host could not reach within outageMemory, or
// took for restarted with their zone, unless it reaches none at all. Without the latter, a
// host that starts would not learn of upstreams to which no host has sent anything.
func (p *Placer) Outages() []Outage {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reach.partitioned {
		return nil
	}
	now := p.settings.Clock.Now()
	var out []Outage
	for _, pl := range p.pools {
		if p.cold.rates[pl.service()].PerSecond <= 0 {
			continue
		}
		for _, u := range pl.upstreams {
			for i, at := range [...]time.Time{later(u.cold.failedAt, u.cold.inferredAt), u.cold.endedAt} {
				if age := now.Sub(at); !at.IsZero() && age <= outageMemory {
					out = append(out, Outage{Upstream: u.key, Ended: i == 1, Age: age})
				}
			}
		}
	}
	return out
}

// AddOutages adds what other hosts report.
func (p *Placer) AddOutages(outages []Outage) {
	if len(outages) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	told := make(map[uint64][]Outage, len(outages))
	for _, o := range outages {
		told[o.Upstream] = append(told[o.Upstream], o)
	}
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			for _, o := range told[u.key] {
				at := now.Add(-o.Age)
				// The path of the reporting host may have failed.
				if at.Sub(u.cold.outageAt) > outageError && (o.Ended || u.receivedAnywhere().Before(at)) {
					if o.Ended {
						u.cold.toldAt = later(u.cold.toldAt, at)
						p.cold.endedAt = later(p.cold.endedAt, at)
					}
					// A host that knows nothing of the upstream relies on no list that may be
					// older than its restart.
					u.cold.suspect(at, at.Add(-reportDelay), o.Ended || u.receivedAnywhere().IsZero())
				}
			}
		}
	}
}

// suspectTold records that another host could not reach the upstream. The caller holds
// mu.
func (u *upstream) suspectTold(now time.Time) {
	c := &u.cold
	c.toldAt = now
	if !c.suspectedAt.IsZero() && now.Sub(c.suspectedAt) < reportDelay {
		// It may be told repeatedly of the same failure.
		c.restarted = true
		return
	}
	c.suspect(now, now.Add(-reportDelay), true)
}

// suspectAll records that upstreams may have become cold without this host's knowledge:
// those of a zone, or all if the zone is empty. The caller holds mu.
func (p *Placer) suspectAll(zone string, now time.Time) {
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if zone == "" || u.Zone == zone {
				u.cold.suspect(now, now, false)
			}
		}
	}
}

// suspectEvacuated records that the upstreams of a zone may have become cold while its
// evacuation lasted, with or without a restart. The caller holds mu.
func (p *Placer) suspectEvacuated(zone string, now time.Time) {
	for _, pl := range p.pools {
		for _, u := range pl.upstreams {
			if u.Zone == zone {
				u.cold.suspect(now, time.Time{}, true)
			}
		}
	}
}
