package limiter

import "time"

const (
	// retryShare is the fraction of a workspace's requests that may be retried.
	retryShare = 0.1
	// minRetryRate is the rate in retries per second that every workspace has,
	// however few its requests.
	minRetryRate = 0.2
	// maxIdleBalance bounds the retries that accumulate over time without
	// requests.
	maxIdleBalance = 10
	// maxBalance bounds the accumulated retries, so that a fault does not start
	// with an hour's worth of them. It covers the requests in flight on a few
	// replicas that fail together.
	maxBalance = 100
)

// retryBudget is a token bucket for the retries of one workspace, refilled by
// requests and over time.
type retryBudget struct {
	balance    float64
	refilledAt time.Time
}

func (b *retryBudget) creditRequest(now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+retryShare, maxBalance)
}

func (b *retryBudget) spendRetry(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

func (b *retryBudget) refill(now time.Time) {
	if b.balance < maxIdleBalance {
		b.balance = min(b.balance+minRetryRate*now.Sub(b.refilledAt).Seconds(), maxIdleBalance)
	}
	b.refilledAt = now
}
