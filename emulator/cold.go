package emulator

import (
	"net/http"
	"time"
)

type (
	// ColdConfig describes an upstream that is cold after each start. The zero value
	// describes one that never is, and that runs again at once after a crash.
	ColdConfig struct {
		// Duration is how long the upstream is cold after a start.
		Duration time.Duration
		// PerSecond is the number of requests within any second, from all senders
		// together, above which a cold upstream crashes; 0 means that it is never cold.
		PerSecond float64
		// Restart is the time from a crash until the upstream runs again, cold.
		Restart time.Duration
	}

	// Cold keeps whether an upstream runs and for how long it is still cold. It is not
	// safe for concurrent use.
	Cold struct {
		ColdConfig
		// startedAt is in the future from a crash until the upstream runs again.
		startedAt time.Time
		// arrivals are the times of the requests of the last second while it is cold.
		arrivals             []time.Time
		crashes, coldCrashes int
	}

	// crasher is a stand-in that can crash.
	crasher interface{ isDown() bool }
)

// Start makes the upstream run, cold, from now on.
func (c *Cold) Start(now time.Time) { c.startedAt, c.arrivals = now, nil }

// Crash stops the upstream, which runs again after the restart time.
func (c *Cold) Crash(now time.Time) {
	c.Start(now.Add(c.Restart))
	c.crashes++
}

// Down reports whether the upstream has crashed and does not run again yet.
func (c *Cold) Down(now time.Time) bool { return now.Before(c.startedAt) }

// Left returns how long the upstream is still cold, zero once it is warm.
func (c *Cold) Left(now time.Time) time.Duration {
	if c.PerSecond <= 0 {
		return 0
	}
	return max(0, c.startedAt.Add(c.Duration).Sub(now))
}

// Arrive records a request and reports whether the upstream crashes because of it.
func (c *Cold) Arrive(now time.Time) bool {
	if c.Left(now) == 0 {
		return false
	}
	for len(c.arrivals) > 0 && now.Sub(c.arrivals[0]) >= time.Second {
		c.arrivals = c.arrivals[1:]
	}
	c.arrivals = append(c.arrivals, now)
	if float64(len(c.arrivals)) <= c.PerSecond {
		return false
	}
	c.coldCrashes++
	c.Crash(now)
	return true
}

// ColdCrashes returns how often the upstream crashed because it was cold.
func (c *Cold) ColdCrashes() int { return c.coldCrashes }

// handleUnlessDown serves h, but closes the connections of calls while c is down. Faults
// and audits belong to the test and are served.
func handleUnlessDown(c crasher, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != faultsPath && r.URL.Path != ranPath && c.isDown() {
			panic(http.ErrAbortHandler)
		}
		h.ServeHTTP(w, r)
	})
}
