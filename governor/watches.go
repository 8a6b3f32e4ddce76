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
	// declared quality before it counts as changed. The declared quality is
	// an expectation over all kinds of requests.
	qualityMargin = 0.1
	// errorLimit is the share of failed requests that counts as a change.
	errorLimit = 0.2
)

type (
	// Watches look for versions that turn bad after their rollout. They are
	// safe for concurrent use. Make them with NewWatches.
	Watches struct {
		clock timekeeper.Clock

		mu       sync.Mutex
		watches  map[declarer.VersionRef]*detector.Watch
		batches  map[declarer.VersionRef]detector.Stats
		isolated map[declarer.VersionRef]bool
		adopted  map[declarer.VersionRef]bool
	}

	// Change says that a version should be taken out of use or returned.
	Change struct {
		Ref    declarer.VersionRef
		Return bool
		Reason string
	}
)

// NewWatches returns watches that have seen nothing.
func NewWatches(clock timekeeper.Clock) *Watches {
	return &Watches{
		clock: clock, watches: make(map[declarer.VersionRef]*detector.Watch),
		batches: make(map[declarer.VersionRef]detector.Stats), isolated: make(map[declarer.VersionRef]bool),
		adopted: make(map[declarer.VersionRef]bool),
	}
}

// Add takes the counts of requests since the last call.
func (w *Watches) Add(reports []relayer.Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range reports {
		ref := declarer.VersionRef{Model: r.Model, Version: r.Version}
		w.batches[ref] = w.batches[ref].Add(statsOf(r))
	}
}

// Adopt takes over quarantines that were decided elsewhere, for instance by an
// earlier leader, so that they end after a probation as well. Versions that
// are not among them are watched anew if they were out of use here.
func (w *Watches) Adopt(refs []declarer.VersionRef) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for ref, yes := range w.isolated {
		if yes && !slices.Contains(refs, ref) {
			delete(w.isolated, ref)
			delete(w.watches, ref)
		}
	}
	for _, ref := range refs {
		if w.isolated[ref] {
			continue
		}
		// The limits are set by the first step, which knows the declaration.
		w.adopted[ref] = true
	}
}

// Step returns what has changed since the last step. Versions in a running
// rollout are left to its guard.
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
			if ch, ok := w.step(ref, &m.Versions[i]); ok {
				out = append(out, ch)
			}
		}
	}
	return out
}

// Differences returns the changes that bring the quarantines of the catalog to
// those of the watches, as of the last step. Versions in a running rollout are
// left as they are.
func (w *Watches) Differences(c *declarer.Catalog) []Change {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Change
	for _, m := range c.View.Config.Models {
		for _, v := range m.Versions {
			ref := declarer.VersionRef{Model: m.Name, Version: v.Name}
			if watch := w.watches[ref]; watch != nil && !inRollout(c, ref) && w.isolated[ref] != c.Quarantined(ref) {
				_, reason := watch.State()
				out = append(out, Change{Ref: ref, Return: !w.isolated[ref], Reason: reason})
			}
		}
	}
	return out
}

func inRollout(c *declarer.Catalog, ref declarer.VersionRef) bool {
	p := c.Rollout(ref.Model)
	return p != nil && p.Version == ref.Version && p.State == declarer.RolloutRunning
}

func (w *Watches) step(ref declarer.VersionRef, v *declarer.Version) (Change, bool) {
	watch := w.watches[ref]
	if watch == nil {
		watch = detector.NewWatch(limitsOf(v), detector.Settings{Clock: w.clock})
		w.watches[ref] = watch
	}
	if w.adopted[ref] {
		delete(w.adopted, ref)
		watch.Quarantine("quarantined before this host led")
		w.isolated[ref] = true
	}
	state := watch.Add(w.batches[ref])
	delete(w.batches, ref)
	isolated := state == detector.Quarantined
	if isolated == w.isolated[ref] {
		return Change{}, false
	}
	w.isolated[ref] = isolated
	_, reason := watch.State()
	return Change{Ref: ref, Return: !isolated, Reason: reason}, true
}

// Isolated returns the versions that are out of use by these watches.
func (w *Watches) Isolated() []declarer.VersionRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []declarer.VersionRef
	for ref, yes := range w.isolated {
		if yes {
			out = append(out, ref)
		}
	}
	return out
}

func limitsOf(v *declarer.Version) detector.Limits {
	return detector.Limits{Rated: min(1-v.Quality+qualityMargin, 1), Served: errorLimit}
}
