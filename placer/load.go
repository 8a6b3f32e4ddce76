package placer

import (
	"math"
	"time"
)

const (
	// foreignHalf is the time after which half of the work of other hosts that
	// was seen counts as done.
	foreignHalf = 400 * time.Millisecond
	// setup is the part of the time to the first byte that does not depend on
	// the prompt.
	setup = 40 * time.Millisecond
	// perTokenGrowth is how fast the least time for a token that was seen is
	// forgotten, as a factor for each answer.
	perTokenGrowth = 1.005
	// leastWork is the work in tokens from which an answer tells the time for
	// a token.
	leastWork = 500
)

// measure learns from the time to the first byte how much work of other hosts
// was before the request. It answers a load that several hosts put on the same
// engines without knowing of each other.
func (pl *pool) measure(u *upstream, ahead float64, first time.Duration, now time.Time) {
	if pl == nil {
		return
	}
	net := max(first-setup, 0)
	if ahead >= leastWork {
		each := time.Duration(float64(net) / ahead)
		if grown := time.Duration(perTokenGrowth * float64(pl.perToken)); pl.perToken == 0 || each < grown {
			pl.perToken = max(each, 1)
		} else {
			pl.perToken = grown
		}
	}
	if pl.perToken == 0 {
		return
	}
	u.foreign = max(0, float64(net)/float64(pl.perToken)-ahead)
	u.foreignAt = now
}

// load returns the work before a new request, that of other hosts included as
// far as it is known.
func (u *upstream) load(now time.Time) float64 {
	if u.foreign == 0 {
		return u.work
	}
	age := float64(now.Sub(u.foreignAt)) / float64(foreignHalf)
	return u.work + u.foreign*math.Exp2(-age)
}
