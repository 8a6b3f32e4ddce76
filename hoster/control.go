package hoster

import (
	"context"
	"net/netip"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/governor"
	"foxtailwall/journaler"
	"foxtailwall/messenger"
	"foxtailwall/refuser"
	"foxtailwall/relayer"
	"foxtailwall/replicator"
)

const (
	// groupFolder is the subfolder of the data folder for the replicated log.
	groupFolder = "group"
	// upgradeRetry is the delay after which to repeat a command that a member of an
	// earlier release does not apply. Upgrades of hosts take seconds to minutes.
	upgradeRetry = 10 * time.Second
)

type (
	// controlMember holds what a host runs as a member of the control group: the
	// replicated state machine, the service for the other hosts, the governor and
	// the orders to engines.
	controlMember struct {
		machine     *controller.Machine
		group       *replicator.Group
		transport   *messenger.GroupTransport
		service     *messenger.ControlService
		governor    *governor.Governor
		loadManager *loadManager
		// node is nil until createRelayNode has created it.
		node atomic.Pointer[relayer.Node]
	}

	// proposer adapts the replicated log to messenger.Group.
	proposer struct{ group *replicator.Group }
)

// The state machine must be a Freezer: its state is too large to be encoded
// while the log waits.
var _ replicator.Freezer = (*controller.Machine)(nil)

// openControlMember opens this host's member of the control group. It does
// nothing on hosts outside the group.
func (h *Host) openControlMember() error {
	if !h.settings.IsControl() {
		return nil
	}
	fs, err := journaler.NewOS(filepath.Join(h.settings.DataFolder, groupFolder))
	if err != nil {
		return err
	}
	c := &controlMember{machine: controller.New(checkConfig), transport: messenger.NewGroupTransport(h.tls.peer, h.scope, messenger.WithDial(h.opts.Dial))}
	own, _ := h.settings.Spec(h.settings.Name) // Validate has checked the name.
	c.group, err = replicator.New(replicator.Options{
		Name: h.settings.Name, Addr: own.Addr, Peers: h.groupPeers(), FS: fs, Machine: c.machine,
		Transport: c.transport, Clock: h.clock, Scope: h.scope, Log: h.log, Format: controller.Format,
	})
	if err != nil {
		c.transport.Close()
		return err
	}
	messenger.HandleGroup(h.mux, c.group)
	c.service = messenger.HandleControl(h.mux, messenger.ControlServiceOptions{
		Group: proposer{c.group}, Machine: c.machine, Clock: h.clock, Scope: h.scope,
		Forward: messenger.Forwarding{Peer: h.peer}, Hosts: c.hostStatuses, VersionStatus: c.viewStatus,
	})
	c.governor = governor.New(governor.Settings{
		View: c.machine.View, Leading: c.group.Leading, Clock: h.clock, Scope: h.scope, Log: h.log,
		Propose: func(ctx context.Context, it controller.Item) (controller.Answer, error) { return h.client.Do(ctx, it) },
	})
	c.loadManager = h.newLoadManager(c)
	h.control = c
	return nil
}

func (h *Host) groupPeers() []replicator.Peer {
	var out []replicator.Peer
	for _, name := range h.settings.Control {
		spec, _ := h.settings.Spec(name) // Validate has checked the names.
		out = append(out, replicator.Peer{Name: spec.Name, Addr: spec.Addr})
	}
	return out
}

// checkConfig returns the faults of a configuration as text. The state machine
// rejects a configuration that has any.
func checkConfig(c declarer.Config) []string {
	faults := declarer.Check(c)
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.String()
	}
	return out
}

// ProposeFormat implements messenger.Group.
func (p proposer) ProposeFormat(ctx context.Context, cmd []byte, format uint32) ([]byte, uint64, error) {
	res, index, err := p.group.ProposeFormat(ctx, cmd, format)
	return res, index, p.convertError(err)
}

// Barrier implements messenger.Group.
func (p proposer) Barrier(ctx context.Context) (uint64, error) {
	index, err := p.group.Barrier(ctx)
	return index, p.convertError(err)
}

// convertError returns a *controller.NotLeaderError for proposals that certainly
// took no effect, so that the caller may try another host. Every host refuses a
// command that is too large, so it gets a refusal that is not retried. The refusal of a
// command that a member does not apply may be retried once that member is upgraded.
func (p proposer) convertError(err error) error {
	var nl *replicator.NotLeaderError
	var tl *replicator.TooLargeError
	var fe *replicator.FormatError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tl):
		return refuser.New(refuser.BadRequest, refuser.NotRun, "%v; send less in one call", tl)
	case errors.As(err, &fe):
		r := refuser.New(refuser.MixedReleases, refuser.NotRun, "%v", fe)
		r.RetryAfter = upgradeRetry
		return r
	case errors.As(err, &nl):
		return &controller.NotLeaderError{Leader: nl.Leader.Addr}
	case replicator.NotRun(err):
		return &controller.NotLeaderError{Leader: netip.AddrPort{}}
	}
	return err
}
