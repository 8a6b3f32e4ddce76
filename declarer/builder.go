package declarer

import (
	"net/netip"
	"time"
)

type (
	// Builder collects the declarations of one office. Make it with New.
	Builder struct {
		owner string
		conf  Config
	}

	// WorkspaceBuilder adds to one workspace.
	WorkspaceBuilder struct {
		b *Builder
		i int
	}

	// ModelBuilder adds to one model.
	ModelBuilder struct {
		b *Builder
		i int
	}

	// ServiceBuilder adds to one service.
	ServiceBuilder struct {
		b *Builder
		i int
	}

	// UpstreamBuilder adds to one upstream.
	UpstreamBuilder struct {
		b *Builder
		i int
	}

	// RolloutBuilder adds to one rollout.
	RolloutBuilder struct {
		b *Builder
		i int
	}
)

// New returns a builder whose declarations are owned by the office.
func New(office string) *Builder { return &Builder{owner: office} }

// Join returns one configuration with the declarations of all builders, for
// deployments whose offices keep their parts in separate packages.
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

// Config returns what was declared, in canonical order.
func (b *Builder) Config() Config { return b.conf.Sorted() }

// Retain sets how long the control group keeps its records.
func (b *Builder) Retain(r Retention) *Builder {
	b.conf.Retention = r
	return b
}

// Workspace declares a workspace and says why it exists.
func (b *Builder) Workspace(name, why string) WorkspaceBuilder {
	b.conf.Workspaces = append(b.conf.Workspaces, Workspace{Name: name, Intent: b.intent(why), Weigh: WeighCost})
	return WorkspaceBuilder{b, len(b.conf.Workspaces) - 1}
}

// Model declares a model with its stable version and says why it exists.
func (b *Builder) Model(name, why, stable string) ModelBuilder {
	b.conf.Models = append(b.conf.Models, Model{Name: name, Intent: b.intent(why), Stable: stable})
	return ModelBuilder{b, len(b.conf.Models) - 1}
}

// Service declares a plain service and says why it exists.
func (b *Builder) Service(name, why string) ServiceBuilder {
	b.conf.Services = append(b.conf.Services, Service{Name: name, Intent: b.intent(why)})
	return ServiceBuilder{b, len(b.conf.Services) - 1}
}

// Upstream declares a replica in a zone and says why it exists.
func (b *Builder) Upstream(name, why, zone string, addr netip.AddrPort) UpstreamBuilder {
	b.conf.Upstreams = append(b.conf.Upstreams, Upstream{Name: name, Intent: b.intent(why), Zone: zone, Address: addr})
	return UpstreamBuilder{b, len(b.conf.Upstreams) - 1}
}

// Rollout declares that the model moves to the version, with default stages
// unless Stages is called.
func (b *Builder) Rollout(model, version, why string) RolloutBuilder {
	b.conf.Rollouts = append(b.conf.Rollouts, Rollout{
		Model: model, Version: version, Intent: b.intent(why), Stages: DefaultStages(),
	})
	return RolloutBuilder{b, len(b.conf.Rollouts) - 1}
}

// Withdraw declares that the version receives no new work.
func (b *Builder) Withdraw(model, version, why string) *Builder {
	b.conf.Withdrawals = append(b.conf.Withdrawals, Withdrawal{Model: model, Version: version, Intent: b.intent(why)})
	return b
}

// DefaultStages returns the stages of a rollout that declares none.
func DefaultStages() []Stage {
	return []Stage{
		{Share: 0.01, Soak: 10 * time.Minute, Budget: 500},
		{Share: 0.05, Soak: 10 * time.Minute, Budget: 2000},
		{Share: 0.25, Soak: 20 * time.Minute, Budget: 10000},
		{Share: 1, Soak: time.Hour, Budget: 100000},
	}
}

func (b *Builder) intent(why string) Intent { return Intent{Owner: b.owner, Why: why} }

func (w WorkspaceBuilder) get() *Workspace { return &w.b.conf.Workspaces[w.i] }

// Weigh sets what the workspace weighs most.
func (w WorkspaceBuilder) Weigh(v Weigh) WorkspaceBuilder {
	w.get().Weigh = v
	return w
}

// Allow lets the workspace use the versions of a model, all if none is named.
func (w WorkspaceBuilder) Allow(model string, versions ...string) WorkspaceBuilder {
	w.get().Models = append(w.get().Models, Allowed{Model: model, Versions: versions})
	return w
}

