package comparer

import (
	"strconv"
	"time"

	"foxtailwall/chooser"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/governor"
	"foxtailwall/picker"
	"foxtailwall/relayer"
)

type (
	// shippedChooser adapts package chooser to Chooser, in the way package
	// hoster uses it.
	shippedChooser struct {
		setup   Setup
		learner *chooser.Learner
		chooser *chooser.Chooser
	}

	// shippedPicker adapts package picker to Picker, in the way package hoster
	// uses it.
	shippedPicker struct {
		picker    *picker.Picker
		pools     map[declarer.VersionRef]*picker.Pool
		upstreams map[*picker.Replica]*declarer.Upstream
		// tickets holds the picker's tickets of requests in flight.
		tickets map[ticketKey]picker.Ticket
	}

	// shippedGuard adapts the change detector of package governor to Guard.
	// Ratings reach it without the delay of host reports.
	shippedGuard struct {
		setup       Setup
		watches     *governor.Watches
		quarantined map[declarer.VersionRef]bool
	}

	// ticketKey identifies a step of a request. The steps of a request run on
	// different upstreams.
	ticketKey struct {
		id       int
		upstream *declarer.Upstream
	}
)

// shippedIncarnation is the incarnation of every replica, as simulated replicas
// never restart.
const shippedIncarnation = 1

// RouterPolicy returns the policy that the router itself uses: packages chooser and
// picker, and the change detector of package governor.
func RouterPolicy() Policy { return Policy{"shipped", ShippedChooser, ShippedPicker, ShippedGuard} }

// ShippedGuard returns the change detector that the control group uses.
func ShippedGuard(s Setup) Guard {
	return &shippedGuard{setup: s, watches: governor.NewWatches(s.Clock), quarantined: make(map[declarer.VersionRef]bool)}
}

// ShippedChooser returns the chooser that the router uses.
func ShippedChooser(s Setup) Chooser {
	l := chooser.NewLearner(chooser.Settings{Clock: s.Clock, Seed: hostSeed(s)})
	return &shippedChooser{setup: s, learner: l, chooser: chooser.New(l)}
}

// ShippedPicker returns the picker that the router uses.
func ShippedPicker(s Setup) Picker {
	p := &shippedPicker{
		picker: picker.New(picker.Settings{Zone: s.Zone, Clock: s.Clock, Seed: hostSeed(s), Hosts: s.Hosts}),
		pools:  make(map[declarer.VersionRef]*picker.Pool), upstreams: make(map[*picker.Replica]*declarer.Upstream),
		tickets: make(map[ticketKey]picker.Ticket),
	}
	targets := make(map[declarer.VersionRef][]picker.Target)
	for i := range s.Catalog.View.Config.Upstreams {
		u := &s.Catalog.View.Config.Upstreams[i]
		p.upstreams[p.picker.Replica(u.Address)] = u
		for _, ref := range u.Serves {
			targets[ref] = append(targets[ref], picker.Target{Address: u.Address, Zone: u.Zone, Slots: u.Slots})
		}
	}
	for ref, t := range targets {
		p.pools[ref] = p.picker.Pool(t)
	}
	return p
}

// hostSeed returns a different seed for each host of a run.
func hostSeed(s Setup) uint64 { return s.Seed<<8 + uint64(s.Host) }

// Choose implements Chooser.
func (c *shippedChooser) Choose(q *Query) []declarer.VersionRef {
	cs := make(chooser.Candidates, 0, len(q.Allowed))
	for _, a := range q.Allowed {
		candidate := c.candidate(a.Ref)
		candidate.LastResort = a.Quarantined
		cs = append(cs, candidate)
	}
	plan, _ := c.chooser.Plan(chooser.Request{
		Workspace: q.Workspace, Kind: q.Kind, Stream: q.Kind == declarer.KindChat, PromptTokens: q.Prompt, Candidates: cs,
	})
	steps := make([]declarer.VersionRef, len(plan.Steps))
	for i, s := range plan.Steps {
		steps[i] = s.Ref
	}
	return steps
}

