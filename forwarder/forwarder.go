// Package forwarder proxies requests to upstreams without changing their bytes.
//
// Each request is matched to a route and a workspace, buffered, and sent to an
// upstream that the placer chooses. A Codec interprets the headers, so the
// package knows no platform's header names. A request is retried at another
// upstream only if its route is repeatable or if it certainly did not run, and
// only within the route's attempts and the shared retry budget. A host that reaches no
// upstream passes requests to another host. Streams are
// forwarded event by event. On a resumable route, a stream that breaks off is
// continued from another upstream within the same response.
//
// # Usage
//
//	f := forwarder.New(forwarder.Settings{Codec: codec, Upstreams: dialer, Placer: placer, Budget: budget, Clock: clock})
//	f.SetConfig(forwarder.ActiveConfig{Table: table})
//	srv := &http.Server{Handler: f, BaseContext: f.BaseContext}
//	srv.Serve(listener)
//
// Every request ends in exactly one of: the complete response of one upstream;
// a refusal with status 4xx or 503, which guarantees that the request has not
// run and never will; an error with status 502 or 504, which guarantees
// nothing; or a broken connection if a stream cannot be completed.
package forwarder

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/allotter"
	"foxtailwall/budgeter"
	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/delegator"
	"foxtailwall/dialer"
	"foxtailwall/isolator"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/router"
	"foxtailwall/sizer"
	"foxtailwall/stager"
	"foxtailwall/timekeeper"
)

type (
	// Codec reads and writes the headers of a protocol.
	Codec interface {
		// Request parses the header of a caller's request.
		Request(h http.Header) Envelope
		// Fields returns the header fields to send to an upstream, without hop-by-hop
		// fields.
		Fields(h http.Header, d Dispatch) []dialer.Field
		// HostFields returns the header fields with which another host treats the request
		// as if the caller had sent it there, without hop-by-hop fields.
		HostFields(h http.Header, d Delegation) []dialer.Field
		// Reply parses the header of an upstream's response.
		Reply(h http.Header) Reply
		// IDField returns the name of the field that carries the request's ID in
		// requests and responses.
		IDField() string
	}

	// Envelope holds the metadata in the header of a caller's request.
	Envelope struct {
		ID string
		// Timeout is the caller's timeout; zero if the request states none.
		Timeout time.Duration
		// Key is the caller's API key.
		Key string
		// AnyModel reports whether the router may choose the model.
		AnyModel bool
		// Input is the number of prompt tokens and Output the maximum number of
		// generated tokens; both are zero for requests to plain services.
		Input, Output int
		// Parts are the cacheable parts of the prompt, in order.
		Parts []Part
		// Session identifies the session; empty if the caller names none.
		Session string
		// Resume is the ID of the last event that the caller received.
		Resume string
	}

	// Part is one cacheable part of a prompt.
	Part struct {
		ID     uint64
		Tokens int
	}

	// Dispatch holds the values that the router adds to a forwarded request.
	Dispatch struct {
		// Upstream is the ID of the upstream that is to run the request.
		Upstream  string
		Workspace string
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		// Model is the model that the router chose, empty if the caller chose one.
		Model string
		// Resume is the ID of the last event that was forwarded.
		Resume string
		// Priority is the priority from 0, the highest, to 9; a negative value is not
		// sent.
		Priority int
	}

	// Reply holds the metadata in the header of an upstream's response.
	Reply struct {
		ID string
		// Signed reports whether the response carries the upstream's signature.
		Signed bool
		// NotRun reports whether the request certainly did not run and never will.
		NotRun bool
		// Confidence is the model's confidence in its response, from 0 to 100, or
		// negative if unknown.
		Confidence int
		// RateLimit is the number of requests per second that the upstream accepts
		// from all hosts together; nil for no limit.
		RateLimit *float64
		// Brittle reports whether the upstream falls over if it must turn too many
		// requests away. BadBrittle is such a statement that cannot be read, empty if
		// there is none.
		Brittle    bool
		BadBrittle string
		// Leaving reports whether the upstream leaves and wants no further requests.
		Leaving bool
		// RetryAfter is the time for which the upstream wants no requests, if its
		// status is 503; zero if it names none.
		RetryAfter time.Duration
		// ColdLeft is how much longer the upstream is cold, nil if the response does not
		// say. Health responses do.
		ColdLeft *time.Duration
		// BadRetryAfter is a Retry-After that cannot be read, empty if there is none.
		BadRetryAfter string
	}

	// Settings configures a Forwarder.
	Settings struct {
		Codec     Codec
		Upstreams *dialer.Dialer
		Placer    *placer.Placer
		// Hosts are those to which requests are passed while this host reaches no
		// upstream, over connections of HostDialer; nil for none.
		Hosts      *delegator.Pool
		HostDialer *dialer.Dialer
		Budget     *budgeter.Budget
		Clock      timekeeper.Clock
		Scope      counter.Scope
		Log        zerolog.Logger
		// SessionTimeout is the time after a session's last request at which it
		// expires.
		SessionTimeout time.Duration
		// Memory is the memory for the bodies of requests and for responses of more than
		// 64 KiB that are read before they are passed on; nil means 64 MiB of its own.
		Memory *allotter.Memory
		// MaxRunning bounds the requests that were received and not answered yet; zero
		// means no bound.
		MaxRunning int
		// WriteTimeout is how long after its deadline a caller may read a response that
		// is not a stream; zero means no bound.
		WriteTimeout time.Duration
	}

	// ActiveConfig holds the routes, services and rollouts that apply to requests.
	ActiveConfig struct {
		Table *matcher.Table
		// Rollouts maps services to their ordered rollouts.
		Rollouts map[string]controller.OrderedRollout
		// Isolated has the prompt parts and requests that crash upstreams.
		Isolated map[controller.PromptPart]bool
		// Held has the prompt parts that may crash upstreams, whose requests wait for the
		// result of a trial.
		Held map[controller.PromptPart]bool
	}

	// Forwarder proxies requests. Create it with New.
	Forwarder struct {
		settings     Settings
		activeConfig atomic.Pointer[ActiveConfig]
		running      atomic.Int64
		// departure is nil while this host does not leave.
		departure atomic.Pointer[Departure]
		// base is the parent of the contexts of all requests, and cutOff ends it.
		base    context.Context
		cutOff  context.CancelCauseFunc
		started time.Time
		// configured is closed when the first configuration becomes active.
		configured chan struct{}

		// memory is divided among the requests.
		memory *allotter.Memory
		// received is the number of requests that were received and not answered yet.
		received atomic.Int64

		// isolation collects evidence about prompt parts and requests that crash
		// upstreams.
		isolation *isolator.Recorder
		// held is the number of requests that wait because of a held part.
		held atomic.Int64

		// requestLog is a sampled logger for lines about single requests.
		requestLog zerolog.Logger

		mu       sync.Mutex
		assigner stager.Assigner
		latency  sizer.LatencyTracker
		stats    responseStats
	}
)

