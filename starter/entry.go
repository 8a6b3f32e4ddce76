package starter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/accepter"
	"foxtailwall/budgeter"
	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/delegator"
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
	// upstreamIdleTimeout is how long an unused connection to an upstream is
	// kept.
	upstreamIdleTimeout = 4 * time.Second
	// maxIdleConns bounds the unused connections to one upstream.
	maxIdleConns = 24

	// rotationTime is how long the platform goes on opening connections to an entry
	// that is not ready: until the second of its checks, one a second, has failed.
	rotationTime = 2 * time.Second
	// handoverFraction is the part of the grace period for which a leaving entry stays
	// even if no request is running, which is a little longer than rotationTime.
	handoverFraction = 0.3
	// reachCheckInterval is how often an entry checks whether it reaches upstreams.
	reachCheckInterval = 200 * time.Millisecond
	// drainCheckInterval is how often a draining entry checks for running
	// requests.
	drainCheckInterval = 100 * time.Millisecond
	// cutOffFraction is the part of the grace period after which requests that
	// are still under way are cut off.
	cutOffFraction = 0.92
	// lastAnswersFraction is the part of the grace period in which they get their last
	// answers.
	lastAnswersFraction = 0.04
)

// entry is a host that serves callers.
type entry struct {
	settings atomic.Pointer[Settings]
	opts     Options
	bounds   accepter.Bounds

	placer      *placer.Placer
	helpers     delegator.Pool
	retryBudget *budgeter.Budget
	forwarder   *forwarder.Forwarder
	syncClient  *syncer.Client
	loadClient  *sharer.Client
	startedAt   time.Time
	draining    atomic.Bool
	// liveHosts is the number of live hosts that serve callers, and neighbours that of
	// the others in this zone that do not leave.
	liveHosts, neighbours atomic.Int64

	// mu guards the state received from the leader or the platform.
	mu sync.Mutex
	// publishedVersion is the version of the newest published state,
	// documentVersion that of the newest valid configuration.
	publishedVersion uint64
	documentVersion  uint64
	// listName is empty if the list is not from the leader.
	listName string
	// coldVersion is the syncer.ColdTimes.Version last received.
	coldVersion int64
	listReadAt  time.Time
	inventory   tracker.Inventory
	hosts       hostCount
	rollouts    []controller.OrderedRollout
	// newest is the newest configuration, which becomes active once there is a
	// list of upstreams.
	newest forwarder.ActiveConfig
}

// RunEntry runs an entry until ctx ends, then drains running requests within
// the grace period. Its errors are those of RunControl.
func RunEntry(ctx context.Context, s Settings, o Options) error {
	if err := s.checkEntry(); err != nil {
		return err
	}
	s.limitMemory()
	e := &entry{opts: o, startedAt: o.Clock.Now(), bounds: s.bounds()}
	e.settings.Store(&s)
	e.placer = placer.New(placer.Settings{
		Clock: o.Clock, Zone: s.Zone, Host: s.Name, ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack, Admission: s.Admission,
	})
	e.retryBudget = budgeter.New(budgeter.Settings{
		Ratio: s.Retries.Ratio, Window: s.Retries.Window, Slack: s.Retries.Slack, Clock: o.Clock,
	})
	upstreams := dialer.New(dialer.Options{
		Clock: o.Clock, Scope: o.Scope, Dial: o.DialUpstream, ConnectTimeout: connectTimeout,
		IdleTimeout: upstreamIdleTimeout, MaxIdleConns: maxIdleConns,
	})
	defer upstreams.Close()
	e.helpers.Clock = o.Clock
	hostDialer := dialer.New(dialer.Options{
		Clock: o.Clock, Scope: o.Scope, ConnectTimeout: connectTimeout,
		IdleTimeout: upstreamIdleTimeout, MaxIdleConns: maxIdleConns,
	})
	defer hostDialer.Close()
	e.forwarder = forwarder.New(forwarder.Settings{
		Codec: o.Protocol.Codec, Upstreams: upstreams, Placer: e.placer, Hosts: &e.helpers, HostDialer: hostDialer, Budget: e.retryBudget, Clock: o.Clock,
		Scope: o.Scope, Log: o.Log, SessionTimeout: s.SessionTimeout,
		Memory: e.bounds.Memory, MaxRunning: e.bounds.Requests, WriteTimeout: e.bounds.WriteTimeout,
	})
	e.syncClient = syncer.NewClient(syncer.ClientSettings{
		Seeds: e.seeds, Report: e.newReport, Apply: e.applyUpdate, Clock: o.Clock, Log: o.Log,
	})
	e.loadClient = sharer.NewClient(sharer.ClientSettings{
		Host: s.Name, From: s.Peers.Addr(), Leader: e.syncClient.Leader, Hosts: func() int { return int(e.liveHosts.Load()) },
		Loads: e.placer.Loads, Apply: e.placer.SetRemoteLoads,
		Placements: e.placer.TakePlacements, ApplyPlacements: e.placer.AddPlacements,
		Unreachable: e.placer.TakeUnreachable, ApplyUnreachable: e.placer.AvoidUnreachable,
		Limits: e.placer.RateLimits, ApplyLimits: e.applyRateLimits, Clock: o.Clock, Log: o.Log,
	})
	o.Log.Info().Str("zone", s.Zone).Msg("entry started")
	return e.run(ctx)
}

