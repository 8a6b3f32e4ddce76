package hoster

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/chooser"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/limiter"
	"foxtailwall/monitor"
	"foxtailwall/picker"
	"foxtailwall/pinner"
	"foxtailwall/promoter"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

// refreshInterval is the time between two updates of the weights of recovering
// upstreams, which rise gradually.
const refreshInterval = 100 * time.Millisecond

type (
	// upstreamPools adapts the picker and the monitor to the router and updates
	// their pools when the configuration changes.
	upstreamPools struct {
		views   router.Views
		clock   timekeeper.Clock
		picker  *picker.Picker
		monitor *monitor.Monitor
		stats   *statistics
		limiter *limiter.Limiter
		// recheck polls the load report of an upstream ahead of schedule.
		recheck func(netip.AddrPort)

		mu           sync.RWMutex
		builtVersion uint64
		pools        map[poolKey]*upstreamPool
		// loaded holds the versions that engines have reported as loaded.
		// Engines without a report are assumed to have loaded the declared ones.
		loaded map[netip.AddrPort][]declarer.VersionRef
	}

	// poolKey identifies the pool of a version or of a plain service.
	poolKey struct {
		ref     declarer.VersionRef
		service string
	}

	// upstreamPool is a picker pool with the declarations of its upstreams.
	upstreamPool struct {
		pool     *picker.Pool
		declared map[netip.AddrPort]*declarer.Upstream
	}

	// limiterAdapter adapts the limiter to the router.
	limiterAdapter struct {
		limiter *limiter.Limiter
	}

	// rolloutAssigner assigns sessions to a rollout by its share, within this
	// host's part of the exposure budget.
	rolloutAssigner struct {
		exposure *promoter.Exposure
		// hosts is the number of hosts; index is the position of this host in
		// their list sorted by name.
		hosts, index int
	}
)

func newUpstreamPools(views router.Views, settings *Settings, clock timekeeper.Clock, scope counter.Scope) *upstreamPools {
	r := &upstreamPools{views: views, clock: clock, picker: picker.New(picker.Settings{
		Zone: settings.Zone, Clock: clock, Seed: xxhash.Sum64String(settings.Name), Hosts: len(settings.Hosts),
	})}
	r.monitor = monitor.New(monitor.Settings{Clock: clock, Scope: scope, OnWeightChange: func(a netip.AddrPort, w float64) {
		r.picker.Replica(a).SetWeight(w)
	}})
	return r
}

// run updates pools and upstream weights until ctx ends.
func (r *upstreamPools) run(ctx context.Context) error {
	for {
		r.currentPools()
		r.monitor.Refresh()
		if err := timekeeper.Sleep(ctx, r.clock, refreshInterval); err != nil {
			return err
		}
	}
}

