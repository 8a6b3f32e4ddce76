// Package server answers callers and operators over HTTP.
//
// # Usage
//
//	s, err := server.New(server.Options{Clock: clock, Scope: scope, Views: views, Router: rt, OperatorDigest: digest})
//	go s.ServeCallers(callerListener, tlsConfig)
//	go s.ServeOperators(operatorListener, tlsConfig)
//	<-stop
//	err := s.Drain(ctx)
//
// Drain ends the service without cutting an answer: readiness fails first, so
// that the load balancer turns away; after Options.Grace the listener stops;
// then the requests under way finish. Only those that exceed
// Options.DrainTimeout are cut.
//
// Callers use /v1/chat/completions, /v1/models and /services/NAME/PATH with an
// API key in the Authorization header. Every answer carries its request ID in
// Foxtailwall-Request, and every failure is a JSON body with a stable code and
// the outcome of the request.
//
// The operators' port has /healthz and /readyz, open to the load balancer, and
// /metrics and /config, which need the operator key.
package server

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/net/netutil"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	defaultMaxBody       = 8 << 20
	defaultMaxHeader     = 32 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultBodyTimeout   = 15 * time.Second
	defaultWriteTimeout  = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	defaultConcurrent    = 4096
	defaultConnections   = 8192
	defaultGrace         = 5 * time.Second
	defaultDrainTimeout  = 2 * time.Minute
	// handlerTime bounds the wait for the handlers of cut requests; a bill may
	// take the router 2 s.
	handlerTime = 5 * time.Second
	// operatorConnections bounds the connections of the operators' port.
	operatorConnections = 64
)

type (
	// Options are the settings of a Server. Views and Router are required;
	// zero values of the others take defaults.
	Options struct {
		// Clock must show real time, since the deadlines of connections are
		// set from it.
		Clock  timekeeper.Clock
		Scope  counter.Scope
		Views  router.Views
		Router *router.Router
		// Log receives the stack of a handler that panicked, and the begin
		// and end of Drain. The zero value logs nothing.
		Log zerolog.Logger
		// OperatorDigest is the SHA-256 digest of the operator key, in
		// hexadecimal. Without it metrics and configuration are not shown.
		OperatorDigest string
		// Print writes the configuration in force; YAML if nil.
		Print func(declarer.Config) ([]byte, error)
		// Report writes the service-level burn report of this host in the
		// format text, json or html; nil if the host records no counters.
		Report func(w io.Writer, format string) error
		// Ready returns why the host should get no requests, nil if it
		// should. A nil function stands for a host that is ready as soon as
		// it has a configuration.
		Ready func() error

		// MaxBody and MaxHeader bound what a caller sends, in bytes.
		MaxBody   int64
		MaxHeader int
		// HeaderTimeout and BodyTimeout bound how long a caller may take to
		// send them.
		HeaderTimeout time.Duration
		BodyTimeout   time.Duration
		// WriteTimeout bounds how long a caller may take nothing of its
		// answer.
		WriteTimeout time.Duration
		IdleTimeout  time.Duration
		// MaxConcurrent bounds the requests under way and MaxConnections the
		// open connections.
		MaxConcurrent  int
		MaxConnections int
		// Grace is the time between failing readiness and stopping the
		// listener; the load balancer must notice within it.
		Grace time.Duration
		// DrainTimeout bounds the time for which requests under way may
		// finish.
		DrainTimeout time.Duration
	}

	// Server answers callers and operators. Make it with New.
	Server struct {
		o        Options
		operator []byte
		slots    chan struct{}
		leaving  atomic.Bool

		mu        sync.Mutex
		callers   []*http.Server
		operators []*http.Server
		stopped   bool
	}
)

// New returns a server. It returns a *validator.SettingError if the digest is none.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{o: o, slots: make(chan struct{}, o.MaxConcurrent)}
	if o.OperatorDigest != "" {
		d, err := hex.DecodeString(o.OperatorDigest)
		if err != nil || len(d) != 32 {
			return nil, validator.Wrong("OperatorDigest", o.OperatorDigest, "64 hexadecimal digits")
		}
		s.operator = d
	}
	return s, nil
}

// ServeCallers answers callers on l until Drain. With a nil TLS configuration
// it speaks clear text.
func (s *Server) ServeCallers(l net.Listener, conf *tls.Config) error {
	return s.serve(&s.callers, netutil.LimitListener(l, s.o.MaxConnections), conf, s.CallerHandler())
}

