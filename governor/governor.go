// Package governor acts on the request statistics of model versions: it advances
// or halts rollouts, and quarantines versions whose quality or error rate
// degrades after their rollout.
//
// The control leader runs a Governor over the reports of all zones; its
// decisions become entries of the replicated log. Every host also runs Watches
// over its own requests, so that it reacts at once, even while its zone is cut
// off from the control group.
//
// # Usage
//
//	g := governor.New(governor.Settings{View: machine.View, Leading: group.Leading, Propose: propose, Clock: clock})
//	options.OnReports = g.AddReports // of the host's relayer.Options
//	go g.Run(ctx)
//
//	w := governor.NewWatches(clock)
//	w.Add(reports)
//	for _, c := range w.Step(catalog) { ... }
package governor

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/detector"
	"foxtailwall/promoter"
	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

const (
	// Tick is the interval at which decisions are made.
	Tick = time.Second
	// budgetRecordSteps is the number of log entries that record the use of a
	// stage's request budget. It is small because each entry creates a new
	// version of the view for all hosts.
	budgetRecordSteps = 4
	// refusedRetryDelay is the time after which a refused quarantine is
	// proposed again. Each proposal is a log entry, so it is not repeated at
	// every Tick.
	refusedRetryDelay = 30 * Tick
)

type (
	// Settings configures a Governor. All functions and Clock are required.
	Settings struct {
		// View returns the newest view.
		View func() declarer.View
		// Leading reports whether this host leads, and in which term.
		Leading func() (term uint64, ok bool)
		// Propose submits one item to the control group and returns its
		// answer.
		Propose func(context.Context, controller.Item) (controller.Answer, error)
		Clock   timekeeper.Clock
		Scope   counter.Scope
		Log     zerolog.Logger
	}

	// Governor advances and halts rollouts and quarantines versions on the
	// control leader. Make it with New.
	Governor struct {
		settings Settings
		watches  *Watches

		mu       sync.Mutex
		term     uint64
		rollouts map[declarer.VersionRef]*rolloutState
		// refused holds the times at which the control group last refused to
		// quarantine a version.
		refused map[declarer.VersionRef]time.Time
	}

	// rolloutState holds this leader's statistics of one rollout and the stage
	// that they belong to.
	rolloutState struct {
		stats detector.Stats
		stage int
		// stageStart is when the stage began.
		stageStart time.Time
		// spent counts the stage's requests: those recorded in the log when
		// this leader took over, plus those reported since.
		spent int64
	}
)

// New returns a governor without statistics.
func New(s Settings) *Governor {
	return &Governor{
		settings: s, watches: NewWatches(s.Clock), rollouts: make(map[declarer.VersionRef]*rolloutState),
		refused: make(map[declarer.VersionRef]time.Time),
	}
}

// AddReports adds the reports of the zones to the statistics.
func (g *Governor) AddReports(reports []relayer.Report) {
	g.watches.Add(reports)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		if state := g.rollouts[declarer.VersionRef{Model: r.Model, Version: r.Version}]; state != nil {
			state.stats = state.stats.Add(statsOf(r))
			state.spent += r.Requests
		}
	}
}

// Run calls Step every Tick until ctx ends, and returns the error of ctx.
func (g *Governor) Run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, g.settings.Clock, Tick); err != nil {
			return err
		}
		g.Step(ctx)
	}
}

// Step proposes the decisions that are due, if this host leads.
func (g *Governor) Step(ctx context.Context) {
	term, ok := g.settings.Leading()
	if !ok {
		return
	}
	view := g.settings.View()
	for _, it := range g.decide(term, view) {
		a, err := g.settings.Propose(ctx, it)
		if err != nil {
			// The next step decides again from the state of the log.
			g.settings.Scope.Counter("governor.proposalsFailed").Inc(1)
			return
		}
		if it.Quarantine != nil && a.Quarantine != nil && !a.Quarantine.OK {
			g.settings.Scope.Counter("governor.quarantinesRefused").Inc(1)
			g.mu.Lock()
			g.refused[it.Quarantine.Ref] = g.settings.Clock.Now()
			g.mu.Unlock()
		}
	}
}

// decide returns the rollout steps and quarantine changes to propose.
func (g *Governor) decide(term uint64, view declarer.View) []controller.Item {
	g.mu.Lock()
	if term != g.term {
		// Statistics from an earlier term of this host are outdated.
		g.term = term
		clear(g.rollouts)
		clear(g.refused)
		g.watches.SyncQuarantines(view.Quarantined)
	}
	var items []controller.Item
	for _, r := range view.Config.Rollouts {
		if it, ok := g.nextRolloutStep(r, view); ok {
			items = append(items, it)
		}
	}
	g.mu.Unlock()
	return append(items, g.quarantineItems(declarer.NewCatalog(view))...)
}

