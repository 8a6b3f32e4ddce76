package placer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

// Guards against hosts that refuse the requests of all services because all upstreams of
// one have stopped and no request of another was under way.
var _ = Describe("A host whose upstreams of one service have all stopped", func() {
	It("goes on sending requests to other services and finds out that it reaches them", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		var list []tracker.Upstream
		for i := range 6 {
			list = append(list, tracker.Upstream{ID: fmt.Sprint("e", i), Service: "engines", Zone: "a", Version: "v1", Slots: 8})
		}
		list = append(list, tracker.Upstream{ID: "p", Service: "plain", Zone: "a", Version: "v1", Slots: 8})
		p.Update(list)
		for range 6 {
			t, ok := p.Pick(placer.Request{Service: "engines"})
			Expect(ok).To(BeTrue())
			t.Done(placer.NotListening, 0)
			clock.Advance(100 * time.Millisecond)
		}
		Expect(p.Partitioned()).To(BeTrue())
		Expect(p.PartitionedFrom("engines")).To(BeTrue())
		Expect(p.PartitionedFrom("plain")).To(BeFalse())
		u, ok := p.NextProbed()
		Expect(ok).To(BeTrue())
		Expect(u.ID).To(Equal("p"))
		p.RecordReached()
		Expect(p.Partitioned()).To(BeFalse())
	})

	It("is partitioned once an upstream of each service that it has tried has failed", func() {
		clock := timekeeper.NewFake(time.Unix(100, 0))
		p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		var list []tracker.Upstream
		for i, service := range []string{"engines", "engines", "engines", "plain"} {
			list = append(list, tracker.Upstream{ID: fmt.Sprint("u", i), Service: service, Zone: "a", Version: "v1", Slots: 8})
		}
		p.Update(list)
		for _, service := range []string{"engines", "engines", "engines", "plain"} {
			t, ok := p.Pick(placer.Request{Service: service})
			Expect(ok).To(BeTrue())
			clock.Advance(150 * time.Millisecond)
			t.Done(placer.Silent, 0)
		}
		Expect(p.PartitionedFrom("engines")).To(BeTrue())
		Expect(p.PartitionedFrom("plain")).To(BeTrue())
	})
})

