package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/isolator"
	"foxtailwall/tracker"
)

const (
	// contactTime is how long after its third crash a request may still be sent on,
	// and maxLateRetries how often later.
	contactTime    = 3 * time.Second
	maxLateRetries = 3
)

type (
	// service simulates upstreams of a plain service or engines, and callers that
	// send requests to any host.
	service struct {
		*group
		rng      *rand.Rand
		attempts int
		running  map[tracker.Key][]*attempt
		// up are the running upstreams, in the order of their start.
		up []tracker.Key
		// down are the upstreams that are back at a time, under new IDs.
		down []time.Time
		// crashing has what happened to each crashing request, by content.
		crashing map[uint64]*crashingRequest
		// content is the number of the latest sound request.
		content uint64
		refused int
	}

	attempt struct {
		content  uint64
		id       string
		host, n  int
		upstream tracker.Key
		// sentAt is when the latest attempt was sent.
		sentAt, endsAt time.Time
		// retries is how often the caller sends the request again.
		retries int
	}

	crashingRequest struct {
		crashes     int
		thirdAt     time.Time
		lateRetries int
	}
)

// seedFactor returns the factor by which the variable FOXTAILWALL_SEEDS multiplies
// the number of seeds.
func seedFactor() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FOXTAILWALL_SEEDS"), 10, 64); err == nil {
		return n
	}
	return 1
}

// newService returns a service whose requests are sent to several upstreams at most
// if they are broken off.
func newService(seed uint64, hosts, upstreams, attempts int) *service {
	s := &service{
		group: newGroup(hosts), rng: rand.New(rand.NewPCG(seed, 28)), attempts: attempts, content: 1000,
		running: make(map[tracker.Key][]*attempt), crashing: make(map[uint64]*crashingRequest),
	}
	for range upstreams {
		s.start()
	}
	return s
}

func (s *service) start() {
	k := tracker.Key{ID: fmt.Sprint("u", s.newID())}
	s.running[k] = nil
	s.up = append(s.up, k)
}

// upstream returns any running upstream but one, or false if there is none.
func (s *service) upstream(but tracker.Key) (tracker.Key, bool) {
	up := s.up
	if i := slices.Index(up, but); i >= 0 {
		up = slices.Concat(up[:i], up[i+1:])
	}
	if len(up) == 0 {
		return tracker.Key{}, false
	}
	return up[s.rng.IntN(len(up))], true
}

// send lets a caller send a request to a host.
func (s *service) send(content uint64, retries int) {
	s.dispatch(&attempt{content: content, id: fmt.Sprint("r", s.newID()), host: s.rng.IntN(len(s.hosts)), retries: retries})
}

// dispatch sends a request, or its next attempt, to an upstream.
func (s *service) dispatch(a *attempt) {
	if s.isIsolated(a.content) {
		if s.crashing[a.content] == nil {
			s.refused++
		}
		return
	}
	to, ok := s.upstream(a.upstream)
	if !ok {
		return
	}
	now := s.clock.Now()
	if c := s.crashing[a.content]; c != nil && c.crashes >= 3 && now.Sub(c.thirdAt) > contactTime {
		c.lateRetries++
	}
	a.n++
	s.hosts[a.host].RecordSent("s", nil)
	a.upstream, a.sentAt, a.endsAt = to, now, now.Add(time.Duration(30+s.rng.IntN(60))*time.Millisecond)
	s.running[to] = append(s.running[to], a)
}

func (s *service) isIsolated(content uint64) bool {
	for _, i := range s.active {
		if i.Part == isolator.Request("s", content) && i.Active {
			return true
		}
	}
	return false
}

// crash breaks all requests at some upstreams, which are back after a time. The hosts
// send them to another upstream at once, and callers whose request failed send it
// again.
func (s *service) crash(upstreams []tracker.Key, back time.Duration) {
	var broken []*attempt
	for _, k := range upstreams {
		broken = append(broken, s.running[k]...)
		delete(s.running, k)
		s.up = slices.DeleteFunc(s.up, func(other tracker.Key) bool { return other == k })
		s.down = append(s.down, s.clock.Now().Add(back))
	}
	for _, a := range broken {
		s.hosts[a.host].RecordBrokenRequest(isolator.BrokenRequest{
			Service: "s", Content: a.content, Upstream: a.upstream, ID: a.id, Attempt: a.n,
		})
	}
	for _, a := range broken {
		switch {
		case a.n < s.attempts:
			s.dispatch(a)
		case a.retries > 0:
			s.send(a.content, a.retries-1)
		}
	}
}

