package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/controller"
	"foxtailwall/isolator"
	"foxtailwall/tracker"
)

const (
	// trafficStep is the time between two turns of the simulation, and reportEvery that
	// between two reports of a host.
	trafficStep = 20 * time.Millisecond
	reportEvery = 400 * time.Millisecond
	// trafficContact is the contact time of the results deployment.
	trafficContact = 4 * time.Second
	// trafficAttempts is the number of upstreams that a request is sent to at most.
	trafficAttempts = 3
	// subjectBase is the ID of the first subject, the second part of prompts, and
	// crashingPart and crashingContent those of the part and the request that crash
	// upstreams.
	subjectBase     = 10_000
	crashingPart    = 666
	crashingContent = 1
)

type (
	// fleetSize describes a deployment.
	fleetSize struct {
		hostCount, upstreams, slots, firstParts, subjects int
		perSecond                                         float64
	}

	// traffic simulates hosts that report to a leader, engines in three zones, and
	// callers whose requests have one of a few first prompt parts.
	traffic struct {
		*group
		fleetSize
		rng     *rand.Rand
		up      []*engine
		callers []callerRetry
		reports []*delayedReport
		content uint64
		crashes int
		// knownAt is the time of the crash after which the contact time begins, the
		// knownCrashes-th.
		knownCrashes int
		knownAt      time.Time
		// crashing are the contents of the requests that crash upstreams.
		crashing  map[uint64]bool
		late      int
		startedAt time.Time
		trials    int
		sound     int
		refused   int
		// waiting are the requests with a held part.
		waiting []*sentRequest
		holds   int
	}

	engine struct {
		key     tracker.Key
		zone    int
		upAt    time.Time
		running []*sentRequest
		// nextEnd is the earliest end of the running requests, or earlier.
		nextEnd time.Time
	}

	sentRequest struct {
		id       string
		host, n  int
		content  uint64
		parts    []uint64
		endsAt   time.Time
		sentAt   time.Time
		retries  int
		last     *engine
		crashing bool
		// trial is the isolated part or request that it tries out, or nil.
		trial *controller.PromptPart
	}

	// isolatedCounts are the numbers of isolated first parts, subjects and requests.
	isolatedCounts struct{ first, subjects, requests int }

	callerRetry struct {
		at      time.Time
		request *sentRequest
	}

	delayedReport struct {
		at       time.Time
		host     int
		evidence isolator.Evidence
	}
)

// add adds the isolations of a play.
func (n *isolatedCounts) add(list []controller.Isolation) {
	for _, i := range list {
		switch {
		case i.Part.Request:
			n.requests++
		case i.Part.ID >= subjectBase:
			n.subjects++
		default:
			n.first++
		}
	}
}

func newTraffic(seed uint64, size fleetSize) *traffic {
	t := &traffic{group: newGroup(size.hostCount), fleetSize: size, rng: rand.New(rand.NewPCG(seed, 41)), content: 1000, crashing: make(map[uint64]bool)}
	t.startedAt = t.clock.Now()
	for i := range size.upstreams {
		t.up = append(t.up, &engine{key: tracker.Key{ID: fmt.Sprint("u", t.newID())}, zone: i % 3})
	}
	return t
}