// Guards against hosts that answer 502 to everything while each connection to an upstream
// is reset, and against hosts that take a request which crashes upstreams, or upstreams of
// one service that have all crashed, for the loss of their own path.
var _ = Describe("A host whose connections to upstreams are reset", func() {
	var clock *timekeeper.Fake
	var p *placer.Placer
	// start lists upstreams of services, which are named e0, e1 and so on.
	start := func(services ...string) {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		p = placer.New(placer.Settings{Clock: clock, Zone: "a"})
		var list []tracker.Upstream
		for i, service := range services {
			list = append(list, tracker.Upstream{ID: fmt.Sprint("e", i), Service: service, Zone: "a", Version: "v1", Slots: 8})
		}
		p.Update(list)
	}
	pick := func(service string, request uint64, tried ...tracker.Key) *placer.Ticket {
		t, ok := p.Pick(placer.Request{Service: service, ID: request, Tried: tried})
		Expect(ok).To(BeTrue())
		return t
	}
	// reset ends attempts of a request at different upstreams.
	reset := func(service string, request uint64, attempts int) {
		var tried []tracker.Key
		for range attempts {
			t := pick(service, request, tried...)
			up := t.Upstream()
			tried = append(tried, up.Key())
			t.Done(placer.Reset, 0)
		}
	}
	// failProbes fails probes until the host has no more to check, and returns the
	// upstreams.
	failProbes := func() (probed []string) {
		for p.Suspected() && len(probed) < 10 {
			u, ok := p.NextProbed()
			Expect(ok).To(BeTrue())
			probed = append(probed, u.ID)
			p.RecordUnreached(u.Key())
		}
		return probed
	}
	six := []string{"s", "s", "s", "s", "s", "s"}

	It("is not partitioned because of one request at three upstreams, also after its copies", func() {
		start(six...)
		for range 2 {
			reset("s", 1, 3)
			clock.Advance(time.Second)
		}
		Expect(p.Suspected()).To(BeFalse())
		Expect(p.Partitioned()).To(BeFalse())
		Expect(p.SuspectedFrom("s")).To(BeFalse())
	})

	It("is not partitioned because of two requests that crash upstreams while it is idle otherwise", func() {
		start(six...)
		reset("s", 1, 3)
		clock.Advance(time.Hour)
		reset("s", 2, 2)
		Expect(p.Suspected()).To(BeTrue())
		Expect(p.Partitioned()).To(BeFalse())
		clock.Advance(time.Hour)
		Expect(p.Partitioned()).To(BeFalse(), "a probe decides")
		p.RecordReached()
		Expect(p.Suspected()).To(BeFalse())
		reset("s", 2, 1)
		Expect(p.Suspected()).To(BeFalse())
	})

	It("is suspected no more once data arrives between the resets", func() {
		start(six...)
		long := pick("s", 9)
		for request := range uint64(9) {
			reset("s", request, 3)
			long.RecordReceived()
			Expect(p.Suspected()).To(BeFalse())
		}
	})

	It("is partitioned once probes of other upstreams fail too, and until one responds", func() {
		start(six...)
		reset("s", 1, 1)
		reset("s", 2, 2)
		Expect(p.Partitioned()).To(BeFalse())
		Expect(p.SuspectedFrom("s")).To(BeTrue())
		probed := failProbes()
		Expect(probed).To(HaveLen(3))
		Expect(probed).To(HaveEach(Not(BeElementOf("e0", "e1"))), "others are probed first")
		Expect(p.Partitioned()).To(BeTrue())
		Expect(p.PartitionedFrom("s")).To(BeTrue())
		Expect(p.Suspected()).To(BeFalse())
		p.RecordReached()
		Expect(p.Partitioned()).To(BeFalse())
	})

	It("is partitioned if the connections are reset before a byte was sent", func() {
		start(six...)
		for request := range uint64(2) {
			pick("s", request).Done(placer.Unsent, 0)
		}
		failProbes()
		Expect(p.Partitioned()).To(BeTrue())
	})

	It("probes a service without failures first, and goes on sending to it", func() {
		start("a", "a", "a", "a", "b")
		reset("a", 1, 2)
		reset("a", 2, 2)
		Expect(p.SuspectedFrom("a")).To(BeTrue())
		Expect(p.SuspectedFrom("b")).To(BeFalse())
		u, ok := p.NextProbed()
		Expect(ok).To(BeTrue())
		Expect(u.Service).To(Equal("b"))
		p.RecordReached()
		Expect(p.Suspected()).To(BeFalse())
		Expect(p.Partitioned()).To(BeFalse())
	})

	It("is partitioned from two services whose upstreams fail", func() {
		start("a", "a", "a", "a", "b", "b", "b")
		reset("a", 1, 2)
		reset("a", 2, 2)
		Expect(failProbes()).To(HaveLen(3))
		Expect(p.PartitionedFrom("a")).To(BeTrue())
		Expect(p.PartitionedFrom("b")).To(BeTrue())
	})

	It("ejects no upstream for resets by its own path, but one that resets alone", func() {
		for _, own := range []bool{true, false} {
			start(six...)
			first := pick("s", 0).Upstream()
			for request := range uint64(8) {
				var tried []tracker.Key
				for i := range six {
					if id := fmt.Sprint("e", i); id != first.ID {
						tried = append(tried, tracker.Key{ID: id})
					}
				}
				pick("s", request, tried...).Done(placer.Reset, 0)
			}
			if own {
				failProbes()
				Expect(p.Partitioned()).To(BeTrue())
			}
			p.RecordReached()
			var others []tracker.Key
			for i := range six {
				if id := fmt.Sprint("e", i); id != first.ID && id != "e5" {
					others = append(others, tracker.Key{ID: id})
				}
			}
			// The upstream competes with one that is busier.
			for range 3 {
				pick("s", 10, append(others, first.Key())...)
			}
			want := "e5"
			if own {
				want = first.ID
			}
			Expect(pick("s", 11, others...).Upstream().ID).To(Equal(want), "own path: %t", own)
		}
	})
})
