// Package hoster assembles one host of the system from its settings: the
// control group member, the distribution of the configuration, the request
// path and their ports.
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
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/counter"
	"foxtailwall/messenger"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	// scopePrefix stands before the name of every metric.
	scopePrefix = "foxtailwall"
	// handoverTime bounds the delivery of billing records at the end of a
	// host. What is left then is delivered by the witnesses.
	handoverTime = 5 * time.Second
)

type (
	// Options are what a host gets from its process.
	Options struct {
		Clock timekeeper.Clock
		Log   zerolog.Logger
		// Dial opens connections to other hosts and to upstreams; nil uses
		// the network.
		Dial messenger.DialFunc
		// Listen opens the ports; nil uses the network.
		Listen func(addr netip.AddrPort) (net.Listener, error)
	}

	// Host is one host. Make it with New.
	Host struct {
		set     Settings
		opts    Options
		clock   timekeeper.Clock
		log     zerolog.Logger
		scope   counter.Scope
		tls     sides
		mux     *messenger.Mux
		outbox  *outboxDisk
		record  *record
		control *control
		client  *messenger.Control
		bills   *messenger.Bills
		views   *views
		entry   *entry

		mu    sync.Mutex
		peers map[netip.AddrPort]*messenger.Peer
	}

	// duty is one goroutine of a host. It runs until its context ends.
	duty struct {
		name string
		run  func(context.Context) error
	}

	// DutyError says which duty of a host failed.
	DutyError struct {
		Duty string
		Err  error
	}
)

// New returns a host that has read its data folder and listens on no port
// yet. Errors are a *validator.SettingError, a damaged data folder or a TLS file that
// cannot be read.
func New(s Settings, o Options) (*Host, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	h := &Host{
		set: s, opts: o, clock: o.Clock, log: o.Log, scope: counter.New(scopePrefix),
		mux: messenger.NewMux(), peers: make(map[netip.AddrPort]*messenger.Peer),
	}
	for _, build := range []func() error{h.loadTLS, h.openOutbox, h.openRecord, h.joinControl, h.connectControl, h.followViews, h.buildEntry} {
		if err := build(); err != nil {
			return nil, errors.CombineErrors(err, h.scope.Close())
		}
	}
	return h, nil
}

// Error implements error.
func (e *DutyError) Error() string { return e.Duty + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DutyError) Unwrap() error { return e.Err }

// Run serves until ctx ends, then drains: callers' requests finish, billing
// records are delivered, and only then do the duties of the host end. It
// returns the first failure of a duty, or what the drain had to cut.
func (h *Host) Run(ctx context.Context) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	failed, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	duties := pool.New().WithErrors()
	for _, d := range h.duties() {
		duties.Go(func() error {
			err := h.perform(inner, d)
			if err != nil {
				fail(err)
			}
			return err
		})
	}
	h.log.Info().Msg("host started")
	<-failed.Done()
	err := h.drain(inner)
	stop()
	err = errors.CombineErrors(duties.Wait(), err)
	h.closeConnections()
	err = errors.CombineErrors(err, h.scope.Close())
	h.log.Info().Err(err).Msg("host stopped")
	return err
}

// perform runs one duty. What a duty returns after the end of its context is
// no failure.
func (h *Host) perform(ctx context.Context, d duty) error {
	if err := d.run(ctx); err != nil && ctx.Err() == nil {
		return &DutyError{Duty: d.name, Err: err}
	}
	return nil
}

// drain ends the service to callers first, because their requests still need
// the control group, the witnesses and the upstreams.
func (h *Host) drain(ctx context.Context) error {
	var err error
	if h.entry != nil {
		err = h.entry.server.Drain(ctx)
	}
	// The handover has a time of its own: requests that used up the drain
	// time have left bills as well.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	limit := h.clock.NewTimer(handoverTime)
	defer limit.Stop()
	p := pool.New()
	defer p.Wait()
	defer cancel()
	p.Go(func() {
		select {
		case <-limit.C():
			cancel()
		case <-ctx.Done():
		}
	})
	if berr := h.bills.Drain(ctx); berr != nil && h.outbox.box.Len() > 0 {
		err = errors.CombineErrors(err, &UndeliveredError{Records: h.outbox.box.Len()})
	}
	return err
}

func (h *Host) duties() []duty {
	out := []duty{
		{"peers port", h.servePeers},
		{"control client", h.client.Run},
		{"billing", h.bills.Run},
		{"configuration", h.views.node.Run},
		{"own observation", h.views.run},
	}
	if h.control != nil {
		out = append(out, duty{"control group", h.control.group.Run}, duty{"pruning", h.control.service.Run}, duty{"governor", h.control.governor.Run}, duty{"orders to engines", h.control.commander.run})
	}
	if h.record != nil {
		out = append(out, duty{"recording of counters", h.record.run})
	}
	if h.entry != nil {
		out = append(out, duty{"callers port", h.entry.serveCallers}, duty{"operators port", h.entry.serveOperators}, duty{"health", h.entry.replicas.run}, duty{"reports of upstreams", h.entry.poller.Run})
	}
	return out
}

func (h *Host) servePeers(ctx context.Context) error {
	srv := messenger.NewServer(h.mux, h.tls.peer)
	srv.ErrorLog = h.scope.ErrorLog("messenger.connectionErrors")
	l, err := h.listen("peers", h.set.Peers)
	if err != nil {
		return err
	}
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

// listen opens the port of a setting.
func (h *Host) listen(setting string, addr netip.AddrPort) (net.Listener, error) {
	open := h.opts.Listen
	if open == nil {
		open = func(a netip.AddrPort) (net.Listener, error) { return server.Listen(context.Background(), a) }
	}
	l, err := open(addr)
	if err != nil {
		return nil, validator.Wrong(setting, addr.String(), "a free address of this host: "+err.Error())
	}
	return l, nil
}

// peer returns the client for the host at addr, one for each address.
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

// closeConnections ends what the duties have used.
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

// connectControl makes the client of the control group and the billing.
func (h *Host) connectControl() error {
	h.client = messenger.NewControl(messenger.ControlClientOptions{
		Peers: h.controlPeers(), Clock: h.clock, Scope: h.scope,
	})
	h.bills = messenger.NewBills(messenger.BillsOptions{
		Name: h.set.Name, Zone: h.set.Zone, Outbox: h.outbox.box, Control: h.client,
		Hosts: h.witnesses, Peer: h.peer, Clock: h.clock, Scope: h.scope,
	})
	messenger.HandleHold(h.mux, h.outbox.box, h.clock)
	return nil
}

func (h *Host) controlPeers() []*messenger.Peer {
	var out []*messenger.Peer
	for _, name := range h.set.Control {
		spec, _ := h.set.Spec(name) // Validate has checked the names.
		out = append(out, h.peer(spec.Addr))
	}
	return out
}

func (h *Host) witnesses() []messenger.Witness {
	out := make([]messenger.Witness, 0, len(h.set.Hosts))
	for _, s := range h.set.Hosts {
		out = append(out, messenger.Witness{Name: s.Name, Zone: s.Zone, Addr: s.Addr, Disk: s.Disk})
	}
	return out
}

// UndeliveredError says that a host stopped with billing records that the
// control group has not acknowledged. Their witnesses deliver them.
type UndeliveredError struct{ Records int }

// Error implements error.
func (e *UndeliveredError) Error() string {
	return "the host stopped before the control group took all its billing records; their witnesses deliver them"
}
