package hoster

import (
	"context"
	"net/netip"
	"path/filepath"
	"sync/atomic"

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

// groupFolder holds the replicated log below the data folder.
const groupFolder = "group"

type (
	// control is the part of a host that is a member of the control group.
	control struct {
		machine   *controller.Machine
		group     *replicator.Group
		transport *messenger.GroupTransport
		service   *messenger.ControlService
		governor  *governor.Governor
		commander *commander
		// node is set once the host's part in the distribution is made.
		node atomic.Pointer[relayer.Node]
	}

	// proposer adapts the replicated log to the control procedures.
	proposer struct{ group *replicator.Group }
)

// The state of the control group is too large to be encoded while its log
// waits.
var _ replicator.Freezer = (*controller.Machine)(nil)

// joinControl opens this host's member of the control group, if it has one.
func (h *Host) joinControl() error {
	if !h.set.IsControl() {
		return nil
	}
	fs, err := journaler.NewOS(filepath.Join(h.set.DataFolder, groupFolder))
	if err != nil {
		return err
	}
	c := &control{machine: controller.New(check), transport: messenger.NewGroupTransport(h.tls.peer, h.scope, messenger.WithDial(h.opts.Dial))}
	own, _ := h.set.Spec(h.set.Name) // Validate has checked the name.
	c.group, err = replicator.New(replicator.Options{
		Name: h.set.Name, Addr: own.Addr, Peers: h.groupPeers(), FS: fs, Machine: c.machine,
		Transport: c.transport, Clock: h.clock, Scope: h.scope, Log: h.log,
	})
	if err != nil {
		c.transport.Close()
		return err
	}
	messenger.HandleGroup(h.mux, c.group)
	c.service = messenger.HandleControl(h.mux, messenger.ControlOptions{
		Group: proposer{c.group}, Machine: c.machine, Clock: h.clock, Scope: h.scope,
		Forward: messenger.Forwarding{Peer: h.peer}, Hosts: c.statuses, Standing: c.standing,
	})
	c.governor = governor.New(governor.Settings{
		View: c.machine.View, Leading: c.group.Leading, Clock: h.clock, Scope: h.scope, Log: h.log,
		Propose: func(ctx context.Context, it controller.Item) (controller.Answer, error) { return h.client.Do(ctx, it) },
	})
	c.commander = h.newCommander(c)
	h.control = c
	return nil
}

func (h *Host) groupPeers() []replicator.Peer {
	var out []replicator.Peer
	for _, name := range h.set.Control {
		spec, _ := h.set.Spec(name) // Validate has checked the names.
		out = append(out, replicator.Peer{Name: spec.Name, Addr: spec.Addr})
	}
	return out
}

// check lists the faults of a configuration as text for the state machine.
func check(c declarer.Config) []string {
	faults := declarer.Check(c)
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.String()
	}
	return out
}

// Propose implements messenger.Group.
func (p proposer) Propose(ctx context.Context, cmd []byte) ([]byte, uint64, error) {
	res, index, err := p.group.Propose(ctx, cmd)
	return res, index, p.translate(err)
}

// Barrier implements messenger.Group.
func (p proposer) Barrier(ctx context.Context) (uint64, error) {
	index, err := p.group.Barrier(ctx)
	return index, p.translate(err)
}

// translate tells the control procedures which proposals certainly took no
// effect: they may try another host. A command that is too large is refused by
// every host, so that its caller must not repeat it.
func (p proposer) translate(err error) error {
	var nl *replicator.NotLeaderError
	var tl *replicator.TooLargeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tl):
		return refuser.New(refuser.BadRequest, refuser.NotRun, "%v; send less in one call", tl)
	case errors.As(err, &nl):
		return &controller.NotLeaderError{Leader: nl.Leader.Addr}
	case replicator.NotRun(err):
		return &controller.NotLeaderError{Leader: netip.AddrPort{}}
	}
	return err
}