// currentPools returns the pools of the configuration in force and rebuilds them
// when it has changed.
func (r *upstreamPools) currentPools() map[poolKey]*upstreamPool {
	c := r.views.Catalog()
	if c == nil {
		return nil
	}
	r.mu.RLock()
	pools, builtVersion := r.pools, r.builtVersion
	r.mu.RUnlock()
	if pools != nil && builtVersion >= c.View.Version {
		return pools
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pools == nil || r.builtVersion < c.View.Version {
		r.rebuild(c)
	}
	return r.pools
}

// rebuild creates the pools of c. The caller holds r.mu.
func (r *upstreamPools) rebuild(c *declarer.Catalog) {
	upstreamsByPool := make(map[poolKey][]*declarer.Upstream)
	known := make(map[netip.AddrPort]bool)
	for i := range c.View.Config.Upstreams {
		u := &c.View.Config.Upstreams[i]
		known[u.Address] = true
		if c.IsEvacuated(u.Zone) {
			continue
		}
		for _, ref := range u.Serves {
			upstreamsByPool[poolKey{ref: ref}] = append(upstreamsByPool[poolKey{ref: ref}], u)
		}
		if u.Service != "" {
			upstreamsByPool[poolKey{service: u.Service}] = append(upstreamsByPool[poolKey{service: u.Service}], u)
		}
	}
	pools := make(map[poolKey]*upstreamPool, len(upstreamsByPool))
	var health []monitor.Pool
	for key, upstreams := range upstreamsByPool {
		p := &upstreamPool{declared: make(map[netip.AddrPort]*declarer.Upstream, len(upstreams))}
		targets := make([]picker.Target, 0, len(upstreams))
		members := make([]netip.AddrPort, 0, len(upstreams))
		for _, u := range upstreams {
			p.declared[u.Address] = u
			targets = append(targets, picker.Target{Address: u.Address, Zone: u.Zone, Slots: u.Slots})
			members = append(members, u.Address)
		}
		p.pool = r.picker.Pool(targets)
		pools[key] = p
		health = append(health, monitor.Pool{Name: key.ref.String() + key.service, Members: members})
	}
	r.monitor.SetPools(health)
	r.picker.Retain(func(a netip.AddrPort) bool { return known[a] })
	for a := range known {
		r.picker.Replica(a).SetWeight(r.monitor.Weight(a))
	}
	if r.limiter != nil {
		// The requests that wait have the bounds of the configuration before.
		for i := range c.View.Config.Workspaces {
			w := &c.View.Config.Workspaces[i]
			r.limiter.SetBounds(w.Name, boundsOf(w))
		}
	}
	r.pools, r.builtVersion = pools, c.View.Version
}

// Pick implements router.Picker.
func (r *upstreamPools) Pick(q router.PickRequest) (*declarer.Upstream, func(), bool) {
	p, ok := r.currentPools()[poolKey{ref: q.Ref, service: q.Service}]
	if !ok {
		return nil, nil, false
	}
	req := picker.Request{PromptTokens: int(q.Tokens)}
	if q.Service == "" {
		req.Prefixes = picker.Prefixes(q.Prompt)
	}
	// The router skips replicas that were tried before or became unusable since
	// their weight was last updated. These are few, so the loop is short.
	for range len(p.declared) {
		choice, ok := r.picker.Pick(req, p.pool)
		if !ok {
			return nil, nil, false
		}
		u := p.declared[choice.Replica.Address]
		if q.Skip != nil && q.Skip(u) || !r.hasLoaded(u.Address, q.Ref) {
			req.Exclude = append(req.Exclude, choice.Replica)
			continue
		}
		ticket := r.picker.RecordSent(choice.Replica)
		return u, func() { r.picker.Done(ticket, true) }, true
	}
	return nil, nil, false
}

// hasLoaded reports whether the engine has loaded the version. It is true for
// plain services and for engines that have not reported.
func (r *upstreamPools) hasLoaded(addr netip.AddrPort, ref declarer.VersionRef) bool {
	if ref.Model == "" {
		return true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	refs, known := r.loaded[addr]
	return !known || slices.Contains(refs, ref)
}

func (r *upstreamPools) setLoaded(addr netip.AddrPort, refs []declarer.VersionRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded == nil {
		r.loaded = make(map[netip.AddrPort][]declarer.VersionRef)
	}
	r.loaded[addr] = refs
}

// Usable implements router.Monitor.
func (r *upstreamPools) Usable(u *declarer.Upstream) bool { return r.monitor.Usable(u.Address) }

// Report implements router.Monitor. Requests ended by the caller or the router
// do not count for or against the upstream.
func (r *upstreamPools) Report(u *declarer.Upstream, o router.Observation) {
	r.stats.countRequest(o.Ref, o)
	switch o.Fail {
	case "":
		r.monitor.Observe(u.Address, 0, monitor.Success)
	case router.FailStalled:
		r.monitor.Observe(u.Address, 0, monitor.Stall)
	case router.FailSilent:
		r.monitor.CountSilentConnection(u.Address)
	case router.FailDeadline, router.FailCancelled, router.FailCheck, router.FailMemory:
	default:
		if o.Leaving {
			// An overloaded upstream sends the same refusal, so its own load
			// report decides whether it is leaving.
			r.recheck(u.Address)
			return
		}
		r.monitor.Observe(u.Address, 0, monitor.Failure)
	}
}

// Admit implements router.Limiter.
func (a limiterAdapter) Admit(ctx context.Context, q router.Admission) (func(), error) {
	w := q.Workspace
	permit, err := a.limiter.Admit(ctx, limiter.Request{
		Workspace: w.Name, Bounds: boundsOf(w),
		Priority: q.Priority, Cost: float64(q.Tokens), Deadline: q.Deadline,
	})
	if err != nil {
		return nil, err
	}
	return func() { permit.Done(0) }, nil
}

// boundsOf returns the bounds of a workspace for the limiter.
func boundsOf(w *declarer.Workspace) limiter.Bounds {
	return limiter.Bounds{Share: w.Share, Concurrent: w.Concurrent, Queue: w.Queue}
}

// Retry implements router.Limiter.
func (a limiterAdapter) Retry(workspace string) bool { return a.limiter.Retry(workspace) }

// Assign implements router.Assigner.
func (a rolloutAssigner) Assign(c *declarer.Catalog, m *declarer.Model, workspace, key string) string {
	p := c.Rollout(m.Name)
	if p == nil || p.State != declarer.RolloutRunning {
		return m.Stable
	}
	ref := declarer.VersionRef{Model: m.Name, Version: p.Version}
	if pinner.Assigned(ref, workspace+"\x00"+key, p.Share) && a.spendExposure(c, *p) {
		return p.Version
	}
	return m.Stable
}

// spendExposure counts one request against the exposure budget and reports
// whether the budget allowed it. A request that is planned twice, or that leaves
// the choice of model to the router, may be counted more than once; this only
// lowers the exposure.
func (a rolloutAssigner) spendExposure(c *declarer.Catalog, p declarer.Progress) bool {
	for _, r := range c.View.Config.Rollouts {
		if r.Model == p.Model && r.Version == p.Version {
			return a.exposure.Take(r, p, a.hosts, a.index)
		}
	}
	return false
}

// newRolloutAssigner sorts the hosts of the settings by name, so that all hosts
// divide the exposure budget in the same way.
func newRolloutAssigner(settings *Settings) rolloutAssigner {
	names := make([]string, len(settings.Hosts))
	for i, h := range settings.Hosts {
		names[i] = h.Name
	}
	slices.Sort(names)
	return rolloutAssigner{exposure: &promoter.Exposure{}, hosts: len(names), index: slices.Index(names, settings.Name)}
}

// planner adapts the chooser and its learner to the router.
type planner struct {
	chooser *chooser.Chooser
	learner *chooser.Learner
	stats   *statistics
}

func newPlanner(clock timekeeper.Clock, scope counter.Scope, seed uint64, stats *statistics) *planner {
	learner := chooser.NewLearner(chooser.Settings{Clock: clock, Scope: scope, Seed: seed})
	return &planner{chooser: chooser.New(learner), learner: learner, stats: stats}
}

// Plan implements router.Chooser.
func (p *planner) Plan(q router.PlanRequest) ([]declarer.VersionRef, error) {
	plan, ok := p.chooser.Plan(chooser.Request{
		Workspace: q.Workspace, Kind: q.Kind, Stream: q.Stream, TimeLeft: q.TimeLeft,
		PromptTokens: int(q.InputTokens), Candidates: chooserCandidates(q),
	})
	if !ok {
		return nil, refuser.New(refuser.ModelNotAllowed, refuser.NotRun, "no version that the workspace allows can be used now")
	}
	steps := make([]declarer.VersionRef, len(plan.Steps))
	for i, s := range plan.Steps {
		steps[i] = s.Ref
	}
	return steps, nil
}

// Accept implements router.Chooser.
func (p *planner) Accept(q router.PlanRequest, step declarer.VersionRef) bool {
	return p.learner.AcceptsUnrated(q.Workspace, q.Kind, chooser.Candidate{Ref: step, Version: q.Catalog.Version(step), Assigned: true})
}

// RecordStep implements router.Learner.
func (p *planner) RecordStep(s router.StepRun) {
	p.stats.recordAnswer(s.ID, s.Ref)
	p.learner.RecordStep(s.ID, chooser.Run{
		Workspace: s.Workspace, Kind: s.Kind, Ref: s.Ref, Step: s.Step,
		InputTokens: s.Input, OutputTokens: s.Output, Took: s.Took,
	})
}

// RecordRatingWait implements router.Learner.
func (p *planner) RecordRatingWait(kind declarer.Kind, ok bool) { p.learner.RecordRatingWait(kind, ok) }

// RecordRating implements router.Learner.
func (p *planner) RecordRating(r router.RateRequest, v router.Rating) {
	p.learner.Rate(r.RequestID, v.Pass)
	p.stats.countRating(r.RequestID, v.Pass)
}

// chooserCandidates converts the candidates of the router to those of the
// chooser. A quarantined one, which the router passes only for a session that is
// pinned to it, is a last resort.
func chooserCandidates(q router.PlanRequest) chooser.Candidates {
	out := make(chooser.Candidates, 0, len(q.Candidates))
	for _, ref := range q.Candidates {
		v := q.Catalog.Version(ref)
		if v == nil {
			continue
		}
		out = append(out, chooser.Candidate{Ref: ref, Version: v, Assigned: true, LastResort: q.Catalog.Quarantined(ref)})
	}
	return out
}
