package starter

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/budgeter"
	"foxtailwall/controller"
	"foxtailwall/dialer"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/sharer"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
	"foxtailwall/validator"
)

const (
	// connectTimeout bounds the opening of a connection to an upstream, which
	// is a few milliseconds away.
	connectTimeout = 300 * time.Millisecond
	// userTimeout ends connections whose bytes stay unacknowledged.
	userTimeout = 700 * time.Millisecond
	// upstreamIdle is how long an unused connection to an upstream is kept.
	upstreamIdle = 4 * time.Second
	// maxIdle bounds the unused connections to one upstream.
	maxIdle = 24

	// leaveShare is the part of the grace period in which all requests are
	// still taken: the platform takes two seconds to stop sending new ones.
	leaveShare = 0.3
	// leaveTick is how often a leaving entry looks whether requests are running.
	leaveTick = 100 * time.Millisecond
	// endShare is the part of the grace period after which requests that are
	// still under way are cut.
	endShare = 0.92
)

// entry is a host that serves callers.
type entry struct {
	set  atomic.Pointer[Settings]
	opts Options

	placer  *placer.Placer
	budget  *budgeter.Budget
	forward *forwarder.Forwarder
	client  *syncer.Client
	loads   *sharer.Client
	started time.Time
	leaving atomic.Bool
	// hosts is the number of live hosts that serve callers.
	hosts atomic.Int64

	// mu guards what the leader or the platform has told.
	mu        sync.Mutex
	published uint64
	document  uint64
	listName  string
	listAt    time.Time
	inv       tracker.Inventory
	rollouts  []controller.OrderedRollout
	// next is put in force once there is a list of upstreams.
	next forwarder.InForce
}

// RunEntry runs an entry until ctx ends, and then lets running requests end
// within the grace period.
func RunEntry(ctx context.Context, s Settings, o Options) error {
	if err := s.checkEntry(); err != nil {
		return err
	}
	s.tune()
	e := &entry{opts: o, started: o.Clock.Now()}
	e.set.Store(&s)
	e.placer = placer.New(placer.Settings{Clock: o.Clock, Zone: s.Zone})
	e.budget = budgeter.New(budgeter.Settings{
		Ratio: s.Retries.Ratio, Window: s.Retries.Window, Slack: s.Retries.Slack, Clock: o.Clock,
	})
	upstreams := dialer.New(dialer.Options{
		Clock: o.Clock, Scope: o.Scope, Connect: connectTimeout, UserTimeout: userTimeout,
		Idle: upstreamIdle, MaxIdle: maxIdle,
	})
	defer upstreams.Close()
	e.forward = forwarder.New(forwarder.Settings{
		Codec: o.Protocol.Codec, Upstreams: upstreams, Placer: e.placer, Budget: e.budget, Clock: o.Clock,
		Scope: o.Scope, Log: o.Log, Session: s.Session,
	})
	e.client = syncer.NewClient(syncer.ClientSettings{
		Seeds: e.seeds, Report: e.report, Apply: e.apply, Clock: o.Clock, Log: o.Log,
	})
	e.loads = sharer.NewClient(sharer.ClientSettings{
		Host: s.Name, From: s.Peers.Addr(), Leader: e.client.Leader, Hosts: func() int { return int(e.hosts.Load()) },
		Loads: e.placer.Loads, Apply: e.placer.SetOthers, Clock: o.Clock, Log: o.Log,
	})
	o.Log.Info().Str("zone", s.Zone).Msg("entry started")
	return e.run(ctx)
}

func (s *Settings) checkEntry() error {
	switch {
	case !s.Callers.IsValid():
		return validator.Wrong("callers", s.Callers.String(), "an IP address and a port")
	case !s.Ready.IsValid():
		return validator.Wrong("ready", s.Ready.String(), "an IP address and a port")
	case s.Retries.Window <= 0:
		return validator.Wrong("retries.window", s.Retries.Window.String(), "above 0")
	}
	return s.checkCommon()
}

func (e *entry) run(ctx context.Context) error {
	set := e.set.Load()
	callers := &http.Server{Handler: e.forward, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	ready := &http.Server{Handler: http.HandlerFunc(e.ready), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	// The duties outlive the signal, because requests go on for a while.
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { defer cancel(); return serve(duties, "callers", set.Callers, callers) })
	p.Go(func() error { defer cancel(); return serve(duties, "readiness", set.Ready, ready) })
	p.Go(func() error { e.client.Run(duties); return nil })
	p.Go(func() error { e.shareLoads(duties); return nil })
	p.Go(func() error { e.readLists(duties); return nil })
	p.Go(func() error { serveMetrics(duties, set, &e.opts); return nil })
	p.Go(func() error { reload(duties, &e.opts, &e.set); return nil })
	p.Go(func() error {
		select {
		case <-ctx.Done():
			e.leave(callers)
		case <-duties.Done():
		}
		cancel()
		return errors.CombineErrors(callers.Close(), ready.Close())
	})
	return p.Wait()
}

// leave lets callers go to other hosts and waits for the running requests. New
// connections are accepted to the end, because the platform goes on sending them
// when most hosts of the zone are leaving.
func (e *entry) leave(callers *http.Server) {
	grace := e.set.Load().Grace
	begun := e.opts.Clock.Now()
	end := begun.Add(time.Duration(endShare * float64(grace)))
	e.leaving.Store(true)
	e.forward.Close()
	e.opts.Log.Info().Dur("grace", grace).Msg("entry is leaving")
	e.pause(time.Duration(leaveShare * float64(grace)))
	e.forward.Leave(end)
	for e.opts.Clock.Now().Before(end) && e.forward.Running() > 0 {
		e.pause(leaveTick)
	}
	// A request may have come in meanwhile.
	ctx, cancel := context.WithTimeout(context.Background(), max(leaveTick, end.Sub(e.opts.Clock.Now())))
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		e.opts.Log.Info().AnErr("cause", err).Int("running", e.forward.Running()).
			Msg("requests were cut at the end of the grace period")
	}
	e.opts.Log.Info().Msg("entry stopped")
}