// step advances the time by 10 ms.
func (s *service) step() {
	s.clock.Advance(10 * time.Millisecond)
	now := s.clock.Now()
	s.down = slices.DeleteFunc(s.down, func(at time.Time) bool {
		if at.After(now) {
			return false
		}
		s.start()
		return true
	})
	for _, k := range slices.Clone(s.up) {
		crashed := false
		s.running[k] = slices.DeleteFunc(s.running[k], func(a *attempt) bool {
			if a.endsAt.After(now) {
				return false
			}
			if c := s.crashing[a.content]; c != nil {
				if c.crashes++; c.crashes == 3 {
					c.thirdAt = now
				}
				crashed = true
				return false
			}
			s.hosts[a.host].RecordRequestSuccess("s", a.content, a.sentAt)
			s.hosts[a.host].RecordAnswered("s", a.sentAt)
			return true
		})
		if crashed {
			s.crash([]tracker.Key{k}, time.Duration(800+s.rng.IntN(2000))*time.Millisecond)
		}
	}
	if now.UnixMilli()%400 == 0 {
		for _, h := range s.hosts {
			s.judge.Add(h.Evidence())
			h.SetSuspects(s.judge.Suspects())
		}
	}
	if now.UnixMilli()%100 == 0 {
		s.judge.SetIsolations(s.active)
		for _, st := range s.judge.Next() {
			p := st.Part
			s.active = slices.DeleteFunc(s.active, func(i controller.Isolation) bool { return i.Part == p })
			s.active = append(s.active, controller.Isolation{Part: p, Active: true})
		}
	}
}

// run simulates a time with sound requests, and with a copy of each crashing
// request about every interval.
func (s *service) run(d, interval time.Duration, perSecond float64) {
	for range d / (10 * time.Millisecond) {
		for due := perSecond / 100; due > 0; due-- {
			if due >= 1 || s.rng.Float64() < due {
				s.content++
				s.send(s.content, 1)
			}
		}
		for content := range uint64(len(s.crashing)) {
			if s.rng.Float64() < 0.01/interval.Seconds() {
				s.send(content+1, 0)
			}
		}
		s.step()
	}
}

