// Package coordinator runs a host of the control group: its member of the
// replicated log, the operators' calls, the list of upstreams while it leads,
// and the rollouts that operators have ordered.
//
// # Usage
//
//	c, err := coordinator.New(coordinator.Settings{...})
//	err = c.Run(ctx)
//
//	// What operators ask for, at any host; the leader is asked where needed.
//	version, err := c.Put(ctx, controller.Document{Version: 7, Body: body})
//	doc, err := c.Current(ctx)
package coordinator

import (
	"context"
	"net"
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
	"foxtailwall/journaler"
	"foxtailwall/messenger"
	"foxtailwall/replicator"
	"foxtailwall/sharer"
	"foxtailwall/syncer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

const (
	// groupFolder holds the replicated log below the data folder.
	groupFolder = "group"
	// snapshotEvery and trailing are small, because a document may be large
	// and only the newest counts.
	snapshotEvery = 400
	trailing      = 64
	// reopenWait is the pause before a member whose disk failed is opened
	// again.
	reopenWait = 500 * time.Millisecond
	// orderEvery is how often the leader looks at rollouts.
	orderEvery = 200 * time.Millisecond
	// listEvery is how often the leader reads the list of upstreams. Changes
	// must be in force within 3 s of their publication, and every call costs.
	listEvery = 1200 * time.Millisecond
	// listTick is how often a host looks whether it has begun to lead.
	listTick = 100 * time.Millisecond
)

type (
	// Settings configures a Coordinator.
	Settings struct {
		Name string
		// Peers is the address for own processes.
		Peers      netip.AddrPort
		DataFolder string
		Bootstrap  bool
		// LostDisks is the number of disks that may be lost at once.
		LostDisks int
		// Seeds returns addresses of control hosts for own processes.
		Seeds func() []netip.AddrPort
		// List reads the list of upstreams.
		List  func(ctx context.Context) ([]tracker.Upstream, error)
		Clock timekeeper.Clock
		Scope counter.Scope
		Log   zerolog.Logger
	}

	// Coordinator is a host of the control group. Make it with New.
	Coordinator struct {
		set     Settings
		fs      journaler.FS
		hub     *syncer.Hub
		loads   *sharer.Hub
		current atomic.Pointer[member]
		inv     tracker.Inventory
		lists   int

		mu    sync.Mutex
		peers map[netip.AddrPort]*messenger.Peer
	}

	// member is the group member and its machine. It is made anew after a
	// failure of the disk.
	member struct {
		group   *replicator.Group
		machine *controller.Machine
	}

	// BusyError says that the control group cannot take a change at the
	// moment. It has had no effect, or its effect is not known.
	BusyError struct{ Err error }
)

// Error implements error.
func (e *BusyError) Error() string {
	return "the control group cannot answer now; send the same again: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *BusyError) Unwrap() error { return e.Err }

var (
	errForming = errors.New("the group has too few voters yet")
	errClosed  = errors.New("this host's member of the group is being opened")
)

// New prepares the data folder.
func New(s Settings) (*Coordinator, error) {
	fs, err := journaler.NewOS(filepath.Join(s.DataFolder, groupFolder))
	if err != nil {
		return nil, err
	}
	c := &Coordinator{set: s, fs: fs, peers: make(map[netip.AddrPort]*messenger.Peer)}
	c.hub = syncer.NewHub(syncer.HubSettings{Source: c, Clock: s.Clock})
	c.loads = sharer.NewHub(sharer.HubSettings{Leading: c.Leading, Clock: s.Clock})
	return c, nil
}

// Run drives the host until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", c.set.Peers.String())
	if err != nil {
		return errors.Wrap(err, "listen for own processes")
	}
	mux := messenger.NewMux()
	messenger.HandleGroup(mux, c)
	syncer.Handle(mux, c.hub)
	c.handleForwarded(mux)
	srv := messenger.NewServer(mux, nil)
	transport := messenger.NewGroupTransport(nil, c.set.Scope)
	defer transport.Close()

	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wg.Go(func() { c.runMember(ctx, transport) })
	wg.Go(func() { c.runList(ctx) })
	wg.Go(func() { c.runRollouts(ctx) })
	wg.Go(func() { c.runLoads(ctx) })
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
	return errors.Wrap(err, "serve own processes")
}

// runMember keeps a member of the group open. A failure of the disk ends a
// member; another one is opened until the disk works again.
func (c *Coordinator) runMember(ctx context.Context, t replicator.Transport) {
	for ctx.Err() == nil {
		err := c.member(ctx, t)
		if ctx.Err() != nil {
			return
		}
		c.current.Store(nil)
		c.set.Log.Error().Err(err).Msg("lost the member of the control group; it is opened again")
		if timekeeper.Sleep(ctx, c.set.Clock, reopenWait) != nil {
			return
		}
	}
}

func (c *Coordinator) member(ctx context.Context, t replicator.Transport) error {
	m := &member{machine: controller.New(nil)}
	var err error
	m.group, err = replicator.New(replicator.Options{
		Name: c.set.Name, Addr: c.set.Peers, Seeds: c.set.Seeds, Bootstrap: c.set.Bootstrap,
		Voters: 2*c.set.LostDisks + 1, VerifyReads: true, FS: c.fs, Machine: m.machine, Transport: t,
		Clock: c.set.Clock, Scope: c.set.Scope, Log: c.set.Log,
		SnapshotEvery: snapshotEvery, Trailing: trailing,
	})
	if err != nil {
		return err
	}
	c.current.Store(m)
	return m.group.Run(ctx)
}

// runLoads answers the hosts' reports of their loads. Without it, hosts place
// requests by what they know themselves, so that a failure ends nothing else.
func (c *Coordinator) runLoads(ctx context.Context) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(c.set.Peers))
	if err == nil {
		err = sharer.Serve(ctx, conn, c.loads, sharer.ServeOptions{Scope: c.set.Scope, Log: c.set.Log})
	}
	if err != nil {
		c.set.Log.Error().Err(err).Msg("hosts are not told each other's loads")
	}
}

// Receive implements messenger.GroupReceiver.
func (c *Coordinator) Receive(ms ...*replicator.Message) {
	if m := c.current.Load(); m != nil {
		m.group.Receive(ms...)
	}
}

// Leading implements syncer.Source.
func (c *Coordinator) Leading() bool {
	m := c.current.Load()
	if m == nil {
		return false
	}
	_, ok := m.group.Leading()
	return ok
}

// Leader implements syncer.Source.
func (c *Coordinator) Leader() netip.AddrPort {
	m := c.current.Load()
	if m == nil {
		return netip.AddrPort{}
	}
	lead, _ := m.group.Leader() // Its address is invalid if none is known.
	return lead.Addr
}

// Members implements syncer.Source.
func (c *Coordinator) Members() []netip.AddrPort {
	m := c.current.Load()
	if m == nil {
		return nil
	}
	var out []netip.AddrPort
	for _, o := range m.group.Members() {
		out = append(out, o.Addr)
	}
	return out
}

// Published implements syncer.Source.
func (c *Coordinator) Published() controller.Published {
	if m := c.current.Load(); m != nil {
		return m.machine.Published()
	}
	return controller.Published{}
}

// Changed implements syncer.Source.
func (c *Coordinator) Changed() <-chan struct{} {
	if m := c.current.Load(); m != nil {
		return m.machine.Changed()
	}
	return nil
}
