package monitor

import (
	"net/netip"
	"time"
)

// windowSlices is the number of parts of the window for the error rate; one
// part expires at a time.
const windowSlices = 10

type (
	// upstream is the health of one upstream. Its fields are guarded by the
	// Monitor's lock.
	upstream struct {
		address netip.AddrPort
		// incarnation is the newest one known, zero when none is. left says
		// that it is leaving.
		incarnation uint64
		left        bool
		// until is the end of the latest ejection and the start of the ramp.
		until     time.Time
		ejections int
		// lasted is the length of the latest ejection.
		lasted      time.Duration
		consecutive int
		slices      [windowSlices]tally
		silent      int64
		pools       []int
		// told is the weight last given to Settings.Changed.
		told float64
	}

	// tally counts the outcomes of one part of the window.
	tally struct {
		slice               int64
		all, failed, stalls int
	}
)

func (u *upstream) leaving() bool { return u.left }

func (u *upstream) ejected(now time.Time) bool { return now.Before(u.until) }

func (u *upstream) weight(now time.Time, ramp time.Duration) float64 {
	if u.left || u.ejected(now) {
		return 0
	}
	passed := now.Sub(u.until)
	if u.until.IsZero() || passed >= ramp {
		return 1
	}
	return rampStart + (1-rampStart)*float64(passed)/float64(ramp)
}

func (u *upstream) observe(o Outcome, now time.Time, window time.Duration) {
	t := u.current(now, window)
	t.all++
	switch o {
	case Success:
		u.consecutive = 0
		return
	case Stall:
		t.stalls++
	}
	t.failed++
	u.consecutive++
}

func (u *upstream) current(now time.Time, window time.Duration) *tally {
	slice := sliceOf(now, window)
	t := &u.slices[slice%windowSlices]
	if t.slice != slice {
		*t = tally{slice: slice}
	}
	return t
}

// window returns the sum of the counts of the last window.
func (u *upstream) window(now time.Time, window time.Duration) tally {
	oldest := sliceOf(now, window) - windowSlices
	var sum tally
	for _, t := range u.slices {
		if t.slice <= oldest {
			continue
		}
		sum.all += t.all
		sum.failed += t.failed
		sum.stalls += t.stalls
	}
	return sum
}

func sliceOf(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / (window.Nanoseconds() / windowSlices)
}

// eject takes the upstream out. The time doubles with each ejection; a healthy
// time as long as the last ejection undoes one doubling.
func (u *upstream) eject(now time.Time, s Settings) {
	if u.lasted > 0 {
		healthy := int(now.Sub(u.until) / u.lasted)
		u.ejections = max(u.ejections-healthy, 0)
	}
	d := s.Ejection
	for range u.ejections {
		d = min(2*d, s.MaxEjection)
	}
	u.ejections++
	u.lasted, u.until = d, now.Add(d)
	u.consecutive, u.slices = 0, [windowSlices]tally{}
}
