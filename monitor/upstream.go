package monitor

import (
	"net/netip"
	"time"
)

// windowBuckets is the number of buckets of the window for the error rate. The
// oldest bucket expires as a new one begins.
const windowBuckets = 10

type (
	// upstream is the health of one upstream, guarded by the Monitor's lock.
	upstream struct {
		address netip.AddrPort
		// incarnation is the newest one known, zero if none is.
		incarnation uint64
		leaving     bool
		// ejectedUntil is the end of the latest ejection or the time of the
		// latest restart: the start of the ramp.
		ejectedUntil time.Time
		// ejections is how often the duration of the next ejection is doubled.
		ejections int
		// lastEjection is the duration of the latest ejection.
		lastEjection        time.Duration
		consecutiveFailures int
		buckets             [windowBuckets]outcomeCounts
		silentConnections   int64
		// pools holds indexes into Monitor.pools.
		pools []int
		// reportedWeight is the weight last passed to
		// Settings.OnWeightChange.
		reportedWeight float64
	}

	// outcomeCounts counts the outcomes of one bucket of the window.
	outcomeCounts struct {
		// bucket is the number of the bucket, counted from the Unix epoch.
		bucket              int64
		all, failed, stalls int
	}
)

func (u *upstream) isLeaving() bool { return u.leaving }

func (u *upstream) ejected(now time.Time) bool { return now.Before(u.ejectedUntil) }

func (u *upstream) weight(now time.Time, ramp time.Duration) float64 {
	if u.leaving || u.ejected(now) {
		return 0
	}
	elapsed := now.Sub(u.ejectedUntil)
	if u.ejectedUntil.IsZero() || elapsed >= ramp {
		return 1
	}
	return rampStartWeight + (1-rampStartWeight)*float64(elapsed)/float64(ramp)
}

func (u *upstream) recordOutcome(o Outcome, now time.Time, window time.Duration) {
	counts := u.currentBucket(now, window)
	counts.all++
	switch o {
	case Success:
		u.consecutiveFailures = 0
		return
	case Stall:
		counts.stalls++
	}
	counts.failed++
	u.consecutiveFailures++
}

func (u *upstream) currentBucket(now time.Time, window time.Duration) *outcomeCounts {
	bucket := bucketNumber(now, window)
	counts := &u.buckets[bucket%windowBuckets]
	if counts.bucket != bucket {
		*counts = outcomeCounts{bucket: bucket}
	}
	return counts
}

// windowCounts returns the sum of the buckets of the last window.
func (u *upstream) windowCounts(now time.Time, window time.Duration) outcomeCounts {
	oldest := bucketNumber(now, window) - windowBuckets
	var sum outcomeCounts
	for _, counts := range u.buckets {
		if counts.bucket <= oldest {
			continue
		}
		sum.all += counts.all
		sum.failed += counts.failed
		sum.stalls += counts.stalls
	}
	return sum
}

func bucketNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / (window.Nanoseconds() / windowBuckets)
}

// eject ejects the upstream. The duration doubles with each ejection. Each time
// without ejection that is as long as the last one undoes one doubling.
func (u *upstream) eject(now time.Time, s Settings) {
	if u.lastEjection > 0 {
		undone := int(now.Sub(u.ejectedUntil) / u.lastEjection)
		u.ejections = max(u.ejections-undone, 0)
	}
	duration := s.EjectionTime
	for range u.ejections {
		duration = min(2*duration, s.MaxEjectionTime)
	}
	u.ejections++
	u.lastEjection, u.ejectedUntil = duration, now.Add(duration)
	u.consecutiveFailures, u.buckets = 0, [windowBuckets]outcomeCounts{}
}
