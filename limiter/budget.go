package limiter

import "time"

const (
	// retryShare is the share of a workspace's requests that may be retries.
	retryShare = 0.1
	// retryFloor is the rate in retries per second that a workspace with few
	// requests has in any case.
	retryFloor = 0.2
	// retryBurst bounds the retries that time alone saves up.
	retryBurst = 10
	// retrySaved bounds the retries saved up in all, so that a fault does not
	// start with an hour's worth of them. It covers the requests in flight on
	// a few replicas that fail together.
	retrySaved = 100
)

// budget is the retry budget of one workspace, a token bucket that requests
// and time fill.
type budget struct {
	balance float64
	at      time.Time
}

func (b *budget) earn(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+retryShare, retrySaved)
}

func (b *budget) spend(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *budget) refill(now time.Time) {
	if b.balance < retryBurst {
		b.balance = min(b.balance+retryFloor*now.Sub(b.at).Seconds(), retryBurst)
	}
	b.at = now
}
