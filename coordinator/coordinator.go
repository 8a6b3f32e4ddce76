// Package coordinator runs a control host: its member of the replicated log and
// the operators' calls and, while it leads the control group, reading the list
// of upstreams and advancing rollouts.
//
// # Usage
//
//	c, err := coordinator.New(coordinator.Settings{...})
//	err = c.Run(ctx)
//
//	// Operators may call any control host; it forwards calls to the leader.
//	version, err := c.PutDocument(ctx, controller.Document{Version: 7, Body: body})
//	doc, err := c.CurrentDocument(ctx)
package coordinator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/isolator"
	"foxtailwall/journaler"
	"foxtailwall/messenger"
	"foxtailwall/replicator"
	"foxtailwall/sharer"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// groupFolder is the folder of the replicated log in the data folder.
	groupFolder = "group"
	// snapshotEntries is the number of log entries between snapshots,
	// trailingEntries the number kept from before a snapshot. Both are small,
	// because a document may be large and only the newest one is needed.
	snapshotEntries = 400
	trailingEntries = 64
	// reopenDelay is the pause before a member whose disk failed is reopened.
	reopenDelay = 500 * time.Millisecond
	// rolloutInterval is how often the leader checks the running rollouts.
	rolloutInterval = 200 * time.Millisecond
	// listInterval is how often the leader reads the list of upstreams. Changes
	// must be in force within 3 s of their publication, but every call costs.
	listInterval = 1200 * time.Millisecond
	// outdatedListInterval is the same while the list names upstreams that have been
	// replaced.
	outdatedListInterval = 500 * time.Millisecond
	// isolationInterval is how often the leader weighs the evidence about prompt
	// parts that crash engines.
	isolationInterval = 100 * time.Millisecond
	// leaderCheckInterval is how often a host checks whether it leads.
	leaderCheckInterval = 100 * time.Millisecond
)

type (
	// Settings configures a Coordinator.
	Settings struct {
		Name string
		// Peers is the address for the deployment's other hosts, over TCP for
		// calls and UDP for load reports.
		Peers      netip.AddrPort
		DataFolder string
		// Disk holds the files of the control group; nil uses a folder in DataFolder.
		Disk journaler.FS
		// Bootstrap allows the seeds to form a new group.
		Bootstrap bool
		// LostDisks is the number of disks that may be lost at once. The group
		// has twice as many voters, plus one.
		LostDisks int
		// Seeds returns the peer addresses of control hosts.
		Seeds func() []netip.AddrPort
		// List reads the list of upstreams from the platform.
		List func(ctx context.Context) ([]tracker.Upstream, error)
		// Guard protects the server at Peers and returns the listener that it serves;
		// nil leaves both as they are.
		Guard func(*http.Server, net.Listener) net.Listener
		Clock timekeeper.Clock
		Scope counter.Scope
		Log   zerolog.Logger
	}

	// Coordinator is a control host. Make it with New.
	Coordinator struct {
		set     Settings
		hub     *syncer.Hub
		loadHub *sharer.Hub
		judge   *isolator.Judge
		// openMember is nil while no member is open.
		openMember atomic.Pointer[member]
		inventory  tracker.Inventory
		// listCount makes the names of lists unique.
		listCount int

		mu    sync.Mutex
		peers map[netip.AddrPort]*messenger.Peer
	}

	// member is the group member of this host and its state machine. It is
	// replaced after a disk failure.
	member struct {
		group   *replicator.Group
		machine *controller.Machine
	}

	// UnavailableError says that the control group could not answer a call. A
	// change had no effect, or its effect is unknown.
	UnavailableError struct{ Err error }
)

