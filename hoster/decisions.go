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

// refreshInterval is the time between two moves of the ramps of returning
// upstreams.
const refreshInterval = 100 * time.Millisecond

type (
	// replicas adapts the picker and the monitor to the router and keeps
	// their pools in step with the configuration.
	replicas struct {
		views   router.Views
		clock   timekeeper.Clock
		picker  *picker.Picker
		monitor *monitor.Monitor
		stats   *statistics
		// suspect has an upstream's own report looked at before its turn.
		suspect func(netip.AddrPort)

		mu    sync.RWMutex
		built uint64
		pools map[poolKey]*poolOf
		// loaded holds the versions that engines have reported as loaded;
		// engines that have not reported are taken to hold what is declared.
		loaded map[netip.AddrPort][]declarer.VersionRef
	}

	// poolKey names the replicas of a version or of a plain service.
	poolKey struct {
		ref     declarer.VersionRef
		service string
	}

	// poolOf is a pool with the declarations of its replicas.
	poolOf struct {
		pool    *picker.Pool
		declare map[netip.AddrPort]*declarer.Upstream
	}

	// admission adapts the limiter to the router.
	admission struct {
		limiter *limiter.Limiter
	}

	// shares assigns sessions by the share of a rollout, as far as this
	// host's part of the exposure budget goes.
	shares struct {
		exposure *promoter.Exposure
		// hosts and index are the place of this host among those that take
		// requests.
		hosts, index int
	}
)

func newReplicas(views router.Views, set *Settings, clock timekeeper.Clock, scope counter.Scope) *replicas {
	r := &replicas{views: views, clock: clock, picker: picker.New(picker.Settings{
		Zone: set.Zone, Clock: clock, Seed: xxhash.Sum64String(set.Name), Hosts: len(set.Hosts),
	})}
	r.monitor = monitor.New(monitor.Settings{Clock: clock, Scope: scope, Changed: func(a netip.AddrPort, w float64) {
		r.picker.Replica(a).SetWeight(w)
	}})
	return r
}

// run moves the ramps until ctx ends.
func (r *replicas) run(ctx context.Context) error {
	for {
		r.current()
		r.monitor.Refresh()
		if err := timekeeper.Sleep(ctx, r.clock, refreshInterval); err != nil {
			return err
		}
	}
}

