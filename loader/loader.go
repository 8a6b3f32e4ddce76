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
	// collectTimeout bounds one reading of an upstream's counts.
	collectTimeout = 10 * time.Second
)

type (
	// Config describes a run. Zero fields take defaults where there is one.
	Config struct {
		Clock timekeeper.Clock
		Seed  uint64
		// Entries are the addresses of the entry hosts. As behind a load
		// balancer, a request whose connection cannot be opened goes to the
		// next one.
		Entries []netip.AddrPort
		// Ready says whether an entry may get new requests, as a load balancer
		// knows from its probes; nil means always.
		Ready func(netip.AddrPort) bool
		// TLS is used towards entries if it is not nil.
		TLS *tls.Config
		Mix Mix
		// Model is the model name that callers send; the default is Auto.
		Model      string
		Workspaces []Workspace
		// Rate is the mean number of arrivals in a second.
		Rate float64
		// Duration bounds the arrivals in time, Count in number (0: none).
		Duration time.Duration
		Count    int
		// Timeout bounds one attempt of a caller.
		Timeout time.Duration
		// InFlight bounds the requests in progress; beyond it requests are
		// skipped and counted.
		InFlight int
		// UpstreamTLS is used towards stand-ins if it is not nil.
		UpstreamTLS *tls.Config
		// Engines and Services are read by Collect.
		Engines, Services []netip.AddrPort
		// Faults are set at their times.
		Faults []TimedFault
		// Events are called at their times.
		Events []Event
		// Prices give the cost of a run by version.
		Prices map[declarer.VersionRef]declarer.Price
		// Audit is used instead of a new one if it is not nil.
		Audit *Audit
	}

	// TimedFault is a fault that is set on a stand-in during a run.
	TimedFault struct {
		Name   string
		At     time.Duration
		Target netip.AddrPort
		Fault  emulator.Fault
	}

	// Event is a function that is called during a run.
	Event struct {
		Name string
		At   time.Duration
		Do   func(context.Context) error
	}

	// Loader drives one run. Make it with New.
	Loader struct {
		conf   Config
		clock  timekeeper.Clock
		client *http.Client
		// standIns calls the stand-ins.
		standIns *http.Client
		audit    *Audit
		timers   conc.WaitGroup

		mu     sync.Mutex
		rng    *rand.Rand
		flying int
		tokens map[string]sessionToken
		epochs map[string]int
		failed []string
		// read holds what Collect has read from each stand-in, seen the runs
		// of services, which replicas with a common book list alike.
		read map[netip.AddrPort]position
		seen map[emulator.ServiceRun]bool
	}

	// position is how much of the counts of a stand-in was read.
	position struct {
		runs int64
		late int
	}

	// sessionToken is the newest token of a session and the name of the
	// session that it belongs to.
	sessionToken struct{ token, session string }

	// StandInError says that a stand-in did not take a call.
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
		tokens: make(map[string]sessionToken), epochs: make(map[string]int),
		read: make(map[netip.AddrPort]position), seen: make(map[emulator.ServiceRun]bool),
		client: newClient(conf.TLS, conf.InFlight), standIns: newClient(conf.UpstreamTLS, 1),
	}
	if l.audit == nil {
		l.audit = NewAudit(AuditConfig{Prices: conf.Prices})
	}
	return l
}

// Error implements error.
func (e *StandInError) Error() string {
	return fmt.Sprintf("stand-in %s answered %d to %s", e.Target, e.Status, e.Path)
}

// Audit returns the audit of the run.
func (l *Loader) Audit() *Audit { return l.audit }

// Failed returns the faults and events of the run that could not be set.
func (l *Loader) Failed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.failed)
}

// Run sends the planned requests, sets the faults and returns once every
// request has ended. It returns the error of ctx if that ends first; what was
// sent until then is in the audit.
func (l *Loader) Run(ctx context.Context) error {
	start := l.clock.Now()
	var wg conc.WaitGroup
	ctx, cancel := context.WithCancel(ctx)
	defer l.timers.Wait()
	defer cancel()
	defer wg.Wait()
	for _, e := range l.events() {
		wg.Go(func() { l.event(ctx, start, e) })
	}
	for r := range Plan(l.conf) {
		if wait := r.At - l.clock.Since(start); wait > 0 {
			if err := timekeeper.Sleep(ctx, l.clock, wait); err != nil {
				return err
			}
		}
		s, ok := l.begin(r, start.Add(r.At))
		if !ok {
			l.audit.Result(Result{Request: r, Skipped: true})
			continue
		}
		wg.Go(func() {
			defer l.end()
			l.audit.Result(s.run(ctx))
		})
	}
	return nil
}

