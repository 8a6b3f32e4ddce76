package comparer

import (
	"cmp"
	"container/heap"
	"iter"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
	"foxtailwall/timekeeper"
)

// maxEngineQueue limits the queue of a simulated engine, in requests. Requests above
// the limit count as refused.
const maxEngineQueue = 4096

type (
	// simulation runs one policy on one seed.
	simulation struct {
		scenario  Scenario
		seed      uint64
		clock     *timekeeper.Fake
		start     time.Time
		now       time.Time
		queue     events
		lastSeq   int
		catalog   *declarer.Catalog
		hosts     []*host
		engines   map[*declarer.Upstream]*engine
		upstreams []*declarer.Upstream
		rng       *rand.Rand
		totals    *policyTotals
		guard     Guard
		// duration is the period of arrivals.
		duration time.Duration
	}

	// event is an action scheduled for a time. Events at the same time run in
	// the order of seq.
	event struct {
		at  time.Time
		seq int
		// arrival marks the arrival of a request, after which the next arrival
		// is scheduled.
		arrival bool
		action  func()
	}

	// events is a heap of events, the earliest first.
	events []event

	// host is a simulated entry host with its own policy instances.
	host struct {
		zone      string
		chooser   Chooser
		picker    Picker
		nextEvent map[*declarer.Upstream]int64 // index of the next cache event to read
	}

	// engine is a simulated replica. rate is in output tokens per second.
	engine struct {
		batch  *emulator.Batch
		busy   bool
		tokens int
		// rateAt and rateTokens are the time and the token count of the last
		// rate measurement.
		rateAt     time.Time
		rateTokens int
		rate       float64
	}

	// simulatedRequest is a request in progress with its totals over all steps.
	simulatedRequest struct {
		sim        *simulation
		host       *host
		planned    *loader.Request
		query      *Query
		plan       []declarer.VersionRef
		arrived    time.Time
		firstToken time.Time
		lastToken  time.Time
		stepStart  time.Time
		cost       int64
		steps      int
		cached     int
	}
)

// newSimulation creates the engines and hosts and schedules their first polls.
// Results are added to out.
func newSimulation(s Scenario, p Policy, seed uint64, out *policyTotals) *simulation {
	start := time.Unix(0, 0).UTC()
	m := &simulation{
		scenario: s, seed: seed, clock: timekeeper.NewFake(start), start: start, now: start,
		catalog: declarer.NewCatalog(declarer.View{Version: 1, Config: s.Config}),
		engines: make(map[*declarer.Upstream]*engine), rng: rand.New(rand.NewPCG(seed, 2)), totals: out,
	}
	for i := range m.catalog.View.Config.Upstreams {
		u := &m.catalog.View.Config.Upstreams[i]
		t := s.Timings[u.Serves[0]]
		t.MaxWaiting = maxEngineQueue
		m.upstreams = append(m.upstreams, u)
		m.engines[u] = &engine{batch: emulator.NewBatch(t, emulator.NewCache(s.CacheBlocks, s.EventGap, seed+uint64(i))), rateAt: start}
	}
	m.guard = noGuard{}
	if p.NewGuard != nil {
		m.guard = p.NewGuard(Setup{Config: s.Config, Catalog: m.catalog, Clock: m.clock, Seed: seed})
		m.scheduleAfter(guardInterval, m.evaluateGuard)
	}
	for i, zone := range s.Hosts {
		setup := Setup{Config: s.Config, Catalog: m.catalog, Clock: m.clock, Seed: seed, Host: i, Zone: zone, Hosts: len(s.Hosts)}
		h := &host{zone: zone, chooser: p.NewChooser(setup), picker: p.NewPicker(setup), nextEvent: make(map[*declarer.Upstream]int64)}
		m.hosts = append(m.hosts, h)
		// Spread the polls of the hosts over the interval.
		m.scheduleAfter(s.ReportEvery*time.Duration(i)/time.Duration(len(s.Hosts)), func() { m.pollReplicas(h) })
	}
	return m
}

