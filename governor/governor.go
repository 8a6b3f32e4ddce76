// Package governor turns the statistics of versions into decisions: it moves
// rollouts on or halts them, and quarantines versions that turn bad after
// their rollout.
//
// The control leader runs a Governor over the reports of all zones; its
// decisions are entries of the log. Every host runs Watches over its own
// requests, so that a host reacts at once and also while its zone is cut off.
//
// # Usage
//
//	g := governor.New(governor.Settings{View: machine.View, Leading: group.Leading, Propose: propose, Clock: clock})
//	node.OnReports = g.Take
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
	// Tick is the time between two decisions.
	Tick = time.Second
	// spendSteps is the number of entries by which a stage's spent budget is
	// recorded. Each entry is a new version of the view for all hosts, so
	// there are few.
	spendSteps = 4
	// refusedPause is the time after which a refused quarantine is proposed
	// again. Each proposal is an entry of the log.
	refusedPause = 30 * Tick
)

type (
	// Settings are the parts of a Governor.
	Settings struct {
		// View returns the newest view.
		View func() declarer.View
		// Leading reports whether this host leads, and in which term.
		Leading func() (term uint64, ok bool)
		// Propose has the control group take one item.
		Propose func(context.Context, controller.Item) (controller.Answer, error)
		Clock   timekeeper.Clock
		Scope   counter.Scope
		Log     zerolog.Logger
	}

	// Governor decides on the control leader. Make it with New.
	Governor struct {
		set     Settings
		watches *Watches

		mu       sync.Mutex
		term     uint64
		rollouts map[declarer.VersionRef]*rollout
		// refused is when the control group last refused a quarantine.
		refused map[declarer.VersionRef]time.Time
	}

	// rollout is what this leader has seen of one rollout.
	rollout struct {
		stats detector.Stats
		stage int
		since time.Time
		// spent counts the requests since the stage began or this leader
		// took over.
		spent int64
	}
)

// New returns a governor that has seen nothing.
func New(s Settings) *Governor {
	return &Governor{
		set: s, watches: NewWatches(s.Clock), rollouts: make(map[declarer.VersionRef]*rollout),
		refused: make(map[declarer.VersionRef]time.Time),
	}
}

// Take adds the reports of the zones.
func (g *Governor) Take(reports []relayer.Report) {
	g.watches.Add(reports)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		if o := g.rollouts[declarer.VersionRef{Model: r.Model, Version: r.Version}]; o != nil {
			o.stats = o.stats.Add(statsOf(r))
			o.spent += r.Requests
		}
	}
}

// Run decides every Tick while this host leads, until ctx ends.
func (g *Governor) Run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, g.set.Clock, Tick); err != nil {
			return err
		}
		g.Step(ctx)
	}
}

// Step takes the decisions that are due.
func (g *Governor) Step(ctx context.Context) {
	term, ok := g.set.Leading()
	if !ok {
		return
	}
	view := g.set.View()
	for _, it := range g.decide(term, view) {
		a, err := g.set.Propose(ctx, it)
		if err != nil {
			// The next tick decides anew from the state of the log.
			g.set.Scope.Counter("governor.proposalsFailed").Inc(1)
			return
		}
		if it.Quarantine != nil && a.Quarantine != nil && !a.Quarantine.OK {
			g.set.Scope.Counter("governor.quarantinesRefused").Inc(1)
			g.mu.Lock()
			g.refused[it.Quarantine.Ref] = g.set.Clock.Now()
			g.mu.Unlock()
		}
	}
}

// decide returns the items to propose.
func (g *Governor) decide(term uint64, view declarer.View) []controller.Item {
	g.mu.Lock()
	if term != g.term {
		// What an earlier leadership of this host saw is outdated.
		g.term = term
		clear(g.rollouts)
		clear(g.refused)
		g.watches.Adopt(view.Quarantined)
	}
	var items []controller.Item
	for _, r := range view.Config.Rollouts {
		if it, ok := g.promote(r, view); ok {
			items = append(items, it)
		}
	}
	g.mu.Unlock()
	return append(items, g.quarantines(declarer.NewCatalog(view))...)
}