// events returns the faults as events, and the events.
func (l *Loader) events() []Event {
	out := slices.Clone(l.conf.Events)
	for _, f := range l.conf.Faults {
		out = append(out, Event{Name: f.Name, At: f.At, Do: func(ctx context.Context) error {
			return l.setFault(ctx, f)
		}})
	}
	return out
}

func (l *Loader) event(ctx context.Context, start time.Time, e Event) {
	if timekeeper.Sleep(ctx, l.clock, e.At-l.clock.Since(start)) != nil {
		return
	}
	if err := e.Do(ctx); err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failed = append(l.failed, e.Name+": "+err.Error())
	}
}

// begin prepares the sending of a request and reports whether there is room
// for it.
func (l *Loader) begin(r Request, intended time.Time) (*sender, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.flying >= l.conf.InFlight {
		return nil, false
	}
	l.flying++
	s := &sender{l: l, r: r, start: intended}
	if r.Class.Kind == "" && r.Class.Method != http.MethodGet {
		s.key = key7(l.clock.Now(), l.rng.Uint64(), l.rng.Uint64())
	}
	s.session = r.Session
	if r.ByToken {
		t := l.tokens[r.Session]
		if t.token == "" {
			// Without a token the session begins anew: the earlier turn has
			// failed or has not been answered yet.
			l.epochs[r.Session]++
			t.session = fmt.Sprintf("%s-%d", r.Session, l.epochs[r.Session])
		}
		s.session, s.token = t.session, t.token
	}
	return s, true
}

func (l *Loader) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flying--
}

// Collect reads what the upstreams ran since the last call into the audit. Call
// it after the run, and before a stand-in ends during it.
func (l *Loader) Collect(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.conf.Engines {
		var b emulator.RanBody
		if err := l.call(ctx, a, http.MethodGet, l.ranPath(a), nil, &b); err != nil {
			return err
		}
		l.audit.Engine(b.Runs, l.advance(a, b.Next, b.LateWork))
	}
	for _, a := range l.conf.Services {
		var b emulator.ServiceRanBody
		if err := l.call(ctx, a, http.MethodGet, l.ranPath(a), nil, &b); err != nil {
			return err
		}
		runs := slices.DeleteFunc(b.Runs, func(r emulator.ServiceRun) bool { return l.seen[r] })
		for _, r := range runs {
			l.seen[r] = true
		}
		l.audit.Service(runs, l.advance(a, b.Next, b.LateWork))
	}
	return nil
}

func (l *Loader) ranPath(a netip.AddrPort) string { return fmt.Sprint("/ran?after=", l.read[a].runs) }

// advance notes what was read and returns the late work that is new. A
// stand-in that has left again lists its late work anew.
func (l *Loader) advance(a netip.AddrPort, runs int64, late []time.Duration) []time.Duration {
	n := min(l.read[a].late, len(late))
	l.read[a] = position{runs, len(late)}
	return late[n:]
}

func (l *Loader) setFault(ctx context.Context, f TimedFault) error {
	if f.Fault.Kind == emulator.FaultLeave {
		l.audit.Left()
	}
	return l.call(ctx, f.Target, http.MethodPost, "/faults", f.Fault, nil)
}

// call calls a stand-in. It returns a *StandInError for a refusal.
func (l *Loader) call(ctx context.Context, a netip.AddrPort, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	b, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode the call of a stand-in")
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme(l.conf.UpstreamTLS)+a.String()+path, bytes.NewReader(b))
	if err != nil {
		return errors.Wrap(err, "make the call of a stand-in")
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
	return errors.Wrapf(json.NewDecoder(resp.Body).Decode(out), "decode the answer of stand-in %s", a)
}

func newClient(conf *tls.Config, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig: conf, ForceAttemptHTTP2: true, MaxIdleConnsPerHost: idle, IdleConnTimeout: time.Minute,
	}}
}

// scheme returns the start of a URL.
func scheme(conf *tls.Config) string {
	if conf != nil {
		return "https://"
	}
	return "http://"
}

func (l *Loader) keepToken(s *sender, token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[s.r.Session] = sessionToken{token, s.session}
}
