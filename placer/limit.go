package placer

import "time"

// rateLimit is the rate limit that an upstream has named.
type rateLimit struct {
	// rate is the number of requests per second from all hosts together.
	rate  float64
	named bool
	// at is when the limit was named or, if named is false, a lower bound on when it
	// ended.
	at time.Time
}

// RecordRateLimit records the rate limit that the response to the attempt names,
// in requests per second from all hosts together, or nil if it names none. It
// reports whether that is a change. sentAt is when the attempt was sent: a
// response that was generated before the limit was named does not end it.
func (t *Ticket) RecordRateLimit(rate *float64, sentAt time.Time) (changed bool) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	before := t.up.limit
	switch {
	case rate != nil:
		t.up.limit = rateLimit{rate: *rate, named: true, at: t.p.settings.Clock.Now()}
	case before.named && sentAt.After(before.at):
		t.up.limit = rateLimit{at: sentAt}
	}
	return t.up.limit.named != before.named || t.up.limit.rate != before.rate
}
