// Package hoster assembles a host of a deployment whose hosts are all listed in
// its settings; package starter assembles hosts that find each other through
// seeds, and package server only answers HTTP. A host consists of the control
// group member, the distribution of the configuration, the request path and
// their ports.
//
// # Usage
//
//	host, err := hoster.New(settings, hoster.Options{Clock: timekeeper.System{}, Log: log})
//	if err != nil {
//		return err
//	}
//	return host.Run(ctx) // drains and returns when ctx ends
package hoster

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/accepter"
	"foxtailwall/counter"
	"foxtailwall/messenger"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	// metricPrefix is the prefix of all metric names.
	metricPrefix = "foxtailwall"
	// billDeliveryTimeout bounds the delivery of billing records at shutdown.
	// Witnesses deliver the remaining records.
	billDeliveryTimeout = 5 * time.Second
	// softMemoryFraction is the part of the process's memory limit at which the Go
	// runtime limits further growth.
	softMemoryFraction = 0.6
	// gcPercent is the heap growth between garbage collections under a memory limit, in
	// percent.
	gcPercent = 60
)

type (
	// Options are the dependencies that a host gets from its process.
	Options struct {
		Clock timekeeper.Clock
		Log   zerolog.Logger
		// Dial opens connections to other hosts and to upstreams. Nil means the
		// network.
		Dial messenger.DialFunc
		// Listen opens the ports. Nil means the network.
		Listen func(addr netip.AddrPort) (net.Listener, error)
	}

	// Host is one host process of the deployment. Make it with New.
	Host struct {
		settings   Settings
		opts       Options
		clock      timekeeper.Clock
		log        zerolog.Logger
		scope      counter.Scope
		bounds     accepter.Bounds
		tls        tlsConfigs
		mux        *messenger.Mux
		outbox     *diskOutbox
		counterLog *counterLog
		control    *controlMember
		client     *messenger.ControlClient
		bills      *messenger.BillingClient
		views      *views
		entry      *entry

		mu    sync.Mutex
		peers map[netip.AddrPort]*messenger.Peer
	}

	// task is a long-running goroutine of a host. It runs until its context
	// ends.
	task struct {
		name string
		run  func(context.Context) error
	}

	// TaskError reports the failure of a task of a host.
	TaskError struct {
		Task string
		Err  error
	}
)

// New returns a host that has read its data folder and does not listen on any
// port yet. It fails with a *validator.SettingError, or if the data folder is
// damaged or a TLS file cannot be read.
func New(s Settings, o Options) (*Host, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	h := &Host{
		settings: s, opts: o, clock: o.Clock, log: o.Log, scope: counter.New(metricPrefix),
		mux: messenger.NewMux(), peers: make(map[netip.AddrPort]*messenger.Peer), bounds: s.Limits.Bounds(),
	}
	if s.Limits.ProcessMemory > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(s.Limits.ProcessMemory)))
	}
	for _, build := range []func() error{h.loadTLS, h.openOutbox, h.openCounterLog, h.openControlMember, h.createControlClient, h.createRelayNode, h.buildEntry} {
		if err := build(); err != nil {
			return nil, errors.CombineErrors(err, h.scope.Close())
		}
	}
	return h, nil
}

// Error implements error.
func (e *TaskError) Error() string { return e.Task + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *TaskError) Unwrap() error { return e.Err }

// Run serves until ctx ends or a task fails, then drains: callers' requests
// finish, billing records are delivered, and only then are the tasks stopped. It
// returns the errors of failed tasks and of the drain.
func (h *Host) Run(ctx context.Context) error {
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopping, stopWith := context.WithCancelCause(ctx)
	defer stopWith(nil)
	tasks := pool.New().WithErrors()
	for _, t := range h.tasks() {
		tasks.Go(func() error {
			err := h.runTask(taskCtx, t)
			if err != nil {
				stopWith(err)
			}
			return err
		})
	}
	h.log.Info().Msg("host started")
	<-stopping.Done()
	err := h.drain(taskCtx)
	stop()
	err = errors.CombineErrors(tasks.Wait(), err)
	h.closeConnections()
	err = errors.CombineErrors(err, h.scope.Close())
	h.log.Info().Err(err).Msg("host stopped")
	return err
}

// runTask runs t and wraps its error. Errors after the end of ctx are ignored.
func (h *Host) runTask(ctx context.Context, t task) error {
	if err := t.run(ctx); err != nil && ctx.Err() == nil {
		return &TaskError{Task: t.name, Err: err}
	}
	return nil
}

