package governor

import (
	"slices"
	"sync"

	"foxtailwall/declarer"
	"foxtailwall/detector"
	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

const (
	// qualityMargin is how far the pass rate of a version may fall below its
	// declared quality before it counts as degraded. The margin is needed
	// because the declared quality is an average over all kinds of requests.
	qualityMargin = 0.1
	// maxErrorRatio is the ratio of failed requests above which a version counts
	// as degraded.
	maxErrorRatio = 0.2
)

type (
	// Watches detects versions that degrade after their rollout, with one
	// detector.Watch for each version. It is safe for concurrent use. Make it
	// with NewWatches.
	Watches struct {
		clock timekeeper.Clock

		mu sync.Mutex
		// watches holds the watch of each version that a Step has evaluated.
		watches map[declarer.VersionRef]*detector.Watch
		// batches holds the statistics added since the last Step.
		batches     map[declarer.VersionRef]detector.Stats
		quarantined map[declarer.VersionRef]bool
		// external holds the versions whose quarantine was decided elsewhere and
		// is applied to their watch by the next Step.
		external map[declarer.VersionRef]bool
	}

	// Change is a decision to quarantine a version or, with Return set, to end
	// its quarantine.
	Change struct {
		Ref    declarer.VersionRef
		Return bool
		Reason string
	}
)

// NewWatches returns watches without statistics.
func NewWatches(clock timekeeper.Clock) *Watches {
	return &Watches{
		clock: clock, watches: make(map[declarer.VersionRef]*detector.Watch),
		batches: make(map[declarer.VersionRef]detector.Stats), quarantined: make(map[declarer.VersionRef]bool),
		external: make(map[declarer.VersionRef]bool),
	}
}

// Add adds reports to the statistics that the next Step evaluates.
func (w *Watches) Add(reports []relayer.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range reports {
		ref := declarer.VersionRef{Model: r.Model, Version: r.Version}
		w.batches[ref] = w.batches[ref].Add(statsOf(r))
	}
}

// SyncQuarantines replaces the quarantined versions by refs, which were decided
// elsewhere, for example by an earlier leader, so that these quarantines also
// end after a probation. Versions that are no longer quarantined start with an
// empty watch.
func (w *Watches) SyncQuarantines(refs []declarer.VersionRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ref, active := range w.quarantined {
		if active && !slices.Contains(refs, ref) {
			delete(w.quarantined, ref)
			delete(w.watches, ref)
		}
	}
	for _, ref := range refs {
		if w.quarantined[ref] {
			continue
		}
		// The next Step applies the quarantine: it needs a watch, whose limits come
		// from the version's declaration, which is not available here.
		w.external[ref] = true
	}
}

// Step evaluates the statistics added since the last step and returns the
// quarantines that begin or end. It ignores versions in a running rollout, which
// the rollout's guard covers.
func (w *Watches) Step(c *declarer.Catalog) []Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Change
	for _, m := range c.View.Config.Models {
		for i := range m.Versions {
			ref := declarer.VersionRef{Model: m.Name, Version: m.Versions[i].Name}
			if inRollout(c, ref) {
				delete(w.batches, ref)
				continue
			}
			if ch, ok := w.updateVersion(ref, &m.Versions[i]); ok {
				out = append(out, ch)
			}
		}
	}
	return out
}

// PendingChanges returns the changes that make the quarantines of the catalog
// match those of the watches as of the last step. It ignores versions in a
// running rollout.
func (w *Watches) PendingChanges(c *declarer.Catalog) []Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Change
	for _, m := range c.View.Config.Models {
		for _, v := range m.Versions {
			ref := declarer.VersionRef{Model: m.Name, Version: v.Name}
			if watch := w.watches[ref]; watch != nil && !inRollout(c, ref) && w.quarantined[ref] != c.Quarantined(ref) {
				_, reason := watch.State()
				out = append(out, Change{Ref: ref, Return: !w.quarantined[ref], Reason: reason})
			}
		}
	}
	return out
}

// inRollout reports whether the version is in a running rollout.
func inRollout(c *declarer.Catalog, ref declarer.VersionRef) bool {
	p := c.Rollout(ref.Model)
	return p != nil && p.Version == ref.Version && p.State == declarer.RolloutRunning
}

// updateVersion passes the version's statistics to its watch, and returns the
// change if a quarantine begins or ends. The caller holds w.mu.
func (w *Watches) updateVersion(ref declarer.VersionRef, v *declarer.Version) (Change, bool) {
	watch := w.watches[ref]
	if watch == nil {
		watch = detector.NewWatch(limitsOf(v), detector.Settings{Clock: w.clock})
		w.watches[ref] = watch
	}
	if w.external[ref] {
		delete(w.external, ref)
		watch.Quarantine("quarantined before this host became leader")
		w.quarantined[ref] = true
	}
	state := watch.Add(w.batches[ref])
	delete(w.batches, ref)
	quarantined := state == detector.Quarantined
	if quarantined == w.quarantined[ref] {
		return Change{}, false
	}
	w.quarantined[ref] = quarantined
	_, reason := watch.State()
	return Change{Ref: ref, Return: !quarantined, Reason: reason}, true
}

// Quarantined returns the versions that these watches have quarantined.
func (w *Watches) Quarantined() []declarer.VersionRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []declarer.VersionRef
	for ref, active := range w.quarantined {
		if active {
			out = append(out, ref)
		}
	}
	return out
}

// limitsOf returns the limits beyond which a version counts as degraded.
func limitsOf(v *declarer.Version) detector.Limits {
	return detector.Limits{Rated: min(1-v.Quality+qualityMargin, 1), Served: maxErrorRatio}
}
