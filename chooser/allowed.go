package chooser

import (
	"slices"

	"foxtailwall/declarer"
	"foxtailwall/pinner"
)

// Auto is the model name that leaves the choice of model to the router.
const Auto = declarer.AnyModel

type (
	// Candidate is a version that a request may use.
	Candidate struct {
		Ref     declarer.VersionRef
		Version *declarer.Version
		// Assigned is true if new sessions of the model use this version. The
		// other versions of the model are for sessions pinned to them.
		Assigned bool
		// InRollout is true if the version is in a running rollout, whose
		// exposure budget limits the requests assigned to it.
		InRollout bool
		// LastResort is true if the version is quarantined and the model has no
		// other version left; it is used only if there are no other candidates.
		LastResort bool
	}

	// Candidates lists the versions that a request may use.
	Candidates []Candidate
)

// Allowed returns the versions that the workspace may use now for a request
// that names the model, or Auto for any of its models. A version is allowed if
// the workspace allows it, it is not withdrawn or quarantined, its rollout was
// not halted, and the host holds a lease (leased) where the version needs one:
// in a running rollout and for models that refuse requests when cut off. If all
// versions of a model that remain are quarantined, those are returned.
//
// The result is valid for this catalog at this moment. Whether the version may
// be used must be checked again at dispatch.
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
		if m == nil || model != Auto && model != a.Model || out.hasModel(a.Model) {
			continue
		}
		out = append(out, modelCandidates(c, w, m, leased, sessionKey)...)
	}
	return out
}

// Contains reports whether the version is among the candidates.
func (cs Candidates) Contains(r declarer.VersionRef) bool {
	return cs.index(r) >= 0
}

// Assigned returns the version for new sessions of the model.
func (cs Candidates) Assigned(model string) (Candidate, bool) {
	i := slices.IndexFunc(cs, func(c Candidate) bool { return c.Assigned && c.Ref.Model == model })
	if i < 0 {
		return Candidate{}, false
	}
	return cs[i], true
}

// Without returns the candidates without the version. If it was assigned, the
// default version of its model is assigned instead. It is meant for a rollout
// whose exposure budget is spent.
func (cs Candidates) Without(c *declarer.Catalog, r declarer.VersionRef) Candidates {
	out := slices.DeleteFunc(slices.Clone(cs), func(o Candidate) bool { return o.Ref == r })
	if _, ok := out.Assigned(r.Model); ok {
		return out
	}
	if m := c.Model(r.Model); m != nil {
		if i := out.defaultIndex(c, m); i >= 0 {
			out[i].Assigned = true
		}
	}
	return out
}

func (cs Candidates) countAssigned() (n int) {
	for i := range cs {
		if cs[i].Assigned {
			n++
		}
	}
	return n
}

func (cs Candidates) hasModel(name string) bool {
	return slices.ContainsFunc(cs, func(c Candidate) bool { return c.Ref.Model == name })
}

// modelCandidates returns the allowed versions of one model, one of them
// assigned. If all that remain are quarantined, it returns those.
func modelCandidates(c *declarer.Catalog, w *declarer.Workspace, m *declarer.Model, leased bool, sessionKey string) Candidates {
	var usable, quarantined Candidates
	for i := range m.Versions {
		v := &m.Versions[i]
		r := declarer.VersionRef{Model: m.Name, Version: v.Name}
		candidate := Candidate{Ref: r, Version: v, InRollout: c.RolloutState(r) == declarer.RolloutRunning}
		switch c.Availability(w.Name, r, leased) {
		case declarer.Usable:
			usable = append(usable, candidate)
		case declarer.Quarantined:
			candidate.LastResort = true
			quarantined = append(quarantined, candidate)
		}
	}
	if len(usable) == 0 {
		usable = quarantined
	}
	if i := assignedIndex(c, m, usable, sessionKey); i >= 0 {
		usable[i].Assigned = true
	}
	return usable
}

// assignedIndex returns the index of the version for new sessions: the one in
// rollout if the session is in its share, or else the default, or -1.
func assignedIndex(c *declarer.Catalog, m *declarer.Model, cs Candidates, sessionKey string) int {
	if rollout := c.Rollout(m.Name); rollout != nil && rollout.State == declarer.RolloutRunning {
		ref := declarer.VersionRef{Model: m.Name, Version: rollout.Version}
		i := cs.index(ref)
		if i >= 0 && !cs[i].LastResort && pinner.Assigned(ref, sessionKey, rollout.Share) {
			return i
		}
	}
	return cs.defaultIndex(c, m)
}

// defaultIndex returns the index of the model's stable version, or else that of
// the version of the highest declared quality that is in no rollout, or -1.
func (cs Candidates) defaultIndex(c *declarer.Catalog, m *declarer.Model) int {
	stable := m.Stable
	if rollout := c.Rollout(m.Name); rollout != nil && rollout.State == declarer.RolloutDone {
		stable = rollout.Version
	}
	if i := cs.index(declarer.VersionRef{Model: m.Name, Version: stable}); i >= 0 {
		return i
	}
	best := -1
	for i, candidate := range cs {
		if candidate.Ref.Model == m.Name && !candidate.InRollout && (best < 0 || candidate.Version.Quality > cs[best].Version.Quality) {
			best = i
		}
	}
	return best
}

func (cs Candidates) index(r declarer.VersionRef) int {
	return slices.IndexFunc(cs, func(c Candidate) bool { return c.Ref == r })
}
