package placer_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// brittleStep is the step of the simulation, and brittleWork the time that an
	// upstream takes for a request.
	brittleStep = 10 * time.Millisecond
	brittleWork = 2 * time.Second
	// brittleSlots is the number of requests that an upstream runs at once, and
	// brittleRoom the number that may wait there.
	brittleSlots, brittleRoom = 64, 4
	// brittleRejections is the number of requests that it may turn away in a second.
	brittleRejections = 5
	// brittleWait is how long a request waits for a place, at most brittleWaits times.
	brittleWait, brittleWaits = 25 * time.Millisecond, 16
	// brittleTold is how often hosts are told what upstreams have told others.
	brittleTold = 400 * time.Millisecond
)

type (
	// simulatedBrittle simulates hosts that send to brittle upstreams and exchange loads.
	simulatedBrittle struct {
		clock     *timekeeper.Fake
		rng       *rand.Rand
		hosts     []*placer.Placer
		upstreams []tracker.Upstream
		// running has the requests of each upstream, and rejected the times of the
		// rejections since its last fall.
		running  map[string]int
		rejected map[string][]time.Time
		ends     []simulatedEnd
		waiting  []simulatedWait
		// reported are the loads that hosts have reported, and sums those of all hosts by
		// upstream.
		reported              [][]placer.Load
		sums                  map[uint32]placer.Load
		exchanged             int
		toldAt                time.Time
		falls, served, denied int
	}

	// simulatedWait is a request that waits for a place.
	simulatedWait struct {
		at          time.Time
		host, waits int
	}

	simulatedEnd struct {
		at time.Time
		t  *placer.Ticket
	}
)

// exchange reports the loads of a host and tells it the newest ones of all others.
func (s *simulatedBrittle) exchange(host int) {
	for _, l := range s.reported[host] {
		sum := s.sums[l.Upstream]
		s.sums[l.Upstream] = placer.Load{Upstream: l.Upstream, Running: sum.Running - l.Running, Work: sum.Work - l.Work}
	}
	s.hosts[host].SetRemoteLoads(slices.Collect(maps.Values(s.sums)))
	s.reported[host] = s.hosts[host].Loads()
	for _, l := range s.reported[host] {
		sum := s.sums[l.Upstream]
		s.sums[l.Upstream] = placer.Load{Upstream: l.Upstream, Running: sum.Running + l.Running, Work: sum.Work + l.Work}
	}
}

// send sends one request of a host, which has waited for a place some times.
func (s *simulatedBrittle) send(host, waits int) {
	service := s.upstreams[0].Service
	t, ok := s.hosts[host].Pick(placer.Request{Service: service, Work: 100})
	if !ok {
		if _, free := s.hosts[host].Brittle(service); free && waits < brittleWaits {
			s.waiting = append(s.waiting, simulatedWait{at: s.clock.Now().Add(brittleWait), host: host, waits: waits + 1})
			return
		}
		s.denied++
		return
	}
	now, id := s.clock.Now(), t.Upstream().ID
	if s.running[id] < brittleSlots+brittleRoom {
		s.running[id]++
		s.ends = append(s.ends, simulatedEnd{at: now.Add(brittleWork), t: t})
		return
	}
	t.RecordBrittle(true, now)
	t.Done(placer.Busy, 0)
	recent := s.rejected[id]
	for len(recent) > 0 && now.Sub(recent[0]) >= time.Second {
		recent = recent[1:]
	}
	s.rejected[id] = append(recent, now)
	if len(s.rejected[id]) > brittleRejections {
		s.falls++
		delete(s.rejected, id)
	}
}

// run simulates a load, in requests per second. Each host exchanges loads at intervals,
// one after the other.
func (s *simulatedBrittle) run(d time.Duration, perSecond float64, exchange time.Duration) {
	due := 0.0
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); s.clock.Advance(brittleStep) {
		now := s.clock.Now()
		if now.Sub(s.toldAt) >= brittleTold {
			s.toldAt = now
			var services []string
			for _, h := range s.hosts {
				for _, name := range h.BrittleServices() {
					if !slices.Contains(services, name) {
						services = append(services, name)
					}
				}
			}
			for _, h := range s.hosts {
				h.AddBrittleServices(services)
			}
		}
		for len(s.ends) > 0 && !s.ends[0].at.After(now) {
			t := s.ends[0].t
			s.ends = s.ends[1:]
			s.running[t.Upstream().ID]--
			t.RecordBrittle(true, now)
			t.Done(placer.Succeeded, brittleWork)
			s.served++
		}
		if exchange > 0 {
			due += float64(len(s.hosts)) * float64(brittleStep) / float64(exchange)
		}
		for ; due >= 1; due-- {
			s.exchange(s.exchanged % len(s.hosts))
			s.exchanged++
		}
		for len(s.waiting) > 0 && !s.waiting[0].at.After(now) {
			w := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.send(w.host, w.waits)
		}
		n := perSecond * brittleStep.Seconds()
		if s.rng.Float64() < n-math.Floor(n) {
			n++
		}
		for range int(n) {
			s.send(s.rng.IntN(len(s.hosts)), 0)
		}
	}
}

