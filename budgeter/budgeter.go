// Package budgeter limits how often requests are sent to a second upstream.
//
// The budget of a service is shared by all hosts without messages: each host
// may repeat a share of the requests that it has seen itself in a sliding
// window, and has its part of a fixed allowance that is divided among the
// hosts that live.
//
// # Usage
//
//	b := budgeter.New(budgeter.Settings{Ratio: 0.9, Window: 10 * time.Second, Slack: 50, Clock: clock})
//	b.SetHosts(6)
//	b.Request("engines")
//	if b.Allow("engines") {
//		// Send the request again.
//	}
package budgeter

import (
	"sync"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// buckets is the number of parts of the window; the bounds are kept to
	// one part exactly.
	buckets = 20
	// margin is the part of the ratio and of the allowance that is used, for
	// what hosts count differently from whoever checks them.
	margin = 0.9
)

type (
	// Settings are the bounds of a budget.
	Settings struct {
		// Ratio is the number of repeats for each request.
		Ratio float64
		// Window is the time over which both are counted.
		Window time.Duration
		// Slack is the number of repeats in a window that all hosts together
		// may send beyond the ratio.
		Slack float64
		Clock timekeeper.Clock
	}

	// Budget counts requests and repeats by service. Make it with New. It is
	// safe for use by several goroutines.
	Budget struct {
		set  Settings
		base time.Time

		mu       sync.Mutex
		hosts    int
		services map[string]*window
	}

	// window counts over the last buckets; requests and repeats are rings.
	window struct {
		at       int64
		requests [buckets + 1]int
		repeats  [buckets + 1]int
	}
)

// New returns a budget for one host.
func New(s Settings) *Budget {
	return &Budget{set: s, base: s.Clock.Now(), hosts: 1, services: make(map[string]*window)}
}

// SetHosts sets the number of live hosts that share the allowance.
func (b *Budget) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(n, 1)
}

// Hosts returns the number of live hosts, 1 or more.
func (b *Budget) Hosts() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// Request counts a request to the service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.at%(buckets+1)]++
}

// Allow reports whether a request to the service may be sent once more, and
// counts the repeat if so.
func (b *Budget) Allow(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	if b.left(w) < 1 {
		return false
	}
	w.repeats[w.at%(buckets+1)]++
	return true
}

// Has reports whether a request to the service may be sent once more.
func (b *Budget) Has(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.window(service)) >= 1
}

// Return takes back the newest repeat that Allow has counted, because no
// upstream has received anything of it.
func (b *Budget) Return(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	for back := range int64(buckets) {
		if n := &w.repeats[(w.at-back+buckets+1)%(buckets+1)]; *n > 0 {
			*n--
			return
		}
	}
}

// Left returns the part of the budget of the service that is not used, from 0
// to 1.
func (b *Budget) Left(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	total := b.total(w)
	if total <= 0 {
		return 0
	}
	return max(0, b.left(w)/total)
}

func (b *Budget) total(w *window) float64 {
	requests := 0
	for i, n := range w.requests {
		// The oldest bucket may lie outside of the window.
		if int64(i) != (w.at+1)%(buckets+1) {
			requests += n
		}
	}
	return margin * (b.set.Ratio*float64(requests) + b.set.Slack/float64(b.hosts))
}

func (b *Budget) left(w *window) float64 {
	repeats := 0
	for _, n := range w.repeats {
		repeats += n
	}
	return b.total(w) - float64(repeats)
}

// window returns the counts of the service with those cleared that are too
// old.
func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	now := int64(b.set.Clock.Since(b.base) / (b.set.Window / buckets))
	for n := 0; w.at < now && n <= buckets; n++ {
		w.at++
		w.requests[w.at%(buckets+1)], w.repeats[w.at%(buckets+1)] = 0, 0
	}
	if w.at < now {
		// Everything is too old; keep the slots of the ring in step.
		w.at = now
		w.requests, w.repeats = [buckets + 1]int{}, [buckets + 1]int{}
	}
	return w
}