func (s *Settings) checkEntry() error {
	switch {
	case !s.Callers.IsValid():
		return validator.NewSettingError("callers", s.Callers.String(), "an IP address and a port")
	case !s.Ready.IsValid():
		return validator.NewSettingError("ready", s.Ready.String(), "an IP address and a port")
	case s.Retries.Window <= 0:
		return validator.NewSettingError("retries.window", s.Retries.Window.String(), "above 0")
	case s.Admission.MaxWaiting < 0 || s.Admission.MaxWaiting > placer.MaxMaxWaiting:
		return validator.NewSettingError("admission.maxWaiting", strconv.Itoa(s.Admission.MaxWaiting), fmt.Sprintf("from 0 (the default, %d) to %d", placer.DefaultMaxWaiting, placer.MaxMaxWaiting))
	case s.Admission.MaxWaitingBytes < 0 || s.Memory > 0 && s.Admission.MaxWaitingBytes > s.Memory/2:
		return validator.NewSettingError("admission.maxWaitingBytes", strconv.FormatInt(s.Admission.MaxWaitingBytes, 10), fmt.Sprintf("from 0 (the default, %d) to half of the memory", placer.DefaultMaxWaitingBytes))
	}
	return s.checkCommon()
}

func (e *entry) run(ctx context.Context) error {
	settings := e.settings.Load()
	callers := &http.Server{Handler: e.forwarder, BaseContext: e.forwarder.BaseContext}
	delegated := &http.Server{Handler: http.HandlerFunc(e.forwarder.ServeDelegated), BaseContext: e.forwarder.BaseContext}
	ready := &http.Server{Handler: http.HandlerFunc(e.serveReadiness)}
	limits := func(maxConns int) accepter.Limits { return e.bounds.Limits(maxConns, e.opts.Clock, e.opts.Scope) }
	callerLimits, delegatedLimits := limits(e.bounds.CallerConns), limits(e.bounds.HostConns)
	callerLimits.OwnBodies, delegatedLimits.OwnBodies = true, true
	// The components keep running while the entry drains after the end of ctx.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	p := pool.New().WithErrors().WithFirstError()
	p.Go(func() error { defer cancel(); return serve(runCtx, "callers", settings.Callers, callers, callerLimits) })
	p.Go(func() error {
		defer cancel()
		return serve(runCtx, "readiness", settings.Ready, ready, limits(e.bounds.OtherConns))
	})
	if settings.Delegated.IsValid() {
		p.Go(func() error {
			defer cancel()
			return serve(runCtx, "other hosts", settings.Delegated, delegated, delegatedLimits)
		})
	}
	p.Go(func() error { e.syncClient.Run(runCtx); return nil })
	p.Go(func() error { e.exchangeLoads(runCtx); return nil })
	p.Go(func() error { e.runListFallback(runCtx); return nil })
	p.Go(func() error { e.watchReach(runCtx); return nil })
	p.Go(func() error { e.watchCold(runCtx); return nil })
	p.Go(func() error { serveMetrics(runCtx, settings, &e.opts, limits(e.bounds.OtherConns)); return nil })
	p.Go(func() error { reloadSettings(runCtx, &e.opts, &e.settings); return nil })
	p.Go(func() error {
		select {
		case <-ctx.Done():
			e.drain(callers, delegated)
		case <-runCtx.Done():
		}
		cancel()
		return errors.Join(callers.Close(), delegated.Close(), ready.Close())
	})
	return p.Wait()
}

