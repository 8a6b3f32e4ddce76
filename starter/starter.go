// Package starter assembles and runs the two programs of a deployment whose
// hosts find each other through seeds: the entry, which serves callers, and the
// control host, which stores the configuration and the rollouts of the
// operators. Package hoster does the same for deployments whose settings name
// every host, with package server as its HTTP interface.
//
// # Usage
//
//	s := starter.Settings{Name: "a1", Zone: "a", Callers: addr, Ready: ready, Peers: peers, Seeds: seeds}
//	err := starter.RunEntry(ctx, s, starter.Options{Protocol: protocol, Clock: timekeeper.System{}, Log: log})
//
// The formats used with callers, operators and the platform are passed in as a
// Protocol, so that this package depends on none of them.
package starter

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/accepter"
	"foxtailwall/coordinator"
	"foxtailwall/counter"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
	"foxtailwall/validator"
)

const (
	// softMemoryFraction is the part of Settings.Memory at which the Go runtime
	// limits further growth.
	softMemoryFraction = 0.6
	// gcPercent is the heap growth between garbage collections, in percent.
	// It is below the default of 100, since hosts are small and memory is billed.
	gcPercent = 60
)

type (
	// Settings are the settings of an entry or a control host.
	Settings struct {
		Name, Zone string
		// Zones are all availability zones of the deployment.
		Zones []string
		// Callers and Ready are listen addresses of an entry, Operators that of
		// a control host, and Peers that for the deployment's other hosts.
		Callers, Ready, Operators, Peers netip.AddrPort
		// Delegated is the listen address of an entry for requests of other entries that
		// reach no upstream; invalid if it takes none. Callers must not reach it.
		Delegated netip.AddrPort
		// Seeds are the Operators addresses of control hosts, which use the
		// same port for Peers as this host.
		Seeds []netip.AddrPort
		// Platform is the address of the platform's API.
		Platform netip.AddrPort
		// ListRate is the platform's limit on calls for the list of upstreams,
		// in calls per second of all hosts together; 0 means no limit.
		ListRate float64
		// Bootstrap says that the whole deployment starts for the first time.
		Bootstrap  bool
		DataFolder string
		// LostDisks is the number of disks that may be lost at once.
		LostDisks int
		// Memory is the memory limit of the process in bytes, 0 for none.
		Memory int64
		// Limits bound what callers that exceed the documented limits can use; its
		// ProcessMemory is set to Memory.
		Limits accepter.Settings
		// Grace is the time between SIGTERM and the end of the process.
		Grace   time.Duration
		Retries Retries
		// SessionTimeout is how long after its last request a session ends.
		SessionTimeout time.Duration
		// ColdOverage and ColdSlack bound the requests that all hosts together send a
		// cold upstream within any second: the rate of its service times ColdOverage,
		// plus ColdSlack.
		ColdOverage, ColdSlack float64
		// Admission bounds the requests to engines that wait at an entry; its zero value
		// means the defaults.
		Admission placer.AdmissionSettings
	}

	// Retries is the budget of retries at another upstream.
	Retries struct {
		// Ratio is the number of retries for each request in Window.
		Ratio  float64
		Window time.Duration
		// Slack is the number of further retries in Window, of all hosts
		// together.
		Slack float64
	}

	// Protocol converts between this package's types and the formats of
	// callers, operators and the platform.
	Protocol struct {
		Codec forwarder.Codec
		// Config decodes a configuration document.
		Config func(body []byte) (matcher.Config, error)
		// List reads the list of upstreams from the platform.
		List func(ctx context.Context) ([]tracker.Upstream, error)
		// Operators returns the HTTP handler for operators.
		Operators func(*coordinator.Coordinator) http.Handler
		// ReadyPath is the URL path of the platform's readiness checks.
		ReadyPath string
		// Settings reads the settings again.
		Settings func() (Settings, error)
	}

	// Options are the dependencies that the process provides to a host.
	Options struct {
		Protocol Protocol
		Clock    timekeeper.Clock
		Scope    counter.Scope
		Log      zerolog.Logger
		// Hangup delivers SIGHUP, which reloads the settings; may be nil.
		Hangup <-chan os.Signal
		// MetricsPort is the port at the IP of Settings.Peers that serves
		// /metrics; 0 serves none.
		MetricsPort uint16
		// DialUpstream opens connections to upstreams; nil uses the network.
		DialUpstream func(ctx context.Context, network, address string) (net.Conn, error)
	}
)

// checkCommon validates the settings that both programs need.
func (s *Settings) checkCommon() error {
	switch {
	case s.Name == "":
		return validator.NewSettingError("name", s.Name, "the name of this host")
	case !s.Peers.IsValid():
		return validator.NewSettingError("peers", s.Peers.String(), "an IP address and a port")
	case len(s.Seeds) == 0:
		return validator.NewSettingError("seeds", "", "the address of at least one control host")
	case s.Grace <= 0:
		return validator.NewSettingError("grace", s.Grace.String(), "above 0")
	}
	return s.Limits.Check()
}

// limitMemory sets the garbage collection percentage and, if there is a memory
// limit, the soft limit of the Go runtime.
func (s *Settings) limitMemory() {
	debug.SetGCPercent(gcPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(softMemoryFraction * float64(s.Memory)))
	}
}

// peerSeeds returns the Peers addresses of the seeds.
func peerSeeds(s Settings) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Peers.Port()))
	}
	return out
}

// bounds returns the bounds of the process.
func (s *Settings) bounds() accepter.Bounds {
	limits := s.Limits
	limits.ProcessMemory = s.Memory
	return limits.Bounds()
}

// serve runs srv at addr within the limits until it is closed; what names it in errors.
func serve(ctx context.Context, what string, addr netip.AddrPort, srv *http.Server, limits accepter.Limits) error {
	l, err := server.Listen(ctx, addr)
	if err != nil {
		return err
	}
	if err = srv.Serve(accepter.Guard(srv, l, limits)); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", what)
}

// shutDown waits for the requests of the servers, at most for the given time.
func shutDown(limit time.Duration, servers ...*http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	p := pool.New().WithErrors()
	for _, srv := range servers {
		p.Go(func() error { return srv.Shutdown(ctx) })
	}
	return p.Wait()
}

// serveMetrics serves the metrics within the limits until ctx ends. A failure is only
// logged.
func serveMetrics(ctx context.Context, s *Settings, o *Options, limits accepter.Limits) {
	if o.MetricsPort == 0 {
		return
	}
	srv := &http.Server{Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/metrics" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			server.Metrics(w, o.Scope)
		})}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := serve(ctx, "metrics", netip.AddrPortFrom(s.Peers.Addr(), o.MetricsPort), srv, limits); err != nil {
		o.Log.Error().Err(err).Msg("metrics are not served")
	}
}
