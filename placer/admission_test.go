package placer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/admitter"
	"foxtailwall/placer"
	"foxtailwall/timekeeper"
)

var _ = Describe("Admission", func() {
	var (
		clock *timekeeper.Fake
		p     *placer.Placer
	)
	BeforeEach(func() {
		clock = timekeeper.NewFake(time.Unix(100, 0))
		p = placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.Update(fleet(1, 4))
	})
	request := func() placer.Request {
		now := clock.Now()
		return placer.Request{Service: "s", Work: 1000, Admission: placer.AdmissionRequest{
			Slots: 4, MemoryTokens: 10_000, Model: "m", Tokens: 1000, OutputTokens: 10, Arrived: now,
			Objective: now.Add(2 * time.Second), Due: now.Add(2 * time.Second), Deadline: now.Add(10 * time.Second),
		}}
	}
	// learn lets the placer see enough requests to know the time to the first byte.
	learn := func() {
		for range 20 {
			t := p.Admit(request()).Ticket
			clock.Advance(25 * time.Millisecond)
			t.RecordReceived()
			clock.Advance(75 * time.Millisecond)
			t.Done(placer.Succeeded, 25*time.Millisecond)
		}
	}
	// fill takes all slots that are free.
	fill := func() (tickets []*placer.Ticket) {
		for {
			a := p.Admit(request())
			if a.Ticket == nil {
				Expect(a.Place).NotTo(BeNil())
				_, _ = a.Place.Leave()
				return tickets
			}
			tickets = append(tickets, a.Ticket)
		}
	}

	// Guards against waits that depend on guesses, and against waits while a slot of any
	// zone is free.
	It("sends everything until the times are known, and then while there is room", func() {
		for range 30 {
			Expect(p.Admit(request()).Ticket).NotTo(BeNil())
		}
		p = placer.New(placer.Settings{Clock: clock, Zone: "a"})
		p.Update(fleet(1, 4))
		learn()
		byZone := make(map[string]int)
		for _, t := range fill() {
			byZone[t.Upstream().Zone]++
		}
		Expect(byZone).To(Equal(map[string]int{"a": 4, "b": 4, "c": 4}))
	})

	It("counts token memory", func() {
		learn()
		r := request()
		r.Admission.Tokens = 4000
		n := 0
		for ; p.Admit(r).Ticket != nil; n++ {
			Expect(n).To(BeNumerically("<", 10))
		}
		Expect(n).To(Equal(6))
		// A smaller one still fits.
		r.Admission.Tokens = 1000
		Expect(p.Waiting("s")).To(Equal(1))
	})

	// Guards against requests that wait although their room has become free, and against
	// the wrong order.
	It("gives the room of a request that ends to the one that goes first", func() {
		learn()
		running := fill()
		late, first := request(), request()
		late.Admission.Priority = 3
		low, high := p.Admit(late).Place, p.Admit(first).Place
		running[0].Done(placer.Succeeded, 25*time.Millisecond)
		Expect(high.Ready()).To(Receive())
		Expect(low.Ready()).NotTo(Receive())
		clock.Advance(time.Millisecond)
		t, waited := high.Leave()
		Expect(waited).To(Equal(time.Millisecond))
		Expect(t.Upstream()).To(Equal(running[0].Upstream()))
		Expect(p.Waiting("s")).To(Equal(1))
	})

	// Guards against a place that is kept for a caller that has left, and against room
	// that is lost with it.
	It("frees the place of a caller that leaves", func() {
		learn()
		running := fill()
		gone, next := p.Admit(request()).Place, p.Admit(request()).Place
		t, _ := gone.Leave()
		Expect(t).To(BeNil())
		running[0].Done(placer.Abandoned, 0)
		Expect(next.Ready()).To(Receive())
		t, _ = next.Leave()
		last := p.Admit(request()).Place
		t.Done(placer.Abandoned, 0)
		Expect(last.Ready()).To(Receive())
	})

	// Guards against estimates that use up the rare trial of a cold upstream, and against a
	// count of withheld upstreams that grows by each evaluation.
	It("changes nothing by an estimate or a wait", func() {
		p.SetColdRates(map[string]placer.ColdRate{"s": {PerSecond: 1, Start: time.Hour}})
		list := fleet(1, 4)[:2]
		p.Update(list)
		p.SetColdTimes(nil, clock.Now())
		p.SetHosts(1, -1)
		learn()
		p.SetColdTimes(map[uint64]time.Duration{list[0].Key().Hash(): time.Hour}, clock.Now())
		running := fill()
		Expect(running).To(HaveLen(4))
		sent := p.TakeColdChanges()
		Expect(sent.Withheld).To(BeEquivalentTo(4))
		first, second := p.Admit(request()).Place, p.Admit(request()).Place
		Expect(p.Expect(request()).Known).To(BeTrue())
		Expect(p.TakeColdChanges()).To(Equal(placer.ColdChanges{}))
		running[0].Done(placer.Abandoned, 0)
		Expect(first.Ready()).To(Receive())
		Expect(p.TakeColdChanges()).To(Equal(placer.ColdChanges{Withheld: 1}))
		_, _ = second.Leave()

		p.SetColdTimes(map[uint64]time.Duration{list[0].Key().Hash(): time.Hour, list[1].Key().Hash(): time.Hour}, clock.Now())
		Expect(p.Expect(request())).To(Equal(placer.Expectation{Known: true}))
		Expect(p.Admit(request())).To(Equal(placer.Admission{}), "the first trial is not due yet")
		clock.Advance(time.Minute)
		for range 3 {
			Expect(p.Expect(request())).To(Equal(placer.Expectation{Known: true}), "a trial is no room")
		}
		Expect(p.Admit(request()).Ticket).NotTo(BeNil(), "the trial was used up")
		Expect(p.Admit(request()).Ticket).To(BeNil())
	})

	It("bounds the wait, and refuses what cannot be answered", func() {
		learn()
		fill()
		w := p.Admit(request()).Place
		Expect(w.Until()).To(Equal(clock.Now().Add(500 * time.Millisecond)))
		r := request()
		r.Admission.Deadline = clock.Now().Add(30 * time.Millisecond)
		a := p.Admit(r)
		Expect(a.Refusal.Verdict).To(Equal(admitter.Refuse))
		Expect(a.Refusal.Reason).To(Equal(admitter.NoTime))
		Expect(a.Refusal.RetryAfter).To(BeNumerically(">", 0))
		// A caller that has received a part of the answer is not refused.
		r.Admission.Continued = true
		Expect(p.Admit(r).Ticket).NotTo(BeNil())
	})

	// Guards against a larger model that is asked although it answers too late or takes the
	// room of others.
	It("says what is expected of a request", func() {
		Expect(p.Expect(request())).To(Equal(placer.Expectation{}))
		learn()
		r := request()
		e := p.Expect(r)
		Expect(e.Room).To(BeTrue())
		Expect(e.FirstByte).To(BeNumerically("~", 25*time.Millisecond, time.Millisecond))
		r.Work *= 10
		idle := p.Expect(r)
		Expect(idle.FirstByte).To(BeNumerically("~", 250*time.Millisecond, 5*time.Millisecond))
		Expect(idle.Alone).To(Equal(idle.FirstByte))
		for range 3 {
			Expect(p.Admit(r).Ticket).NotTo(BeNil())
		}
		busy := p.Expect(r)
		Expect(busy.Alone).To(Equal(idle.Alone))
		Expect(busy.FirstByte).To(BeNumerically("~", 500*time.Millisecond, 10*time.Millisecond))
		fill()
		Expect(p.Expect(r)).To(Equal(placer.Expectation{Known: true}))
	})

	// Guards against the longest prompts getting the smallest model's answer on idle
	// upstreams, and against late ones that take the time of others on busy ones.
	DescribeTable("expects a first byte in time", func(firstByte, alone time.Duration, inTime bool) {
		now := clock.Now()
		e := placer.Expectation{Known: true, Room: true, FirstByte: firstByte, Alone: alone}
		Expect(e.InTime(now, now.Add(2*time.Second), now.Add(10*time.Second))).To(Equal(inTime))
	},
		Entry("by the objective", 1900*time.Millisecond, time.Second, true),
		Entry("after the objective, behind other work", 3*time.Second, 2*time.Second, false),
		Entry("after the objective, on a nearly idle upstream", 3*time.Second, 2500*time.Millisecond, true),
		Entry("after the deadline", 11*time.Second, 11*time.Second, false),
	)

	It("bounds the queue", func() {
		p = placer.New(placer.Settings{Clock: clock, Zone: "a", Admission: placer.AdmissionSettings{MaxWaiting: 2}})
		p.Update(fleet(1, 4))
		learn()
		fill()
		for range 2 {
			Expect(p.Admit(request()).Place).NotTo(BeNil())
		}
		Expect(p.Admit(request()).Refusal.Reason).To(Equal(admitter.QueueFull))
	})

	// Guards against hosts that each fill an upstream while they do not know each other's
	// loads.
	It("uses an even share without the loads of the others", func() {
		p.SetHosts(2, 0)
		learn()
		Expect(fill()).To(HaveLen(6))
		p.SetHosts(100, 0)
		p.Update(fleet(2, 4)) // All but a0 are new.
		Expect(fill()).To(HaveLen(5))
	})

	// Guards against hosts with a backlog that each take all the room that they see.
	It("drains its share of what other hosts have left free", func() {
		random := 0.0
		p = placer.New(placer.Settings{Clock: clock, Zone: "a", Admission: placer.AdmissionSettings{Random: func() float64 { return random }}})
		p.Update(fleet(1, 4))
		learn()
		p.SetHosts(3, 0)
		other := placer.New(placer.Settings{Clock: clock, Zone: "a"})
		other.Update(fleet(1, 4))
		for range 12 {
			_, _ = other.Pick(request())
		}
		loads := other.Loads()
		Expect(loads).To(HaveLen(3))
		for i := range loads {
			loads[i].Running = 4
		}
		for range 2 {
			p.SetRemoteLoads(loads)
		}
		for range 10 {
			Expect(p.Admit(request()).Place).NotTo(BeNil())
		}
		p.SetRemoteLoads(nil)
		Expect(p.Waiting("s")).To(Equal(6))
		p.SetRemoteLoads(nil)
		Expect(p.Waiting("s")).To(Equal(4))
		// What is left is not enough for each host, so chance decides.
		p.SetHosts(100, 0)
		p.SetRemoteLoads(nil)
		Expect(p.Waiting("s")).To(Equal(4))
		random = 0.99
		p.SetRemoteLoads(nil)
		Expect(p.Waiting("s")).To(Equal(3))
	})

	// Guards against a full version in rollout, whose requests wait, that holds back those
	// of the other versions.
	It("sends requests past those that wait for other upstreams", func() {
		learn()
		list := fleet(1, 4)
		list[0].Version = "v2"
		p.Update(list)
		trial := request()
		trial.Versions.Only = "v2"
		var first *placer.Ticket
		for range 4 {
			first = p.Admit(trial).Ticket
			Expect(first).NotTo(BeNil())
		}
		waiting := p.Admit(trial).Place
		Expect(waiting).NotTo(BeNil())
		usual := request()
		usual.Versions.Except = "v2"
		for range 8 {
			Expect(p.Admit(usual).Ticket).NotTo(BeNil())
		}
		Expect(p.Admit(usual).Place).NotTo(BeNil())
		first.Done(placer.Succeeded, 25*time.Millisecond)
		Expect(waiting.Ready()).To(Receive())
	})

	// Guards against requests that wait for an upstream that has failed.
	It("chooses another upstream once some come back", func() {
		learn()
		list := fleet(1, 4)
		p.Update(list[:1])
		fill()
		w := p.Admit(request()).Place
		p.Update(list)
		w.Check()
		Expect(w.Ready()).To(Receive())
		t, _ := w.Leave()
		Expect(t.Upstream().Zone).NotTo(Equal("a"))
	})
})

