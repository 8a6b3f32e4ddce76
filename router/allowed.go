package router

import (
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// checkVersion returns a refusal if the workspace may not use the version at
// this moment, else nil. It reads the newest configuration.
func (r *Router) checkVersion(workspace string, ref declarer.VersionRef) error {
	c, err := r.catalog()
	if err != nil {
		return err
	}
	s := c.Availability(workspace, ref, r.opts.Views.Leased())
	switch s {
	case declarer.Usable:
		return nil
	case declarer.NotAllowed:
		return refuser.New(refuser.ModelNotAllowed, refuser.NotRun, "workspace %q may not use %s", workspace, ref)
	default:
		return refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"%s is not available (%s); send the request again to get another version", ref, s)
	}
}

// fallbackVersion returns the version to use when the assigned or pinned
// version is not available: the stable version, else the last declared usable
// version without a running rollout. A version in rollout gets no traffic
// beyond its share and budget.
func fallbackVersion(c *declarer.Catalog, leased bool, workspace string, m *declarer.Model) (declarer.VersionRef, bool) {
	ref := declarer.VersionRef{Model: m.Name, Version: m.Stable}
	if c.Availability(workspace, ref, leased) == declarer.Usable {
		return ref, true
	}
	for i := len(m.Versions) - 1; i >= 0; i-- {
		ref.Version = m.Versions[i].Name
		if c.RolloutState(ref) == declarer.RolloutRunning {
			continue
		}
		if c.Availability(workspace, ref, leased) == declarer.Usable {
			return ref, true
		}
	}
	return declarer.VersionRef{}, false
}

// assignVersion returns the version of the model for a new session with the
// given key. It reports false if no version of the model is usable.
func (r *Router) assignVersion(c *declarer.Catalog, leased bool, workspace, key string, m *declarer.Model) (declarer.VersionRef, bool) {
	ref := declarer.VersionRef{Model: m.Name, Version: r.opts.Assigner.Assign(c, m, workspace, key)}
	if c.Availability(workspace, ref, leased) == declarer.Usable {
		return ref, true
	}
	return fallbackVersion(c, leased, workspace, m)
}