// ServeOperators answers operators and the load balancer on l until the end
// of Drain.
func (s *Server) ServeOperators(l net.Listener, conf *tls.Config) error {
	return s.serve(&s.operators, netutil.LimitListener(l, operatorConnections), conf, s.OperatorHandler())
}

func (s *Server) serve(list *[]*http.Server, l net.Listener, conf *tls.Config, h http.Handler) error {
	srv := &http.Server{
		Handler: h, MaxHeaderBytes: s.o.MaxHeader, ErrorLog: s.o.Scope.ErrorLog("server.connectionErrors"),
		TLSConfig:         conf.Clone(), // net/http writes to it.
		ReadHeaderTimeout: s.o.HeaderTimeout, IdleTimeout: s.o.IdleTimeout,
	}
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		l.Close()
		return nil
	}
	*list = append(*list, srv)
	s.mu.Unlock()
	var err error
	if conf != nil {
		err = srv.ServeTLS(l, "", "")
	} else {
		err = srv.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Drain ends the service as the package comment describes. It returns an
// error if requests had to be cut because they exceeded DrainTimeout or
// because ctx ended.
func (s *Server) Drain(ctx context.Context) error {
	s.leaving.Store(true)
	s.o.Log.Info().Dur("grace", s.o.Grace).Msg("readiness fails; the listener stops after the grace time")
	if err := timekeeper.Sleep(ctx, s.o.Clock, s.o.Grace); err != nil {
		return errors.Wrap(err, "drain")
	}
	s.mu.Lock()
	s.stopped = true
	callers, operators := s.callers, s.operators
	s.mu.Unlock()
	bounded, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if timekeeper.Sleep(bounded, s.o.Clock, s.o.DrainTimeout) == nil {
			cancel()
		}
	})
	err := s.shutdown(bounded, callers, operators)
	s.awaitHandlers()
	s.o.Log.Info().Err(err).Msg("requests under way have ended")
	return err
}

// Close ends the service at once and cuts what is under way.
func (s *Server) Close() {
	s.leaving.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, srv := range append(s.callers, s.operators...) {
		srv.Close()
	}
}

// awaitHandlers waits until the handlers of cut requests have billed what they
// produced. It takes every slot, each of which a handler holds until it ends.
func (s *Server) awaitHandlers() {
	limit := s.o.Clock.NewTimer(handlerTime)
	defer limit.Stop()
	for range cap(s.slots) {
		select {
		case s.slots <- struct{}{}:
		case <-limit.C():
			s.o.Scope.Counter("server.handlersLeft").Inc(1)
			return
		}
	}
}

func (s *Server) shutdown(ctx context.Context, callers, operators []*http.Server) error {
	var err error
	for _, srv := range callers {
		if serr := srv.Shutdown(ctx); serr != nil {
			err = errors.CombineErrors(err, errors.Wrap(serr, "requests were cut after the drain timeout"))
			srv.Close()
		}
	}
	for _, srv := range operators {
		srv.Close()
	}
	return err
}

// ready returns why the host should get no requests.
func (s *Server) ready() error {
	if s.leaving.Load() {
		return errLeaving
	}
	if s.o.Ready != nil {
		return s.o.Ready()
	}
	if s.o.Views.Catalog() == nil {
		return errNotConfigured
	}
	return nil
}

var (
	errLeaving       = errors.New("the host is shutting down")
	errNotConfigured = errors.New("the host has no configuration yet")
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timekeeper.System{}
	}
	if o.Print == nil {
		o.Print = printYAML
	}
	o.MaxBody = or(o.MaxBody, defaultMaxBody)
	o.MaxHeader = or(o.MaxHeader, defaultMaxHeader)
	o.HeaderTimeout = or(o.HeaderTimeout, defaultHeaderTimeout)
	o.BodyTimeout = or(o.BodyTimeout, defaultBodyTimeout)
	o.WriteTimeout = or(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = or(o.IdleTimeout, defaultIdleTimeout)
	o.MaxConcurrent = or(o.MaxConcurrent, defaultConcurrent)
	o.MaxConnections = or(o.MaxConnections, defaultConnections)
	o.Grace = or(o.Grace, defaultGrace)
	o.DrainTimeout = or(o.DrainTimeout, defaultDrainTimeout)
	return o
}

func or[T int | int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