// run processes events until all requests have ended.
func (m *simulation) run(rate float64, duration time.Duration) {
	m.duration = duration
	next, stop := iter.Pull(loader.Plan(loader.Config{
		Seed: m.seed, Mix: m.scenario.Mix, Rate: rate, Duration: duration, Workspaces: m.workspaces(),
		Entries: make([]netip.AddrPort, len(m.hosts)),
	}))
	defer stop()
	more := m.scheduleNextArrival(next)
	for len(m.queue) > 0 && (more || m.totals.ended < m.totals.requests) {
		e := heap.Pop(&m.queue).(event)
		m.clock.Advance(e.at.Sub(m.now))
		m.now = e.at
		if e.arrival {
			more = m.scheduleNextArrival(next)
		}
		e.action()
	}
}

// scheduleNextArrival schedules the next model request of the plan and reports
// whether there is one.
func (m *simulation) scheduleNextArrival(next func() (loader.Request, bool)) bool {
	for {
		r, ok := next()
		if !ok {
			return false
		}
		if r.Class.Kind == "" {
			continue
		}
		m.totals.requests++
		m.lastSeq++
		heap.Push(&m.queue, event{at: m.start.Add(r.At), seq: m.lastSeq, arrival: true, action: func() { m.startRequest(&r) }})
		return true
	}
}

// workspaces returns the workspaces of the scenario with their arrival weights.
func (m *simulation) workspaces() []loader.Workspace {
	var out []loader.Workspace
	for _, w := range m.scenario.Config.Workspaces {
		out = append(out, loader.Workspace{Name: w.Name, Quality: w.Quality})
	}
	loader.SetWeights(out, largeWorkspaces, largeShare)
	return out
}

// scheduleAfter schedules an action to run after d.
func (m *simulation) scheduleAfter(d time.Duration, action func()) {
	m.lastSeq++
	heap.Push(&m.queue, event{at: m.now.Add(d), seq: m.lastSeq, action: action})
}