// pause waits for d.
func (e *entry) pause(d time.Duration) {
	// The background context never ends the wait.
	_ = timekeeper.Sleep(context.Background(), e.opts.Clock, d)
}

// ready answers whether this host takes new connections.
func (e *entry) ready(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	switch {
	case r.URL.Path != e.opts.Protocol.ReadyPath:
		status = http.StatusNotFound
	case e.leaving.Load() || e.forward.InForce().Table == nil:
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (e *entry) seeds() []netip.AddrPort { return peerSeeds(*e.set.Load()) }

// report says what this host has and has seen.
func (e *entry) report() syncer.Report {
	set := e.set.Load()
	r := syncer.Report{Host: set.Name, Zone: set.Zone, Started: e.started.UnixNano()}
	for l, n := range e.forward.Counts() {
		r.Counts = append(r.Counts, syncer.AnswerCount{Line: l, Count: n})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Published, r.List = e.published, e.listName
	r.Running = make(map[string]int)
	for _, ro := range e.rollouts {
		if ro.State == controller.RolloutRunning {
			r.Running[ro.Service] = e.placer.Running(ro.Service, ro.Target)
			r.Excluded = append(r.Excluded, syncer.ExcludedSessions{Service: ro.Service, Target: ro.Target, Sessions: e.forward.Kept(ro)})
		}
	}
	return r
}

// apply takes over what the leader told. Older versions are never put in force
// again.
func (e *entry) apply(u *syncer.Update) {
	e.budget.SetHosts(u.Hosts)
	e.hosts.Store(int64(u.Hosts))
	for _, k := range u.Excluded {
		e.forward.Keep(k.Service, k.Target, k.Sessions)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.ListAge >= 0 {
		e.listAt = e.opts.Clock.Now().Add(-u.ListAge)
	}
	if u.Published != nil && u.Published.Version > e.published {
		e.put(u.Published)
	}
	if u.Upstreams != nil {
		e.listName = u.Upstreams.Name
		e.takeList(u.Upstreams.Upstreams)
	}
}

// put puts a configuration and rollouts in force. The caller holds mu.
func (e *entry) put(p *controller.Published) {
	e.published = p.Version
	next := forwarder.InForce{Table: e.next.Table, Rollouts: make(map[string]controller.OrderedRollout, len(p.Rollouts))}
	for _, r := range p.Rollouts {
		next.Rollouts[r.Service] = r
	}
	e.rollouts = p.Rollouts
	if p.Document.Version > e.document {
		conf, err := e.opts.Protocol.Config(p.Document.Body)
		if err != nil {
			// It was read before it was acknowledged, by the same release.
			e.opts.Log.Error().Err(err).Uint64("version", p.Document.Version).Msg("the configuration cannot be read; the last one stays in force")
		} else {
			next.Table = matcher.New(conf)
			e.document = p.Document.Version
		}
	}
	e.next = next
	e.putInForce()
	e.opts.Log.Info().Uint64("config", e.document).Uint64("published", p.Version).Int("rollouts", len(p.Rollouts)).
		Msg("configuration in force")
}

// takeList puts a list of upstreams in force. The caller holds mu.
func (e *entry) takeList(list []tracker.Upstream) {
	if e.inv.Update(list) {
		e.opts.Log.Info().Str("list", e.listName).Int("upstreams", len(list)).Msg("list of upstreams in force")
	}
	e.placer.Update(e.inv.List())
	if e.forward.InForce().Table == nil {
		e.putInForce()
	}
}

// putInForce lets requests follow the newest configuration once there are
// upstreams to send them to. The caller holds mu.
func (e *entry) putInForce() {
	if e.inv.Known() && e.next.Table != nil {
		e.forward.Put(e.next)
	}
}

// readLists reads the list of upstreams from the platform while the leader
// cannot tell it.
func (e *entry) readLists(ctx context.Context) {
	var turn listTurn
	for timekeeper.Sleep(ctx, e.opts.Clock, listPause) == nil {
		if !turn.due(e.opts.Clock.Now(), e.listNeed(), rand.Float64()) {
			continue
		}
		list, err := e.opts.Protocol.List(ctx)
		if err != nil {
			e.opts.Log.Info().AnErr("cause", err).Msg("the list of upstreams was not read")
			continue
		}
		e.mu.Lock()
		e.listName = ""
		e.takeList(list)
		e.mu.Unlock()
	}
}

// shareLoads tells and learns loads. Without it, requests are placed by what this
// host knows itself, so that a failure ends nothing else.
func (e *entry) shareLoads(ctx context.Context) {
	if err := e.loads.Run(ctx); err != nil {
		e.opts.Log.Error().Err(err).Msg("this host is not told the loads of others")
	}
}

// listNeed says what this host knows of the list.
func (e *entry) listNeed() listNeed {
	e.mu.Lock()
	defer e.mu.Unlock()
	return listNeed{
		heard: e.listAt, configured: e.next.Table != nil,
		pause: listPauseOf(e.hosts.Load(), len(e.inv.List()), e.set.Load().ListRate),
	}
}