// BenchmarkPick compares the choice of leastWork with that of the earliest first byte.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{140, 1500} {
		for _, slots := range []int{0, 16} {
			b.Run(fmt.Sprintf("%d upstreams, %d slots", n, slots), func(b *testing.B) {
				clock := timekeeper.NewFake(time.Unix(100, 0))
				p := placer.New(placer.Settings{Clock: clock, Zone: "a"})
				p.Update(fleet(n/3, 16))
				p.SetHosts(65, 3)
				loads := p.Loads()
				for i := range uint32(n) {
					loads = append(loads, placer.Load{Upstream: i, Running: 3, Work: 2000})
				}
				p.SetRemoteLoads(loads)
				p.SetRemoteLoads(loads)
				r := placer.Request{Service: "s", Group: 7, Work: 1000, SharedWork: 6300, SharedTokens: 6300, MaxConns: 520}
				r.Admission = placer.AdmissionRequest{Slots: slots, MemoryTokens: 244_981, Model: "m", Tokens: 9200, OutputTokens: 10, Deadline: clock.Now().Add(time.Hour)}
				for b.Loop() {
					t, _ := p.Pick(r)
					t.RecordReceived()
					t.Done(placer.Succeeded, 100*time.Millisecond)
				}
			})
		}
	}
}
