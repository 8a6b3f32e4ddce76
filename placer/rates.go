package placer

import "time"

const (
	// waiting is the time for whose work an upstream is expected to be behind
	// at the rate that all hosts place there.
	waiting = 150 * time.Millisecond
	// ratesLife is the time after which the rates of all hosts are no longer
	// used.
	ratesLife = 2 * time.Second
)

// TakePlaced returns the work, in tokens, that this host has placed at each
// upstream since the last call, by the upstream's ID.
func (p *Placer) TakePlaced() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]float64)
	for _, pl := range p.pools {
		for _, u := range pl.ups {
			if u.placed > 0 {
				out[u.ID] = u.placed
				u.placed = 0
			}
		}
	}
	return out
}

// SetRates takes over the work in tokens a second that all hosts place at each
// upstream, by its ID.
//
// It answers a load that many hosts spread, each of which has too few requests
// under way to see which engines are behind.
func (p *Placer) SetRates(rates map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ratesAt = p.set.Clock.Now()
	for _, pl := range p.pools {
		for _, u := range pl.ups {
			u.rate = rates[u.ID]
		}
	}
}

// load returns the work before a new request: what this host has under way,
// and what the rates of all hosts lead to expect.
func (p *Placer) load(u *upstream, now time.Time) float64 {
	if now.Sub(p.ratesAt) > ratesLife {
		return u.work
	}
	return u.work + u.rate*waiting.Seconds()
}
