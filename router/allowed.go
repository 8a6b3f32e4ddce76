package router

import (
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// check returns the refusal for a version that may not run at this moment, or
// nil. It reads the newest configuration.
func (r *Router) check(workspace string, ref declarer.VersionRef) error {
	c, err := r.catalog()
	if err != nil {
		return err
	}
	s := c.Standing(workspace, ref, r.o.Views.Leased())
	switch s {
	case declarer.Usable:
		return nil
	case declarer.NotAllowed:
		return refuser.New(refuser.ModelNotAllowed, refuser.NotRun, "workspace %q may not use %s", workspace, ref)
	default:
		return refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"%s is out of use (%s); send the request again to get another version", ref, s)
	}
}

// fallback returns the version of the model that is used when none is
// assigned or the assigned one is out of use: the stable version, else the
// last declared one that may run and is in no rollout. A version in rollout
// gets no more than its share and its budget.
func fallback(c *declarer.Catalog, leased bool, workspace string, m *declarer.Model) (declarer.VersionRef, bool) {
	ref := declarer.VersionRef{Model: m.Name, Version: m.Stable}
	if c.Standing(workspace, ref, leased) == declarer.Usable {
		return ref, true
	}
	for i := len(m.Versions) - 1; i >= 0; i-- {
		ref.Version = m.Versions[i].Name
		if c.RolloutState(ref) == declarer.RolloutRunning {
			continue
		}
		if c.Standing(workspace, ref, leased) == declarer.Usable {
			return ref, true
		}
	}
	return declarer.VersionRef{}, false
}

// assigned returns the version of the model that a new session with the given
// key gets.
func (r *Router) assigned(c *declarer.Catalog, leased bool, workspace, key string, m *declarer.Model) (declarer.VersionRef, bool) {
	ref := declarer.VersionRef{Model: m.Name, Version: r.o.Assigner.Assign(c, m, workspace, key)}
	if c.Standing(workspace, ref, leased) == declarer.Usable {
		return ref, true
	}
	return fallback(c, leased, workspace, m)
}
