package starter

import "time"

const (
	// maxListAge is the age of the leader's list of upstreams at which an entry
	// reads the list itself. The list also ages while the leader is unreachable.
	maxListAge = 2500 * time.Millisecond
	// minReadInterval is the shortest interval between two reads by an entry.
	minReadInterval = 1200 * time.Millisecond
	// pageSize is the number of upstreams on a page of the list. A read takes
	// one call for each page.
	pageSize = 50
	// entryRateFraction is the part of the platform's rate limit that entries
	// use; the rest is left to the leader.
	entryRateFraction = 0.8
)

type (
	// readSchedule decides when this host reads the list of upstreams.
	readSchedule struct{ next time.Time }

	// listStatus is the state from which readSchedule.due decides.
	listStatus struct {
		// leaderReadAt is when the leader last read the list.
		leaderReadAt time.Time
		configured   bool
		// interval is the time between two reads by this host.
		interval time.Duration
	}
)

// due reports whether this host should read the list now. The jitter, from 0 to
// 1, spreads the first reads of hosts that lose the leader together.
func (s *readSchedule) due(now time.Time, status listStatus, jitter float64) bool {
	if now.Sub(status.leaderReadAt) < maxListAge || !status.configured {
		// Without a configuration no request can be served, so the rate is left
		// to the leader, which will send one.
		s.next = time.Time{}
		return false
	}
	if s.next.IsZero() {
		s.next = now.Add(time.Duration(jitter * float64(status.interval-minReadInterval)))
	}
	if now.Before(s.next) {
		return false
	}
	s.next = now.Add(status.interval)
	return true
}

// readInterval returns the time between two reads of the list by one host. The
// hosts share the rate, in calls per second, since all of them may have lost
// the leader.
func readInterval(hosts int64, upstreams int, rate float64) time.Duration {
	if rate <= 0 {
		return minReadInterval
	}
	calls := float64(upstreams/pageSize + 1)
	seconds := float64(hosts) * calls / (entryRateFraction * rate)
	return max(minReadInterval, time.Duration(seconds*float64(time.Second)))
}
