package placer

import "time"

// note takes over the outcome of an attempt.
func (u *upstream) note(o Outcome, first time.Duration, now time.Time) {
	switch o {
	case Good:
		u.rate(0)
		u.latency(first)
		u.ejections, u.trial = 0, false
		u.heard = now
	case Failed:
		u.rate(1)
		u.latency(first)
		u.trial = false
		u.heard = now
	case Broken:
		u.rate(1)
	case Refused, Silent:
		u.rate(1)
		u.eject(now, min(ejectBase<<u.ejections, ejectMost))
		u.ejections = min(u.ejections+1, 3)
	case Busy:
		u.eject(now, ejectBusy)
		u.trial = false
	case Misdirected:
		u.eject(now, ejectGone)
	case Stale, Abandoned:
	}
}

func (u *upstream) eject(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(u.ejected) {
		u.ejected = until
	}
	u.trial = true
}

func (u *upstream) rate(bad float64) {
	u.outcomes++
	// The first outcomes weigh as in a plain mean.
	w := max(rateDecay, 1/float64(u.outcomes))
	u.badRate += w * (bad - u.badRate)
}

func (u *upstream) latency(first time.Duration) {
	if first <= 0 {
		return
	}
	if u.first == 0 {
		u.first = first
		return
	}
	u.first += time.Duration(rateDecay * float64(first-u.first))
}

// judge passes over an upstream that fails more often or answers later than
// its peers, although it takes requests.
func (p *Placer) judge(u *upstream) {
	pl := p.pools[u.Service]
	if pl == nil || u.outcomes < greyLeast {
		return
	}
	var bad float64
	var first time.Duration
	peers, timed := 0, 0
	for _, o := range pl.ups {
		if o == u || o.outcomes == 0 {
			continue
		}
		peers++
		bad += o.badRate
		if o.first > 0 {
			timed++
			first += o.first
		}
	}
	// An expected rate stands beside those of the peers, which may not have
	// been used yet.
	grey := u.badRate > (bad+expectedRate)/float64(peers+1)+greyRate
	slow := timed > 0 && u.first > slowLeast && float64(u.first) > slowRatio*float64(first)/float64(timed)
	if !grey && !slow {
		return
	}
	u.eject(p.set.Clock.Now(), ejectGrey)
	// The next few outcomes decide anew.
	u.outcomes, u.badRate = greyLeast-2, u.badRate/2
	if slow {
		u.first /= 2
	}
}