// Guards against hosts that together send brittle upstreams more than these have room
// for, because each knows only its own requests, and against shares that round to
// nothing.
var _ = Describe("Hosts with brittle upstreams", func() {
	DescribeTable("keep them from falling over and use them", func(hosts, upstreams int, exchange time.Duration) {
		for _, load := range []float64{0.5, 1, 3} {
			s := &simulatedBrittle{
				clock: timekeeper.NewFake(time.Unix(100, 0)), rng: rand.New(rand.NewPCG(43, uint64(hosts))),
				sums: make(map[uint32]placer.Load), reported: make([][]placer.Load, hosts),
				running: make(map[string]int), rejected: make(map[string][]time.Time),
			}
			for i := range upstreams {
				u := tracker.Upstream{ID: fmt.Sprint("b", i), Service: "engines", Zone: "a", Version: "v1", Slots: brittleSlots}
				s.upstreams = append(s.upstreams, u)
			}
			for i := range hosts {
				h := placer.New(placer.Settings{Clock: s.clock, Zone: "a", Host: fmt.Sprint("h", i)})
				h.Update(s.upstreams)
				h.SetHosts(hosts, i)
				s.hosts = append(s.hosts, h)
			}
			room := float64(upstreams*brittleSlots) / brittleWork.Seconds()
			// All hosts hear the word while there is little to do.
			s.run(5*time.Second, 0.3*room, exchange)
			s.falls, s.served, s.denied = 0, 0, 0
			const measured = 6 * time.Second
			s.run(measured, load*room, exchange)
			Expect(float64(s.falls)).To(BeNumerically("<=", 2+0.1*float64(upstreams)), "load %g", load)
			if load < 1 {
				Expect(s.denied).To(BeNumerically("<=", 10+s.served/50), "load %g", load)
			}
			AddReportEntry("measured", fmt.Sprintf("load %g: falls %d, served %.2f of the room, refused %d", load, s.falls, float64(s.served)/(room*measured.Seconds()), s.denied))
		}
	},
		Entry("6 hosts", 6, 18, 50*time.Millisecond),
		Entry("73 hosts", 73, 18, 55*time.Millisecond),
		Entry("300 hosts", 300, 18, 225*time.Millisecond),
		Entry("6 hosts without a leader", 6, 18, time.Duration(0)),
	)

	// Guards against requests that are refused at once because the host has not heard of
	// the others' loads for half a second, and its few places are in use for the moment or
	// its rank has not arrived yet.
	DescribeTable("wait for a place of their share while loads are not exchanged", func(hosts, rank, places int, wait bool) {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.SetHosts(hosts, rank)
		p.Update([]tracker.Upstream{{ID: "a", Service: "s", Zone: "a", Version: "v1", Slots: 8}})
		t, ok := p.Pick(placer.Request{Service: "s"})
		Expect(ok).To(BeTrue())
		t.RecordBrittle(true, clock.Now())
		t.Done(placer.Succeeded, 0)
		var held []*placer.Ticket
		for t, ok := p.Pick(placer.Request{Service: "s"}); ok; t, ok = p.Pick(placer.Request{Service: "s"}) {
			held = append(held, t)
		}
		Expect(held).To(HaveLen(places))
		_, soon := p.Brittle("s")
		Expect(soon).To(Equal(wait))
		if places > 0 {
			held[0].Done(placer.Succeeded, 0)
			_, ok = p.Pick(placer.Request{Service: "s"})
			Expect(ok).To(BeTrue())
		}
	},
		Entry("while all of it is in use", 7, 0, 1, true), Entry("whose size is not known yet", 12, -1, 0, true),
		Entry("of a single host, which knows that all are in use", 1, 0, 8, false),
	)

	// Guards against an upstream that replaces one that has fallen over and falls over at
	// once, and against a word that binds for ever.
	It("fill a new one step by step, and as before once it no longer says so", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.SetHosts(1, 0)
		u := tracker.Upstream{ID: "a", Service: "s", Zone: "a", Version: "v1", Slots: 8}
		fill := func() (n int, last *placer.Ticket) {
			for range 20 {
				t, ok := p.Pick(placer.Request{Service: "s"})
				if !ok {
					break
				}
				defer t.Done(placer.Abandoned, 0)
				n, last = n+1, t
			}
			return n, last
		}
		p.Update([]tracker.Upstream{u})
		n, t := fill()
		Expect(n).To(Equal(20))
		t.RecordBrittle(true, clock.Now())
		clock.Advance(time.Second)
		n, _ = fill()
		Expect(n).To(Equal(8))
		successor := u
		successor.ID = "b"
		p.Update([]tracker.Upstream{u, successor})
		p.Update([]tracker.Upstream{successor})
		n, t = fill()
		Expect(n).To(Equal(2))
		clock.Advance(time.Second)
		n, _ = fill()
		Expect(n).To(Equal(6))
		clock.Advance(time.Second)
		n, _ = fill()
		Expect(n).To(Equal(8))
		t.RecordBrittle(false, clock.Now().Add(-time.Hour))
		n, _ = fill()
		Expect(n).To(Equal(8))
		t.RecordBrittle(false, clock.Now())
		n, _ = fill()
		Expect(n).To(Equal(20))
	})
})
