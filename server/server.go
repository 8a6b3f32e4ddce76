// Package server implements the HTTP endpoints of a host: the API for callers
// and the health, metrics and configuration pages for operators. Package hoster
// assembles a host around it; package starter assembles the entry and control
// programs.
//
// # Usage
//
//	s, err := server.New(server.Options{Clock: clock, Scope: scope, Views: views, Router: rt, OperatorDigest: digest})
//	go s.ServeCallers(callerListener, tlsConfig)
//	go s.ServeOperators(operatorListener, tlsConfig)
//	<-stop
//	err := s.Drain(ctx)
//
// Drain shuts the server down gracefully: /readyz fails first, so that the load
// balancer sends requests to other hosts; after Options.Grace the listener
// closes; then running requests finish. From its start on only requests are taken
// whose deadline passes before it ends, and all others are refused at once as not
// run. Requests that exceed Options.DrainTimeout are cut off and get a final answer,
// unless a part of theirs was sent.
//
// Callers use /v1/chat/completions, /v1/models and /services/NAME/PATH with an
// API key in the Authorization header. Every response carries its request ID in
// Foxtailwall-Request, and every error is a JSON body with a stable code and
// the outcome of the request.
//
// The operators' port has /healthz and /readyz, which need no key, and
// /metrics, /config and /report, which need the operator key.
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

	"foxtailwall/accepter"
	"foxtailwall/allotter"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	defaultMaxBodyBytes   = 8 << 20
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultBodyTimeout    = 15 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	defaultIdleTimeout    = 2 * time.Minute
	defaultMaxConcurrent  = 4096
	defaultMaxConnections = 8192
	defaultGrace          = 5 * time.Second
	defaultDrainTimeout   = 2 * time.Minute
	// handlerTimeout bounds the wait for the handlers of aborted requests to
	// return; the router may need 2 s to hand over a billing record.
	handlerTimeout = 5 * time.Second
	// maxOperatorConnections limits the open connections of the operators'
	// port.
	maxOperatorConnections = 64
)

type (
	// Options are the settings of a Server. Views and Router are required;
	// the others may be zero.
	Options struct {
		// Clock must follow real time, since connection deadlines are
		// computed from it.
		Clock  timekeeper.Clock
		Scope  counter.Scope
		Views  router.Views
		Router *router.Router
		// Log receives the stack traces of panicking handlers and the start
		// and end of Drain. The zero value logs nothing.
		Log zerolog.Logger
		// OperatorDigest is the SHA-256 digest of the operator key, in
		// hexadecimal. If it is empty, the pages that need the operator key
		// refuse every request.
		OperatorDigest string
		// Print encodes the active configuration for /config; nil encodes
		// it as YAML.
		Print func(declarer.Config) ([]byte, error)
		// Report writes this host's error budget report in the format text,
		// json or html; nil if the host records no counters.
		Report func(w io.Writer, format string) error
		// Ready returns an error while the host should receive no requests.
		// If Ready is nil, the host is ready as soon as it has a
		// configuration.
		Ready func() error

		// MaxBody and MaxHeader limit the size of a request's body and
		// header, in bytes.
		MaxBody   int64
		MaxHeader int
		// HeaderTimeout and BodyTimeout limit the time to receive the
		// header and the body.
		HeaderTimeout time.Duration
		BodyTimeout   time.Duration
		// WriteTimeout limits how long a caller may read nothing of its
		// response before the connection is closed.
		WriteTimeout time.Duration
		IdleTimeout  time.Duration
		// MaxConcurrent limits the requests that were received and are running, and MaxConnections the
		// open connections of callers.
		MaxConcurrent  int
		MaxConnections int
		// MaxFields limits the fields of a header.
		MaxFields int
		// Memory is the memory for the headers and bodies of all requests; nil means 64
		// MiB of its own.
		Memory *allotter.Memory
		// Grace is the time from the first failing /readyz to the closing of
		// the listener; the load balancer must notice the change within it.
		Grace time.Duration
		// DrainTimeout limits how long running requests may take to finish
		// after the listener has closed.
		DrainTimeout time.Duration
	}

	// Server serves the ports for callers and operators. Create it with New.
	Server struct {
		opts           Options
		operatorDigest []byte
		// slots holds an element for each running request of a caller.
		slots    chan struct{}
		draining atomic.Bool
		// base is the parent of the contexts of callers' requests, and cutOff ends it.
		base   context.Context
		cutOff context.CancelCauseFunc

		mu              sync.Mutex
		callerServers   []*http.Server
		operatorServers []*http.Server
		stopped         bool
	}
)

