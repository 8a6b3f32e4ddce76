package stager

import (
	"time"
)

// minRateInterval is the shortest time over which a RateMeter measures.
const minRateInterval = 500 * time.Millisecond

type (
	// RateMeter measures the answers per second of services from their counts. Its
	// zero value is ready to use. It is not safe for concurrent use.
	RateMeter struct {
		services map[string]rateStart
	}

	// rateStart is the number of answers of a service at a time.
	rateStart struct {
		at  time.Time
		all uint64
	}
)

// Update returns the answers per second of a service since it was first updated, or
// 0 if that was less than minRateInterval ago.
func (m *RateMeter) Update(service string, counts map[CountKey]Count, now time.Time) float64 {
	var all uint64
	for key, c := range counts {
		if key.Service == service {
			all += c.All
		}
	}
	start, ok := m.services[service]
	if !ok || all < start.all {
		if m.services == nil {
			m.services = make(map[string]rateStart)
		}
		m.services[service] = rateStart{at: now, all: all}
		return 0
	}
	if elapsed := now.Sub(start.at); elapsed >= minRateInterval {
		return float64(all-start.all) / elapsed.Seconds()
	}
	return 0
}

// Forget drops what is known about a service, whose rollout has ended.
func (m *RateMeter) Forget(service string) { delete(m.services, service) }
