package chooser

import (
	"slices"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

// Auto is the model name by which a caller leaves the choice to the router.
const Auto = declarer.AnyModel

type (
	// Candidate is a version that a request may use.
	Candidate struct {
		Ref     declarer.VersionRef
		Version *declarer.Version
		// Assigned says that a new session gets this version. The others of
		// the model are for sessions pinned to them.
		Assigned bool
		// InRollout says that the version is in a running rollout. Before it
		// assigns one, the router takes a request from its exposure budget.
		InRollout bool
		// LastResort says that the version is quarantined but the model has no
		// other left; it is used only when nothing else can be.
		LastResort bool
	}

	// Candidates are the versions that a request may use.
	Candidates []Candidate
)

// Allowed returns the versions that the workspace may use now for a request
// that names the model, or Auto for all its models. A version is allowed if
// the workspace allows it, it is not withdrawn or quarantined, its rollout
// was not halted, and the host has a lease where the version needs one: in a
// running rollout and for models that refuse when cut off.
//
// The result holds for one catalog and one moment. The router calls Allowed
// again at dispatch and sends nothing to a version that is no longer in it.
//
// The session key decides which sessions get a version in rollout; requests
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
	return cs.index(r) >= 0
}

// Assigned returns the version that a new session of the model gets.
func (cs Candidates) Assigned(model string) (Candidate, bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Assigned && c.Ref.Model == model })
	if i < 0 {
		return Candidate{}, false
	}
	return cs[i], true
}

// Without returns the candidates without the version. If it was assigned,
// another version of its model takes its place, as if the version did not
// exist. The router uses it when the exposure budget of a rollout is spent.
func (cs Candidates) Without(c *declarer.Catalog, r declarer.VersionRef) Candidates {
	out := slices.DeleteFunc(slices.Clone(cs), func(o Candidate) bool { return o.Ref == r })
	if _, ok := out.Assigned(r.Model); ok {
		return out
	}
	if m := c.Model(r.Model); m != nil {
		if i := out.settled(c, m); i >= 0 {
			out[i].Assigned = true
		}
	}
	return out
}

func (cs Candidates) assigned() (n int) {
	for i := range cs {
		if cs[i].Assigned {
			n++
		}
	}
	return n
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
		o := Candidate{Ref: r, Version: v, InRollout: c.RolloutState(r) == declarer.RolloutRunning}
		switch c.Standing(w.Name, r, leased) {
		case declarer.Usable:
			out = append(out, o)
		case declarer.Quarantined:
			o.LastResort = true
			quarantined = append(quarantined, o)
		}
	}
	if len(out) == 0 {
		out = quarantined
	}
	if i := assign(c, m, out, sessionKey); i >= 0 {
		out[i].Assigned = true
	}
	return out
}

// assign returns the index of the version that a new session gets: the one in
// rollout if the session is in its share, else the settled one, or -1.
func assign(c *declarer.Catalog, m *declarer.Model, cs Candidates, sessionKey string) int {
	if p := c.Rollout(m.Name); p != nil && p.State == declarer.RolloutRunning {
		r := declarer.VersionRef{Model: m.Name, Version: p.Version}
		i := cs.index(r)
		if i >= 0 && !cs[i].LastResort && pinner.Assigned(r, sessionKey, p.Share) {
			return i
		}
	}
	return cs.settled(c, m)
}

// settled returns the index of the model's stable version, else that of the
// version of the highest declared quality that is in no rollout, or -1.
func (cs Candidates) settled(c *declarer.Catalog, m *declarer.Model) int {
	stable := m.Stable
	if p := c.Rollout(m.Name); p != nil && p.State == declarer.RolloutDone {
		stable = p.Version
	}
	if i := cs.index(declarer.VersionRef{Model: m.Name, Version: stable}); i >= 0 {
		return i
	}
	best := -1
	for i, o := range cs {
		if o.Ref.Model == m.Name && !o.InRollout && (best < 0 || o.Version.Quality > cs[best].Version.Quality) {
			best = i
		}
	}
	return best
}

func (cs Candidates) index(r declarer.VersionRef) int {
	return slices.IndexFunc(cs, func(c Candidate) bool { return c.Ref == r })
}
