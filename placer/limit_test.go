package placer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
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
		// upstreams is the list that hosts use.
		upstreams []tracker.Upstream
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
	f.upstreams = fleet(upstreams/3, 64)
	for i := range f.upstreams {
		f.upstreams[i].ID = fmt.Sprint(seed, "-", i)
		if i < limited {
			f.limits[f.upstreams[i].ID] = rate
		}
	}
	for i := range hosts {
		h := &limitedHost{Placer: f.newPlacer(i), toldAt: make(map[string]time.Time)}
		h.SetHosts(hosts, i)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// restart replaces a host by one that knows nothing yet.
func (f *limitedFleet) restart(h *limitedHost, i int) {
	h.Placer, h.toldAt = f.newPlacer(i), make(map[string]time.Time)
	h.SetHosts(len(f.hosts), -1)
}

func (f *limitedFleet) newPlacer(i int) *placer.Placer {
	p := placer.New(placer.Settings{Clock: f.clock, Zone: []string{"a", "b", "c"}[i%3], Host: fmt.Sprint("h", i)})
	p.Update(f.upstreams)
	return p
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

	// Guards against requests that are all refused because each host's share of the
	// limits is small.
	DescribeTable("use the limits of all upstreams", func(hosts, upstreams int, perSecond float64) {
		f := newLimitedFleet(1, hosts, upstreams, upstreams, 2.1, perSecond)
		f.run(5 * time.Second) // Hosts are told the limits.
		f.served = 0
		f.run(20 * time.Second)
		f.expectWithinLimits("all limited")
		Expect(float64(f.served)).To(BeNumerically(">=", 0.75*2.1*20*float64(upstreams)))
		Expect(f.refused).To(BeNumerically(">", 0))
	},
		Entry("6 hosts", 6, 18, 140.0),
		Entry("73 hosts", 73, 72, 830.0),
		Entry("300 hosts", 300, 126, 1470.0),
	)

	// Guards against a limit that is exceeded because hosts were restarted, moved or
	// cut off from the leader.
	DescribeTable("keep the limit while other hosts come and go", func(hosts, upstreams int, perSecond float64) {
		for seed := range uint64(5) {
			f := newLimitedFleet(seed, hosts, upstreams, 2, 2.1, perSecond)
			f.run(8 * time.Second)
			for i, h := range f.hosts {
				switch i % 3 {
				case 0:
					// The leader counts only hosts that it reaches.
					h.SetHosts(hosts, i/3)
				case 1:
					// Cut off from the leader; the host keeps its rank.
				case 2:
					f.restart(h, i)
				}
			}
			f.run(3 * time.Second)
			for i, h := range f.hosts {
				h.SetHosts(hosts, i)
			}
			f.run(8 * time.Second)
			f.expectWithinLimits(fmt.Sprint("seed ", seed))
			Expect(f.refused).To(BeZero())
		}
	},
		Entry("6 hosts", 6, 18, 140.0),
		Entry("73 hosts", 73, 72, 830.0),
		Entry("300 hosts", 300, 126, 1470.0),
	)
})

var _ = Describe("Rate limits", func() {
	var (
		clock    *timekeeper.Fake
		p, other *placer.Placer
		rate     = 2.1
	)
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		p = placer.New(placer.Settings{Clock: clock, Host: "a"})
		other = placer.New(placer.Settings{Clock: clock, Host: "b"})
		for _, host := range []*placer.Placer{p, other} {
			host.Update(fleet(1, 8)[:1])
			host.SetHosts(2, 0)
		}
	})
	// told returns a ticket for the only upstream, which has named its limit.
	told := func() *placer.Ticket {
		t, ok := p.Pick(placer.Request{Service: "s"})
		Expect(ok).To(BeTrue())
		Expect(t.RecordRateLimit(&rate, clock.Now())).To(BeTrue())
		return t
	}

	// Guards against a limit that is taken for ended because of a response that was
	// generated before it was named, and against one that never ends.
	It("end with a response to a later request that names none", func() {
		sentAt := clock.Now()
		clock.Advance(time.Second)
		t := told()
		Expect(t.RecordRateLimit(nil, sentAt)).To(BeFalse())
		Expect(p.RateLimited("s")).To(BeTrue())
		clock.Advance(time.Second)
		Expect(t.RecordRateLimit(nil, clock.Now())).To(BeTrue())
		Expect(p.RateLimited("s")).To(BeFalse())
	})

	// Guards against hosts that go on sending as before until they are told
	// themselves, and that go on holding back after the limit has ended.
	It("are obeyed by hosts that only others were told of", func() {
		t := told()
		Expect(other.AddRateLimits(p.RateLimits())).To(Equal([]string{"a0"}))
		Expect(other.RateLimited("s")).To(BeTrue())
		Expect(other.RateLimits()).To(BeEmpty(), "only the host that was told tells others")
		Expect(other.AddRateLimits(p.RateLimits())).To(BeEmpty())
		clock.Advance(time.Second)
		t.RecordRateLimit(nil, clock.Now())
		clock.Advance(100 * time.Millisecond)
		Expect(other.AddRateLimits(p.RateLimits())).To(Equal([]string{"a0"}))
		Expect(other.RateLimited("s")).To(BeFalse())
	})

	// Guards against a limit of an earlier incarnation that holds back its successor
	// with the same ID.
	It("belong to one incarnation", func() {
		told()
		limits := p.RateLimits()
		next := fleet(1, 8)[:1]
		next[0].StartedAt = 5
		p.Update(next)
		other.Update(next)
		Expect(p.RateLimited("s")).To(BeFalse())
		Expect(other.AddRateLimits(limits)).To(BeEmpty())
		Expect(other.RateLimited("s")).To(BeFalse())
	})
})
