package router

import (
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// Standing of a version for one workspace at one moment.
const (
	// usable versions may run.
	usable standing = ""
	// notAllowed versions are not declared or not among the workspace's.
	notAllowed standing = "notAllowed"
	// withdrawn versions were taken out of use by an operator.
	withdrawn standing = "versionWithdrawn"
	// quarantined versions were taken out by the change detector and may
	// come back.
	quarantined standing = "versionQuarantined"
	// halted versions failed their roll-out.
	halted standing = "rolloutHalted"
	// unleased versions need a valid lease of this host.
	unleased standing = "leaseExpired"
)

type standing string

// standingOf applies all rules on which versions may run, to one snapshot of
// the configuration. It serves the plan as well as the check at dispatch.
func standingOf(c *declarer.Catalog, leased bool, workspace string, ref declarer.VersionRef) standing {
	w, m := c.Workspace(workspace), c.Model(ref.Model)
	if w == nil || m == nil || !w.Allows(ref) || c.Version(ref) == nil {
		return notAllowed
	}
	if c.Withdrawn(ref) {
		return withdrawn
	}
	if c.Quarantined(ref) {
		return quarantined
	}
	if p := c.Rollout(ref.Model); p != nil && p.Version == ref.Version {
		switch {
		case p.State == declarer.RolloutHalted:
			return halted
		case p.State == declarer.RolloutRunning && !leased:
			return unleased
		}
	}
	if m.CutOff == declarer.CutOffRefuse && !leased {
		return unleased
	}
	return usable
}

// check returns the refusal for a version that may not run at this moment, or
// nil. It reads the newest configuration.
func (r *Router) check(workspace string, ref declarer.VersionRef) error {
	c, err := r.catalog()
	if err != nil {
		return err
	}
	s := standingOf(c, r.o.Views.Leased(), workspace, ref)
	switch s {
	case usable:
		return nil
	case notAllowed:
		return refuser.New(refuser.ModelNotAllowed, refuser.NotRun, "workspace %q may not use %s", workspace, ref)
	default:
		return refuser.New(refuser.VersionWithdrawn, refuser.NotRun,
			"%s is out of use (%s); send the request again to get another version", ref, s)
	}
}

// fallback returns the version of the model that is used when none is
// assigned or the assigned one is out of use: the stable version, else the
// last declared one that may run.
func fallback(c *declarer.Catalog, leased bool, workspace string, m *declarer.Model) (declarer.VersionRef, bool) {
	ref := declarer.VersionRef{Model: m.Name, Version: m.Stable}
	if standingOf(c, leased, workspace, ref) == usable {
		return ref, true
	}
	for i := len(m.Versions) - 1; i >= 0; i-- {
		ref.Version = m.Versions[i].Name
		if standingOf(c, leased, workspace, ref) == usable {
			return ref, true
		}
	}
	return declarer.VersionRef{}, false
}

// assigned returns the version of the model that a new session with the given
// key gets.
func (r *Router) assigned(c *declarer.Catalog, leased bool, workspace, key string, m *declarer.Model) (declarer.VersionRef, bool) {
	ref := declarer.VersionRef{Model: m.Name, Version: r.o.Assigner.Assign(c, m, workspace, key)}
	if standingOf(c, leased, workspace, ref) == usable {
		return ref, true
	}
	return fallback(c, leased, workspace, m)
}
