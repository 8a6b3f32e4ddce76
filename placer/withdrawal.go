package placer

import "time"

// maxPause bounds the pause that an upstream may ask for, so that one given by
// mistake does not lose the upstream for good.
const maxPause = 10 * time.Minute

// withdrawal is what an upstream has said in its responses about further requests.
// It ends with the upstream's incarnation.
type withdrawal struct {
	leaving bool
	// pausedUntil is when a pause that the upstream has asked for ends.
	pausedUntil time.Time
}

// refuses reports whether the upstream must not be sent a request at the time.
func (w *withdrawal) refuses(now time.Time) bool { return w.leaving || now.Before(w.pausedUntil) }

// RecordLeaving records that the upstream says that it leaves, so that it gets no
// further requests. It reports whether that is news.
func (t *Ticket) RecordLeaving() bool {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	before := t.up.withdrawal.leaving
	t.up.withdrawal.leaving = true
	return !before
}

// RecordPause records that the upstream wants no requests for the given time, at most
// maxPause. It does not shorten an earlier pause. It returns when the pause ends.
func (t *Ticket) RecordPause(d time.Duration) time.Time {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	w := &t.up.withdrawal
	if end := t.p.settings.Clock.Now().Add(min(d, maxPause)); end.After(w.pausedUntil) {
		w.pausedUntil = end
	}
	return w.pausedUntil
}

// PauseLeft returns the time until the first upstream of the service ends its pause,
// zero if none pauses.
func (p *Placer) PauseLeft(service string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.Clock.Now()
	var first time.Duration
	if pl := p.pools[service]; pl != nil {
		for _, u := range pl.upstreams {
			left := u.withdrawal.pausedUntil.Sub(now)
			if left > 0 && !u.Leaving && !u.withdrawal.leaving && (first == 0 || left < first) {
				first = left
			}
		}
	}
	return first
}