// Error implements error.
func (e *UnavailableError) Error() string {
	return "the control group is unavailable; retry the same call: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

var (
	errTooFewVoters  = errors.New("the control group does not have enough voters yet")
	errMemberNotOpen = errors.New("the group member of this host is not open")
)

// New returns a coordinator and creates its data folder.
func New(s Settings) (*Coordinator, error) {
	if s.Disk == nil {
		disk, err := journaler.NewOS(filepath.Join(s.DataFolder, groupFolder))
		if err != nil {
			return nil, err
		}
		s.Disk = disk
	}
	c := &Coordinator{set: s, judge: isolator.NewJudge(s.Clock), peers: make(map[netip.AddrPort]*messenger.Peer)}
	c.hub = syncer.NewHub(syncer.HubSettings{Source: c, Judge: c.judge, Clock: s.Clock, Log: s.Log})
	c.loadHub = sharer.NewHub(sharer.HubSettings{Leading: c.Leading, Clock: s.Clock})
	return c, nil
}

// Run runs the host until ctx ends. It returns an error if it cannot
// listen at or serve the peer address.
func (c *Coordinator) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.set.Peers.String())
	if err != nil {
		return errors.Wrap(err, "listen at the peer address")
	}
	mux := messenger.NewMux()
	messenger.HandleGroup(mux, c)
	syncer.Handle(mux, c.hub)
	c.handleForwardedCalls(mux)
	srv := messenger.NewServer(mux, nil)
	if c.set.Guard != nil {
		l = c.set.Guard(srv, l)
	}
	transport := messenger.NewGroupTransport(nil, c.set.Scope)
	defer transport.Close()

	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { c.runMember(ctx, transport) })
	wg.Go(func() { c.runListReader(ctx) })
	wg.Go(func() { c.runRollouts(ctx) })
	wg.Go(func() { c.runIsolations(ctx) })
	wg.Go(func() { c.serveLoads(ctx) })
	wg.Go(func() {
		<-ctx.Done()
		srv.Close()
	})
	err = srv.Serve(l)
	cancel()
	wg.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrap(err, "serve the peer address")
}

// runMember keeps a group member open until ctx ends. After a disk failure it
// reopens the member, with a pause of reopenDelay before each attempt.
func (c *Coordinator) runMember(ctx context.Context, t replicator.Transport) {
	for ctx.Err() == nil {
		err := c.runMemberOnce(ctx, t)
		if ctx.Err() != nil {
			return
		}
		c.openMember.Store(nil)
		c.set.Log.Error().Err(err).Msg("lost the member of the control group; it is opened again")
		if timekeeper.Sleep(ctx, c.set.Clock, reopenDelay) != nil {
			return
		}
	}
}

// runMemberOnce opens a group member and runs it until it fails or ctx ends.
func (c *Coordinator) runMemberOnce(ctx context.Context, t replicator.Transport) error {
	m := &member{machine: controller.New(nil)}
	var err error
	m.group, err = replicator.New(replicator.Options{
		Name: c.set.Name, Addr: c.set.Peers, Seeds: c.set.Seeds, Bootstrap: c.set.Bootstrap,
		Voters: 2*c.set.LostDisks + 1, VerifyReads: true, FS: c.set.Disk, Machine: m.machine, Transport: t,
		Clock: c.set.Clock, Scope: c.set.Scope, Log: c.set.Log,
		SnapshotEvery: snapshotEntries, Trailing: trailingEntries, Format: controller.Format,
	})
	if err != nil {
		return err
	}
	c.openMember.Store(m)
	return m.group.Run(ctx)
}

// serveLoads answers load reports. Without it, hosts place requests by their
// own loads alone, so a failure is only logged.
func (c *Coordinator) serveLoads(ctx context.Context) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.set.Peers))
	if err == nil {
		err = sharer.Serve(ctx, conn, c.loadHub, sharer.ServeOptions{Scope: c.set.Scope, Log: c.set.Log})
	}
	if err != nil {
		c.set.Log.Error().Err(err).Msg("load reports are not served; hosts place requests by their own loads alone")
	}
}

// Receive implements messenger.GroupReceiver.
func (c *Coordinator) Receive(ms ...*replicator.Message) {
	if m := c.openMember.Load(); m != nil {
		m.group.Receive(ms...)
	}
}

// Leading implements syncer.Source.
func (c *Coordinator) Leading() bool {
	m := c.openMember.Load()
	if m == nil {
		return false
	}
	_, ok := m.group.Leading()
	return ok
}

// Leader implements syncer.Source.
func (c *Coordinator) Leader() netip.AddrPort {
	m := c.openMember.Load()
	if m == nil {
		return netip.AddrPort{}
	}
	leader, _ := m.group.Leader() // The address is invalid if none is known.
	return leader.Addr
}

// Members implements syncer.Source.
func (c *Coordinator) Members() []netip.AddrPort {
	m := c.openMember.Load()
	if m == nil {
		return nil
	}
	var out []netip.AddrPort
	for _, peer := range m.group.Members() {
		out = append(out, peer.Addr)
	}
	return out
}

// Published implements syncer.Source.
func (c *Coordinator) Published() controller.Published {
	if m := c.openMember.Load(); m != nil {
		return m.machine.Published()
	}
	return controller.Published{}
}

// Changed implements syncer.Source.
func (c *Coordinator) Changed() <-chan struct{} {
	if m := c.openMember.Load(); m != nil {
		return m.machine.Changed()
	}
	return nil
}