// Guards against a request that goes on crashing upstreams whenever a caller sends it
// again, whatever kind it is and however seldom it comes, and against refusing the
// sound requests that shared an upstream with it.
var _ = Describe("A request that crashes upstreams", func() {
	type load struct {
		hosts, upstreams, attempts, crashing int
		interval                             time.Duration
		perSecond                            float64
		seeds                                uint64
	}
	DescribeTable("is isolated in time and no other", func(l load) {
		sound, refused := uint64(0), 0
		for seed := range l.seeds * seedFactor() {
			s := newService(seed, l.hosts, l.upstreams, l.attempts)
			s.run(2*time.Second, time.Hour, l.perSecond)
			for i := range l.crashing {
				s.crashing[uint64(i+1)] = &crashingRequest{}
			}
			s.run(max(20*time.Second, 12*l.interval), l.interval, l.perSecond)
			for content, c := range s.crashing {
				Expect(c.lateRetries).To(BeNumerically("<=", maxLateRetries), "seed %d, request %d after %d crashes", seed, content, c.crashes)
				Expect(s.isIsolated(content)).To(BeTrue(), "seed %d, request %d after %d crashes", seed, content, c.crashes)
			}
			sound += s.content - 1000
			refused += s.refused
		}
		Expect(float64(refused)).To(BeNumerically("<", 1e-3*float64(sound)), "sound requests that were refused")
	},
		Entry("three plain upstreams, two attempts", load{6, 3, 2, 1, 300 * time.Millisecond, 48, 30}),
		Entry("three plain upstreams, one attempt", load{6, 3, 1, 1, 300 * time.Millisecond, 48, 30}),
		Entry("three plain upstreams, copies every 8 s", load{6, 3, 2, 1, 8 * time.Second, 48, 5}),
		Entry("three plain upstreams, copies every 20 s, one attempt", load{6, 3, 1, 1, 20 * time.Second, 48, 3}),
		Entry("18 engines, three attempts", load{6, 18, 3, 1, time.Second, 138, 10}),
		Entry("two crashing requests", load{6, 7, 2, 2, 500 * time.Millisecond, 100, 20}),
		Entry("73 hosts, seven plain upstreams", load{73, 7, 2, 1, 500 * time.Millisecond, 214, 3}),
		Entry("300 hosts, six plain upstreams", load{300, 6, 2, 1, 500 * time.Millisecond, 380, 2}),
		Entry("300 hosts, 128 engines, copies every 5 s", load{300, 128, 3, 1, 5 * time.Second, 300, 1}),
	)

	// Guards against a hot request that is refused for minutes because all upstreams
	// crashed at the same time for another reason.
	It("is not one that many callers send while all upstreams crash", func() {
		for seed := range uint64(20) {
			s := newService(seed, 6, 3, 2)
			for step := range 3000 {
				if step%5 == 0 {
					s.send(7, 1)
				}
				if step%300 == 100 {
					s.crash(slices.Clone(s.up), 2*time.Second)
				}
				s.step()
			}
			Expect(s.active).To(BeEmpty(), "seed %d", seed)
		}
	})

	// Guards against evidence that a leader takes with it.
	It("is isolated although the leader changes after each crash", func() {
		s := newService(1, 6, 4, 1)
		s.crashing[1] = &crashingRequest{}
		for i := range 6 {
			s.send(1, 0)
			for range 300 {
				s.step()
			}
			s.judge.Reset()
			for _, h := range s.hosts {
				h.SetLeader(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)))
			}
		}
		Expect(s.isIsolated(1)).To(BeTrue())
		Expect(s.crashing[1].crashes).To(BeNumerically("<=", 4))
	})

	// Guards against a request that crashes several upstreams again after its
	// isolation has ended.
	It("is isolated again after one crash", func() {
		s := newService(1, 6, 4, 1)
		s.crashing[1] = &crashingRequest{}
		s.run(10*time.Second, 500*time.Millisecond, 0)
		Expect(s.isIsolated(1)).To(BeTrue())
		crashes := s.crashing[1].crashes
		s.active[0].Active = false
		s.send(1, 0)
		s.run(3*time.Second, time.Hour, 0)
		Expect(s.crashing[1].crashes).To(Equal(crashes + 1))
		Expect(s.active[0].Active).To(BeTrue())
	})

	// Guards against refusing a request that is broken off again and again by
	// upstreams that reset some of their connections but have not crashed, and
	// against ignoring crashes because connections were reset at times before.
	It("is not one that flaky upstreams break off", func() {
		s := newService(1, 2, 3, 1)
		reset := func(content uint64) {
			for _, k := range s.up {
				s.hosts[0].RecordBrokenRequest(isolator.BrokenRequest{Service: "s", Content: content, Upstream: k, ID: fmt.Sprint("r", s.newID())})
			}
		}
		for range 8 {
			reset(7)
			s.run(500*time.Millisecond, time.Hour, 0)
		}
		s.run(3*time.Second, time.Hour, 0)
		Expect(s.active).To(BeEmpty())

		By("connections that are reset once in a while")
		s = newService(1, 2, 3, 1)
		for i := range uint64(6) {
			reset(10 + i)
			s.run(20*time.Second, time.Hour, 0)
		}
		s.crashing[1] = &crashingRequest{}
		s.run(10*time.Second, 500*time.Millisecond, 0)
		Expect(s.isIsolated(1)).To(BeTrue())
		Expect(s.crashing[1].lateRetries).To(BeNumerically("<=", maxLateRetries))
	})

	// Guards against evidence about an upstream that expires before that about a
	// request, and against a request that comes so seldom that it is forgotten.
	It("is isolated although its copies come minutes apart", func() {
		s := newService(1, 2, 3, 1)
		s.crashing[1] = &crashingRequest{}
		for range 3 {
			s.send(1, 0)
			s.run(4*time.Minute, time.Hour, 0)
		}
		Expect(s.isIsolated(1)).To(BeTrue())
		s.run(11*time.Minute, time.Hour, 0)
	})
})