// New returns a server. It returns a *validator.SettingError if OperatorDigest
// is not a SHA-256 digest in hexadecimal.
func New(o Options) (*Server, error) {
	o = o.withDefaults()
	s := &Server{opts: o, slots: make(chan struct{}, o.MaxConcurrent)}
	s.base, s.cutOff = context.WithCancelCause(context.Background())
	if o.OperatorDigest != "" {
		d, err := hex.DecodeString(o.OperatorDigest)
		if err != nil || len(d) != 32 {
			return nil, validator.NewSettingError("OperatorDigest", o.OperatorDigest, "64 hexadecimal digits")
		}
		s.operatorDigest = d
	}
	return s, nil
}

// ServeCallers serves callers on l until Drain or Close; without TLS if conf is
// nil.
func (s *Server) ServeCallers(l net.Listener, conf *tls.Config) error {
	limits := s.limits(conf)
	limits.MaxConns, limits.OwnBodies = s.opts.MaxConnections, true
	return s.serve(&s.callerServers, l, conf, s.CallerHandler(), limits)
}

// ServeOperators serves operators and the load balancer's health checks on l
// until the end of Drain or until Close; without TLS if conf is nil.
func (s *Server) ServeOperators(l net.Listener, conf *tls.Config) error {
	limits := s.limits(conf)
	limits.MaxConns = maxOperatorConnections
	return s.serve(&s.operatorServers, l, conf, s.OperatorHandler(), limits)
}

// limits returns the limits that both ports have in common.
func (s *Server) limits(conf *tls.Config) accepter.Limits {
	o := &s.opts
	return accepter.Limits{
		MaxHeader: o.MaxHeader, MaxFields: o.MaxFields, HeaderTimeout: o.HeaderTimeout, BodyTimeout: o.BodyTimeout,
		IdleTimeout: o.IdleTimeout, WriteTimeout: o.WriteTimeout, Memory: o.Memory, Binary: conf != nil, Clock: o.Clock, Scope: o.Scope,
	}
}

// serve runs an HTTP server for l until it is shut down. It adds the server to
// list, so that Drain and Close can stop it.
func (s *Server) serve(list *[]*http.Server, l net.Listener, conf *tls.Config, h http.Handler, limits accepter.Limits) error {
	srv := &http.Server{
		Handler: h, ErrorLog: s.opts.Scope.ErrorLog("server.connectionErrors"),
		TLSConfig:   conf.Clone(), // net/http modifies it.
		BaseContext: func(net.Listener) context.Context { return s.base },
	}
	l = accepter.Guard(srv, l, limits)
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

// Drain shuts the server down gracefully, as the package comment describes. It
// returns an error if requests were aborted because they exceeded DrainTimeout
// or ctx ended. If ctx ends within Options.Grace, it leaves the ports open.
func (s *Server) Drain(ctx context.Context) error {
	s.opts.Router.Leave(s.opts.Clock.Now().Add(s.opts.Grace + s.opts.DrainTimeout))
	s.draining.Store(true)
	s.opts.Log.Info().Dur("grace", s.opts.Grace).Msg("draining: readiness check fails, listener closes after the grace period")
	if err := timekeeper.Sleep(ctx, s.opts.Clock, s.opts.Grace); err != nil {
		return errors.Wrap(err, "drain")
	}
	s.mu.Lock()
	s.stopped = true
	callers, operators := s.callerServers, s.operatorServers
	s.mu.Unlock()
	err := s.shutDown(ctx, s.opts.DrainTimeout, callers)
	if err != nil {
		err = errors.Wrap(err, "requests were cut off after the drain timeout")
		s.cutOff(&router.CutOffError{})
		// The end of ctx does not keep callers from their last answers.
		if serr := s.shutDown(context.WithoutCancel(ctx), handlerTimeout, callers); serr != nil {
			err = errors.CombineErrors(err, errors.Wrap(serr, "callers have not taken their last answers"))
		}
	}
	for _, srv := range append(callers, operators...) {
		srv.Close()
	}
	s.awaitHandlers()
	s.opts.Log.Info().Err(err).Msg("drained: all requests have ended")
	return err
}

// Close stops the server at once and aborts running requests.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, srv := range append(s.callerServers, s.operatorServers...) {
		srv.Close()
	}
}

