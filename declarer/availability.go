package declarer

import "slices"

// Results of Catalog.Availability.
const (
	// Usable versions may run.
	Usable Availability = ""
	// NotAllowed versions are not declared or not allowed for the workspace.
	NotAllowed Availability = "notAllowed"
	// Withdrawn versions were taken out of use by an operator.
	Withdrawn Availability = "versionWithdrawn"
	// Halted versions had their rollout halted.
	Halted Availability = "rolloutHalted"
	// LeaseRequired versions may run only on hosts with a valid lease.
	LeaseRequired Availability = "leaseExpired"
	// Quarantined versions were taken out of use by the change detector and
	// may be restored.
	Quarantined Availability = "versionQuarantined"
)

// Availability says whether a version may run, and if not, why.
type Availability string

// Availability reports whether the workspace may run the version; leased says
// whether the host has a valid lease. Planning and the check at dispatch both
// use it, so that they apply the same rules.
func (c *Catalog) Availability(workspace string, r VersionRef, leased bool) Availability {
	w, m := c.Workspace(workspace), c.Model(r.Model)
	if w == nil || m == nil || !w.Allows(r) || c.Version(r) == nil {
		return NotAllowed
	}
	if c.Withdrawn(r) {
		return Withdrawn
	}
	state := c.RolloutState(r)
	switch {
	case state == RolloutHalted:
		return Halted
	case !leased && (state == RolloutRunning || m.CutOff == CutOffRefuse):
		return LeaseRequired
	case c.Quarantined(r):
		return Quarantined
	}
	return Usable
}

// RolloutState returns the state of the version's rollout, or "" if it has
// none. A declared rollout without progress counts as running, since the
// version has not passed a guard yet.
func (c *Catalog) RolloutState(r VersionRef) RolloutState {
	if p := c.Rollout(r.Model); p != nil && p.Version == r.Version {
		return p.State
	}
	declared := slices.ContainsFunc(c.View.Config.Rollouts, func(o Rollout) bool {
		return o.Model == r.Model && o.Version == r.Version
	})
	if m := c.Model(r.Model); declared && m != nil && m.Stable != r.Version {
		return RolloutRunning
	}
	return ""
}
