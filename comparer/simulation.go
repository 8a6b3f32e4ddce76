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

// batchWaiting bounds the queue of a modelled engine; beyond it a request is
// counted as refused.
const batchWaiting = 4096

type (
	// simulation is one run of one policy on one seed.
	simulation struct {
		s       Scenario
		seed    uint64
		clock   *timekeeper.Fake
		start   time.Time
		now     time.Time
		queue   events
		order   int
		catalog *declarer.Catalog
		hosts   []*host
		engines map[*declarer.Upstream]*engine
		ups     []*declarer.Upstream
		rng     *rand.Rand
		sums    *sums
		guard   Guard
		// duration is that of the arrivals.
		duration time.Duration
	}

	// event is a function that is due at a time. Events at the same time run
	// in the order in which they were made.
	event struct {
		at    time.Time
		order int
		// arrival says that the event is the arrival of a request.
		arrival bool
		do      func()
	}

	events []event

	host struct {
		zone    string
		chooser Chooser
		picker  Picker
		seen    map[*declarer.Upstream]int64 // cache events read so far
	}

	engine struct {
		batch  *emulator.Batch
		busy   bool
		tokens int
		// rateAt and rateTokens are those of the last report.
		rateAt     time.Time
		rateTokens int
		rate       float64
	}

	// call is one request on its way through the model.
	call struct {
		sim     *simulation
		host    *host
		req     *loader.Request
		q       *Query
		plan    []declarer.VersionRef
		arrived time.Time
		first   time.Time
		last    time.Time
		began   time.Time
		cost    int64
		steps   int
		cached  int
	}
)

// newSimulation sets up hosts and engines.
func newSimulation(s Scenario, p Policy, seed uint64, out *sums) *simulation {
	start := time.Unix(0, 0).UTC()
	m := &simulation{
		s: s, seed: seed, clock: timekeeper.NewFake(start), start: start, now: start,
		catalog: declarer.NewCatalog(declarer.View{Version: 1, Config: s.Config}),
		engines: make(map[*declarer.Upstream]*engine), rng: rand.New(rand.NewPCG(seed, 2)), sums: out,
	}
	for i := range m.catalog.View.Config.Upstreams {
		u := &m.catalog.View.Config.Upstreams[i]
		t := s.Timings[u.Serves[0]]
		t.MaxWaiting = batchWaiting
		m.ups = append(m.ups, u)
		m.engines[u] = &engine{batch: emulator.NewBatch(t, emulator.NewCache(s.CacheBlocks, s.EventGap, seed+uint64(i))), rateAt: start}
	}
	m.guard = noGuard{}
	if p.NewGuard != nil {
		m.guard = p.NewGuard(Setup{Config: s.Config, Catalog: m.catalog, Clock: m.clock, Seed: seed})
		m.after(guardEvery, m.watch)
	}
	for i, zone := range s.Hosts {
		setup := Setup{Config: s.Config, Catalog: m.catalog, Clock: m.clock, Seed: seed, Host: i, Zone: zone, Hosts: len(s.Hosts)}
		h := &host{zone: zone, chooser: p.NewChooser(setup), picker: p.NewPicker(setup), seen: make(map[*declarer.Upstream]int64)}
		m.hosts = append(m.hosts, h)
		// Hosts do not poll at the same times.
		m.after(s.ReportEvery*time.Duration(i)/time.Duration(len(s.Hosts)), func() { m.poll(h) })
	}
	return m
}

// run takes all requests through the model.
func (m *simulation) run(rate float64, duration time.Duration) {
	m.duration = duration
	next, stop := iter.Pull(loader.Plan(loader.Config{
		Seed: m.seed, Mix: m.s.Mix, Rate: rate, Duration: duration, Workspaces: m.workspaces(),
		Entries: make([]netip.AddrPort, len(m.hosts)),
	}))
	defer stop()
	more := m.schedule(next)
	for len(m.queue) > 0 && (more || m.sums.ended < m.sums.requests) {
		e := heap.Pop(&m.queue).(event)
		m.clock.Advance(e.at.Sub(m.now))
		m.now = e.at
		if e.arrival {
			more = m.schedule(next)
		}
		e.do()
	}
}

// schedule makes the event of the next model request and reports whether there
// is one.
func (m *simulation) schedule(next func() (loader.Request, bool)) bool {
	for {
		r, ok := next()
		if !ok {
			return false
		}
		if r.Class.Kind == "" {
			continue
		}
		m.sums.requests++
		m.order++
		heap.Push(&m.queue, event{at: m.start.Add(r.At), order: m.order, arrival: true, do: func() { m.arrive(&r) }})
		return true
	}
}

func (m *simulation) workspaces() []loader.Workspace {
	var out []loader.Workspace
	for _, w := range m.s.Config.Workspaces {
		out = append(out, loader.Workspace{Name: w.Name, Quality: w.Quality})
	}
	loader.SetWeights(out, largeCount, largeShare)
	return out
}

// after makes an event that is due in d.
func (m *simulation) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.queue, event{at: m.now.Add(d), order: m.order, do: do})
}