// awaitHandlers waits until the handlers of aborted requests have billed what
// they produced. It acquires every slot, since a handler holds one until it
// returns.
func (s *Server) awaitHandlers() {
	limit := s.opts.Clock.NewTimer(handlerTimeout)
	defer limit.Stop()
	for range cap(s.slots) {
		select {
		case s.slots <- struct{}{}:
		case <-limit.C():
			s.opts.Scope.Counter("server.handlersLeft").Inc(1)
			return
		}
	}
}

// shutDown stops the servers from accepting connections and waits until their
// running requests have ended, at most for the given time.
func (s *Server) shutDown(ctx context.Context, limit time.Duration, servers []*http.Server) error {
	bounded, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		if timekeeper.Sleep(bounded, s.opts.Clock, limit) == nil {
			cancel()
		}
	})
	var err error
	for _, srv := range servers {
		err = errors.CombineErrors(err, srv.Shutdown(bounded))
	}
	return err
}

// readinessError returns an error while the host should receive no requests.
func (s *Server) readinessError() error {
	if s.draining.Load() {
		return errShuttingDown
	}
	if s.opts.Ready != nil {
		return s.opts.Ready()
	}
	if s.opts.Views.Catalog() == nil {
		return errNotConfigured
	}
	return nil
}

var (
	errShuttingDown  = errors.New("the host is shutting down")
	errNotConfigured = errors.New("the host has no configuration yet")
)

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timekeeper.System{}
	}
	if o.Print == nil {
		o.Print = marshalYAML
	}
	if o.Memory == nil {
		o.Memory = new(allotter.Memory)
	}
	o.MaxBody = positiveOr(o.MaxBody, defaultMaxBodyBytes)
	o.MaxHeader = positiveOr(o.MaxHeader, defaultMaxHeaderBytes)
	o.HeaderTimeout = positiveOr(o.HeaderTimeout, defaultHeaderTimeout)
	o.BodyTimeout = positiveOr(o.BodyTimeout, defaultBodyTimeout)
	o.WriteTimeout = positiveOr(o.WriteTimeout, defaultWriteTimeout)
	o.IdleTimeout = positiveOr(o.IdleTimeout, defaultIdleTimeout)
	o.MaxConcurrent = positiveOr(o.MaxConcurrent, defaultMaxConcurrent)
	o.MaxConnections = positiveOr(o.MaxConnections, defaultMaxConnections)
	o.Grace = positiveOr(o.Grace, defaultGrace)
	o.DrainTimeout = positiveOr(o.DrainTimeout, defaultDrainTimeout)
	return o
}

// positiveOr returns v if it is positive, def otherwise.
func positiveOr[T int | int64 | time.Duration](v, def T) T {
	if v <= 0 {
		return def
	}
	return v
}
