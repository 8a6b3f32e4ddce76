// Package loader sends load to a running deployment and audits the result from
// outside: from the responses that callers received, the runs of upstreams and
// the exported ledger, never from the router's own counters. The load follows
// the request mix of one of the first two deployments.
//
// # Usage
//
//	conf := loader.Config{
//		Seed: 1, Entries: entries, Mix: loader.Cooperative(), Rate: 50, Duration: time.Minute,
//		Workspaces: workspaces, Engines: engines, Services: services,
//	}
//	l := loader.New(conf)
//	err := l.Run(ctx)                     // sends the load and sets the faults
//	err = l.Collect(ctx)                  // reads the runs of the upstreams
//	l.Audit().AddLedger(records)          // adds the exported ledger
//	report := l.Report()
//	report.Print(os.Stdout)
//
// The load is open-loop: arrivals form a Poisson process generated from the
// seed, a slow response does not delay later arrivals, and latency is measured
// from the intended start.
//
// Audit can be used without a Loader; package demonstrator feeds it directly.
package loader

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

const (
	defaultTimeout  = 30 * time.Second
	defaultInFlight = 4096
	// standInTimeout bounds one call of a stand-in.
	standInTimeout = 10 * time.Second
)

type (
	// Config describes a load run. Clock, Model, Timeout, InFlight and Audit have
	// defaults.
	Config struct {
		Clock timekeeper.Clock
		Seed  uint64
		// Entries are the addresses of the entry hosts. If a connection cannot
		// be opened, the request goes to the next address, as a load balancer
		// would send it.
		Entries []netip.AddrPort
		// Ready reports whether an entry accepts new requests, like the health
		// check of a load balancer; nil means always.
		Ready func(netip.AddrPort) bool
		// TLS is used for connections to entries; nil means plain HTTP.
		TLS *tls.Config
		Mix Mix
		// Model is the model name in requests; the default is Auto.
		Model      string
		Workspaces []Workspace
		// Rate is the mean number of arrivals per second.
		Rate float64
		// Duration is the period of arrivals and must be positive. Count limits
		// the number of arrivals; 0 means no limit.
		Duration time.Duration
		Count    int
		// Timeout is the limit of one attempt; the default is 30 s.
		Timeout time.Duration
		// InFlight limits the concurrent requests; the default is 4096.
		// Requests above the limit are skipped and counted.
		InFlight int
		// UpstreamTLS is used for calls of stand-ins; nil means plain HTTP.
		UpstreamTLS *tls.Config
		// Engines and Services are the stand-ins whose runs Collect reads.
		Engines, Services []netip.AddrPort
		// Faults are set on stand-ins during the run.
		Faults []TimedFault
		// Events are functions called during the run.
		Events []Event
		// Prices maps versions to their token prices, for the cost in reports.
		Prices map[declarer.VersionRef]declarer.Price
		// Audit is used instead of a new one if it is not nil.
		Audit *Audit
	}

	// TimedFault is a fault set on a stand-in at time At after the start of a run.
	TimedFault struct {
		Name   string
		At     time.Duration
		Target netip.AddrPort
		Fault  emulator.Fault
	}

	// Event is a function called at time At after the start of a run.
	Event struct {
		Name string
		At   time.Duration
		Do   func(context.Context) error
	}

	// Loader sends the load of one run. Make it with New.
	Loader struct {
		conf   Config
		clock  timekeeper.Clock
		client *http.Client
		// standIns is the client for calls of stand-ins.
		standIns *http.Client
		audit    *Audit
		timers   conc.WaitGroup

		mu            sync.Mutex
		rng           *rand.Rand
		inFlight      int
		tokens        map[string]sessionToken
		sessionStarts map[string]int
		failures      []string
		// offset holds how far Collect has read each stand-in. seenRuns
		// holds the service runs read, since replicas that share a book all
		// list the same runs.
		offset   map[netip.AddrPort]readOffset
		seenRuns map[emulator.ServiceRun]bool
	}

	// readOffset is how far the runs and late arrivals of a stand-in were read.
	readOffset struct {
		runs int64
		late int
	}

	// sessionToken is the latest token of a planned session, and the name of
	// the session that it belongs to.
	sessionToken struct{ token, session string }

	// StandInError reports the HTTP status with which a stand-in refused a call.
	StandInError struct {
		Target netip.AddrPort
		Path   string
		Status int
	}
)

// New returns a loader for one run.
func New(conf Config) *Loader {
	if conf.Timeout <= 0 {
		conf.Timeout = defaultTimeout
	}
	if conf.InFlight <= 0 {
		conf.InFlight = defaultInFlight
	}
	if conf.Model == "" {
		conf.Model = Auto
	}
	if conf.Clock == nil {
		conf.Clock = timekeeper.System{}
	}
	l := &Loader{
		conf: conf, clock: conf.Clock, audit: conf.Audit,
		rng:    rand.New(rand.NewPCG(conf.Seed, 1)),
		tokens: make(map[string]sessionToken), sessionStarts: make(map[string]int),
		offset: make(map[netip.AddrPort]readOffset), seenRuns: make(map[emulator.ServiceRun]bool),
		client: newClient(conf.TLS, conf.InFlight), standIns: newClient(conf.UpstreamTLS, 1),
	}
	if l.audit == nil {
		l.audit = NewAudit(AuditConfig{Prices: conf.Prices})
	}
	return l
}

// Error implements error.
func (e *StandInError) Error() string {
	return fmt.Sprintf("stand-in %s answered HTTP status %d to %s", e.Target, e.Status, e.Path)
}

// Audit returns the audit that collects the data of the run.
func (l *Loader) Audit() *Audit { return l.audit }

// Failures returns the errors of faults and events, each after its name.
func (l *Loader) Failures() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failures)
}

