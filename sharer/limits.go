package sharer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"foxtailwall/placer"
)

const (
	// maxLimits bounds the rate limits in a datagram. Of more, each datagram
	// carries the next ones.
	maxLimits = 32
	// limitTTL is how long a leader tells hosts of a rate limit, or of its end,
	// that no host reports any longer.
	limitTTL = time.Minute
	// limitUnit is the unit of limit.PerSecond, and ageUnit that of limit.Age.
	limitUnit = 0.001
	ageUnit   = time.Millisecond
)

type (
	// limit is the encoding of a placer.RateLimit.
	limit struct {
		_         struct{} `cbor:",toarray"`
		Upstream  uint32
		PerSecond uint32
		Ended     bool
		Age       uint32
	}

	// limitLog holds the newest rate limit of each upstream, as hosts reported it.
	// Its zero value is ready to use.
	limitLog struct {
		limits map[uint32]loggedLimit
	}

	loggedLimit struct {
		placer.RateLimit
		// at is when the upstream said so, and reportedAt when a host last reported
		// it.
		at, reportedAt time.Time
	}
)

// limitsToWire converts the maxLimits rate limits whose turn it is in the datagram
// with this sequence number.
func limitsToWire(limits []placer.RateLimit, count uint64) []limit {
	slices.SortFunc(limits, func(a, b placer.RateLimit) int { return cmp.Compare(a.Upstream, b.Upstream) })
	var out []limit
	for i := range min(len(limits), maxLimits) {
		l := limits[(count*maxLimits+uint64(i))%uint64(len(limits))]
		out = append(out, limit{
			Upstream: l.Upstream, PerSecond: uint32(min(l.PerSecond/limitUnit, 1<<31)), Ended: l.Ended, Age: uint32(min(max(l.Age, 0)/ageUnit, 1<<31)),
		})
	}
	return out
}

func limitsFromWire(limits []limit) []placer.RateLimit {
	out := make([]placer.RateLimit, len(limits))
	for i, l := range limits {
		out[i] = placer.RateLimit{
			Upstream: l.Upstream, PerSecond: float64(l.PerSecond) * limitUnit, Ended: l.Ended, Age: time.Duration(l.Age) * ageUnit,
		}
	}
	return out
}

// add stores what a host reports, unless something newer is known.
func (g *limitLog) add(limits []limit, now time.Time) {
	if len(limits) > 0 && g.limits == nil {
		g.limits = make(map[uint32]loggedLimit)
	}
	for _, l := range limitsFromWire(limits) {
		at := now.Add(-l.Age)
		if known, ok := g.limits[l.Upstream]; !ok || at.After(known.at) {
			g.limits[l.Upstream] = loggedLimit{RateLimit: l, at: at, reportedAt: now}
		} else if known.PerSecond == l.PerSecond && known.Ended == l.Ended {
			known.reportedAt = now
			g.limits[l.Upstream] = known
		}
	}
}

// newest returns the newest rate limits for the datagram with this sequence
// number, and drops those that no host has reported for limitTTL.
func (g *limitLog) newest(count uint64, now time.Time) []limit {
	if len(g.limits) == 0 {
		return nil
	}
	maps.DeleteFunc(g.limits, func(_ uint32, l loggedLimit) bool { return now.Sub(l.reportedAt) > limitTTL })
	out := make([]placer.RateLimit, 0, len(g.limits))
	for _, l := range g.limits {
		l.Age = now.Sub(l.at)
		out = append(out, l.RateLimit)
	}
	return limitsToWire(out, count)
}