// drain stops serving callers before anything else, because their running
// requests still need the control group, the witnesses and the upstreams. It
// then delivers the billing records that are left.
func (h *Host) drain(ctx context.Context) error {
	var err error
	if h.entry != nil {
		err = h.entry.server.Drain(ctx)
	}
	// The delivery has its own timeout, because there are billing records to
	// deliver even if requests used up the drain time.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := h.clock.NewTimer(billDeliveryTimeout)
	defer timeout.Stop()
	waiter := pool.New()
	defer waiter.Wait()
	defer cancel()
	waiter.Go(func() {
		select {
		case <-timeout.C():
			cancel()
		case <-ctx.Done():
		}
	})
	if drainErr := h.bills.Drain(ctx); drainErr != nil && h.outbox.records.Len() > 0 {
		err = errors.CombineErrors(err, &UndeliveredError{Records: h.outbox.records.Len()})
	}
	return err
}

func (h *Host) tasks() []task {
	out := []task{
		{"peers port", h.servePeers},
		{"control client", h.client.Run},
		{"billing", h.bills.Run},
		{"configuration", h.views.node.Run},
		{"version watches", h.views.run},
	}
	if h.control != nil {
		out = append(out, task{"control group", h.control.group.Run}, task{"pruning", h.control.service.Run}, task{"governor", h.control.governor.Run}, task{"engine orders", h.control.loadManager.run})
	}
	if h.counterLog != nil {
		out = append(out, task{"counter recording", h.counterLog.run})
	}
	if h.entry != nil {
		out = append(out, task{"callers port", h.entry.serveCallers}, task{"operators port", h.entry.serveOperators}, task{"health", h.entry.pools.run}, task{"upstream reports", h.entry.poller.Run})
	}
	return out
}

func (h *Host) servePeers(ctx context.Context) error {
	srv := messenger.NewServer(h.mux, h.tls.peer)
	srv.ErrorLog = h.scope.ErrorLog("messenger.connectionErrors")
	l, err := h.listen("peers", h.settings.Peers)
	if err != nil {
		return err
	}
	// Every other host may have a connection, and a new one before the old one has ended.
	limits := h.bounds.Limits(max(h.bounds.HostConns, 2*len(h.settings.Hosts)), h.clock, h.scope)
	limits.Binary, limits.Memory = true, h.bounds.PeerMemory
	l = accepter.Guard(srv, l, limits)
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if srv.TLSConfig != nil {
		err = srv.ServeTLS(l, "", "")
	} else {
		err = srv.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listen opens the port at addr, the value of the named setting.
func (h *Host) listen(setting string, addr netip.AddrPort) (net.Listener, error) {
	openPort := h.opts.Listen
	if openPort == nil {
		openPort = func(a netip.AddrPort) (net.Listener, error) { return server.Listen(context.Background(), a) }
	}
	l, err := openPort(addr)
	if err != nil {
		return nil, validator.NewSettingError(setting, addr.String(), "a free address of this host: "+err.Error())
	}
	return l, nil
}

// peer returns the client for the host at addr. Each address has one client.
func (h *Host) peer(addr netip.AddrPort) *messenger.Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.peers[addr]
	if !ok {
		p = messenger.NewPeer(addr, h.tls.peer, messenger.WithDial(h.opts.Dial))
		h.peers[addr] = p
	}
	return p
}

// closeConnections closes the connections to upstreams and other hosts.
func (h *Host) closeConnections() {
	if h.entry != nil {
		h.entry.dialer.Close()
	}
	if h.control != nil {
		h.control.transport.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		p.Close()
	}
}

// createControlClient creates the client of the control group and the delivery
// of billing records to the group.
func (h *Host) createControlClient() error {
	h.client = messenger.NewControlClient(messenger.ControlClientOptions{
		Peers: h.controlPeers(), Clock: h.clock, Scope: h.scope,
	})
	h.bills = messenger.NewBillingClient(messenger.BillingClientOptions{
		Name: h.settings.Name, Zone: h.settings.Zone, Outbox: h.outbox.records, Control: h.client,
		Hosts: h.possibleWitnesses, Peer: h.peer, Clock: h.clock, Scope: h.scope,
	})
	messenger.HandleWitness(h.mux, h.outbox.records, h.clock)
	return nil
}

func (h *Host) controlPeers() []*messenger.Peer {
	var out []*messenger.Peer
	for _, name := range h.settings.Control {
		spec, _ := h.settings.Spec(name) // Validate has checked the names.
		out = append(out, h.peer(spec.Addr))
	}
	return out
}

// possibleWitnesses returns the hosts that can hold copies of billing records
// for other hosts.
func (h *Host) possibleWitnesses() []messenger.Witness {
	out := make([]messenger.Witness, 0, len(h.settings.Hosts))
	for _, s := range h.settings.Hosts {
		out = append(out, messenger.Witness{Name: s.Name, Zone: s.Zone, Addr: s.Addr, Disk: s.Disk})
	}
	return out
}

// UndeliveredError reports that a host stopped with billing records that the
// control group has not acknowledged. Their witnesses deliver them.
type UndeliveredError struct{ Records int }

// Error implements error.
func (e *UndeliveredError) Error() string {
	return "the host stopped before the control group acknowledged all its billing records; their witnesses deliver them"
}
