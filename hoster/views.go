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

// viewFolder is the subfolder of the data folder for the view in force.
const viewFolder = "view"

// views provides the configuration in force on this host. Its quarantined versions
// include the isolated ones, which the host's own watches found degraded. It
// implements router.Views.
type views struct {
	node    *relayer.Node
	clock   timekeeper.Clock
	watches *governor.Watches

	mu       sync.Mutex
	isolated []declarer.VersionRef
	base     *declarer.Catalog
	filtered *declarer.Catalog
}

// createRelayNode creates the relay node through which this host receives the
// configuration and passes it on.
func (h *Host) createRelayNode() error {
	opts := relayer.Options{
		Host: relayer.Host{Name: h.settings.Name, Zone: h.settings.Zone, Control: h.settings.IsControl()}, Clock: h.clock, Scope: h.scope, Log: h.log,
		Transport: messenger.NewRelayTransport(h.tls.peer, messenger.WithDial(h.opts.Dial)),
	}
	if h.settings.Entry {
		opts.Queue = h.queueStatus
	}
	own, _ := h.settings.Spec(h.settings.Name) // Validate has checked the name.
	opts.Host.Addr = own.Addr
	for _, s := range h.settings.Hosts {
		opts.Deployment = append(opts.Deployment, relayer.Host{Name: s.Name, Zone: s.Zone, Addr: s.Addr, Control: h.settings.isControl(s.Name)})
		switch {
		case h.settings.isControl(s.Name):
			opts.Control = append(opts.Control, s.Addr)
		case s.Zone == h.settings.Zone && s.Name != h.settings.Name:
			opts.Peers = append(opts.Peers, s.Addr)
		}
	}
	if h.settings.DataFolder != "" {
		fs, err := journaler.NewOS(filepath.Join(h.settings.DataFolder, viewFolder))
		if err != nil {
			return err
		}
		opts.FS = fs
	}
	if h.control != nil {
		opts.Source, opts.Group, opts.OnReports = h.control.machine, h.control.group, h.control.governor.AddReports
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
		v.base, v.filtered = base, quarantineIsolated(base, v.isolated)
	}
	return v.filtered
}

// Leased implements router.Views.
func (v *views) Leased() bool { return v.node.Holder().Leased() }

// run updates the isolated versions from this host's own requests until ctx ends.
func (v *views) run(ctx context.Context) error {
	for {
		if err := timekeeper.Sleep(ctx, v.clock, governor.Tick); err != nil {
			return err
		}
		v.updateIsolated()
	}
}

func (v *views) updateIsolated() {
	base := v.node.Holder().Catalog()
	if base == nil || len(v.watches.Step(base)) == 0 {
		return
	}
	isolated := v.watches.Quarantined()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolated, v.base = isolated, nil
}

// quarantineIsolated returns c with the isolated versions added to the
// quarantined ones. The last usable version of a model is not added: only the
// control group knows whether the workspaces have another model that meets their
// targets.
func quarantineIsolated(c *declarer.Catalog, isolated []declarer.VersionRef) *declarer.Catalog {
	view := c.View
	view.Quarantined = append([]declarer.VersionRef(nil), view.Quarantined...)
	for _, ref := range isolated {
		if c.Quarantined(ref) || !hasReplacement(c, ref, view.Quarantined) {
			continue
		}
		view.Quarantined = append(view.Quarantined, ref)
	}
	return declarer.NewCatalog(view)
}

// hasReplacement reports whether the model has another version that can take all its
// requests: one that is neither withdrawn, quarantined nor in a rollout. The
// version of a halted rollout gets no requests, and that of a running one only as
// many as its exposure budget allows.
func hasReplacement(c *declarer.Catalog, ref declarer.VersionRef, quarantined []declarer.VersionRef) bool {
	m, p := c.Model(ref.Model), c.Rollout(ref.Model)
	return m != nil && slices.ContainsFunc(m.Versions, func(v declarer.Version) bool {
		o := declarer.VersionRef{Model: ref.Model, Version: v.Name}
		inRollout := p != nil && p.Version == v.Name && p.State != declarer.RolloutDone
		return o != ref && !inRollout && !c.Withdrawn(o) && !slices.Contains(quarantined, o)
	})
}

// hostStatuses returns the state of all hosts for the status procedure, or nil
// before createRelayNode.
func (c *controlMember) hostStatuses() []messenger.HostStatus {
	node := c.node.Load()
	if node == nil {
		return nil
	}
	var out []messenger.HostStatus
	for _, s := range node.Registry().Hosts() {
		out = append(out, messenger.HostStatus{Name: s.Host.Name, Zone: s.Host.Zone, Version: s.Version, Live: s.Live, Seen: s.Seen, Queue: s.Queue})
	}
	return out
}

// viewStatus returns whether a view version is in force, which hosts have not
// confirmed it and which zones are cut off. Set leased for a version that hosts use
// only under a lease. It returns false unless this host leads the control group
// and holds its lease.
func (c *controlMember) viewStatus(version uint64, leased bool) (messenger.VersionStatus, bool) {
	node := c.node.Load()
	term, leads := c.group.Leading()
	if node == nil || !leads || !c.group.HoldsLease() {
		return messenger.VersionStatus{}, false
	}
	// The registry may still hold an earlier term that this host led.
	node.Registry().StartTerm(term)
	s := node.Registry().VersionStatus(version, leased)
	return messenger.VersionStatus{Version: s.Version, InForce: s.InForce, Pending: s.Pending, CutOff: s.CutOff}, true
}