// Run sends the planned requests, sets the faults, calls the events and waits
// for all of them to end. If ctx ends before the last request is sent, it returns
// the error of ctx; results until then are in the audit.
func (l *Loader) Run(ctx context.Context) error {
	start := l.clock.Now()
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer l.timers.Wait()
	defer cancel()
	defer wg.Wait()
	for _, e := range l.allEvents() {
		wg.Go(func() { l.runEvent(ctx, start, e) })
	}
	for r := range Plan(l.conf) {
		if wait := r.At - l.clock.Since(start); wait > 0 {
			if err := timekeeper.Sleep(ctx, l.clock, wait); err != nil {
				return err
			}
		}
		s, ok := l.newSender(r, start.Add(r.At))
		if !ok {
			l.audit.AddResult(Result{Request: r, Skipped: true})
			continue
		}
		wg.Go(func() {
			defer l.releaseSlot()
			l.audit.AddResult(s.sendWithRetries(ctx))
		})
	}
	return nil
}

// allEvents returns the configured events and an event for each fault.
func (l *Loader) allEvents() []Event {
	out := slices.Clone(l.conf.Events)
	for _, f := range l.conf.Faults {
		out = append(out, Event{Name: f.Name, At: f.At, Do: func(ctx context.Context) error {
			return l.setFault(ctx, f)
		}})
	}
	return out
}

// runEvent calls an event when it is due and records its error.
func (l *Loader) runEvent(ctx context.Context, start time.Time, e Event) {
	if timekeeper.Sleep(ctx, l.clock, e.At-l.clock.Since(start)) != nil {
		return
	}
	if err := e.Do(ctx); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failures = append(l.failures, e.Name+": "+err.Error())
	}
}

// newSender takes a slot and returns the sender of a request with its keys and
// session. It reports false if all Config.InFlight slots are taken.
func (l *Loader) newSender(r Request, intended time.Time) (*sender, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight >= l.conf.InFlight {
		return nil, false
	}
	l.inFlight++
	s := &sender{loader: l, request: r, intendedStart: intended}
	if r.Class.Kind == "" && r.Class.Method != http.MethodGet {
		s.idempotencyKey = newUUIDv7(l.clock.Now(), l.rng.Uint64(), l.rng.Uint64())
	}
	s.sessionName = r.Session
	if r.ByToken {
		t := l.tokens[r.Session]
		if t.token == "" {
			// No earlier turn has been answered yet, or all have failed: start
			// the session again under a new name.
			l.sessionStarts[r.Session]++
			t.session = fmt.Sprintf("%s-%d", r.Session, l.sessionStarts[r.Session])
		}
		s.sessionName, s.sessionToken = t.session, t.token
	}
	return s, true
}

// releaseSlot frees the slot taken by newSender.
func (l *Loader) releaseSlot() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// Collect adds the runs of all stand-ins since the last call to the audit. Call
// it after the run, and before a stand-in stops during the run. It returns a
// *StandInError if a stand-in refuses the call.
func (l *Loader) Collect(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.conf.Engines {
		var b emulator.RanBody
		if err := l.callStandIn(ctx, a, http.MethodGet, l.ranPath(a), nil, &b); err != nil {
			return err
		}
		l.audit.AddEngineRuns(b.Runs, l.updateOffset(a, b.Next, b.LateWork))
	}
	for _, a := range l.conf.Services {
		var b emulator.ServiceRanBody
		if err := l.callStandIn(ctx, a, http.MethodGet, l.ranPath(a), nil, &b); err != nil {
			return err
		}
		runs := slices.DeleteFunc(b.Runs, func(r emulator.ServiceRun) bool { return l.seenRuns[r] })
		for _, r := range runs {
			l.seenRuns[r] = true
		}
		l.audit.AddServiceRuns(runs, l.updateOffset(a, b.Next, b.LateWork))
	}
	return nil
}

func (l *Loader) ranPath(a netip.AddrPort) string { return fmt.Sprint("/ran?after=", l.offset[a].runs) }

// updateOffset stores how far the stand-in was read and returns the late
// arrivals that are new. A stand-in that leaves again starts its list of late
// arrivals afresh.
func (l *Loader) updateOffset(a netip.AddrPort, runs int64, late []time.Duration) []time.Duration {
	n := min(l.offset[a].late, len(late))
	l.offset[a] = readOffset{runs, len(late)}
	return late[n:]
}

// setFault sets a fault on its target and records for promise 8 that the target
// leaves.
func (l *Loader) setFault(ctx context.Context, f TimedFault) error {
	if f.Fault.Kind == emulator.FaultLeave {
		l.audit.AddLeave()
	}
	return l.callStandIn(ctx, f.Target, http.MethodPost, "/faults", f.Fault, nil)
}

// callStandIn sends in to a stand-in and decodes the response into out unless
// that is nil. It returns a *StandInError for HTTP status 300 and above.
func (l *Loader) callStandIn(ctx context.Context, a netip.AddrPort, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode the request to a stand-in")
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme(l.conf.UpstreamTLS)+a.String()+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "create the request to a stand-in")
	}
	resp, err := l.standIns.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call stand-in %s", a)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return &StandInError{Target: a, Path: path, Status: resp.StatusCode}
	}
	if out == nil {
		return nil
	}
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "decode the response of stand-in %s", a)
}

func newClient(conf *tls.Config, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: conf, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute,
	}}
}

// scheme returns the URL prefix "https://" if TLS is configured, else "http://".
func scheme(conf *tls.Config) string {
	if conf != nil {
		return "https://"
	}
	return "http://"
}

// storeToken keeps the session token of a response for the next turn.
func (l *Loader) storeToken(s *sender, token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[s.request.Session] = sessionToken{token, s.sessionName}
}
