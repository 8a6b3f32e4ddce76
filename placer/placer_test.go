package placer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}

// fleet returns perZone upstreams of service "s" in each of the zones a, b and
// c.
func fleet(perZone, slots int) []tracker.Upstream {
	var out []tracker.Upstream
	for _, z := range []string{"a", "b", "c"} {
		for i := range perZone {
			out = append(out, tracker.Upstream{
				ID: fmt.Sprintf("%s%d", z, i), Service: "s", Zone: z, Version: "v1", Slots: slots,
				Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+len(out))),
			})
		}
	}
	return out
}

var _ = Describe("Placer", func() {
	var (
		clock *timekeeper.Fake
		p     *placer.Placer
	)
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		p = placer.New(placer.Settings{Clock: clock, Zone: "a"})
	})
	pick := func(r placer.Request) *placer.Ticket {
		r.Service = "s"
		t, ok := p.Pick(r)
		Expect(ok).To(BeTrue())
		return t
	}

	// Guards against processing a prompt again because hosts send the requests of
	// a group to different engines.
	It("sends a group to the same engine from every host", func() {
		other := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.Update(fleet(6, 64))
		other.Update(fleet(6, 64))
		used := make(map[string]bool)
		for g := range uint64(50) {
			a := pick(placer.Request{Group: g + 1, Work: 1000})
			b, _ := other.Pick(placer.Request{Service: "s", Group: g + 1, Work: 1000})
			Expect(a.Upstream().ID).To(Equal(b.Upstream().ID))
			Expect(a.Upstream().Zone).To(Equal("a"))
			used[a.Upstream().ID] = true
			a.Done(placer.Succeeded, time.Millisecond)
			b.Done(placer.Succeeded, time.Millisecond)
		}
		Expect(used).To(HaveLen(6))
	})

	// Guards against one engine getting all traffic of a single group while its
	// peers are idle.
	It("spreads a hot group", func() {
		p.Update(fleet(6, 64))
		load := make(map[string]int)
		for range 60 {
			load[pick(placer.Request{Group: 7, Work: 3000, SharedWork: 6000, SharedTokens: 6000}).Upstream().ID]++
		}
		Expect(len(load)).To(BeNumerically(">=", 5))
		for id, n := range load {
			Expect(n).To(BeNumerically("<=", 18), id)
		}
	})

	// Guards against a prompt that is processed again at one engine after another,
	// because each host only knows where it sent the group itself.
	It("sends a group where other hosts have its prefix cached", func() {
		other := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.Update(fleet(6, 64))
		other.Update(fleet(6, 64))
		r := placer.Request{Service: "s", Group: 7, Work: 3000, SharedWork: 6000, SharedTokens: 6000}
		used := make(map[string]bool)
		for range 30 {
			used[pick(r).Upstream().ID] = true
		}
		placements := p.TakePlacements(100)
		Expect(placements).To(HaveLen(len(used)))
		Expect(p.TakePlacements(100)).To(BeEmpty())
		other.AddPlacements(placements)
		other.AddPlacements([]placer.Placement{{Group: 1, Upstream: 1}}) // Not listed.
		for range 3 * len(used) {
			t, _ := other.Pick(r)
			Expect(used).To(HaveKey(t.Upstream().ID))
		}
		Expect(other.TakePlacements(100)).To(BeEmpty())
	})

	// Guards against requests that try several crashed engines in turn, because
	// those look the least loaded and each host finds out for itself.
	It("avoids upstreams that other hosts could not reach", func() {
		other := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.Update(fleet(3, 64))
		other.Update(fleet(3, 64))
		down := pick(placer.Request{Group: 7, Work: 1000})
		down.Done(placer.NotListening, 0)
		list := p.TakeUnreachable(10)
		Expect(list).To(HaveLen(1))
		Expect(p.TakeUnreachable(10)).To(BeEmpty())
		other.AvoidUnreachable(append(list, placer.Unreachable{Upstream: 1}))
		for range 20 {
			t, ok := other.Pick(placer.Request{Service: "s", Group: 7, Work: 1000})
			Expect(ok).To(BeTrue())
			Expect(t.Upstream().ID).NotTo(Equal(down.Upstream().ID))
			t.Done(placer.Succeeded, time.Millisecond)
		}
		clock.Advance(time.Second)
		back, _ := other.Pick(placer.Request{Service: "s", Group: 8, Work: 1000})
		back.RecordReceived()
		loads := other.Loads()
		Expect(loads).To(HaveLen(1))
		back.Done(placer.Succeeded, time.Millisecond)
		other.AvoidUnreachable([]placer.Unreachable{{Upstream: loads[0].Upstream}})
		again, _ := other.Pick(placer.Request{Service: "s", Group: 8, Work: 1000})
		Expect(again.Upstream().ID).To(Equal(back.Upstream().ID), "an upstream that has just responded is reachable")

		pick(placer.Request{Group: 7, Work: 1000}).Done(placer.Misdirected, 0)
		moved := p.TakeUnreachable(10)
		Expect(moved).To(HaveLen(1))
		clock.Advance(time.Second)
		other.AvoidUnreachable(moved)
		clock.Advance(5 * time.Second)
		for range 20 {
			t, _ := other.Pick(placer.Request{Service: "s", Group: 7, Work: 1000})
			Expect(other.Loads()).NotTo(ContainElement(HaveField("Upstream", moved[0].Upstream)))
			t.Done(placer.Succeeded, time.Millisecond)
		}
	})

	// Guards against hosts that take a crashed or full engine for the home of every
	// group that was sent there.
	It("tells no placement at an upstream that did not take the request", func() {
		p.Update(fleet(3, 64))
		for i, outcome := range []placer.Outcome{placer.Refused, placer.NotListening, placer.Misdirected, placer.Busy, placer.Silent} {
			r := placer.Request{Group: 50 + uint64(i), Work: 1000, SharedWork: 6000, SharedTokens: 6000}
			pick(r).Done(outcome, 0)
			told := p.TakePlacements(10)
			if outcome == placer.Silent {
				Expect(told).To(HaveLen(1), "the upstream may have processed the prompt")
				continue
			}
			Expect(told).To(BeEmpty())
			pick(r)
			Expect(p.TakePlacements(10)).To(HaveLen(1))
		}
	})

	// Guards against queues at a few engines while others are idle: the homes of
	// groups that are chosen by a hash alone pile up.
	It("spreads the homes of many groups evenly", func() {
		const engines, groupsPerEngine = 60, 20
		p.Update(fleet(engines/3, 64))
		p.SetRemoteLoads(nil)
		clock.Advance(50 * time.Millisecond)
		p.SetRemoteLoads(nil)
		homes := make(map[string]int)
		for g := range uint64(engines * groupsPerEngine) {
			homes[pick(placer.Request{Group: 1 + g, Work: 500, SharedWork: 9000, SharedTokens: 9000}).Upstream().ID]++
		}
		Expect(homes).To(HaveLen(engines))
		for id, n := range homes {
			Expect(n).To(BeNumerically("~", groupsPerEngine, groupsPerEngine/4), id)
		}
	})

	// Guards against hosts that know of each other late and process a prefix at
	// several engines, because each takes another one for the least loaded.
	It("chooses first homes by rank while loads are exchanged slowly", func() {
		other := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.Update(fleet(6, 64))
		other.Update(fleet(6, 64))
		for _, interval := range []time.Duration{0, 250 * time.Millisecond} {
			if interval > 0 {
				for range 2 {
					clock.Advance(interval)
					p.SetRemoteLoads(nil)
					other.SetRemoteLoads(nil)
				}
			}
			for g := range uint64(4) {
				r := placer.Request{Service: "s", Group: uint64(interval) + g + 1, Work: 500, SharedWork: 9000, SharedTokens: 9000}
				a := pick(r)
				b, _ := other.Pick(r)
				Expect(a.Upstream().ID).To(Equal(b.Upstream().ID))
				b.Done(placer.Succeeded, time.Millisecond) // The hosts have different loads.
			}
		}
	})

	// Guards against requests that are refused although an upstream is there, because
	// it refused a request for another reason than a new upstream at its address.
	It("uses an upstream again that has served a request since it seemed replaced", func() {
		p.Update(fleet(1, 64)[:1])
		t := pick(placer.Request{})
		clock.Advance(2 * time.Second)
		t.RecordReceived()
		refused := pick(placer.Request{})
		refused.Done(placer.Misdirected, 0)
		again := pick(placer.Request{}) // The last resort.
		again.Done(placer.Succeeded, time.Millisecond)
		for range 3 {
			pick(placer.Request{})
		}

		By("an upstream that has sent nothing")
		clock.Advance(2 * time.Second)
		pick(placer.Request{}).Done(placer.Misdirected, 0)
		_, ok := p.Pick(placer.Request{Service: "s"})
		Expect(ok).To(BeFalse())
		clock.Advance(time.Second)
		pick(placer.Request{})
	})

	// Guards against requests that are refused or wait after a zone has lost its
	// engines, while other zones have capacity.
	It("uses other zones when its own has no healthy upstream", func() {
		p.Update(fleet(2, 64))
		for range 2 {
			t := pick(placer.Request{Group: 3, Work: 10})
			Expect(t.Upstream().Zone).To(Equal("a"))
			t.Done(placer.Refused, 0)
		}
		Expect(pick(placer.Request{Group: 3, Work: 10}).Upstream().Zone).NotTo(Equal("a"))
		clock.Advance(time.Second)
		Expect(pick(placer.Request{Group: 3, Work: 10}).Upstream().Zone).To(Equal("a"))
	})

	// Guards against sending requests to an engine that other hosts have loaded,
	// and against using loads that are too old.
	It("counts the loads of other hosts until they expire", func() {
		p.Update(fleet(2, 64))
		r := placer.Request{Group: 3, Work: 1000, SharedWork: 100, SharedTokens: 100}
		home := pick(r)
		loads := p.Loads()
		Expect(loads).To(ConsistOf(placer.Load{Upstream: loads[0].Upstream, Running: 1, Work: 1100, SinceReceived: placer.NeverReceived}))
		home.Done(placer.Succeeded, time.Millisecond)
		loads[0].Work = 5000
		p.SetRemoteLoads(loads)
		Expect(pick(r).Upstream().ID).NotTo(Equal(home.Upstream().ID))
		clock.Advance(time.Second)
		Expect(pick(r).Upstream().ID).To(Equal(home.Upstream().ID))
	})

	// Guards against a host that takes an upstream for silent because its own
	// request there still waits, while other hosts receive data from it.
	It("knows when other hosts received data from an upstream", func() {
		p.Update(fleet(1, 64))
		t := pick(placer.Request{Work: 1000})
		sentAt := clock.Now()
		loads := p.Loads()
		p.SetRemoteLoads(loads)
		Expect(t.ReceivedSince(sentAt)).To(BeFalse())
		clock.Advance(time.Second)
		loads[0].SinceReceived = 1100 * time.Millisecond
		p.SetRemoteLoads(loads)
		Expect(t.ReceivedSince(sentAt)).To(BeFalse())
		loads[0].SinceReceived = 300 * time.Millisecond
		p.SetRemoteLoads(loads)
		Expect(t.ReceivedSince(sentAt)).To(BeTrue())
		Expect(t.ReceivedSince(clock.Now())).To(BeFalse())
		p.SetRemoteLoads(nil)
		Expect(t.ReceivedSince(sentAt)).To(BeTrue())
		t.RecordReceived()
		clock.Advance(200 * time.Millisecond)
		Expect(p.Loads()[0].SinceReceived).To(Equal(200 * time.Millisecond))
	})

	// Guards against sending requests to plain upstreams that other hosts have
	// filled.
	It("counts the requests of other hosts at plain services", func() {
		p.Update(fleet(2, 6))
		t := pick(placer.Request{})
		loads := p.Loads()
		t.Done(placer.Succeeded, 50*time.Millisecond)
		loads[0].Running = 5
		p.SetRemoteLoads(loads)
		for range 3 {
			Expect(pick(placer.Request{}).Upstream().ID).NotTo(Equal(t.Upstream().ID))
		}
	})

	// Guards against short waits that move requests away from the engine that
	// caches their prompt, so that it is processed and paid for again.
	It("leaves the engine that caches a long prompt only if the wait is long", func() {
		p.Update(fleet(3, 64))
		r := placer.Request{Group: 5, Work: 100, SharedWork: 600, SharedTokens: 6000}
		home := pick(r)
		loads := p.Loads()
		loads[0].Work = 20_000
		p.SetRemoteLoads(loads)
		Expect(pick(r).Upstream().ID).To(Equal(home.Upstream().ID))
		loads[0].Work = 60_000
		p.SetRemoteLoads(loads)
		Expect(pick(r).Upstream().ID).NotTo(Equal(home.Upstream().ID))
	})

	// Guards against processing a long prompt once in every zone.
	It("keeps the groups of long prompts together across zones", func() {
		other := placer.New(placer.Settings{Clock: clock, Zone: "b"})
		p.Update(fleet(4, 64))
		other.Update(fleet(4, 64))
		for g := range uint64(20) {
			r := placer.Request{Service: "s", Group: g + 1, Work: 100, SharedWork: 6000, SharedTokens: 6000}
			a := pick(r)
			b, _ := other.Pick(r)
			Expect(a.Upstream().ID).To(Equal(b.Upstream().ID))
			a.Done(placer.Succeeded, time.Millisecond)
			b.Done(placer.Succeeded, time.Millisecond)
		}
	})

	// Guards against sending the requests of all zones to one engine, which saves
	// little if their prefix is short: the engine is busier, and each request
	// crosses zones.
	It("gives the groups of short prompts a home in each zone", func() {
		other := placer.New(placer.Settings{Clock: clock, Zone: "b"})
		p.Update(fleet(4, 64))
		other.Update(fleet(4, 64))
		for g := range uint64(20) {
			r := placer.Request{Service: "s", Group: g + 1, Work: 1800, SharedWork: 568, SharedTokens: 568}
			a := pick(r)
			Expect(a.Upstream().Zone).To(Equal("a"))
			a.Done(placer.Succeeded, time.Millisecond)
			other.AddPlacements(p.TakePlacements(10))
			b, _ := other.Pick(r)
			Expect(b.Upstream().Zone).To(Equal("b"))
			b.Done(placer.Succeeded, time.Millisecond)
		}
	})

	// Guards against requests that time out at one upstream after another of a
	// partitioned zone, and against a recovered zone that stays unused.
	It("skips a zone whose upstreams have gone silent", func() {
		p.Update(fleet(8, 64)[8:16]) // Only zone b; zone a is added below.
		one, other := pick(placer.Request{Work: 1000}), pick(placer.Request{Work: 1000})
		one.Done(placer.Stale, 0)
		other.Done(placer.Silent, 0)
		p.Update(fleet(8, 64)[:16])
		group := func(g uint64) placer.Request {
			return placer.Request{Group: g + 1, Work: 100, SharedWork: 6000, SharedTokens: 6000}
		}
		// Groups stay where their prefix is cached, so each call asks with new ones.
		groups := uint64(0)
		zones := func() map[string]int {
			out := make(map[string]int)
			for range 60 {
				groups++
				t := pick(group(groups))
				out[t.Upstream().Zone]++
				t.Done(placer.Abandoned, 0)
			}
			return out
		}
		Expect(zones()).To(Equal(map[string]int{"a": 60}))
		clock.Advance(time.Second)
		Expect(zones()["b"]).To(Equal(1), "one request probes the zone")
		clock.Advance(time.Second)
		for zones()["b"] == 0 {
			clock.Advance(time.Second)
		}
		clock.Advance(time.Second)
		for ; ; groups++ {
			if t := pick(group(groups)); t.Upstream().Zone == "b" {
				t.RecordReceived()
				break
			}
		}
		Expect(zones()["b"]).To(BeNumerically(">", 10))
	})

	// Guards against avoiding a whole zone because one engine in it is lost.
	It("keeps using a zone with responsive upstreams", func() {
		p.Update(fleet(8, 64)[8:16])
		for range 6 {
			pick(placer.Request{Work: 1000}).Done(placer.Silent, 0)
			pick(placer.Request{Work: 1000}).Done(placer.Succeeded, time.Millisecond)
		}
		p.Update(fleet(8, 64)[:16])
		used := 0
		for g := range uint64(60) {
			if pick(placer.Request{Group: g + 1, SharedWork: 6000, SharedTokens: 6000, Work: 1}).Upstream().Zone == "b" {
				used++
			}
		}
		Expect(used).To(BeNumerically(">", 0))
	})

	// Guards against flooding an upstream that is recovering.
	It("probes an upstream with one request after its ejection", func() {
		p.Update(fleet(1, 64))
		t := pick(placer.Request{Work: 10})
		t.Done(placer.Silent, 0)
		clock.Advance(time.Second)
		first := pick(placer.Request{Work: 10})
		Expect(first.Upstream().Zone).To(Equal("a"))
		Expect(pick(placer.Request{Work: 10}).Upstream().Zone).NotTo(Equal("a"))
		first.Done(placer.Succeeded, time.Millisecond)
		Expect(pick(placer.Request{Work: 10}).Upstream().Zone).To(Equal("a"))
	})

	// Simulates an upstream that fails half of its requests while its health check
	// passes; its peers fail one in seven.
	It("ejects an upstream that fails more often than its peers", func() {
		p.Update(fleet(3, 64))
		n := make(map[string]int)
		for i := range 400 {
			t := pick(placer.Request{})
			id := t.Upstream().ID
			n[id]++
			clock.Advance(5 * time.Millisecond)
			out := placer.Succeeded
			if id == "a0" && i%2 == 0 || i%7 == 0 {
				out = placer.Failed
			}
			t.Done(out, 20*time.Millisecond)
		}
		Expect(n["a0"]).To(BeNumerically("<", 100))
	})

	// Guards against new requests at an upstream that is leaving, has another
	// version, or was already tried.
	It("excludes upstreams that are leaving, tried or of another version", func() {
		list := fleet(1, 64)
		list[0].Leaving = true
		list[1].Version = "v2"
		p.Update(list)
		Expect(pick(placer.Request{Work: 1, Versions: placer.VersionFilter{Except: "v2"}}).Upstream().ID).To(Equal("c0"))
		Expect(pick(placer.Request{Work: 1, Versions: placer.VersionFilter{Only: "v2"}}).Upstream().ID).To(Equal("b0"))
		_, ok := p.Pick(placer.Request{Service: "s", Tried: []tracker.Key{list[1].Key(), list[2].Key()}})
		Expect(ok).To(BeFalse())
		_, ok = p.Pick(placer.Request{Service: "none"})
		Expect(ok).To(BeFalse())
	})

	// Guards against losing the state of upstreams when the list is updated.
	It("keeps the state of upstreams when the list changes", func() {
		p.Update(fleet(1, 64))
		t := pick(placer.Request{Work: 1})
		t.Done(placer.Refused, 0)
		p.Update(fleet(2, 64))
		for range 4 {
			Expect(pick(placer.Request{Work: 1}).Upstream().ID).NotTo(Equal("a0"))
		}
	})

	// Guards against connections beyond an upstream's limit, which it resets.
	It("stays below the connection limit of an upstream", func() {
		p.Update(fleet(1, 64)[:1])
		r := placer.Request{Service: "s", MaxConns: 10}
		for range 3 {
			pick(r)
		}
		loads := p.Loads()
		loads[0].Running = 5
		p.SetRemoteLoads(loads)
		_, ok := p.Pick(r)
		Expect(ok).To(BeFalse())
		loads[0].Running = 4
		p.SetRemoteLoads(loads)
		pick(r)
	})

	// Guards against overloading the nearest upstream of a plain service.
	It("spreads requests to plain services over the zones under load", func() {
		p.Update(fleet(1, 6))
		zones := make(map[string]int)
		for range 9 {
			zones[pick(placer.Request{}).Upstream().Zone]++
		}
		Expect(zones).To(HaveLen(3))
	})
})

// Guards against an attempt that reads the address or version of its upstream while a
// new list is written: run with the race detector.
var _ = Describe("Ticket", func() {
	It("names its upstream while the list changes", func() {
		p := placer.New(placer.Settings{Clock: timekeeper.System{}, Zone: "a"})
		list := fleet(1, 8)
		p.Update(list)
		t, ok := p.Pick(placer.Request{Service: "s"})
		Expect(ok).To(BeTrue())
		updated := make(chan struct{})
		go func() {
			defer close(updated)
			p.Update(list)
		}()
		Expect(t.Upstream().ID).NotTo(BeEmpty())
		<-updated
	})
})
