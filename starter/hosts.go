package starter

import "time"

// hostCountMemory is how long a larger number of hosts is remembered. A leader that
// was just elected counts only the hosts that have reported to it, and a host that
// is cut off goes on sending to upstreams.
const hostCountMemory = 15 * time.Second

// hostCount is the number of hosts that divide a shared allowance, and this host's
// rank among them. Its zero value is ready to use.
type hostCount struct {
	peak   int
	peakAt time.Time
	// position is the last known rank, from 1; 0 if it was never known.
	position int
}

// update takes the number of live hosts and this host's position among them, 0 if
// it is unknown. It returns the largest number within hostCountMemory and the rank
// from 0, negative if it was never known.
func (c *hostCount) update(live, position int, now time.Time) (hosts, rank int) {
	if live >= c.peak || now.Sub(c.peakAt) > hostCountMemory {
		c.peak, c.peakAt = live, now
	}
	if position > 0 {
		c.position = position
	}
	return c.peak, c.position - 1
}