// current returns the pools of the configuration in force, built anew when it
// has changed.
func (r *replicas) current() map[poolKey]*poolOf {
	c := r.views.Catalog()
	if c == nil {
		return nil
	}
	r.mu.RLock()
	pools, built := r.pools, r.built
	r.mu.RUnlock()
	if pools != nil && built >= c.View.Version {
		return pools
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pools == nil || r.built < c.View.Version {
		r.build(c)
	}
	return r.pools
}

// build is called with the lock held.
func (r *replicas) build(c *declarer.Catalog) {
	groups := make(map[poolKey][]*declarer.Upstream)
	known := make(map[netip.AddrPort]bool)
	for i := range c.View.Config.Upstreams {
		u := &c.View.Config.Upstreams[i]
		known[u.Address] = true
		for _, ref := range u.Serves {
			groups[poolKey{ref: ref}] = append(groups[poolKey{ref: ref}], u)
		}
		if u.Service != "" {
			groups[poolKey{service: u.Service}] = append(groups[poolKey{service: u.Service}], u)
		}
	}
	pools := make(map[poolKey]*poolOf, len(groups))
	var health []monitor.Pool
	for k, us := range groups {
		p := &poolOf{declare: make(map[netip.AddrPort]*declarer.Upstream, len(us))}
		targets := make([]picker.Target, 0, len(us))
		members := make([]netip.AddrPort, 0, len(us))
		for _, u := range us {
			p.declare[u.Address] = u
			targets = append(targets, picker.Target{Address: u.Address, Zone: u.Zone, Slots: u.Slots})
			members = append(members, u.Address)
		}
		p.pool = r.picker.Pool(targets)
		pools[k] = p
		health = append(health, monitor.Pool{Name: k.ref.String() + k.service, Members: members})
	}
	r.monitor.SetPools(health)
	r.picker.Retain(func(a netip.AddrPort) bool { return known[a] })
	for a := range known {
		r.picker.Replica(a).SetWeight(r.monitor.Weight(a))
	}
	r.pools, r.built = pools, c.View.Version
}

// Pick implements router.Picker.
func (r *replicas) Pick(q router.PickRequest) (*declarer.Upstream, func(), bool) {
	p, ok := r.current()[poolKey{ref: q.Ref, service: q.Service}]
	if !ok {
		return nil, nil, false
	}
	req := picker.Request{PromptTokens: int(q.Tokens)}
	if q.Service == "" {
		req.Prefixes = picker.Prefixes(q.Prompt)
	}
	// A replica that the router skips was tried before or has become unusable
	// since the last change of its weight; there are few of them.
	for range len(p.declare) {
		choice, ok := r.picker.Pick(req, p.pool)
		if !ok {
			return nil, nil, false
		}
		u := p.declare[choice.Replica.Address]
		if q.Skip != nil && q.Skip(u) || !r.holds(u.Address, q.Ref) {
			req.Exclude = append(req.Exclude, choice.Replica)
			continue
		}
		ticket := r.picker.Sent(choice.Replica)
		return u, func() { r.picker.Done(ticket, true) }, true
	}
	return nil, nil, false
}

// holds reports whether the engine has the version loaded, as far as it is
// known.
func (r *replicas) holds(addr netip.AddrPort, ref declarer.VersionRef) bool {
	if ref.Model == "" {
		return true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	refs, known := r.loaded[addr]
	return !known || slices.Contains(refs, ref)
}

func (r *replicas) setLoaded(addr netip.AddrPort, refs []declarer.VersionRef) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded == nil {
		r.loaded = make(map[netip.AddrPort][]declarer.VersionRef)
	}
	r.loaded[addr] = refs
}

// Usable implements router.Monitor.
func (r *replicas) Usable(u *declarer.Upstream) bool { return r.monitor.Usable(u.Address) }

// Report implements router.Monitor. Ends that the caller or the router caused
// say nothing about the upstream.
func (r *replicas) Report(u *declarer.Upstream, o router.Observation) {
	r.stats.served(o.Ref, o)
	switch o.Fail {
	case "":
		r.monitor.Observe(u.Address, 0, monitor.Success)
	case router.FailStalled:
		r.monitor.Observe(u.Address, 0, monitor.Stall)
	case router.FailSilent:
		r.monitor.Silent(u.Address)
	case router.FailDeadline, router.FailCancelled, router.FailChecked:
	default:
		if o.Leaving {
			// An overloaded upstream refuses in the same way, so its own
			// report decides whether it is leaving.
			r.suspect(u.Address)
			return
		}
		r.monitor.Observe(u.Address, 0, monitor.Failure)
	}
}

// Admit implements router.Limiter.
func (a admission) Admit(ctx context.Context, q router.Admission) (func(), error) {
	w := q.Workspace
	permit, err := a.limiter.Admit(ctx, limiter.Request{
		Workspace: w.Name, Share: w.Share, Concurrent: w.Concurrent, Queue: w.Queue,
		Priority: q.Priority, Cost: float64(q.Tokens), Deadline: q.Deadline,
	})
	if err != nil {
		return nil, err
	}
	return func() { permit.Done(0) }, nil
}

// Retry implements router.Limiter.
func (a admission) Retry(workspace string) bool { return a.limiter.Retry(workspace) }

// Assign implements router.Assigner.
func (s shares) Assign(c *declarer.Catalog, m *declarer.Model, workspace, key string) string {
	p := c.Rollout(m.Name)
	if p == nil || p.State != declarer.RolloutRunning {
		return m.Stable
	}
	ref := declarer.VersionRef{Model: m.Name, Version: p.Version}
	if pinner.Assigned(ref, workspace+"\x00"+key, p.Share) && s.take(c, *p) {
		return p.Version
	}
	return m.Stable
}

// take spends one request of the exposure budget. A request that is planned
// twice or that leaves the choice of model to the router may spend more than it
// uses, which keeps the exposure below its bound.
func (s shares) take(c *declarer.Catalog, p declarer.Progress) bool {
	for _, r := range c.View.Config.Rollouts {
		if r.Model == p.Model && r.Version == p.Version {
			return s.exposure.Take(r, p, s.hosts, s.index)
		}
	}
	return false
}

// newShares returns the assignment of a host by its place in the sorted list
// of hosts.
func newShares(set *Settings) shares {
	names := make([]string, len(set.Hosts))
	for i, h := range set.Hosts {
		names[i] = h.Name
	}
	slices.Sort(names)
	return shares{exposure: &promoter.Exposure{}, hosts: len(names), index: slices.Index(names, set.Name)}
}

// plans adapts the chooser to the router.
type plans struct {
	chooser *chooser.Chooser
	learner *chooser.Learner
	stats   *statistics
}

func newPlans(clock timekeeper.Clock, scope counter.Scope, seed uint64, stats *statistics) *plans {
	l := chooser.NewLearner(chooser.Settings{Clock: clock, Scope: scope, Seed: seed})
	return &plans{chooser: chooser.New(l), learner: l, stats: stats}
}

// Plan implements router.Chooser.
func (p *plans) Plan(q router.PlanRequest) ([]declarer.VersionRef, error) {
	plan, ok := p.chooser.Plan(chooser.Request{
		Workspace: q.Workspace, Kind: q.Kind, Stream: q.Stream, Left: q.Left,
		PromptTokens: int(q.InputTokens), Candidates: candidates(q),
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
func (p *plans) Accept(q router.PlanRequest, step declarer.VersionRef) bool {
	return p.learner.Accept(q.Workspace, q.Kind, chooser.Candidate{Ref: step, Version: q.Catalog.Version(step), Assigned: true})
}

// Ran implements router.Learner.
func (p *plans) Ran(s router.StepRun) {
	p.stats.ran(s.ID, s.Ref)
	p.learner.Ran(s.ID, chooser.Run{
		Workspace: s.Workspace, Kind: s.Kind, Ref: s.Ref, Step: s.Step,
		InputTokens: s.Input, OutputTokens: s.Output, Took: s.Took,
	})
}

// Waited implements router.Learner.
func (p *plans) Waited(kind declarer.Kind, inTime bool) { p.learner.Waited(kind, inTime) }

// Learn implements router.Learner.
func (p *plans) Learn(r router.RateRequest, v router.Rating) {
	p.learner.Rate(r.RequestID, v.Pass)
	p.stats.rate(r.RequestID, v.Pass)
}

// candidates returns the versions that the router found usable. Quarantined
// ones are among them only when their model has no other.
func candidates(q router.PlanRequest) chooser.Candidates {
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
