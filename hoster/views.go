package hoster

import (
	"context"
	"path/filepath"
	"slices"
	"sync"

	"foxtailwall/declarer"
	"foxtailwall/governor"
	"foxtailwall/journaler"
	"foxtailwall/messenger"
	"foxtailwall/relayer"
	"foxtailwall/timekeeper"
)

// viewFolder holds the view in force below the data folder.
const viewFolder = "view"

// views is the configuration in force on this host, less the versions that
// this host has taken out of use by its own observation. It implements
// router.Views.
type views struct {
	node    *relayer.Node
	clock   timekeeper.Clock
	watches *governor.Watches

	mu       sync.Mutex
	isolated []declarer.VersionRef
	base     *declarer.Catalog
	overlaid *declarer.Catalog
}

// followViews makes this host's part in the distribution.
func (h *Host) followViews() error {
	opts := relayer.Options{
		Host: relayer.Host{Name: h.set.Name, Zone: h.set.Zone, Control: h.set.IsControl()}, Clock: h.clock, Scope: h.scope, Log: h.log,
		Transport: messenger.NewRelayTransport(h.tls.peer, messenger.WithDial(h.opts.Dial)),
	}
	own, _ := h.set.Spec(h.set.Name) // Validate has checked the name.
	opts.Host.Addr = own.Addr
	for _, s := range h.set.Hosts {
		opts.Deployment = append(opts.Deployment, relayer.Host{Name: s.Name, Zone: s.Zone, Addr: s.Addr, Control: h.set.isControl(s.Name)})
		switch {
		case h.set.isControl(s.Name):
			opts.Control = append(opts.Control, s.Addr)
		case s.Zone == h.set.Zone && s.Name != h.set.Name:
			opts.Peers = append(opts.Peers, s.Addr)
		}
	}
	if h.set.DataFolder != "" {
		fs, err := journaler.NewOS(filepath.Join(h.set.DataFolder, viewFolder))
		if err != nil {
			return err
		}
		opts.FS = fs
	}
	if h.control != nil {
		opts.Source, opts.Group, opts.OnReports = h.control.machine, h.control.group, h.control.governor.Take
	}
	node, err := relayer.NewNode(opts)
	if err != nil {
		return err
	}
	messenger.HandleRelay(h.mux, node)
	if h.control != nil {
		h.control.node.Store(node)
	}
	h.views = &views{node: node, clock: h.clock, watches: governor.NewWatches(h.clock)}
	return nil
}

// Catalog implements router.Views.
func (v *views) Catalog() *declarer.Catalog {
	base := v.node.Holder().Catalog()
	v.mu.Lock()
	defer v.mu.Unlock()
	if base == nil || len(v.isolated) == 0 {
		return base
	}
	if v.base != base {
		v.base, v.overlaid = base, overlay(base, v.isolated)
	}
	return v.overlaid
}

// Leased implements router.Views.
func (v *views) Leased() bool { return v.node.Holder().Leased() }

// run watches the versions by this host's own requests until ctx ends.
func (v *views) run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, v.clock, governor.Tick); err != nil {
			return err
		}
		v.step()
	}
}

func (v *views) step() {
	base := v.node.Holder().Catalog()
	if base == nil || len(v.watches.Step(base)) == 0 {
		return
	}
	isolated := v.watches.Isolated()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolated, v.base = isolated, nil
}

// overlay adds the isolated versions to the quarantined ones. The last usable
// version of a model stays: only the control group knows whether the
// workspaces have another model that meets their targets.
func overlay(c *declarer.Catalog, isolated []declarer.VersionRef) *declarer.Catalog {
	view := c.View
	view.Quarantined = append([]declarer.VersionRef(nil), view.Quarantined...)
	for _, ref := range isolated {
		if c.Quarantined(ref) || !replaced(c, ref, view.Quarantined) {
			continue
		}
		view.Quarantined = append(view.Quarantined, ref)
	}
	return declarer.NewCatalog(view)
}

// replaced reports whether the model has another version that can take all its
// requests: one that is neither withdrawn, quarantined nor in a rollout. A
// halted version may not run, and a running one has a budget.
func replaced(c *declarer.Catalog, ref declarer.VersionRef, quarantined []declarer.VersionRef) bool {
	m, p := c.Model(ref.Model), c.Rollout(ref.Model)
	return m != nil && slices.ContainsFunc(m.Versions, func(v declarer.Version) bool {
		o := declarer.VersionRef{Model: ref.Model, Version: v.Name}
		inRollout := p != nil && p.Version == v.Name && p.State != declarer.RolloutDone
		return o != ref && !inRollout && !c.Withdrawn(o) && !slices.Contains(quarantined, o)
	})
}

// statuses lists the hosts for the status procedure.
func (c *control) statuses() []messenger.HostStatus {
	node := c.node.Load()
	if node == nil {
		return nil
	}
	var out []messenger.HostStatus
	for _, s := range node.Registry().Hosts() {
		out = append(out, messenger.HostStatus{Name: s.Host.Name, Zone: s.Host.Zone, Version: s.Version, Live: s.Live, Seen: s.Seen})
	}
	return out
}

// standing returns how far a version has come into force, if this host leads.
func (c *control) standing(version uint64, leased bool) (messenger.Standing, bool) {
	node := c.node.Load()
	term, leads := c.group.Leading()
	if node == nil || !leads || !c.group.Leased() {
		return messenger.Standing{}, false
	}
	// The registry may still be that of an earlier term of this host.
	node.Registry().Lead(term)
	s := node.Registry().Standing(version, leased)
	return messenger.Standing{Version: s.Version, InForce: s.InForce, Pending: s.Pending, CutOff: s.CutOff}, true
}