// arrive chooses the plan of a request and starts its first step.
func (m *simulation) arrive(r *loader.Request) {
	w := m.catalog.Workspace(r.Workspace.Name)
	q := &Query{
		ID: r.Index, Workspace: w, Kind: r.Class.Kind, Session: r.Session,
		Prompt: emulator.CountTokens(r.Prompt), Output: r.MaxTokens, Prefix: emulator.PrefixHashes(r.Prompt),
	}
	for _, mo := range m.s.Config.Models {
		for _, v := range mo.Versions {
			ref := declarer.VersionRef{Model: mo.Name, Version: v.Name}
			if w.Allows(ref) {
				cost := int64(q.Prompt)*v.Price.InputNanos + int64(q.Output)*v.Price.OutputNanos
				q.Allowed = append(q.Allowed, Candidate{Ref: ref, Cost: cost, Quality: v.Quality, Quarantined: m.guard.Quarantined(ref)})
			}
		}
	}
	slices.SortStableFunc(q.Allowed, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	h := m.hosts[r.Entry]
	c := &call{sim: m, host: h, req: r, q: q, arrived: m.now, plan: h.chooser.Choose(q)}
	if q.Kind == declarer.KindChat {
		c.plan = c.plan[:1]
	}
	c.next()
}

// next starts the next step of the plan.
func (c *call) next() {
	m, ref := c.sim, c.plan[c.steps]
	c.steps++
	c.began = m.now
	u := c.host.picker.Pick(c.q, ref, m.catalog.Upstreams(ref))
	c.host.picker.Sent(c.q, u)
	net := time.Duration(0)
	if u.Zone != c.host.zone {
		net = m.s.CrossZone
	}
	m.after(net/2, func() { c.send(ref, u, net-net/2) })
}

// send adds the step to the engine's batch.
func (c *call) send(ref declarer.VersionRef, u *declarer.Upstream, back time.Duration) {
	m, e := c.sim, c.sim.engines[u]
	j := &emulator.Job{Prompt: c.q.Prompt, Output: c.q.Output, Prefix: c.q.Prefix}
	j.Progress = func(j *emulator.Job, now time.Time) {
		c.token(now.Add(back))
		if !j.Ended.IsZero() {
			m.after(back, func() { c.done(ref, u, j) })
		}
	}
	if !e.batch.Add(j, m.now) {
		c.host.picker.Done(c.q, u)
		m.sums.refuse()
		return
	}
	m.kick(e)
}

// token notes a token of a stream.
func (c *call) token(at time.Time) {
	if c.q.Kind != declarer.KindChat {
		return
	}
	if c.first.IsZero() {
		c.first = at
	} else {
		c.sim.sums.token.Record(at.Sub(c.last))
	}
	c.last = at
}

// done ends a step: the answer is taken, or the next step starts.
func (c *call) done(ref declarer.VersionRef, u *declarer.Upstream, j *emulator.Job) {
	m := c.sim
	c.host.picker.Done(c.q, u)
	c.host.chooser.Took(c.q, ref, c.steps-1, m.now.Sub(c.began))
	price := m.catalog.Version(ref).Price
	c.cost += int64(c.q.Prompt)*price.InputNanos + int64(c.q.Output)*price.OutputNanos
	c.cached += j.Cached
	pass := m.passes(ref, c.req.Digest, c.q.Kind)
	if c.steps == len(c.plan) {
		c.finish(ref, pass)
		return
	}
	down := m.unrated()
	m.after(m.ratingWait(), func() {
		missing := down || m.rng.Float64() < m.s.RatingMissing
		if !missing {
			c.rated(ref, pass)
		}
		if take := c.host.chooser.Waited(c.q, ref, !missing); take && (pass || missing) {
			c.finish(ref, pass)
			return
		}
		c.next()
	})
}

// finish counts the answer. A share of the answers of last steps is rated
// later.
func (c *call) finish(ref declarer.VersionRef, pass bool) {
	m := c.sim
	if c.first.IsZero() {
		c.first = m.now
	}
	m.sums.add(c, pass, m.now)
	m.noteDuring(c, ref, pass)
	if c.steps == len(c.plan) && m.rng.Float64() < m.s.Sampled && !m.unrated() {
		m.after(m.s.SampledDelay, func() { c.rated(ref, pass) })
	}
}

// rated tells the host and the guard a rating.
func (c *call) rated(ref declarer.VersionRef, pass bool) {
	c.host.chooser.Rated(c.q, ref, pass)
	c.sim.guard.Rated(ref, pass)
}

// kick starts a step of an idle engine.
func (m *simulation) kick(e *engine) {
	if e.busy {
		return
	}
	d, ok := e.batch.Begin(m.now)
	if !ok {
		return
	}
	e.busy = true
	m.after(d, func() {
		e.busy = false
		e.tokens += e.batch.End(m.now)
		m.kick(e)
	})
}

// poll reads the load and the cache events of all replicas for one host; they
// arrive after the lag.
func (m *simulation) poll(h *host) {
	for _, u := range m.ups {
		e := m.engines[u]
		if d := m.now.Sub(e.rateAt); d >= m.s.ReportEvery {
			e.rate = float64(e.tokens-e.rateTokens) / d.Seconds()
			e.rateAt, e.rateTokens = m.now, e.tokens
		}
		l := Load{At: m.now, Running: e.batch.Running(), Waiting: e.batch.Waiting(), Slots: e.batch.Slots(), TokensPerSecond: e.rate}
		list, next := e.batch.Cache.Since(h.seen[u], m.now)
		h.seen[u] = next
		m.after(m.s.ReportLag, func() {
			h.picker.Report(u, l)
			if len(list) > 0 {
				h.picker.Events(u, list)
			}
		})
	}
	m.after(m.s.ReportEvery, func() { m.poll(h) })
}

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
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
