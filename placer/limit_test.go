package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

const (
	// limitWindow, limitFactor and limitExtra give the requests that upstreams
	// with a rate limit may get, from hosts that they told half a second before.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	// settleTime is the time after which the bound holds.
	settleTime = 3 * time.Second
)

type (
	// limitedFleet simulates hosts that send to upstreams with rate limits.
	limitedFleet struct {
		clock *timekeeper.Fake
		rng   *rand.Rand
		hosts []*limitedHost
		// perSecond is the number of requests per second at all hosts.
		perSecond float64
		// limits has the rate limits by upstream ID.
		limits map[string]float64
		// arrivals has the times of the requests that count, by upstream ID.
		arrivals        map[string][]time.Time
		served, refused int
	}

	limitedHost struct {
		*placer.Placer
		// toldAt is when the host first received a limit, by upstream ID.
		toldAt map[string]time.Time
	}
)

// newLimitedFleet returns a fleet of hosts and upstreams. The first limited
// upstreams name the rate.
func newLimitedFleet(seed uint64, hosts, upstreams, limited int, rate, perSecond float64) *limitedFleet {
	f := &limitedFleet{
		clock: timekeeper.NewFake(time.Unix(100, 0)), rng: rand.New(rand.NewPCG(seed, 27)), perSecond: perSecond,
		limits: make(map[string]float64), arrivals: make(map[string][]time.Time),
	}
	list := fleet(upstreams/3, 64)
	for i := range list {
		list[i].ID = fmt.Sprint(seed, "-", i)
		if i < limited {
			f.limits[list[i].ID] = rate
		}
	}
	for i := range hosts {
		h := &limitedHost{toldAt: make(map[string]time.Time)}
		h.Placer = placer.New(placer.Settings{Clock: f.clock, Zone: []string{"a", "b", "c"}[i%3]})
		h.Update(list)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// run lets requests arrive for a time, each at any host.
func (f *limitedFleet) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for range d / step {
		for due := f.perSecond * step.Seconds(); due > 0; due-- {
			if due >= 1 || f.rng.Float64() < due {
				f.request(f.hosts[f.rng.IntN(len(f.hosts))])
			}
		}
		f.clock.Advance(step)
	}
}

func (f *limitedFleet) request(h *limitedHost) {
	t, ok := h.Pick(placer.Request{Service: "s", Work: 1000})
	if !ok {
		f.refused++
		return
	}
	f.served++
	now, id := f.clock.Now(), t.Upstream().ID
	rate, limited := f.limits[id]
	if !limited {
		t.RecordRateLimit(nil, now)
		t.Done(placer.Succeeded, time.Millisecond)
		return
	}
	if told, ok := h.toldAt[id]; ok && now.Sub(told) >= 500*time.Millisecond {
		f.arrivals[id] = append(f.arrivals[id], now)
	}
	if _, ok := h.toldAt[id]; !ok {
		h.toldAt[id] = now
	}
	t.RecordRateLimit(&rate, now)
	t.Done(placer.Succeeded, time.Millisecond)
}

// expectWithinLimits checks each window that ends after settleTime.
func (f *limitedFleet) expectWithinLimits(description string) {
	for id, at := range f.arrivals {
		allowed := limitFactor*f.limits[id]*limitWindow.Seconds() + limitExtra
		first := 0
		for i, t := range at {
			for !at[first].After(t.Add(-limitWindow)) {
				first++
			}
			if t.Sub(time.Unix(100, 0)) >= settleTime+limitWindow {
				Expect(float64(i-first+1)).To(BeNumerically("<=", allowed), "%s: upstream %s", description, id)
			}
		}
	}
}

// Guards against a limit that each host obeys alone, so that all hosts together
// exceed it, and against shares of a small limit that round to nothing.
var _ = Describe("Hosts with a limited upstream", func() {
	DescribeTable("keep its limit together and serve all requests elsewhere", func(hosts, upstreams int, perSecond float64) {
		for seed := range uint64(5) {
			f := newLimitedFleet(seed, hosts, upstreams, 1, 2.1, perSecond)
			f.run(20 * time.Second)
			f.expectWithinLimits(fmt.Sprint("seed ", seed))
			Expect(f.refused).To(BeZero())
		}
	},
		Entry("6 hosts", 6, 18, 140.0),
		Entry("73 hosts", 73, 72, 830.0),
		Entry("300 hosts", 300, 126, 1470.0),
	)
})