// drain makes callers reconnect to other hosts and waits for the running
// requests, further ones only if they certainly end in time. It accepts new
// connections until the end, because the platform still sends them when most hosts
// of the zone are leaving.
func (e *entry) drain(servers ...*http.Server) {
	grace := e.settings.Load().Grace
	start := e.opts.Clock.Now()
	end := start.Add(time.Duration(cutOffFraction * float64(grace)))
	e.draining.Store(true)
	e.forwarder.Leave(forwarder.Departure{
		End: end, OutOfRotation: start.Add(rotationTime), Neighbours: func() int { return int(e.neighbours.Load()) },
	})
	e.opts.Log.Info().Dur("grace", grace).Int("running", e.forwarder.Running()).Msg("entry is leaving")
	e.sleep(time.Duration(handoverFraction * float64(grace)))
	for e.opts.Clock.Now().Before(end) && e.forwarder.Running() > 0 {
		e.sleep(drainCheckInterval)
	}
	// A request may have arrived since the last check.
	if err := shutDown(max(drainCheckInterval, end.Sub(e.opts.Clock.Now())), servers...); err != nil {
		e.opts.Log.Info().AnErr("cause", err).Int("running", e.forwarder.Running()).
			Msg("requests were cut at the end of the grace period")
		e.forwarder.CutOff()
		if err := shutDown(time.Duration(lastAnswersFraction*float64(grace)), servers...); err != nil {
			e.opts.Log.Info().AnErr("cause", err).Int("running", e.forwarder.Running()).
				Msg("callers that were cut have not taken their last answers")
		}
	}
	e.opts.Log.Info().Msg("entry stopped")
}

// sleep waits for d and cannot be interrupted.
func (e *entry) sleep(d time.Duration) {
	// Sleep fails only when its context ends.
	_ = timekeeper.Sleep(context.Background(), e.opts.Clock, d)
}

