package declarer

import (
	"net/netip"
	"time"
)

type (
	// Builder collects the declarations that one office owns. Make it with New.
	Builder struct {
		owner string
		conf  Config
	}

	// WorkspaceBuilder sets the fields of one declared workspace.
	WorkspaceBuilder struct {
		b *Builder
		i int
	}

	// ModelBuilder sets the fields of one declared model.
	ModelBuilder struct {
		b *Builder
		i int
	}

	// ServiceBuilder sets the fields of one declared service.
	ServiceBuilder struct {
		b *Builder
		i int
	}

	// UpstreamBuilder sets the fields of one declared upstream.
	UpstreamBuilder struct {
		b *Builder
		i int
	}

	// RolloutBuilder sets the fields of one declared rollout.
	RolloutBuilder struct {
		b *Builder
		i int
	}
)

// New returns a builder whose declarations are owned by the office.
func New(office string) *Builder { return &Builder{owner: office} }

// Join merges the declarations of several builders, for deployments whose
// offices keep theirs in separate packages. The first non-zero retention wins.
func Join(builders ...*Builder) Config {
	var c Config
	for _, b := range builders {
		c.Workspaces = append(c.Workspaces, b.conf.Workspaces...)
		c.Models = append(c.Models, b.conf.Models...)
		c.Services = append(c.Services, b.conf.Services...)
		c.Upstreams = append(c.Upstreams, b.conf.Upstreams...)
		c.Rollouts = append(c.Rollouts, b.conf.Rollouts...)
		c.Withdrawals = append(c.Withdrawals, b.conf.Withdrawals...)
		if c.Retention == (Retention{}) {
			c.Retention = b.conf.Retention
		}
	}
	return c.Sorted()
}

// Config returns the configuration built so far, in canonical order.
func (b *Builder) Config() Config { return b.conf.Sorted() }

// Retain sets how long the control group keeps its records.
func (b *Builder) Retain(r Retention) *Builder {
	b.conf.Retention = r
	return b
}

// Workspace declares a workspace and the reason for it.
func (b *Builder) Workspace(name, why string) WorkspaceBuilder {
	b.conf.Workspaces = append(b.conf.Workspaces, Workspace{Name: name, Intent: b.intent(why), Weigh: WeighCost})
	return WorkspaceBuilder{b, len(b.conf.Workspaces) - 1}
}

// Model declares a model, the reason for it and its stable version.
func (b *Builder) Model(name, why, stable string) ModelBuilder {
	b.conf.Models = append(b.conf.Models, Model{Name: name, Intent: b.intent(why), Stable: stable})
	return ModelBuilder{b, len(b.conf.Models) - 1}
}

// Service declares a plain service and the reason for it.
func (b *Builder) Service(name, why string) ServiceBuilder {
	b.conf.Services = append(b.conf.Services, Service{Name: name, Intent: b.intent(why)})
	return ServiceBuilder{b, len(b.conf.Services) - 1}
}

// Upstream declares a replica in a zone and the reason for it.
func (b *Builder) Upstream(name, why, zone string, addr netip.AddrPort) UpstreamBuilder {
	b.conf.Upstreams = append(b.conf.Upstreams, Upstream{Name: name, Intent: b.intent(why), Zone: zone, Address: addr})
	return UpstreamBuilder{b, len(b.conf.Upstreams) - 1}
}

// Rollout declares a staged move of the model to the version. The stages are
// those of DefaultStages unless Stages is called.
func (b *Builder) Rollout(model, version, why string) RolloutBuilder {
	b.conf.Rollouts = append(b.conf.Rollouts, Rollout{
		Model: model, Version: version, Intent: b.intent(why), Stages: DefaultStages(),
	})
	return RolloutBuilder{b, len(b.conf.Rollouts) - 1}
}

// Withdraw declares that the version receives no more requests.
func (b *Builder) Withdraw(model, version, why string) *Builder {
	b.conf.Withdrawals = append(b.conf.Withdrawals, Withdrawal{Model: model, Version: version, Intent: b.intent(why)})
	return b
}

// DefaultStages returns the stages that Builder.Rollout sets.
func DefaultStages() []Stage {
	return []Stage{
		{Share: 0.01, Soak: 10 * time.Minute, Budget: 500},
		{Share: 0.05, Soak: 10 * time.Minute, Budget: 2000},
		{Share: 0.25, Soak: 20 * time.Minute, Budget: 10000},
		{Share: 1, Soak: time.Hour, Budget: 100000},
	}
}

func (b *Builder) intent(why string) Intent { return Intent{Owner: b.owner, Why: why} }

func (w WorkspaceBuilder) workspace() *Workspace { return &w.b.conf.Workspaces[w.i] }

// Weigh sets whether plans are chosen by cost or by latency.
func (w WorkspaceBuilder) Weigh(v Weigh) WorkspaceBuilder {
	w.workspace().Weigh = v
	return w
}

