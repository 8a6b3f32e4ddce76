// Package starter assembles the two programs of a deployment whose hosts find
// each other through seeds: the entry, which serves callers, and the control
// host, which holds what operators have put in force.
//
// # Usage
//
//	s := starter.Settings{Name: "a1", Zone: "a", Callers: addr, Ready: ready, Peers: peers, Seeds: seeds}
//	err := starter.RunEntry(ctx, s, starter.Options{Protocol: protocol, Clock: timekeeper.System{}, Log: log})
//
// What speaks to callers, operators and the platform is passed in as a
// Protocol, so that the package knows none of their names.
package starter

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"foxtailwall/coordinator"
	"foxtailwall/counter"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
	"foxtailwall/validator"
)

const (
	// memoryShare is the part of the memory limit at which the collector works
	// against further growth.
	memoryShare = 0.6
	// collectPercent is the growth of the heap between collections, in
	// percent. Hosts are small and memory is paid for.
	collectPercent = 60
	// headerTimeout bounds the header of a request.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept; longer
	// than callers keep it.
	idleTimeout = time.Minute
)

type (
	// Settings are what a host is told at its start.
	Settings struct {
		Name, Zone string
		// Callers and Ready are the addresses of an entry, Operators that of a
		// control host, Peers that for own processes.
		Callers, Ready, Operators, Peers netip.AddrPort
		// Seeds are addresses of control hosts for operators; their port for
		// own processes is that of Peers.
		Seeds []netip.AddrPort
		// Platform is the address of the platform's calls.
		Platform netip.AddrPort
		// ListRate is the number of calls in a second for the list of upstreams
		// that the platform takes from all hosts together; zero is no bound.
		ListRate float64
		// Bootstrap says that the whole deployment starts for the first time.
		Bootstrap  bool
		DataFolder string
		// LostDisks is the number of disks that may be lost at once.
		LostDisks int
		// Memory is the limit of the process in bytes, zero for none.
		Memory int64
		// Grace is the time between SIGTERM and the end of the process.
		Grace   time.Duration
		Retries Retries
		// Session is how long after a request its session goes on.
		Session time.Duration
	}

	// Retries bound how often requests are sent to a second upstream.
	Retries struct {
		Ratio  float64
		Window time.Duration
		Slack  float64
	}

	// Protocol is how callers, operators and the platform are spoken to.
	Protocol struct {
		Codec forwarder.Codec
		// Config reads a configuration document.
		Config func(body []byte) (matcher.Config, error)
		// List reads the list of upstreams from the platform.
		List func(ctx context.Context) ([]tracker.Upstream, error)
		// Operators returns the handler of the operators' address.
		Operators func(*coordinator.Coordinator) http.Handler
		// ReadyPath is where the platform asks whether an entry takes
		// connections.
		ReadyPath string
		// Settings reads the settings again.
		Settings func() (Settings, error)
	}

	// Options are what a host is made of.
	Options struct {
		Protocol Protocol
		Clock    timekeeper.Clock
		Scope    counter.Scope
		Log      zerolog.Logger
		// Hangup delivers SIGHUP; nil is never.
		Hangup <-chan os.Signal
		// MetricsPort is the port at the address for own processes on which
		// metrics are served under /metrics; 0 serves none.
		MetricsPort uint16
	}
)

// checkCommon finds faults in the settings that both programs need.
func (s *Settings) checkCommon() error {
	switch {
	case s.Name == "":
		return validator.Wrong("name", s.Name, "the name of this host")
	case !s.Peers.IsValid():
		return validator.Wrong("peers", s.Peers.String(), "an IP address and a port")
	case len(s.Seeds) == 0:
		return validator.Wrong("seeds", "", "the addresses of one control host or more")
	case s.Grace <= 0:
		return validator.Wrong("grace", s.Grace.String(), "above 0")
	}
	return nil
}

// tune sets the collector's bounds.
func (s *Settings) tune() {
	debug.SetGCPercent(collectPercent)
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory)))
	}
}

// peerSeeds returns the seeds' addresses for own processes.
func peerSeeds(s Settings) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(s.Seeds))
	for _, a := range s.Seeds {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Peers.Port()))
	}
	return out
}

// serve runs srv until it is closed and says which port failed.
func serve(ctx context.Context, what string, addr netip.AddrPort, srv *http.Server) error {
	l, err := server.Listen(ctx, addr)
	if err != nil {
		return err
	}
	if err = srv.Serve(l); errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", what)
}

// serveMetrics serves the metrics until ctx ends. A failure is logged and ends
// nothing else.
func serveMetrics(ctx context.Context, s *Settings, o *Options) {
	if o.MetricsPort == 0 {
		return
	}
	srv := &http.Server{ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/metrics" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			server.Metrics(w, o.Scope)
		})}
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := serve(ctx, "metrics", netip.AddrPortFrom(s.Peers.Addr(), o.MetricsPort), srv); err != nil {
		o.Log.Error().Err(err).Msg("metrics are not served")
	}
}