// New returns a forwarder that refuses all requests until it has a
// configuration.
func New(s Settings) *Forwarder {
	f := &Forwarder{
		settings: s, started: s.Clock.Now(), configured: make(chan struct{}), isolation: isolator.NewRecorder(s.Clock),
	}
	f.base, f.cutOff = context.WithCancelCause(context.Background())
	f.memory = s.Memory
	if f.memory == nil {
		f.memory = new(allotter.Memory)
	}
	f.requestLog = sampledLogger(s.Log)
	f.assigner.SessionTimeout = s.SessionTimeout
	f.stats = newResponseStats()
	return f
}

// SetConfig activates a configuration. Calls must not overlap.
func (f *Forwarder) SetConfig(c ActiveConfig) {
	first := f.ActiveConfig().Table == nil && c.Table != nil
	f.activeConfig.Store(&c)
	f.mu.Lock()
	f.assigner.Forget(slices.Collect(maps.Values(c.Rollouts)))
	f.mu.Unlock()
	if first {
		close(f.configured)
	}
}

// ActiveConfig returns the active configuration; its Table is nil before the
// first one.
func (f *Forwarder) ActiveConfig() ActiveConfig {
	if c := f.activeConfig.Load(); c != nil {
		return *c
	}
	return ActiveConfig{}
}

// ExcludedSessions returns the hashes of the sessions that this host excludes
// from the trial of the rollout because they already use another version.
func (f *Forwarder) ExcludedSessions(r controller.OrderedRollout) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.assigner.ExcludedSessions(r, f.settings.Clock.Now())
}

// AddExcludedSessions adds sessions that other hosts exclude from the trial of
// a rollout.
func (f *Forwarder) AddExcludedSessions(service, target string, sessions []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assigner.AddExcludedSessions(service, target, sessions)
}

// Leave announces that this host stops. From now on it takes only requests whose
// deadline passes before d.End, since nothing else bounds their duration, and
// refuses all others at once. Every response closes its connection, so that callers
// connect to other hosts.
func (f *Forwarder) Leave(d Departure) { f.departure.Store(&d) }

// BaseContext is the http.Server.BaseContext of the server for callers. CutOff does
// not reach requests of other servers.
func (f *Forwarder) BaseContext(net.Listener) context.Context { return f.base }

// CutOff ends all running requests, and further ones, because this host stops.
// Callers that have received nothing get a final answer, the others a broken
// connection.
func (f *Forwarder) CutOff() { f.cutOff(&router.CutOffError{}) }

// Running returns the number of requests in progress.
func (f *Forwarder) Running() int { return int(f.running.Load()) }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, 0) }

// serve serves a request. The number of attempts that another host leaves to it is
// zero for requests of callers.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, delegatedAttempts int) {
	f.running.Add(1)
	defer f.running.Add(-1)
	c := &call{
		f: f, w: w, r: r, startedAt: f.settings.Clock.Now(), memory: f.memory.NewShare(), delegatedAttempts: delegatedAttempts,
	}
	defer c.memory.Release()
	defer c.release()
	if f.departure.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if ref := c.admit(); ref != nil {
		c.writeRefusal(ref)
		return
	}
	c.run()
}
