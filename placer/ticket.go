package placer

import (
	"slices"
	"time"

	"foxtailwall/tracker"
)

// Ticket is an attempt in progress. It must be ended with Done.
type Ticket struct {
	p  *Placer
	up *upstream
	// listed is the upstream as it was listed when it was chosen; that of up changes
	// with the list.
	listed tracker.Upstream
	// request is the hash of the request's ID.
	request uint64
	work    float64
	done    bool
	// placement is what this attempt has added to the caches of pool; its zero
	// value means nothing.
	placement Placement
	pool      *pool
	// sentAt is when the attempt was placed, and receivedAt when data last arrived.
	sentAt, receivedAt time.Time
	// cold means that the upstream counted as cold at sentAt.
	cold     bool
	admitted admittedAttempt
}

// Upstream returns the chosen upstream as it was listed then.
func (t *Ticket) Upstream() tracker.Upstream { return t.listed }

// RecordReceived records that data arrived from the upstream. The first data
// reduces the request's work, since its prompt has been processed by then.
func (t *Ticket) RecordReceived() {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	t.up.lastReceived = t.p.settings.Clock.Now()
	t.p.recordReceived(t.up)
	t.recordColdReceived(t.up.lastReceived)
	t.recordFirstByte()
	if t.work > generationWork && !t.done {
		t.up.work -= t.work - generationWork
		t.work = generationWork
	}
}

// ReceivedSince reports whether any request, of this host or another, has
// received data from the upstream since the given time.
func (t *Ticket) ReceivedSince(since time.Time) bool {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	return t.up.lastReceived.After(since) || t.up.lastReceivedElsewhere.After(since)
}

// Running returns the number of this host's requests in progress at the
// upstream.
func (t *Ticket) Running() int {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	return t.up.running
}

// Done ends the attempt. firstByte is the time to the first byte of the
// response, zero if there was none. Only the first call has an effect.
func (t *Ticket) Done(outcome Outcome, firstByte time.Duration) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if t.done {
		return
	}
	t.done = true
	u := t.up
	u.running--
	u.work -= t.work
	defer t.endAdmitted(outcome, firstByte)
	switch outcome {
	case Refused, NotListening, Misdirected, Busy:
		t.removePlacement()
	case Succeeded, Failed, Broken, Reset, Unsent, Silent, Stale, Abandoned:
	}
	now := t.p.settings.Clock.Now()
	t.recordColdOutcome(outcome, now)
	switch outcome {
	case Refused, NotListening, Silent, Stale:
		t.p.reach.recordUnreached(u, now)
		if t.p.isPartitioned() {
			// It says nothing about the upstream.
			return
		}
	case Succeeded, Failed, Busy, Misdirected:
		t.p.recordReceived(u)
	case Broken, Reset, Unsent:
		// A reset may come from either side of a partition, so what it says about the
		// upstream is decided when data arrives or the host counts as partitioned.
		t.p.reach.recordBroken(u, outcome, t.request)
		return
	case Abandoned:
	}
	if t.cold {
		// It responds late because it is cold.
		firstByte = 0
	}
	u.recordOutcome(outcome, firstByte, now)
	switch outcome {
	case Misdirected:
		t.p.recordUnreachable(Unreachable{Upstream: u.loadID(), Misdirected: true})
	case NotListening:
		t.p.recordUnreachable(Unreachable{Upstream: u.loadID()})
	case Silent, Stale:
		// The path within the own zone is never considered unreachable.
		if u.Zone != t.p.settings.Zone {
			path := t.p.zonePath(u.Zone)
			path.recordSilent(u.hash, now)
			if path.unreachable() {
				t.p.suspectAll(u.Zone, now)
			}
		}
	case Succeeded, Failed, Busy, Broken, Reset, Unsent, Refused, Abandoned:
	}
	if outcome == Succeeded || outcome == Failed {
		t.p.ejectOutlier(u)
	}
}

// removePlacement takes back what the attempt has recorded, since the upstream
// did not process its prompt. Hosts that were told keep it.
func (t *Ticket) removePlacement() {
	if t.placement == (Placement{}) {
		return
	}
	t.pool.removePrefixCache(t.placement.Group, t.placement.Upstream)
	t.p.placements = slices.DeleteFunc(t.p.placements, func(pm Placement) bool { return pm == t.placement })
}