// Allow lets the workspace use the given versions of a model, or all versions
// if none is given.
func (w WorkspaceBuilder) Allow(model string, versions ...string) WorkspaceBuilder {
	w.workspace().Models = append(w.workspace().Models, Allowed{Model: model, Versions: versions})
	return w
}

// Call lets the workspace call a plain service.
func (w WorkspaceBuilder) Call(service string) WorkspaceBuilder {
	w.workspace().Services = append(w.workspace().Services, service)
	return w
}

// Member adds a billed member with the digests of its API keys.
func (w WorkspaceBuilder) Member(name string, keyDigests ...string) WorkspaceBuilder {
	w.workspace().Members = append(w.workspace().Members, Member{Name: name, KeyDigests: keyDigests})
	return w
}

// Quality sets the target share, 0 to 1, of answers to requests of kind k that
// pass the rating.
func (w WorkspaceBuilder) Quality(k Kind, target float64) WorkspaceBuilder {
	if w.workspace().Quality == nil {
		w.workspace().Quality = make(map[Kind]float64)
	}
	w.workspace().Quality[k] = target
	return w
}

// Limits sets the weight in fair queueing and, for each host, the maximum
// number of requests in flight and of requests waiting.
func (w WorkspaceBuilder) Limits(share, concurrent, queue int) WorkspaceBuilder {
	w.workspace().Share, w.workspace().Concurrent, w.workspace().Queue = share, concurrent, queue
	return w
}

// Deadline sets the deadline of requests that name none.
func (w WorkspaceBuilder) Deadline(d time.Duration) WorkspaceBuilder {
	w.workspace().Deadline = d
	return w
}

// Explore sets the share of requests, 0 to 1, that may run a plan in order to
// learn its quality.
func (w WorkspaceBuilder) Explore(share float64) WorkspaceBuilder {
	w.workspace().Explore = share
	return w
}

// AcceptRepin lets sessions move to another version without the caller's
// consent when theirs is withdrawn.
func (w WorkspaceBuilder) AcceptRepin() WorkspaceBuilder {
	w.workspace().AcceptRepin = true
	return w
}

// Version adds a version with its price and expected quality.
func (m ModelBuilder) Version(name string, p Price, quality float64) ModelBuilder {
	c := &m.b.conf.Models[m.i]
	c.Versions = append(c.Versions, Version{Name: name, Price: p, Quality: quality})
	return m
}

// CutOff sets whether hosts without a valid lease serve the model.
func (m ModelBuilder) CutOff(c CutOff) ModelBuilder {
	m.b.conf.Models[m.i].CutOff = c
	return m
}

// Idempotent adds a call that may be retried.
func (s ServiceBuilder) Idempotent(method, path string, timeout time.Duration) ServiceBuilder {
	return s.addCall(Call{Method: method, Path: path, Idempotent: true, Timeout: timeout})
}

// Once adds a call that runs at most once.
func (s ServiceBuilder) Once(method, path string, timeout time.Duration) ServiceBuilder {
	return s.addCall(Call{Method: method, Path: path, Timeout: timeout})
}

// Price sets the price of each call, in nanos (1e-9) of the currency.
func (s ServiceBuilder) Price(nanos int64) ServiceBuilder {
	s.b.conf.Services[s.i].PriceNanos = nanos
	return s
}

func (s ServiceBuilder) addCall(c Call) ServiceBuilder {
	v := &s.b.conf.Services[s.i]
	v.Calls = append(v.Calls, c)
	return s
}

func (u UpstreamBuilder) upstream() *Upstream { return &u.b.conf.Upstreams[u.i] }

// Serves adds a version that the engine is to have loaded.
func (u UpstreamBuilder) Serves(model, version string) UpstreamBuilder {
	u.upstream().Serves = append(u.upstream().Serves, VersionRef{Model: model, Version: version})
	return u
}

// Service makes the upstream a replica of a plain service.
func (u UpstreamBuilder) Service(name string) UpstreamBuilder {
	u.upstream().Service = name
	return u
}

// Slots sets the number of requests that the replica processes at once.
func (u UpstreamBuilder) Slots(n int) UpstreamBuilder {
	u.upstream().Slots = n
	return u
}

// ChecksFencing declares that the engine refuses orders with an outdated
// fencing token.
func (u UpstreamBuilder) ChecksFencing() UpstreamBuilder {
	u.upstream().ChecksFencing = true
	return u
}

// Resumes declares that the engine can resume an interrupted stream.
func (u UpstreamBuilder) Resumes() UpstreamBuilder {
	u.upstream().Resumes = true
	return u
}

// Stages replaces the stages of the rollout.
func (r RolloutBuilder) Stages(s ...Stage) RolloutBuilder {
	r.b.conf.Rollouts[r.i].Stages = s
	return r
}

// Guard sets the quality, error and latency limits of the rollout.
func (r RolloutBuilder) Guard(g Guard) RolloutBuilder {
	r.b.conf.Rollouts[r.i].Guard = g
	return r
}
