package syncer

import (
	"maps"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/placer"
	"foxtailwall/tracker"
)

const (
	// NoColdVersion is the version of a host that has not received ColdTimes, or none
	// with a cold upstream.
	NoColdVersion int64 = 1

	// coldTolerance is the difference between two statements of the time at which an
	// upstream is warm that is not told to hosts at once.
	coldTolerance = 500 * time.Millisecond
	// turnTime is the time between two rotations of the hosts that send to cold
	// upstreams. It is several times the window of their bound, so that a window contains
	// at most one rotation although hosts learn of it up to DefaultWait apart.
	turnTime = 4 * time.Second
	// outageMemory is how long hosts are told of an upstream that could not be reached.
	outageMemory = 30 * time.Second
)

type (
	// ColdTimes says which of the listed upstreams are cold.
	ColdTimes struct {
		// Version changes when hosts should learn of a difference at once.
		Version int64 `cbor:"version"`
		// Left is how much longer the upstreams stay cold, by the hash of their keys, when
		// the update was sent. Those that are not named are not cold.
		Left map[uint64]time.Duration `cbor:"left,omitempty"`
	}

	// outageLog is when upstreams could last not be reached. Its zero value has none.
	outageLog struct {
		at map[outageKey]time.Time
	}

	outageKey struct {
		upstream uint64
		ended    bool
	}

	// coldClock is when cold upstreams are warm. Its zero value has none.
	coldClock struct {
		version int64
		warmAt  map[uint64]time.Time
	}
)

// update takes the times from a list that was read at the time, and reports whether they
// differ from what hosts know by more than the time that has passed. It keeps a time that
// an unchanged list repeats.
func (c *coldClock) update(list []tracker.Upstream, readAt time.Time) (changed bool) {
	next := make(map[uint64]time.Time)
	for _, u := range list {
		if u.ColdLeft <= 0 {
			continue
		}
		key, at := u.Key().Hash(), readAt.Add(u.ColdLeft)
		next[key] = at
		if before, ok := c.warmAt[key]; !ok || at.Sub(before).Abs() > coldTolerance {
			changed = true
		}
	}
	for key, at := range c.warmAt {
		if _, ok := next[key]; !ok && at.Sub(readAt) > coldTolerance {
			changed = true
		}
	}
	c.warmAt = next
	if changed {
		c.version = readAt.UnixNano()
	}
	return changed
}

// times returns what hosts are told at the time.
func (c *coldClock) times(now time.Time) *ColdTimes {
	t := &ColdTimes{Version: max(c.version, NoColdVersion), Left: make(map[uint64]time.Duration, len(c.warmAt))}
	for key, at := range maps.All(c.warmAt) {
		if left := at.Sub(now); left > 0 {
			t.Left[key] = left
		}
	}
	return t
}

// recordEvacuations takes the end of a zone's evacuation for an outage of its upstreams:
// they may be cold, and hosts that start later do not know of the evacuation. The caller
// holds mu.
func (h *Hub) recordEvacuations(list []declarer.Evacuation) {
	if len(list) == 0 && len(h.evacuated) == 0 {
		return
	}
	evacuated := make(map[string]bool, len(list))
	for _, e := range list {
		evacuated[e.Zone] = true
	}
	var ended []placer.Outage
	for _, u := range h.list.Upstreams {
		if h.evacuated[u.Zone] && !evacuated[u.Zone] {
			ended = append(ended, placer.Outage{Upstream: u.Key().Hash(), Ended: true})
		}
	}
	h.outages.add(ended, h.set.Clock.Now())
	h.evacuated = evacuated
}

// add adds what a host reports.
func (l *outageLog) add(outages []placer.Outage, now time.Time) {
	if l.at == nil {
		l.at = make(map[outageKey]time.Time)
	}
	for _, o := range outages {
		key, at := outageKey{o.Upstream, o.Ended}, now.Add(-max(o.Age, 0))
		if at.After(l.at[key]) {
			l.at[key] = at
		}
	}
}

// newest returns the last outage of each upstream within outageMemory, and forgets the
// others.
func (l *outageLog) newest(now time.Time) []placer.Outage {
	maps.DeleteFunc(l.at, func(_ outageKey, at time.Time) bool { return now.Sub(at) > outageMemory })
	out := make([]placer.Outage, 0, len(l.at))
	for key, at := range l.at {
		out = append(out, placer.Outage{Upstream: key.upstream, Ended: key.ended, Age: now.Sub(at)})
	}
	return out
}