// serveReadiness answers 200 if this host takes new connections, otherwise 503.
func (e *entry) serveReadiness(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	switch {
	case r.URL.Path != e.opts.Protocol.ReadyPath:
		status = http.StatusNotFound
	case e.draining.Load() || e.forwarder.ActiveConfig().Table == nil:
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (e *entry) seeds() []netip.AddrPort { return peerSeeds(*e.settings.Load()) }

// newReport returns the report of this host for the leader.
func (e *entry) newReport() syncer.Report {
	settings := e.settings.Load()
	report := syncer.Report{
		Host: settings.Name, Zone: settings.Zone, Started: e.startedAt.UnixNano(), Leaving: e.draining.Load(),
		Delegated: settings.Delegated, Partitioned: e.placer.Partitioned(), Brittle: e.placer.BrittleServices(), Evidence: e.forwarder.Evidence(e.syncClient.Leader()),
		Outages: e.placer.Outages(),
	}
	for line, count := range e.forwarder.Counts() {
		report.Counts = append(report.Counts, syncer.AnswerCount{Line: line, Count: count})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Published, report.List, report.Cold = e.publishedVersion, e.listName, max(e.coldVersion, syncer.NoColdVersion)
	report.Running = make(map[string]int)
	for _, r := range e.rollouts {
		if r.State == controller.RolloutRunning {
			report.Running[r.Service] = e.placer.RunningOtherVersions(r.Service, r.Target)
			report.Excluded = append(report.Excluded, syncer.ExcludedSessions{Service: r.Service, Target: r.Target, Sessions: e.forwarder.ExcludedSessions(r)})
		}
	}
	return report
}

// applyUpdate applies an update from the leader. It never goes back to an older
// published state.
func (e *entry) applyUpdate(u *syncer.Update) {
	e.liveHosts.Store(int64(u.Hosts))
	e.neighbours.Store(int64(u.Neighbours))
	e.helpers.Update(u.Helpers)
	e.placer.AddBrittleServices(u.Brittle)
	e.forwarder.SetSuspects(u.Suspects)
	for _, excluded := range u.Excluded {
		e.forwarder.AddExcludedSessions(excluded.Service, excluded.Target, excluded.Sessions)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts, rank := e.hosts.update(u.Hosts, u.Position, e.opts.Clock.Now())
	e.placer.SetHosts(hosts, rank)
	e.retryBudget.SetHosts(hosts)
	if u.ListAge >= 0 {
		e.listReadAt = e.opts.Clock.Now().Add(-u.ListAge)
	}
	if u.Published != nil && u.Published.Version > e.publishedVersion {
		e.applyPublished(u.Published)
	}
	if u.Upstreams != nil {
		e.listName = u.Upstreams.Name
		e.applyList(u.Upstreams.Upstreams)
	}
	e.applyCold(u)
}

// applyPublished activates a configuration and rollouts. The caller holds mu.
func (e *entry) applyPublished(published *controller.Published) {
	p := published.WithEvacuations()
	e.publishedVersion = p.Version
	next := forwarder.ActiveConfig{Table: e.newest.Table, Rollouts: make(map[string]controller.OrderedRollout, len(p.Rollouts))}
	for _, r := range p.Rollouts {
		next.Rollouts[r.Service] = r
	}
	e.rollouts = p.Rollouts
	e.forwarder.SetIsolations(p.Isolations)
	next.Isolated, next.Held = make(map[controller.PromptPart]bool, len(p.Isolations)), make(map[controller.PromptPart]bool)
	for _, i := range p.Isolations {
		switch {
		case i.Active && i.Held:
			next.Held[i.Part] = true
		case i.Active:
			next.Isolated[i.Part] = true
		}
	}
	if p.Document.Version > e.documentVersion {
		conf, err := e.opts.Protocol.Config(p.Document.Body)
		if err != nil {
			// Not expected: a control host of the same release has decoded it.
			e.opts.Log.Error().Err(err).Uint64("version", p.Document.Version).Msg("cannot decode the configuration; the previous one stays in force")
		} else {
			next.Table = matcher.New(conf)
			e.documentVersion = p.Document.Version
		}
	}
	e.newest = next
	e.placer.SetEvacuated(evacuatedZones(p.Evacuations))
	e.activateNewest()
	e.opts.Log.Info().Uint64("config", e.documentVersion).Uint64("published", p.Version).Int("rollouts", len(p.Rollouts)).
		Int("isolated", len(next.Isolated)).Int("held", len(next.Held)).Int("evacuated", len(p.Evacuations)).
		Msg("configuration in force")
}

func evacuatedZones(evacuations []declarer.Evacuation) []string {
	var zones []string
	for _, e := range evacuations {
		zones = append(zones, e.Zone)
	}
	return zones
}

// applyList activates a list of upstreams. The caller holds mu.
func (e *entry) applyList(list []tracker.Upstream) {
	if e.inventory.Update(list) {
		e.opts.Log.Info().Str("list", e.listName).Int("upstreams", len(list)).Msg("list of upstreams in force")
	}
	e.placer.Update(e.inventory.List())
	if e.forwarder.ActiveConfig().Table == nil {
		e.activateNewest()
	}
}

// activateNewest activates the newest configuration once a list of upstreams is
// known. The caller holds mu.
func (e *entry) activateNewest() {
	if e.inventory.Known() && e.newest.Table != nil {
		e.placer.SetColdRates(coldRates(e.newest.Table))
		e.forwarder.SetConfig(e.newest)
	}
}

// runListFallback reads the list of upstreams from the platform while the
// leader does not provide a recent one.
func (e *entry) runListFallback(ctx context.Context) {
	var schedule readSchedule
	for timekeeper.Sleep(ctx, e.opts.Clock, minReadInterval) == nil {
		if !schedule.due(e.opts.Clock.Now(), e.listStatus(), rand.Float64()) {
			continue
		}
		readAt := e.opts.Clock.Now()
		list, err := e.opts.Protocol.List(ctx)
		if err != nil {
			e.opts.Log.Info().AnErr("cause", err).Msg("cannot read the list of upstreams")
			continue
		}
		e.mu.Lock()
		e.listName = ""
		e.applyList(list)
		e.placer.SetColdTimes(placer.ColdTimes(e.inventory.List()), readAt)
		e.mu.Unlock()
	}
}

// watchReach logs when this host no longer reaches any upstream, and finds out when it
// does again.
func (e *entry) watchReach(ctx context.Context) {
	partitioned := false
	for timekeeper.Sleep(ctx, e.opts.Clock, reachCheckInterval) == nil {
		e.forwarder.CheckUpstreams(ctx)
		if e.placer.Partitioned() {
			if !partitioned {
				e.opts.Scope.Counter("entry.partitions").Inc(1)
				e.opts.Log.Warn().Int("running", e.forwarder.Running()).Msg("this host reaches no upstream")
			}
			partitioned = true
			e.forwarder.ProbeUpstream(ctx)
		}
		if partitioned && !e.placer.Partitioned() {
			partitioned = false
			e.opts.Log.Info().Msg("this host reaches upstreams again")
		}
	}
}

// exchangeLoads exchanges loads with the other hosts. Without it, requests are
// placed by this host's loads alone, so a failure is only logged.
func (e *entry) exchangeLoads(ctx context.Context) {
	if err := e.loadClient.Run(ctx); err != nil {
		e.opts.Log.Error().Err(err).Msg("loads are not exchanged; this host places requests by its own loads alone")
	}
}

// applyRateLimits applies the rate limits that other hosts have received.
func (e *entry) applyRateLimits(limits []placer.RateLimit) {
	for _, upstream := range e.placer.AddRateLimits(limits) {
		e.opts.Log.Info().Str("upstream", upstream).Msg("another host was told of a change of the upstream's rate limit")
	}
}

// listStatus returns the state from which readSchedule.due decides.
func (e *entry) listStatus() listStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return listStatus{
		leaderReadAt: e.listReadAt, configured: e.newest.Table != nil,
		interval: readInterval(e.liveHosts.Load(), len(e.inventory.List()), e.settings.Load().ListRate),
	}
}