// quarantineItems returns the items that make the quarantines in the log match
// those of the watches. As it compares with the log at every step, an item whose
// proposal failed is proposed again.
func (g *Governor) quarantineItems(cat *declarer.Catalog) []controller.Item {
	for _, c := range g.watches.Step(cat) {
		g.settings.Log.Warn().Stringer("version", c.Ref).Bool("returned", c.Return).Str("reason", c.Reason).Msg("quarantine changed")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var items []controller.Item
	for _, c := range g.watches.PendingChanges(cat) {
		if at, ok := g.refused[c.Ref]; ok && !c.Return && g.settings.Clock.Now().Sub(at) < refusedRetryDelay {
			continue
		}
		items = append(items, controller.Item{Quarantine: &controller.Quarantine{
			Ref: c.Ref, Return: c.Return, AllowLast: !c.Return && everyWorkspaceHasAlternative(cat, c.Ref.Model),
		}})
	}
	return items
}

// nextRolloutStep returns the next step of a rollout, or the record of its spent
// budget, if either is due. The caller holds g.mu.
func (g *Governor) nextRolloutStep(r declarer.Rollout, view declarer.View) (controller.Item, bool) {
	ref := declarer.VersionRef{Model: r.Model, Version: r.Version}
	p, ok := progressOf(view, ref)
	if !ok || p.State != declarer.RolloutRunning {
		delete(g.rollouts, ref)
		return controller.Item{}, false
	}
	state := g.trackRollout(ref, p)
	p.Spent = max(p.Spent, state.spent)
	next := promoter.Next(r, p, state.stats, g.settings.Clock.Now())
	step := controller.Promote{
		Model: r.Model, Version: r.Version, Stage: p.Stage, Since: p.Since, Share: next.Progress.Share, Reason: next.Reason,
	}
	switch next.Action {
	case promoter.Advance:
		step.Action = controller.Advance
	case promoter.Halt:
		step.Action = controller.Halt
	case promoter.Done:
		step.Action = controller.Done
	default:
		return recordSpent(r, p, loggedSpent(view, ref))
	}
	g.settings.Log.Info().Stringer("version", ref).Str("action", string(next.Action)).Str("reason", next.Reason).Msg("rollout step decided")
	g.settings.Scope.Counter("governor.rolloutSteps", "action", string(next.Action)).Inc(1)
	return controller.Item{Promote: &step}, true
}

// trackRollout returns the state of the rollout. It resets the statistics when
// the rollout is declared again, and the request count at each stage.
func (g *Governor) trackRollout(ref declarer.VersionRef, p declarer.Progress) *rolloutState {
	state := g.rollouts[ref]
	if state == nil || p.Stage < state.stage || p.Stage == state.stage && !p.Since.Equal(state.stageStart) {
		state = &rolloutState{stage: p.Stage, stageStart: p.Since, spent: p.Spent}
		g.rollouts[ref] = state
	}
	if p.Stage > state.stage {
		state.stage, state.stageStart, state.spent = p.Stage, p.Since, 0
	}
	return state
}

// recordSpent returns the item that records the spent budget, if that has crossed
// another multiple of 1/budgetRecordSteps of the whole since the last record.
func recordSpent(r declarer.Rollout, p declarer.Progress, recorded int64) (controller.Item, bool) {
	stages := promoter.Stages(r)
	budget := promoter.Budget(stages[min(p.Stage, len(stages)-1)])
	if budget == promoter.Unlimited || p.Spent*budgetRecordSteps/budget <= recorded*budgetRecordSteps/budget {
		return controller.Item{}, false
	}
	return controller.Item{Promote: &controller.Promote{
		Model: p.Model, Version: p.Version, Action: controller.Spend, Stage: p.Stage, Since: p.Since, Spent: p.Spent,
	}}, true
}

// progressOf returns the progress of the version's rollout, if there is one.
func progressOf(v declarer.View, ref declarer.VersionRef) (declarer.Progress, bool) {
	for _, p := range v.Progress {
		if p.Model == ref.Model && p.Version == ref.Version {
			return p, true
		}
	}
	return declarer.Progress{}, false
}

// loggedSpent returns the number of requests that the log records as spent in
// the current stage, zero without a rollout.
func loggedSpent(v declarer.View, ref declarer.VersionRef) int64 {
	p, _ := progressOf(v, ref)
	return p.Spent
}

// everyWorkspaceHasAlternative reports whether every workspace that may use the
// model may also use another one whose stable version is expected to meet the
// workspace's quality targets.
func everyWorkspaceHasAlternative(c *declarer.Catalog, model string) bool {
	for i := range c.View.Config.Workspaces {
		w := &c.View.Config.Workspaces[i]
		if allowsModel(w, model) && !hasAlternative(c, w, model) {
			return false
		}
	}
	return true
}

func allowsModel(w *declarer.Workspace, model string) bool {
	for _, a := range w.Models {
		if a.Model == model {
			return true
		}
	}
	return false
}

// hasAlternative reports whether the workspace may use another model whose
// stable version is in use and expected to meet its quality targets.
func hasAlternative(c *declarer.Catalog, w *declarer.Workspace, model string) bool {
	for _, a := range w.Models {
		m := c.Model(a.Model)
		if m == nil || m.Name == model {
			continue
		}
		ref := declarer.VersionRef{Model: m.Name, Version: m.Stable}
		v := c.Version(ref)
		if v != nil && w.Allows(ref) && !c.Withdrawn(ref) && !c.Quarantined(ref) && meetsTargets(w, v) {
			return true
		}
	}
	return false
}

func meetsTargets(w *declarer.Workspace, v *declarer.Version) bool {
	for _, target := range w.Quality {
		if v.Quality < target {
			return false
		}
	}
	return true
}

func statsOf(r relayer.Report) detector.Stats {
	return detector.Stats{
		Rated:       detector.Counts{All: r.Rated, Bad: r.Rated - r.Passed},
		Served:      detector.Counts{All: r.Requests, Bad: r.Errors},
		FirstTokens: detector.Counts{All: r.Requests - r.Errors, Bad: r.LateFirst},
	}
}