// startRequest lets the policy choose versions for a request and starts the first
// step.
func (m *simulation) startRequest(r *loader.Request) {
	w := m.catalog.Workspace(r.Workspace.Name)
	q := &Query{
		ID: r.Index, Workspace: w, Kind: r.Class.Kind, Session: r.Session,
		Prompt: emulator.CountTokens(r.Prompt), Output: r.MaxTokens, Prefix: emulator.PrefixHashes(r.Prompt),
	}
	for _, model := range m.scenario.Config.Models {
		for _, v := range model.Versions {
			ref := declarer.VersionRef{Model: model.Name, Version: v.Name}
			if w.Allows(ref) {
				cost := int64(q.Prompt)*v.Price.InputNanos + int64(q.Output)*v.Price.OutputNanos
				q.Allowed = append(q.Allowed, Candidate{Ref: ref, Cost: cost, Quality: v.Quality, Quarantined: m.guard.Quarantined(ref)})
			}
		}
	}
	slices.SortStableFunc(q.Allowed, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	h := m.hosts[r.Entry]
	c := &simulatedRequest{sim: m, host: h, planned: r, query: q, arrived: m.now, plan: h.chooser.Choose(q)}
	if q.Kind == declarer.KindChat {
		c.plan = c.plan[:1]
	}
	c.startStep()
}

// startStep picks a replica for the next version of the plan and sends it the
// request.
func (c *simulatedRequest) startStep() {
	m, ref := c.sim, c.plan[c.steps]
	c.steps++
	c.stepStart = m.now
	u := c.host.picker.Pick(c.query, ref, m.catalog.Upstreams(ref))
	c.host.picker.RequestSent(c.query, u)
	roundTrip := time.Duration(0)
	if u.Zone != c.host.zone {
		roundTrip = m.scenario.CrossZone
	}
	m.scheduleAfter(roundTrip/2, func() { c.enqueue(ref, u, roundTrip-roundTrip/2) })
}

// enqueue adds the step to the batch of the engine. Its tokens reach the host after
// the time back.
func (c *simulatedRequest) enqueue(ref declarer.VersionRef, u *declarer.Upstream, back time.Duration) {
	m, e := c.sim, c.sim.engines[u]
	j := &emulator.Job{Prompt: c.query.Prompt, Output: c.query.Output, Prefix: c.query.Prefix}
	j.Progress = func(j *emulator.Job, now time.Time) {
		c.recordToken(now.Add(back))
		if !j.Ended.IsZero() {
			m.scheduleAfter(back, func() { c.endStep(ref, u, j) })
		}
	}
	if !e.batch.Add(j, m.now) {
		c.host.picker.RequestDone(c.query, u)
		m.totals.addRefusal()
		return
	}
	m.startEngineStep(e)
}

// recordToken records the arrival time of a token of a stream.
func (c *simulatedRequest) recordToken(at time.Time) {
	if c.query.Kind != declarer.KindChat {
		return
	}
	if c.firstToken.IsZero() {
		c.firstToken = at
	} else {
		c.sim.totals.tokenGap.Record(at.Sub(c.lastToken))
	}
	c.lastToken = at
}

// endStep adds the cost of a completed step. The answer of the last step is
// accepted; other steps wait for a rating first, which decides whether the answer
// is accepted or the next step starts.
func (c *simulatedRequest) endStep(ref declarer.VersionRef, u *declarer.Upstream, j *emulator.Job) {
	m := c.sim
	c.host.picker.RequestDone(c.query, u)
	c.host.chooser.AddDuration(c.query, ref, c.steps-1, m.now.Sub(c.stepStart))
	price := m.catalog.Version(ref).Price
	c.cost += int64(c.query.Prompt)*price.InputNanos + int64(c.query.Output)*price.OutputNanos
	c.cached += j.Cached
	pass := m.passes(ref, c.planned.Digest, c.query.Kind)
	if c.steps == len(c.plan) {
		c.acceptAnswer(ref, pass)
		return
	}
	down := m.ratingServiceDown()
	m.scheduleAfter(m.ratingWait(), func() {
		missing := down || m.rng.Float64() < m.scenario.RatingMissing
		if !missing {
			c.addRating(ref, pass)
		}
		if take := c.host.chooser.WaitEnded(c.query, ref, !missing); take && (pass || missing) {
			c.acceptAnswer(ref, pass)
			return
		}
		c.startStep()
	})
}

// acceptAnswer counts the answer. The share Scenario.Sampled of the answers of last
// steps is rated later.
func (c *simulatedRequest) acceptAnswer(ref declarer.VersionRef, pass bool) {
	m := c.sim
	if c.firstToken.IsZero() {
		c.firstToken = m.now
	}
	m.totals.addAnswer(c, pass, m.now)
	m.addFaultAnswer(c, ref, pass)
	if c.steps == len(c.plan) && m.rng.Float64() < m.scenario.Sampled && !m.ratingServiceDown() {
		m.scheduleAfter(m.scenario.SampledDelay, func() { c.addRating(ref, pass) })
	}
}

// addRating passes a rating to the chooser of the host and to the guard.
func (c *simulatedRequest) addRating(ref declarer.VersionRef, pass bool) {
	c.host.chooser.AddRating(c.query, ref, pass)
	c.sim.guard.AddRating(ref, pass)
}

// startEngineStep starts the next batch step of an engine unless the engine is
// busy or has no work.
func (m *simulation) startEngineStep(e *engine) {
	if e.busy {
		return
	}
	d, ok := e.batch.Begin(m.now)
	if !ok {
		return
	}
	e.busy = true
	m.scheduleAfter(d, func() {
		e.busy = false
		e.tokens += e.batch.End(m.now)
		m.startEngineStep(e)
	})
}

// pollReplicas reads the load and new cache events of all replicas for one host and
// schedules the next poll. The picker gets them after Scenario.ReportLag.
func (m *simulation) pollReplicas(h *host) {
	for _, u := range m.upstreams {
		e := m.engines[u]
		if d := m.now.Sub(e.rateAt); d >= m.scenario.ReportEvery {
			e.rate = float64(e.tokens-e.rateTokens) / d.Seconds()
			e.rateAt, e.rateTokens = m.now, e.tokens
		}
		l := Load{At: m.now, Running: e.batch.Running(), Waiting: e.batch.Waiting(), Slots: e.batch.Slots(), TokensPerSecond: e.rate}
		list, next := e.batch.Cache.Since(h.nextEvent[u], m.now)
		h.nextEvent[u] = next
		m.scheduleAfter(m.scenario.ReportLag, func() {
			h.picker.AddLoadReport(u, l)
			if len(list) > 0 {
				h.picker.AddCacheEvents(u, list)
			}
		})
	}
	m.scheduleAfter(m.scenario.ReportEvery, func() { m.pollReplicas(h) })
}

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