// quarantines returns the items that bring the log to what the watches want.
// Comparing with the log repeats an item whose proposal failed.
func (g *Governor) quarantines(cat *declarer.Catalog) []controller.Item {
	for _, c := range g.watches.Step(cat) {
		g.set.Log.Warn().Stringer("version", c.Ref).Bool("returned", c.Return).Str("reason", c.Reason).Msg("quarantine changed")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var items []controller.Item
	for _, c := range g.watches.Differences(cat) {
		if at, ok := g.refused[c.Ref]; ok && !c.Return && g.set.Clock.Now().Sub(at) < refusedPause {
			continue
		}
		items = append(items, controller.Item{Quarantine: &controller.Quarantine{
			Ref: c.Ref, Return: c.Return, Last: !c.Return && replaceable(cat, c.Ref.Model),
		}})
	}
	return items
}

// promote returns the next step of a rollout, if one is due. It is called with
// the lock held.
func (g *Governor) promote(r declarer.Rollout, view declarer.View) (controller.Item, bool) {
	ref := declarer.VersionRef{Model: r.Model, Version: r.Version}
	p, ok := progressOf(view, ref)
	if !ok || p.State != declarer.RolloutRunning {
		delete(g.rollouts, ref)
		return controller.Item{}, false
	}
	o := g.follow(ref, p)
	p.Spent = max(p.Spent, o.spent)
	t := promoter.Next(r, p, o.stats, g.set.Clock.Now())
	step := controller.Promote{
		Model: r.Model, Version: r.Version, Stage: p.Stage, Since: p.Since, Share: t.Progress.Share, Reason: t.Reason,
	}
	switch t.Action {
	case promoter.Advance:
		step.Action = controller.Advance
	case promoter.Halt:
		step.Action = controller.Halt
	case promoter.Done:
		step.Action = controller.Done
	default:
		return spend(r, p, recordedSpent(view, ref))
	}
	g.set.Log.Info().Stringer("version", ref).Str("action", string(t.Action)).Str("reason", t.Reason).Msg("rollout moves")
	g.set.Scope.Counter("governor.rolloutSteps", "action", string(t.Action)).Inc(1)
	return controller.Item{Promote: &step}, true
}

// follow returns the record of the rollout, begun anew when the rollout was
// declared anew, and with a new count of requests in each stage.
func (g *Governor) follow(ref declarer.VersionRef, p declarer.Progress) *rollout {
	o := g.rollouts[ref]
	if o == nil || p.Stage < o.stage || p.Stage == o.stage && !p.Since.Equal(o.since) {
		o = &rollout{stage: p.Stage, since: p.Since, spent: p.Spent}
		g.rollouts[ref] = o
	}
	if p.Stage > o.stage {
		o.stage, o.since, o.spent = p.Stage, p.Since, 0
	}
	return o
}

// spend records the spent budget when it has passed the next step.
func spend(r declarer.Rollout, p declarer.Progress, recorded int64) (controller.Item, bool) {
	stages := promoter.Stages(r)
	budget := promoter.Budget(stages[min(p.Stage, len(stages)-1)])
	if budget == promoter.Unlimited || p.Spent*spendSteps/budget <= recorded*spendSteps/budget {
		return controller.Item{}, false
	}
	return controller.Item{Promote: &controller.Promote{
		Model: p.Model, Version: p.Version, Action: controller.Spend, Stage: p.Stage, Since: p.Since, Spent: p.Spent,
	}}, true
}

func progressOf(v declarer.View, ref declarer.VersionRef) (declarer.Progress, bool) {
	for _, p := range v.Progress {
		if p.Model == ref.Model && p.Version == ref.Version {
			return p, true
		}
	}
	return declarer.Progress{}, false
}

func recordedSpent(v declarer.View, ref declarer.VersionRef) int64 {
	p, _ := progressOf(v, ref) // Zero if there is none.
	return p.Spent
}

// replaceable reports whether every workspace that may use the model has
// another one whose stable version is expected to meet its targets.
func replaceable(c *declarer.Catalog, model string) bool {
	for i := range c.View.Config.Workspaces {
		w := &c.View.Config.Workspaces[i]
		if allows(w, model) && !hasOther(c, w, model) {
			return false
		}
	}
	return true
}

func allows(w *declarer.Workspace, model string) bool {
	for _, a := range w.Models {
		if a.Model == model {
			return true
		}
	}
	return false
}

func hasOther(c *declarer.Catalog, w *declarer.Workspace, model string) bool {
	for _, a := range w.Models {
		m := c.Model(a.Model)
		if m == nil || m.Name == model {
			continue
		}
		ref := declarer.VersionRef{Model: m.Name, Version: m.Stable}
		v := c.Version(ref)
		if v != nil && w.Allows(ref) && !c.Withdrawn(ref) && !c.Quarantined(ref) && meets(w, v) {
			return true
		}
	}
	return false
}

func meets(w *declarer.Workspace, v *declarer.Version) bool {
	for _, target := range w.Quality {
		if v.Quality < target {
			return false
		}
	}
	return true
}

func statsOf(r relayer.Report) detector.Stats {
	return detector.Stats{
		Rated:  detector.Counts{All: r.Rated, Bad: r.Rated - r.Passed},
		Served: detector.Counts{All: r.Requests, Bad: r.Errors},
		Tokens: detector.Counts{All: r.Requests - r.Errors, Bad: r.LateFirst},
	}
}
