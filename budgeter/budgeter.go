// Package budgeter limits how often requests are retried at another upstream.
//
// The hosts share the retry budget of a service without messages: each host may
// retry a fraction of the requests that it has received in a sliding window,
// plus its share of a fixed allowance that is divided among the live hosts.
//
// # Usage
//
//	b := budgeter.New(budgeter.Settings{Ratio: 0.9, Window: 10 * time.Second, Slack: 50, Clock: clock})
//	b.SetHosts(6)
//	b.AddRequest("engines")
//	if b.Allow("engines") {
//		// Retry the request.
//	}
package budgeter

import (
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// numBuckets is the number of buckets of the window, and so its resolution.
	numBuckets = 20
	// safetyFactor is the fraction of the limit that is used, since hosts may
	// count differently from whoever checks the limit.
	safetyFactor = 0.9
)

type (
	// Settings configures a Budget.
	Settings struct {
		// Ratio is the number of retries allowed for each request.
		Ratio float64
		// Window is the duration over which requests and retries are counted.
		Window time.Duration
		// Slack is the number of retries per window that all hosts together may send
		// beyond Ratio.
		Slack float64
		Clock timekeeper.Clock
	}

	// Budget counts requests and retries by service. Create it with New. It is
	// safe for concurrent use.
	Budget struct {
		settings Settings
		start    time.Time

		mu       sync.Mutex
		hosts    int
		services map[string]*window
	}

	// window counts in rings of buckets; current is the absolute number of the
	// latest bucket.
	window struct {
		current  int64
		requests [numBuckets + 1]int
		retries  [numBuckets + 1]int
	}
)

// New returns the budget of one host, with a single live host until SetHosts is
// called.
func New(s Settings) *Budget {
	return &Budget{settings: s, start: s.Clock.Now(), hosts: 1, services: make(map[string]*window)}
}

// SetHosts sets the number of live hosts that share the slack.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

// Hosts returns the number of live hosts, at least 1.
func (b *Budget) Hosts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// AddRequest counts a request to the service.
func (b *Budget) AddRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.requests[w.current%(numBuckets+1)]++
}

// Allow reports whether a request to the service may be retried, and counts the
// retry if so.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	if b.retriesLeft(w) < 1 {
		return false
	}
	w.retries[w.current%(numBuckets+1)]++
	return true
}

// CanRetry reports whether a request to the service may be retried, without
// counting a retry.
func (b *Budget) CanRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retriesLeft(b.currentWindow(service)) >= 1
}

// ReturnRetry takes back the latest retry counted by Allow, because it reached
// no upstream.
func (b *Budget) ReturnRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.takeBack(&w.retries)
}

// ReturnRequest takes back the latest request counted by AddRequest, because another
// host counts it.
func (b *Budget) ReturnRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.takeBack(&w.requests)
}

// takeBack takes one from the latest count in a ring that is not zero.
func (w *window) takeBack(ring *[numBuckets + 1]int) {
	for back := range int64(numBuckets) {
		if n := &ring[(w.current-back+numBuckets+1)%(numBuckets+1)]; *n > 0 {
			*n--
			return
		}
	}
}

// FractionLeft returns the unused fraction of the service's budget, from 0 to
// 1.
func (b *Budget) FractionLeft(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	limit := b.retryLimit(w)
	if limit <= 0 {
		return 0
	}
	return max(0, b.retriesLeft(w)/limit)
}

// retryLimit returns the number of retries allowed in the current window.
func (b *Budget) retryLimit(w *window) float64 {
	requests := 0
	for i, n := range w.requests {
		// The oldest bucket may be outside the window.
		if int64(i) != (w.current+1)%(numBuckets+1) {
			requests += n
		}
	}
	return safetyFactor * (b.settings.Ratio*float64(requests) + b.settings.Slack/float64(b.hosts))
}

func (b *Budget) retriesLeft(w *window) float64 {
	retries := 0
	for _, n := range w.retries {
		retries += n
	}
	return b.retryLimit(w) - float64(retries)
}

// currentWindow returns the service's window, advanced to the current time with
// expired buckets cleared.
func (b *Budget) currentWindow(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	now := int64(b.settings.Clock.Since(b.start) / (b.settings.Window / numBuckets))
	for n := 0; w.current < now && n <= numBuckets; n++ {
		w.current++
		w.requests[w.current%(numBuckets+1)], w.retries[w.current%(numBuckets+1)] = 0, 0
	}
	if w.current < now {
		// All counts are too old; keep the ring indexes consistent.
		w.current = now
		w.requests, w.retries = [numBuckets + 1]int{}, [numBuckets + 1]int{}
	}
	return w
}