// pick returns the engine with fewer requests of two that are up, but not the one that
// the request was sent to before.
func (t *traffic) pick(but *engine) *engine {
	now := t.clock.Now()
	var best *engine
	for tries, found := 0, 0; tries < 50 && found < 2; tries++ {
		e := t.up[t.rng.IntN(len(t.up))]
		if e == but || e.upAt.After(now) {
			continue
		}
		found++
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

func (t *traffic) newRequest(content uint64, parts []uint64) *sentRequest {
	return &sentRequest{id: fmt.Sprint("r", t.newID()), host: t.rng.IntN(len(t.hosts)), content: content, parts: parts, retries: 1}
}

// isRefused reports whether a part of the request or the request is isolated, and it is
// not the request of a trial.
func (t *traffic) isRefused(r *sentRequest) bool {
	var found []controller.PromptPart
	for _, i := range t.active {
		if i.Held && r.trial == nil && slices.Contains(r.parts, i.Part.ID) && t.hosts[r.host].TakeTrial(i.Part) {
			t.trials++
			r.trial = &i.Part
		}
		if i.Held {
			continue
		}
		if i.Part.Request && i.Part.ID == r.content || !i.Part.Request && slices.Contains(r.parts, i.Part.ID) {
			found = append(found, i.Part)
		}
	}
	if len(found) == 1 && r.trial == nil && t.hosts[r.host].TakeTrial(found[0]) {
		t.trials++
		r.trial = &found[0]
		return false
	}
	return len(found) > 0
}

// isHeld reports whether a part of the request is held.
func (t *traffic) isHeld(r *sentRequest) bool {
	return r.trial == nil && slices.ContainsFunc(r.parts, func(id uint64) bool { return t.hosts[r.host].Held(part(id)) })
}

// isolate starts an isolation.
func (t *traffic) isolate(p controller.PromptPart) {
	t.active = append(slices.Clone(t.active), controller.Isolation{Part: p, Active: true, Since: t.clock.Now()})
}

func (t *traffic) dispatch(r *sentRequest) {
	if !r.crashing {
		t.sound++
	}
	t.send(r)
}

// send sends a request, refuses it or lets it wait.
func (t *traffic) send(r *sentRequest) {
	refused := t.isRefused(r)
	if !refused && t.isHeld(r) {
		t.waiting = append(t.waiting, r)
		return
	}
	if refused {
		if !r.crashing {
			t.refused++
		}
		return
	}
	e := t.pick(r.last)
	if e == nil {
		return
	}
	now := t.clock.Now()
	if r.crashing && !t.knownAt.IsZero() && now.Sub(t.knownAt) > trafficContact {
		t.late++
	}
	r.n++
	r.last = e
	// A full engine lets all its requests wait.
	took := time.Duration(600+t.rng.IntN(2500)) * time.Millisecond * time.Duration(1+len(e.running)/t.slots)
	if r.crashing {
		took = time.Duration(40+t.rng.IntN(100)) * time.Millisecond
	}
	r.endsAt = now.Add(took)
	r.sentAt = now
	t.hosts[r.host].RecordSent("s", r.parts)
	if len(e.running) == 0 || r.endsAt.Before(e.nextEnd) {
		e.nextEnd = r.endsAt
	}
	e.running = append(e.running, r)
}

// crash ends engines and starts them again, as new incarnations, after about a time.
// The hosts send what they ran to another engine, and callers come back.
func (t *traffic) crash(down time.Duration, engines ...*engine) {
	var broken []*sentRequest
	for _, e := range engines {
		for _, r := range e.running {
			t.recordBroken(r, e.key)
		}
		broken = append(broken, e.running...)
		*e = engine{key: tracker.Key{ID: fmt.Sprint("u", t.newID())}, zone: e.zone, upAt: t.clock.Now().Add(down + time.Duration(t.rng.IntN(500))*time.Millisecond)}
	}
	for _, r := range broken {
		t.tryAgain(r)
	}
}

func (t *traffic) recordBroken(r *sentRequest, key tracker.Key) {
	if r.trial != nil {
		t.hosts[r.host].RecordBrokenTrial(*r.trial)
	}
	t.hosts[r.host].RecordBroken("s", key, r.content, r.parts)
	t.hosts[r.host].RecordBrokenRequest(isolator.BrokenRequest{Service: "s", Content: r.content, Upstream: key, ID: r.id, Attempt: r.n})
}

func (t *traffic) tryAgain(r *sentRequest) {
	switch {
	case r.n < trafficAttempts:
		t.dispatch(r)
	case r.retries > 0:
		again := t.newRequest(r.content, r.parts)
		again.retries, again.crashing = r.retries-1, r.crashing
		t.callers = append(t.callers, callerRetry{t.clock.Now().Add(time.Duration(100+t.rng.IntN(900)) * time.Millisecond), again})
	}
}

// sendSound sends the sound requests of a step.
func (t *traffic) sendSound() {
	for due := t.perSecond * trafficStep.Seconds(); due > 0; due-- {
		if due >= 1 || t.rng.Float64() < due {
			t.content++
			// Some subjects are hot.
			subject := min(t.rng.IntN(t.subjects), t.rng.IntN(t.subjects), t.rng.IntN(t.subjects))
			t.dispatch(t.newRequest(t.content, []uint64{1 + t.rng.Uint64N(uint64(t.firstParts)), subjectBase + uint64(subject)}))
		}
	}
}

// step advances the simulation by trafficStep.
func (t *traffic) step() {
	t.clock.Advance(trafficStep)
	now := t.clock.Now()
	t.sendSound()
	waiting := t.waiting
	t.waiting = nil
	for _, r := range waiting {
		t.send(r)
	}
	t.callers = slices.DeleteFunc(t.callers, func(c callerRetry) bool {
		if c.at.After(now) {
			return false
		}
		t.dispatch(c.request)
		return true
	})
	for _, e := range t.up {
		if len(e.running) == 0 || e.nextEnd.After(now) {
			continue
		}
		var crashed bool
		e.nextEnd = now.Add(time.Hour)
		e.running = slices.DeleteFunc(e.running, func(r *sentRequest) bool {
			if r.endsAt.After(now) {
				if r.endsAt.Before(e.nextEnd) {
					e.nextEnd = r.endsAt
				}
				return false
			}
			if r.crashing {
				crashed = true
				return false
			}
			if r.trial != nil {
				t.hosts[r.host].RecordTrial(*r.trial)
			}
			t.hosts[r.host].RecordAnswered("s", r.sentAt)
			t.hosts[r.host].RecordSuccess("s", r.parts, r.sentAt)
			t.hosts[r.host].RecordRequestSuccess("s", r.content, r.sentAt)
			return true
		})
		if crashed {
			if t.crashes++; t.crashes == t.knownCrashes {
				t.knownAt = now
			}
			t.crash(2*time.Second, e)
		}
	}
	t.report()
}

// report lets hosts report in turn; a report arrives within 0.2 s.
func (t *traffic) report() {
	now := t.clock.Now()
	turns := int(reportEvery / trafficStep)
	turn := int(now.Sub(t.startedAt)/trafficStep) % turns
	for i := turn; i < len(t.hosts); i += turns {
		t.reports = append(t.reports, &delayedReport{now.Add(time.Duration(t.rng.IntN(200)) * time.Millisecond), i, t.hosts[i].Evidence()})
	}
	t.reports = slices.DeleteFunc(t.reports, func(r *delayedReport) bool {
		if r.at.After(now) {
			return false
		}
		t.judge.Add(r.evidence)
		t.hosts[r.host].SetSuspects(t.judge.Suspects())
		t.hosts[r.host].SetIsolations(t.active)
		return true
	})
	if turn%5 == 0 {
		t.judge.SetIsolations(t.active)
		for _, st := range t.judge.Next() {
			if st.Hold {
				t.holds++
			}
			t.apply([]controller.IsolationStep{st})
		}
		t.apply(t.judge.Trials())
	}
}

// run simulates a time and calls between before each step with the time so far.
func (t *traffic) run(d time.Duration, between func(at time.Duration)) {
	for at := time.Duration(0); at < d; at += trafficStep {
		if between != nil {
			between(at)
		}
		t.step()
	}
}

// crashAny crashes a number of the engines that are up and meet a condition.
func (t *traffic) crashAny(n int, ok func(*engine) bool) {
	for _, i := range t.rng.Perm(len(t.up)) {
		if e := t.up[i]; n > 0 && !e.upAt.After(t.clock.Now()) && (ok == nil || ok(e)) {
			t.crash(2*time.Second, e)
			n--
		}
	}
}

// Guards against isolating harmless prompt parts and requests because upstreams crash
// for a reason of their own: with few first parts, each is present at nearly every crash.
var _ = Describe("Traffic with few first prompt parts", func() {
	results := fleetSize{hostCount: 65, upstreams: 140, slots: 16, firstParts: 4, subjects: 3000, perSecond: 400}
	tickets := fleetSize{hostCount: 78, upstreams: 60, slots: 64, firstParts: 4, subjects: 3000, perSecond: 260}
	small := fleetSize{hostCount: 6, upstreams: 18, slots: 16, firstParts: 4, subjects: 300, perSecond: 40}
	type outage struct {
		name  string
		crash func(t *traffic, at time.Duration, share float64)
	}
	due := func(total int, at, from, over time.Duration) int {
		done := func(at time.Duration) int {
			return int(float64(total) * min(1, max(0, float64(at-from)/float64(over))))
		}
		return done(at+trafficStep) - done(at)
	}
	outages := []outage{
		{"crash at once", func(t *traffic, at time.Duration, share float64) {
			if at == 0 {
				t.crashAny(int(share*float64(t.upstreams)), nil)
			}
		}},
		{"crash within 2 s", func(t *traffic, at time.Duration, share float64) {
			t.crashAny(due(int(share*float64(t.upstreams)), at, 0, 2*time.Second), nil)
		}},
		{"crash in waves", func(t *traffic, at time.Duration, share float64) {
			if at%(1500*time.Millisecond) == 0 && at < 6*time.Second {
				t.crashAny(int(share*float64(t.upstreams)), nil)
			}
		}},
		{"crash in one zone", func(t *traffic, at time.Duration, share float64) {
			t.crashAny(due(int(share*float64(t.upstreams)), at, 0, time.Second), func(e *engine) bool { return e.zone == 1 })
		}},
		{"are replaced one after the other", func(t *traffic, at time.Duration, share float64) {
			t.crashAny(due(t.upstreams, at, 0, time.Duration(float64(2*time.Second)/share)), nil)
		}},
		{"reset connections", func(t *traffic, _ time.Duration, share float64) {
			for _, e := range t.up {
				if t.rng.Float64() < share*trafficStep.Seconds() {
					rest := e.running
					e.running = nil
					for _, r := range rest {
						t.recordBroken(r, e.key)
						t.tryAgain(r)
					}
				}
			}
		}},
	}
	for _, firstParts := range []int{1, 4, 16, 80} {
		for _, o := range outages {
			It(fmt.Sprintf("isolates nothing while upstreams %s, %d first parts", o.name, firstParts), func() {
				var isolated isolatedCounts
				plays, failed := 0, []string(nil)
				for _, share := range []float64{0.05, 0.25} {
					for seed := range 3 * seedFactor() {
						size := []fleetSize{results, tickets, small}[seed%3]
						size.firstParts = firstParts
						t := newTraffic(seed, size)
						t.run(2*time.Second, nil)
						t.run(12*time.Second, func(at time.Duration) { o.crash(t, at, share) })
						plays++
						isolated.add(t.active)
						if len(t.active) > 0 {
							failed = append(failed, fmt.Sprintf("%v of the upstreams, seed %d", share, seed))
						}
					}
				}
				Expect(isolated).To(BeZero(), "%d plays, with %v", plays, failed)
			})
		}
	}

	// Guards against harmless parts and requests that stay isolated for minutes.
	It("ends a wrong isolation with one trial", func() {
		for seed := range 5 * seedFactor() {
			for _, p := range []controller.PromptPart{part(2), isolator.Request("s", 7)} {
				t := newTraffic(seed, results)
				t.run(2*time.Second, nil)
				t.isolate(p)
				t.run(12*time.Second, func(at time.Duration) {
					if p.Request {
						t.dispatch(t.newRequest(7, []uint64{1, subjectBase}))
					} else if at > 10*time.Second {
						Expect(t.active).To(BeEmpty(), "seed %d, %v", seed, at)
					}
				})
				Expect(t.active).To(BeEmpty(), "seed %d, %v", seed, p)
				Expect(t.trials).To(Equal(1))
			}
		}
	})

	// Guards against refusing a harmless common part before a trial was made, against
	// requests that wait for longer than a hold, and against one that refuses more requests
	// than an isolation without it.
	It("lets requests wait for a trial before it refuses a common part", func() {
		refused := make(map[bool]int)
		for seed := range 5 * seedFactor() {
			for _, hold := range []bool{false, true} {
				t := newTraffic(seed, results)
				t.run(2*time.Second, nil)
				st := controller.IsolationStep{Part: part(2), Hold: hold}
				if hold {
					t.hosts[0].TakeTrial(part(2))
					st.Trial = t.hosts[0].Evidence().Recorder
				}
				t.apply([]controller.IsolationStep{st})
				t.run(10*time.Second, func(at time.Duration) {
					if hold && at < 800*time.Millisecond {
						Expect(t.refused).To(BeZero(), "seed %d, %v", seed, at)
					}
					Expect(at < 1100*time.Millisecond || len(t.waiting) == 0).To(BeTrue(), "seed %d, %v", seed, at)
				})
				Expect(t.active).To(BeEmpty(), "seed %d", seed)
				refused[hold] += t.refused
			}
		}
		Expect(refused[true]).To(BeNumerically("<", refused[false]))
	})

	type ending struct {
		// published is the time until the leader knows of the hold, and age that after it.
		published, age    time.Duration
		broken, newLeader bool
		want              []controller.IsolationStep
	}
	// Guards against a hold without a result that is never decided, against one that a
	// crash under the trial does not end, against one that ends before hosts learn of it
	// because its entry took long, and against one that a new leader turns into an isolation
	// although its requests were released long before.
	DescribeTable("ends a hold", func(e ending) {
		g := newGroup(1)
		g.hosts[0].TakeTrial(part(7))
		g.judge.Add(g.hosts[0].Evidence())
		g.apply([]controller.IsolationStep{{Part: part(7), Hold: true, Trial: g.hosts[0].Evidence().Recorder}})
		Expect(g.hosts[0].TakeTrial(part(7))).To(BeTrue())
		Expect(g.hosts[0].TakeTrial(part(7))).To(BeFalse())
		if e.broken {
			g.hosts[0].RecordBrokenTrial(part(7))
		}
		g.clock.Advance(e.published)
		if e.newLeader {
			g.judge.Reset()
		}
		g.judge.SetIsolations(g.active)
		g.judge.Add(g.hosts[0].Evidence())
		g.clock.Advance(e.age)
		Expect(g.judge.Trials()).To(Equal(e.want))
		Expect(g.hosts[0].Held(part(7))).To(Equal(e.published+e.age < time.Second))
	},
		Entry("not yet", ending{age: 700 * time.Millisecond}),
		Entry("without a result", ending{age: 800 * time.Millisecond, want: []controller.IsolationStep{{Part: part(7)}}}),
		Entry("after a crash", ending{age: 100 * time.Millisecond, broken: true, want: []controller.IsolationStep{{Part: part(7)}}}),
		Entry("not yet if it was published late", ending{published: 3 * time.Second, age: 700 * time.Millisecond}),
		Entry("of an earlier leader", ending{published: time.Second, age: 800 * time.Millisecond, newLeader: true, want: []controller.IsolationStep{{Part: part(7)}}}),
		Entry("of an earlier leader long ago", ending{published: 3 * time.Second, broken: true, newLeader: true, want: []controller.IsolationStep{{Part: part(7), End: true, Served: true}}}),
	)

	// Guards against isolating a harmless part because the evidence against the one that
	// crashes engines was dropped with a hold.
	It("keeps the evidence against a part whose hold ends without an answer", func() {
		g := newGroup(1)
		for range 5 {
			g.crash([]uint64{1, 666})
		}
		g.judge.Add(g.hosts[0].Evidence())
		g.apply([]controller.IsolationStep{{Part: part(666), Hold: true, Trial: 1}})
		g.judge.SetIsolations(g.active)
		g.clock.Advance(4 * time.Second)
		g.apply([]controller.IsolationStep{{Part: part(666), End: true, Served: true}})
		Expect(g.exchange()).To(Equal([]uint64{666}))
	})

	// Guards against a second trial that is missing although the host of the first one
	// stopped, against more than two, and against trials beside those of the leader before.
	It("makes two trials at most, the second at another host", func() {
		g := newGroup(2)
		list := []controller.Isolation{{Part: part(7), Active: true, Since: g.clock.Now()}}
		var by []uint64
		var at []time.Duration
		for range 700 {
			for _, h := range g.hosts {
				h.SetIsolations(list)
				h.TakeTrial(part(7))
				g.judge.Add(h.Evidence())
			}
			g.judge.SetIsolations(list)
			for _, st := range g.judge.Trials() {
				list = slices.Clone(list)
				list[0].Trials, list[0].TrialBy = list[0].Trials+1, st.Trial
				by, at = append(by, st.Trial), append(at, g.clock.Now().Sub(list[0].Since))
				g.judge.Reset()
			}
			g.clock.Advance(100 * time.Millisecond)
		}
		Expect(at).To(Equal([]time.Duration{time.Second, 15 * time.Second}))
		Expect(by[0]).NotTo(Equal(by[1]))

		By("an isolation of an earlier release")
		list[0].Since, list[0].Trials = time.Time{}, 0
		g.judge.SetIsolations(list)
		Expect(g.judge.Trials()).To(BeEmpty())

		By("a new leader")
		g.judge.Reset()
		list[0].Since = g.clock.Now().Add(-2 * time.Second)
		g.judge.SetIsolations(list)
		g.hosts[0].TakeTrial(part(7))
		g.judge.Add(g.hosts[0].Evidence())
		Expect(g.judge.Trials()).To(BeEmpty())
		g.clock.Advance(time.Second)
		Expect(g.judge.Trials()).To(HaveLen(1))
	})

	type crashing struct {
		size     fleetSize
		interval time.Duration
		// common means that the part is one of the first parts.
		common, whole bool
	}
	DescribeTable("finds what crashes upstreams in time and isolates nothing else", func(c crashing) {
		for seed := range seedFactor() {
			t := newTraffic(seed, c.size)
			t.knownCrashes = crashesKnown
			if c.whole {
				t.knownCrashes = 3
			}
			t.run(2*time.Second, nil)
			t.run(20*time.Second, func(time.Duration) {
				if t.rng.Float64() >= trafficStep.Seconds()/c.interval.Seconds() {
					return
				}
				t.content++
				r := t.newRequest(t.content, []uint64{crashingPart, subjectBase + t.rng.Uint64N(uint64(t.subjects))})
				if !c.common {
					r.parts = []uint64{1 + t.rng.Uint64N(uint64(t.firstParts)), crashingPart}
				}
				if c.whole {
					r.content, r.parts = crashingContent, []uint64{1, subjectBase}
				}
				r.crashing, t.crashing[r.content] = true, true
				t.dispatch(r)
			})
			want := part(crashingPart)
			if c.whole {
				want = isolator.Request("s", crashingContent)
			}
			by := fmt.Sprintf("seed %d: %d crashes, %d late, %d of %d sound ones refused", seed, t.crashes, t.late, t.refused, t.sound)
			Expect(t.active).To(ContainElement(HaveField("Part", want)), by)
			Expect(t.late).To(BeNumerically("<=", 3), by)
			Expect(t.holds > 0 || !c.common).To(BeTrue(), "a common part has a trial before it is refused: %s", by)
			var others isolatedCounts
			others.add(slices.DeleteFunc(slices.Clone(t.active), func(i controller.Isolation) bool { return i.Part == want || i.Part.Request && t.crashing[i.Part.ID] }))
			Expect(others).To(BeZero(), by)
			Expect(2*t.refused).To(BeNumerically("<=", t.sound), by)
		}
	},
		Entry("one of 4 first parts, 65 hosts", crashing{size: fleetSize{65, 140, 16, 3, 300, 225}, interval: 13 * time.Millisecond, common: true}),
		Entry("one of 4 first parts, 6 hosts", crashing{size: fleetSize{6, 18, 16, 3, 300, 30}, interval: 100 * time.Millisecond, common: true}),
		Entry("one of 878 parts, 78 hosts", crashing{size: fleetSize{78, 60, 64, 4, 873, 260}, interval: 400 * time.Millisecond}),
		Entry("one of 878 parts, 65 hosts, often", crashing{size: fleetSize{65, 140, 16, 4, 873, 300}, interval: 100 * time.Millisecond}),
		Entry("one of 878 parts, 300 hosts", crashing{size: fleetSize{300, 140, 16, 4, 873, 300}, interval: 500 * time.Millisecond}),
		Entry("one of 878 parts, 6 hosts", crashing{size: fleetSize{6, 18, 16, 4, 873, 60}, interval: time.Second}),
		Entry("a whole request, 78 hosts", crashing{size: fleetSize{78, 60, 64, 4, 873, 260}, interval: 400 * time.Millisecond, whole: true}),
		Entry("a whole request, 65 hosts", crashing{size: results, interval: 400 * time.Millisecond, whole: true}),
	)
})