// Call lets the workspace call a plain service.
func (w WorkspaceBuilder) Call(service string) WorkspaceBuilder {
	w.get().Services = append(w.get().Services, service)
	return w
}

// Member adds a billed member with the digests of its API keys.
func (w WorkspaceBuilder) Member(name string, keyDigests ...string) WorkspaceBuilder {
	w.get().Members = append(w.get().Members, Member{Name: name, KeyDigests: keyDigests})
	return w
}

// Quality sets the wanted share of passed answers, 0 to 1, for a kind.
func (w WorkspaceBuilder) Quality(k Kind, target float64) WorkspaceBuilder {
	if w.get().Quality == nil {
		w.get().Quality = make(map[Kind]float64)
	}
	w.get().Quality[k] = target
	return w
}

// Limits sets the weight in fair queueing, the requests in flight and the
// requests waiting on one host.
func (w WorkspaceBuilder) Limits(share, concurrent, queue int) WorkspaceBuilder {
	w.get().Share, w.get().Concurrent, w.get().Queue = share, concurrent, queue
	return w
}

// Deadline bounds requests that name no deadline.
func (w WorkspaceBuilder) Deadline(d time.Duration) WorkspaceBuilder {
	w.get().Deadline = d
	return w
}

// Explore sets the share of requests, 0 to 1, that may try a plan to learn.
func (w WorkspaceBuilder) Explore(share float64) WorkspaceBuilder {
	w.get().Explore = share
	return w
}

// AcceptRepin lets sessions move without asking when their version is
// withdrawn.
func (w WorkspaceBuilder) AcceptRepin() WorkspaceBuilder {
	w.get().AcceptRepin = true
	return w
}

// Version adds a version with its price and expected quality.
func (m ModelBuilder) Version(name string, p Price, quality float64) ModelBuilder {
	c := &m.b.conf.Models[m.i]
	c.Versions = append(c.Versions, Version{Name: name, Price: p, Quality: quality})
	return m
}

// CutOff sets what the hosts of a cut-off zone do with the model.
func (m ModelBuilder) CutOff(c CutOff) ModelBuilder {
	m.b.conf.Models[m.i].CutOff = c
	return m
}

// Idempotent adds a call that may be repeated.
func (s ServiceBuilder) Idempotent(method, path string, timeout time.Duration) ServiceBuilder {
	return s.call(Call{Method: method, Path: path, Idempotent: true, Timeout: timeout})
}

// Once adds a call that runs at most once.
func (s ServiceBuilder) Once(method, path string, timeout time.Duration) ServiceBuilder {
	return s.call(Call{Method: method, Path: path, Timeout: timeout})
}

// Price bills each call, in nanos of the currency.
func (s ServiceBuilder) Price(nanos int64) ServiceBuilder {
	s.b.conf.Services[s.i].PriceNanos = nanos
	return s
}

func (s ServiceBuilder) call(c Call) ServiceBuilder {
	v := &s.b.conf.Services[s.i]
	v.Calls = append(v.Calls, c)
	return s
}

func (u UpstreamBuilder) get() *Upstream { return &u.b.conf.Upstreams[u.i] }

// Serves adds a version that the engine has loaded.
func (u UpstreamBuilder) Serves(model, version string) UpstreamBuilder {
	u.get().Serves = append(u.get().Serves, VersionRef{Model: model, Version: version})
	return u
}

// Service makes the upstream a replica of a plain service.
func (u UpstreamBuilder) Service(name string) UpstreamBuilder {
	u.get().Service = name
	return u
}

// Slots sets the number of requests the replica batches.
func (u UpstreamBuilder) Slots(n int) UpstreamBuilder {
	u.get().Slots = n
	return u
}

// ChecksFencing says that the engine refuses orders with an old fencing
// number.
func (u UpstreamBuilder) ChecksFencing() UpstreamBuilder {
	u.get().ChecksFencing = true
	return u
}

// Resumes says that the engine can resume a cut stream.
func (u UpstreamBuilder) Resumes() UpstreamBuilder {
	u.get().Resumes = true
	return u
}

// Stages replaces the stages of the rollout.
func (r RolloutBuilder) Stages(s ...Stage) RolloutBuilder {
	r.b.conf.Rollouts[r.i].Stages = s
	return r
}

// Guard bounds what the rollout may do to its requests.
func (r RolloutBuilder) Guard(g Guard) RolloutBuilder {
	r.b.conf.Rollouts[r.i].Guard = g
	return r
}
