package placer

import "time"

// recordOutcome updates the upstream's statistics and ejection by the outcome
// of an attempt.
func (u *upstream) recordOutcome(outcome Outcome, firstByte time.Duration, now time.Time) {
	if outcome == Succeeded || outcome == Failed {
		u.recordReached()
	}
	switch outcome {
	case Succeeded:
		u.updateFailureRate(0)
		u.updateFirstByte(firstByte)
		u.ejections, u.probing = 0, false
		u.lastReceived = now
	case Failed:
		u.updateFailureRate(1)
		u.updateFirstByte(firstByte)
		u.probing = false
		u.lastReceived = now
	case Broken, Reset:
		u.updateFailureRate(1)
	case Refused, NotListening, Silent:
		u.updateFailureRate(1)
		u.eject(now, min(baseEjection<<u.ejections, maxEjection))
		u.ejections = min(u.ejections+1, 3)
	case Busy:
		u.eject(now, busyEjection)
		u.probing = false
		u.brittle.reject(now, u.Slots)
	case Misdirected:
		u.recordMisdirected(now)
	case Unsent, Stale, Abandoned:
	}
}

// recordMisdirected ejects an upstream whose address belongs to another one. An
// upstream that has just sent data may have refused the request for another reason
// and remains the last resort.
func (u *upstream) recordMisdirected(now time.Time) {
	u.eject(now, misdirectedEjection)
	if now.Sub(u.lastReceived) > baseEjection {
		u.misdirectedAt = now
	}
}

// recordReached records that the upstream is still at its address, although an
// earlier request seemed to reach another one there.
func (u *upstream) recordReached() {
	if !u.misdirectedAt.IsZero() {
		u.misdirectedAt, u.ejectedUntil = time.Time{}, time.Time{}
	}
}

func (u *upstream) eject(now time.Time, duration time.Duration) {
	if end := now.Add(duration); end.After(u.ejectedUntil) {
		u.ejectedUntil = end
	}
	u.probing = true
}

func (u *upstream) updateFailureRate(failure float64) {
	u.outcomes++
	// The first outcomes are averaged with equal weights.
	w := max(newSampleWeight, 1/float64(u.outcomes))
	u.failureRate += w * (failure - u.failureRate)
}

func (u *upstream) updateFirstByte(firstByte time.Duration) {
	if firstByte <= 0 {
		return
	}
	if u.firstByte == 0 {
		u.firstByte = firstByte
		return
	}
	u.firstByte += time.Duration(newSampleWeight * float64(firstByte-u.firstByte))
}

// ejectOutlier ejects an upstream that fails more often or responds later than
// its peers, although it accepts requests.
func (p *Placer) ejectOutlier(u *upstream) {
	pl := p.pools[u.Service]
	if pl == nil || u.outcomes < minOutcomes {
		return
	}
	var peerRates float64
	var peerTimes time.Duration
	peers, timedPeers := 0, 0
	for _, peer := range pl.upstreams {
		if peer == u || peer.outcomes == 0 {
			continue
		}
		peers++
		peerRates += peer.failureRate
		if peer.firstByte > 0 {
			timedPeers++
			peerTimes += peer.firstByte
		}
	}
	// The prior rate counts as one more peer, since the peers may not have been
	// used yet.
	failing := u.failureRate > (peerRates+priorFailureRate)/float64(peers+1)+outlierRateMargin
	slow := timedPeers > 0 && u.firstByte > minOutlierLatency && float64(u.firstByte) > outlierLatencyRatio*float64(peerTimes)/float64(timedPeers)
	if !failing && !slow {
		return
	}
	u.eject(p.settings.Clock.Now(), outlierEjection)
	// The upstream is compared with its peers again after two more outcomes.
	u.outcomes, u.failureRate = minOutcomes-2, u.failureRate/2
	if slow {
		u.firstByte /= 2
	}
}