// AddDuration implements Chooser.
func (c *shippedChooser) AddDuration(q *Query, ref declarer.VersionRef, step int, d time.Duration) {
	c.learner.RecordStep(stepKey(q, ref), chooser.Run{
		Workspace: q.Workspace.Name, Kind: q.Kind, Ref: ref, Step: step,
		InputTokens: int64(q.Prompt), OutputTokens: int64(q.Output), Took: d,
	})
}

// WaitEnded implements Chooser.
func (c *shippedChooser) WaitEnded(q *Query, ref declarer.VersionRef, inTime bool) bool {
	c.learner.RecordRatingWait(q.Kind, inTime)
	return inTime || c.learner.AcceptsUnrated(q.Workspace, q.Kind, c.candidate(ref))
}

// AddRating implements Chooser.
func (c *shippedChooser) AddRating(q *Query, ref declarer.VersionRef, pass bool) {
	c.learner.Rate(stepKey(q, ref), pass)
}

func (c *shippedChooser) candidate(ref declarer.VersionRef) chooser.Candidate {
	return chooser.Candidate{Ref: ref, Version: c.setup.Catalog.Version(ref), Assigned: true}
}

// stepKey returns the ID under which the learner matches a rating to its step.
func stepKey(q *Query, ref declarer.VersionRef) string {
	return strconv.Itoa(q.ID) + "/" + ref.Model + "/" + ref.Version
}

// Pick implements Picker.
func (p *shippedPicker) Pick(q *Query, ref declarer.VersionRef, replicas []*declarer.Upstream) *declarer.Upstream {
	choice, ok := p.picker.Pick(picker.Request{Prefixes: q.Prefix, PromptTokens: q.Prompt}, p.pools[ref])
	if !ok {
		return replicas[0]
	}
	return p.upstreams[choice.Replica]
}

// RequestSent implements Picker.
func (p *shippedPicker) RequestSent(q *Query, u *declarer.Upstream) {
	p.tickets[ticketKey{q.ID, u}] = p.picker.RecordSent(p.picker.Replica(u.Address))
}

// RequestDone implements Picker.
func (p *shippedPicker) RequestDone(q *Query, u *declarer.Upstream) {
	k := ticketKey{q.ID, u}
	p.picker.Done(p.tickets[k], true)
	delete(p.tickets, k)
}

// AddLoadReport implements Picker.
func (p *shippedPicker) AddLoadReport(u *declarer.Upstream, l Load) {
	p.picker.Report(u.Address, picker.LoadReport{
		Incarnation: shippedIncarnation, At: l.At, Running: l.Running, Waiting: l.Waiting, Slots: l.Slots,
	})
}

// AddCacheEvents implements Picker.
func (p *shippedPicker) AddCacheEvents(u *declarer.Upstream, events []emulator.CacheEvent) {
	out := make([]picker.CacheEvent, 0, len(events))
	for _, e := range events {
		prefix, err := strconv.ParseUint(e.Prefix, 16, 64)
		if err != nil {
			continue
		}
		out = append(out, picker.CacheEvent{Seq: uint64(e.Seq), Add: e.Add, Prefix: prefix})
	}
	p.picker.CacheEvents(u.Address, shippedIncarnation, out)
}

// AddRating implements Guard.
func (g *shippedGuard) AddRating(ref declarer.VersionRef, pass bool) {
	r := relayer.Report{Model: ref.Model, Version: ref.Version, Rated: 1}
	if pass {
		r.Passed = 1
	}
	g.watches.Add([]relayer.Report{r})
}

// Evaluate implements Guard.
func (g *shippedGuard) Evaluate() {
	for _, c := range g.watches.Step(g.setup.Catalog) {
		g.quarantined[c.Ref] = !c.Return
	}
}

// Quarantined implements Guard.
func (g *shippedGuard) Quarantined(ref declarer.VersionRef) bool { return g.quarantined[ref] }
