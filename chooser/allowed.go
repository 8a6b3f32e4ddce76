package chooser

import (
	"slices"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

// Auto is the model name by which a caller leaves the choice to the router.
const Auto = "auto"

type (
	// Candidate is a version that a request may use.
	Candidate struct {
		Ref     declarer.VersionRef
		Version *declarer.Version
		// Assigned says that a new session gets this version. The others of
		// the model are for sessions pinned to them.
		Assigned bool
		// LastResort says that the version is quarantined but the model has no
		// other left; it is used only when nothing else can be.
		LastResort bool
	}

	// Candidates are the versions that a request may use.
	Candidates []Candidate
)

// Allowed returns the versions that the workspace may use now for a request
// that names the model, or Auto for all its models. A version is allowed if
// the workspace allows it, it is not withdrawn or quarantined, its roll-out
// was not halted, and the host has a lease where the version needs one: in a
// running roll-out and for models that refuse when cut off.
//
// The result holds for one catalog and one moment. The router calls Allowed
// again at dispatch and sends nothing to a version that is no longer in it.
//
// The session key decides which sessions get a version in roll-out; requests
// without a session use their request ID.
func Allowed(c *declarer.Catalog, workspace, model string, leased bool, sessionKey string) Candidates {
	w := c.Workspace(workspace)
	if w == nil {
		return nil
	}
	var out Candidates
	for _, a := range w.Models {
		m := c.Model(a.Model)
		if m == nil || model != Auto && model != a.Model || out.model(a.Model) {
			continue
		}
		out = append(out, ofModel(c, w, m, leased, sessionKey)...)
	}
	return out
}

// Contains reports whether the version is among the candidates.
func (cs Candidates) Contains(r declarer.VersionRef) bool {
	return slices.ContainsFunc(cs, func(c Candidate) bool { return c.Ref == r })
}

// Assigned returns the version that a new session of the model gets.
func (cs Candidates) Assigned(model string) (Candidate, bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Assigned && c.Ref.Model == model })
	if i < 0 {
		return Candidate{}, false
	}
	return cs[i], true
}

func (cs Candidates) model(name string) bool {
	return slices.ContainsFunc(cs, func(c Candidate) bool { return c.Ref.Model == name })
}

// ofModel returns the allowed versions of one model, one of them assigned.
func ofModel(c *declarer.Catalog, w *declarer.Workspace, m *declarer.Model, leased bool, sessionKey string) Candidates {
	var out, quarantined Candidates
	for i := range m.Versions {
		v := &m.Versions[i]
		r := declarer.VersionRef{Model: m.Name, Version: v.Name}
		if !w.Allows(r) || c.Withdrawn(r) || !usable(c, m, r, leased) {
			continue
		}
		if c.Quarantined(r) {
			quarantined = append(quarantined, Candidate{Ref: r, Version: v, LastResort: true})
			continue
		}
		out = append(out, Candidate{Ref: r, Version: v})
	}
	if len(out) == 0 {
		out = quarantined
	}
	if i := assign(c, m, out, sessionKey); i >= 0 {
		out[i].Assigned = true
	}
	return out
}

// usable reports whether roll-out and lease let the version run.
func usable(c *declarer.Catalog, m *declarer.Model, r declarer.VersionRef, leased bool) bool {
	if m.CutOff == declarer.CutOffRefuse && !leased {
		return false
	}
	switch rolloutState(c, r) {
	case declarer.RolloutHalted:
		return false
	case declarer.RolloutRunning:
		return leased
	}
	return true
}

// rolloutState returns the state of the version's roll-out, or "" if it has
// none. A declared roll-out without progress counts as running, since the
// version has not yet passed any guard.
func rolloutState(c *declarer.Catalog, r declarer.VersionRef) declarer.RolloutState {
	if p := c.Rollout(r.Model); p != nil && p.Version == r.Version {
		return p.State
	}
	declared := slices.ContainsFunc(c.View.Config.Rollouts, func(o declarer.Rollout) bool {
		return o.Model == r.Model && o.Version == r.Version
	})
	if m := c.Model(r.Model); declared && m != nil && m.Stable != r.Version {
		return declarer.RolloutRunning
	}
	return ""
}

// assign returns the index of the version that a new session gets: the one in
// roll-out if the session is in its share, else the stable one, else the one
// of the highest declared quality that is in no roll-out. It returns -1 when
// there is none.
func assign(c *declarer.Catalog, m *declarer.Model, cs Candidates, sessionKey string) int {
	stable := m.Stable
	if p := c.Rollout(m.Name); p != nil {
		r := declarer.VersionRef{Model: m.Name, Version: p.Version}
		running := p.State == declarer.RolloutRunning && pinner.Assigned(r, sessionKey, p.Share)
		if i := cs.index(p.Version); i >= 0 && !cs[i].LastResort && running {
			return i
		}
		if p.State == declarer.RolloutDone {
			stable = p.Version
		}
	}
	if i := cs.index(stable); i >= 0 {
		return i
	}
	best := -1
	for i := range cs {
		if rolloutState(c, cs[i].Ref) == declarer.RolloutRunning {
			continue
		}
		if best < 0 || cs[i].Version.Quality > cs[best].Version.Quality {
			best = i
		}
	}
	return best
}

func (cs Candidates) index(version string) int {
	return slices.IndexFunc(cs, func(c Candidate) bool { return c.Ref.Version == version })
}
