package starter

import "time"

const (
	// leaderSilence is how long the leader may be silent, or its list old,
	// before an entry reads the list of upstreams itself.
	leaderSilence = 2500 * time.Millisecond
	// listPause is the shortest pause between such readings.
	listPause = 1200 * time.Millisecond
	// listPage is the number of upstreams on a page of the list; a reading
	// takes a call for each. listShare is the part of the platform's rate that
	// entries use; the rest is the leader's.
	listPage  = 50
	listShare = 0.8
)

type (
	// listTurn is when this host may read the list of upstreams.
	listTurn struct{ next time.Time }

	// listNeed is what decides about it.
	listNeed struct {
		// heard is when the list was last known to be new.
		heard      time.Time
		configured bool
		// pause is that between two readings of the same host.
		pause time.Duration
	}
)

// due reports whether this host reads the list now. The luck, from 0 to 1,
// spreads the first readings of hosts that lose the leader together.
func (t *listTurn) due(now time.Time, n listNeed, luck float64) bool {
	if now.Sub(n.heard) < leaderSilence || !n.configured {
		// Without a configuration no request can be served, and the rate is
		// left to the leader that will tell one.
		t.next = time.Time{}
		return false
	}
	if t.next.IsZero() {
		t.next = now.Add(time.Duration(luck * float64(n.pause-listPause)))
	}
	if now.Before(t.next) {
		return false
	}
	t.next = now.Add(n.pause)
	return true
}

// listPauseOf is the pause between two readings of the list by one of so many
// hosts. All of them may have lost the leader, so that they divide the
// platform's rate.
func listPauseOf(hosts int64, upstreams int, rate float64) time.Duration {
	if rate <= 0 {
		return listPause
	}
	calls := float64(upstreams/listPage + 1)
	every := float64(hosts) * calls / (listShare * rate)
	return max(listPause, time.Duration(every*float64(time.Second)))
}
