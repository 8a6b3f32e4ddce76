// Package forwarder serves requests whose bytes go to an upstream unchanged.
//
// A request is matched to a route and a workspace, read whole, and sent to an
// upstream that the placer chooses. What the headers mean is told by a Codec,
// so that the package knows no names of any platform. A request is sent to a
// second upstream only if its route allows it to run more than once, or if it
// certainly did not run, and only within the route's attempts and the shared
// budget of repeats. Streams are forwarded event by event; where the route
// allows it, a stream that breaks off is continued at another upstream within
// the same answer.
//
// # Usage
//
//	f := forwarder.New(forwarder.Settings{Codec: codec, Upstreams: dialer, Placer: placer, Budget: budget, Clock: clock})
//	f.Put(forwarder.InForce{Table: table})
//	http.Serve(listener, f)
//
// Every request ends in exactly one of: the whole answer of one upstream; a
// refusal with 429 or 503, which says that the request has not run and never
// will; a failure with 502 or 504, which says nothing; or a broken connection
// where a stream cannot be completed.
package forwarder

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"foxtailwall/budgeter"
	"foxtailwall/controller"
	"foxtailwall/counter"
	"foxtailwall/dialer"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/sizer"
	"foxtailwall/stager"
	"foxtailwall/timekeeper"
)

type (
	// Codec reads and writes the headers of a protocol.
	Codec interface {
		// Request returns what the header of a caller's request says.
		Request(h http.Header) Envelope
		// Fields returns the header fields to send to an upstream, without
		// those that concern the caller's connection.
		Fields(h http.Header, d Dispatch) []dialer.Field
		// Reply returns what the header of an upstream's answer says.
		Reply(h http.Header) Reply
		// IDField is the name of the field that carries the request's ID both
		// ways.
		IDField() string
	}

	// Envelope is what a request says of itself.
	Envelope struct {
		ID string
		// Wait is how long the caller waits; zero where it does not say.
		Wait time.Duration
		// Key is the caller's API key.
		Key string
		// AnyModel says that the caller leaves the choice of the model to the
		// router.
		AnyModel bool
		// Input and Output are the tokens of the prompt and the most that are
		// generated; zero for plain requests.
		Input, Output int
		// Parts are the parts of the prompt that may be cached, in order.
		Parts []Part
		// Session names the session, if the caller does.
		Session string
		// Resume is the ID of the last event that the caller has.
		Resume string
	}

	// Part is a part of a prompt.
	Part struct {
		ID     uint64
		Tokens int
	}

	// Dispatch is what the router adds to a request.
	Dispatch struct {
		// Upstream is the identity of the upstream that is to run it.
		Upstream  string
		Workspace string
		// Left is the time left for the request.
		Left time.Duration
		// Model is the chosen model, empty where the caller chose.
		Model string
		// Resume is the ID of the last event that was forwarded.
		Resume string
		// Urgency goes from 0, the first, to 9; below 0 it is not sent.
		Urgency int
	}

	// Reply is what an answer says of itself.
	Reply struct {
		ID string
		// Signed answers carry the upstream's signature.
		Signed bool
		// NotRun says that the request did not run and never will.
		NotRun bool
		// Confidence is the model's opinion of its answer, from 0 to 100, or
		// below 0 if it gives none.
		Confidence int
	}

	// Settings configures a Forwarder.
	Settings struct {
		Codec     Codec
		Upstreams *dialer.Dialer
		Placer    *placer.Placer
		Budget    *budgeter.Budget
		Clock     timekeeper.Clock
		Scope     counter.Scope
		Log       zerolog.Logger
		// Session is how long after a request its session goes on.
		Session time.Duration
	}

	// InForce is the configuration that requests follow.
	InForce struct {
		Table *matcher.Table
		// Rollouts are the ordered rollouts by service.
		Rollouts map[string]controller.OrderedRollout
	}

	// Forwarder serves requests. Make it with New.
	Forwarder struct {
		set     Settings
		inForce atomic.Pointer[InForce]
		closing atomic.Bool
		running atomic.Int64
		// leaving is when this host ends, nil while it is not known.
		leaving atomic.Pointer[time.Time]
		started time.Time
		// configured is closed when the first configuration is in force.
		configured chan struct{}

		// lines writes about requests, in a bounded volume.
		lines zerolog.Logger

		mu       sync.Mutex
		assigner stager.Assigner
		gauge    sizer.Gauge
		tally    tally
	}
)

// New returns a forwarder without a configuration, which refuses all requests.
func New(s Settings) *Forwarder {
	f := &Forwarder{set: s, started: s.Clock.Now(), configured: make(chan struct{})}
	f.lines = sampled(s.Log)
	f.assigner.Session = s.Session
	f.tally.lines = make(map[stager.Line]stager.Count)
	f.tally.usual = make(map[usualKey]time.Duration)
	return f
}

// Put takes over a configuration. Calls must not overlap.
func (f *Forwarder) Put(c InForce) {
	first := f.InForce().Table == nil && c.Table != nil
	f.inForce.Store(&c)
	f.mu.Lock()
	f.assigner.Forget(slices.Collect(maps.Values(c.Rollouts)))
	f.mu.Unlock()
	if first {
		close(f.configured)
	}
}

// InForce returns the configuration in force; its table is nil before the
// first.
func (f *Forwarder) InForce() InForce {
	if c := f.inForce.Load(); c != nil {
		return *c
	}
	return InForce{}
}

// Kept returns the sessions that stay on another version in the trial of the
// rollout.
func (f *Forwarder) Kept(r controller.OrderedRollout) []uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.assigner.Kept(r, f.set.Clock.Now())
}

// Keep takes over such sessions from other hosts.
func (f *Forwarder) Keep(service, target string, sessions []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assigner.Keep(service, target, sessions)
}

// Close lets every further answer end its connection, so that callers go to
// other hosts.
func (f *Forwarder) Close() { f.closing.Store(true) }

// Leave lets further requests be refused at once that may not be complete when
// this host ends.
func (f *Forwarder) Leave(end time.Time) { f.leaving.Store(&end) }

// Running returns the number of requests under way.
func (f *Forwarder) Running() int { return int(f.running.Load()) }

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.running.Add(1)
	defer f.running.Add(-1)
	c := &call{f: f, w: w, r: r, begun: f.set.Clock.Now()}
	if f.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	if ref := c.admit(); ref != nil {
		c.refuse(ref)
		return
	}
	c.run()
}
