package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
	"foxtailwall/budgeter"
	"foxtailwall/controller"
	"foxtailwall/dialer"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/reserver"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

func TestForwarder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forwarder")
}

// codec implements forwarder.Codec with short header names.
type codec struct{}

func (codec) IDField() string { return "X-Id" }

func (codec) Request(h http.Header) forwarder.Envelope {
	e := forwarder.Envelope{ID: h.Get("X-Id"), Key: h.Get("X-Key"), AnyModel: h.Get("X-Model") == "*", Session: h.Get("X-Session")}
	for _, id := range h.Values("X-Part") {
		n, err := strconv.ParseUint(id, 10, 64)
		Expect(err).NotTo(HaveOccurred())
		e.Parts = append(e.Parts, forwarder.Part{ID: n, Tokens: 1})
	}
	if ms, err := strconv.Atoi(h.Get("X-Wait")); err == nil {
		e.Timeout = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get("X-Output")); err == nil {
		e.Output = n
	}
	return e
}

func (codec) Fields(h http.Header, d forwarder.Dispatch) []dialer.Field {
	return []dialer.Field{
		{Name: "X-Id", Value: h.Get("X-Id")}, {Name: "X-To", Value: d.Upstream}, {Name: "X-Ws", Value: d.Workspace},
		{Name: "X-Model", Value: d.Model}, {Name: "X-Resume", Value: d.Resume}, {Name: "X-Left", Value: d.TimeLeft.String()},
		{Name: "X-Stream", Value: h.Get("X-Stream")},
	}
}

func (codec) HostFields(h http.Header, d forwarder.Delegation) []dialer.Field {
	var fields []dialer.Field
	for _, name := range []string{"X-Id", "X-Key", "X-Model", "X-Session", "X-Output", "X-Stream"} {
		if v := h.Get(name); v != "" {
			fields = append(fields, dialer.Field{Name: name, Value: v})
		}
	}
	return append(fields, dialer.Field{Name: "X-Wait", Value: strconv.Itoa(int(d.TimeLeft.Milliseconds()))}, dialer.Field{Name: "X-Resume", Value: d.Resume})
}

func (codec) Reply(h http.Header) forwarder.Reply {
	r := forwarder.Reply{
		ID: h.Get("X-Id"), Signed: h.Get("X-Sign") != "", NotRun: h.Get("X-Not-Run") != "", Confidence: -1, Leaving: h.Get("X-Leaving") != "",
	}
	if d, err := time.ParseDuration(h.Get("X-Pause")); err == nil {
		r.RetryAfter = d
	}
	if n, err := strconv.Atoi(h.Get("X-Sure")); err == nil {
		r.Confidence = n
	}
	if rate, err := strconv.ParseFloat(h.Get("X-Limit"), 64); err == nil {
		r.RateLimit = &rate
	}
	return r
}

// testbed is a forwarder with its upstreams, behind a test server.
type testbed struct {
	fwd       *forwarder.Forwarder
	placer    *placer.Placer
	frontend  *httptest.Server
	upstreams []tracker.Upstream
	budget    budgeter.Settings
	retries   *budgeter.Budget
	// servers belong to upstreams, in the same order.
	servers []*httptest.Server
	// limits and maxConns, the connection limit of an upstream, take effect with
	// the next call of setRoute.
	limits   matcher.Limits
	maxConns int
	// openConns counts the connections to all upstreams.
	openConns atomic.Int64

	mu  sync.Mutex
	ran []string
}

func newTestbed() *testbed {
	return newTestbedWithBudget(budgeter.Settings{Ratio: 1, Window: 10 * time.Second, Slack: 50, Clock: timekeeper.System{}})
}

func newTestbedWithBudget(budget budgeter.Settings) *testbed {
	return newTestbedWithSettings(budget, forwarder.Settings{})
}

// newTestbedWithMemory returns a testbed with a limit in bytes for large responses.
func newTestbedWithMemory(limit int64) *testbed {
	return newTestbedWithSettings(
		budgeter.Settings{Ratio: 1, Window: 10 * time.Second, Slack: 50, Clock: timekeeper.System{}}, forwarder.Settings{Memory: &allotter.Memory{Total: limit}},
	)
}

// newTestbedWithSettings sets the fields of s that every forwarder needs, the placer
// unless s has one.
func newTestbedWithSettings(budget budgeter.Settings, s forwarder.Settings) *testbed {
	b := &testbed{budget: budget, retries: budgeter.New(budget), placer: s.Placer}
	if b.placer == nil {
		b.placer = placer.New(placer.Settings{Clock: timekeeper.System{}, Zone: "a"})
	}
	d := dialer.New(dialer.Options{})
	DeferCleanup(d.Close)
	s.Codec, s.Upstreams, s.Placer, s.Clock, s.Budget = codec{}, d, b.placer, timekeeper.System{}, b.retries
	b.fwd = forwarder.New(s)
	b.frontend = httptest.NewUnstartedServer(b.fwd)
	b.frontend.Config.BaseContext = b.fwd.BaseContext
	b.frontend.Start()
	DeferCleanup(b.frontend.Close)
	return b
}

// ports has the ports of upstreams, some of which stop.
var ports reserver.Ports

// addUpstream adds an upstream with the given handler. The placer prefers the
// first one added.
func (b *testbed) addUpstream(h http.HandlerFunc) {
	id := fmt.Sprintf("u%d", len(b.upstreams))
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.mu.Lock()
		b.ran = append(b.ran, id)
		b.mu.Unlock()
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		w.Header().Set("X-Sign", id)
		h(w, r)
	}))
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			b.openConns.Add(1)
		case http.StateClosed:
			b.openConns.Add(-1)
		}
	}
	l, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	srv.Listener.Close()
	srv.Listener = l
	srv.Start()
	b.servers = append(b.servers, srv)
	DeferCleanup(srv.Close)
	b.upstreams = append(b.upstreams, tracker.Upstream{
		ID: id, Service: "s", Zone: []string{"a", "b", "c"}[min(len(b.upstreams), 2)], Version: "v1", Slots: 8,
		Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
	})
	b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
}

func (b *testbed) ranUpstreams() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.ran...)
}

// setRoute activates a configuration with one route.
func (b *testbed) setRoute(r matcher.Route) {
	r.Name, r.Host, r.Prefix = "r", "127.0.0.1", "/p/"
	r.Splits = []matcher.Split{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 10 * time.Second
	}
	if r.Target == 0 {
		r.Target = 5 * time.Second
	}
	conf := matcher.Config{
		Version: 1, Limits: b.limits, Routes: []matcher.Route{r}, Services: []matcher.Service{{Name: "s", MaxConns: b.maxConns}},
		Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	if r.Kind == matcher.Stream {
		conf.Services[0].Engine = &matcher.Engine{Slots: 8, Models: []matcher.Model{{Name: "small", Cost: 1}, {Name: "large", Cost: 10}}}
	}
	Expect(matcher.Check(conf)).To(BeEmpty())
	b.fwd.SetConfig(forwarder.ActiveConfig{Table: matcher.New(conf)})
}

// response is what the caller received.
type response struct {
	status int
	header http.Header
	body   string
	err    error
	// closed reports whether the response announces the end of its connection.
	closed bool
}

// badAnswers returns the number of counted responses and of the bad ones.
func (b *testbed) badAnswers() (n [2]uint64) {
	for _, c := range b.fwd.Counts() {
		n[0] += c.All
		n[1] += c.Bad
	}
	return n
}

func (b *testbed) send(method, target, body string, fields ...string) response {
	req, err := http.NewRequest(method, b.frontend.URL+target, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Id", "id1")
	req.Header.Set("X-Key", "k")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	return do(req)
}

// do sends a request and reads the whole response.
func do(req *http.Request) response {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(got), err: err, closed: resp.Close}
}

// sendParts sends a request whose prompt has the given parts.
func (b *testbed) sendParts(parts ...string) response {
	req, err := http.NewRequest(http.MethodPost, b.frontend.URL+"/p/", strings.NewReader("x"))
	Expect(err).NotTo(HaveOccurred())
	req.Header = http.Header{"X-Id": {"id1"}, "X-Key": {"k"}, "X-Part": parts}
	return do(req)
}

// writeEvent writes one event of a stream.
func writeEvent(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id)
	w.(http.Flusher).Flush()
}

// pausingStream returns a handler that sends two events with a pause, which is
// shorter at the end of the spec.
func pausingStream(pause time.Duration) http.HandlerFunc {
	release := make(chan struct{})
	DeferCleanup(func() { close(release) })
	return func(w http.ResponseWriter, _ *http.Request) {
		writeEvent(w, 1)
		select {
		case <-time.After(pause):
		case <-release:
		}
		writeEvent(w, 2)
	}
}

// closeConn aborts the response and closes its connection.
func closeConn(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("Forwarder", func() {
	var b *testbed
	BeforeEach(func() { b = newTestbed() })

	// Guards against requests that are changed on the way, API keys that reach an
	// upstream, and workspaces chosen by the caller.
	It("forwards a request unchanged", func() {
		var got *http.Request
		var body []byte
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			got = r.Clone(context.Background())
			body, _ = io.ReadAll(r.Body)
			w.Header().Set("X-Other", "kept")
			fmt.Fprint(w, "done")
		})
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		a := b.send("POST", "/p/a%2Fb/..//c?x=1&y=%20", "the body", "X-Ws", "other")
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(Equal("done"))
		Expect(a.header.Get("X-Other")).To(Equal("kept"))
		Expect(a.header.Get("X-Sign")).To(Equal("u0"))
		Expect(got.RequestURI).To(Equal("/p/a%2Fb/..//c?x=1&y=%20"))
		Expect(got.Method).To(Equal("POST"))
		Expect(string(body)).To(Equal("the body"))
		Expect(got.Header.Get("X-Ws")).To(Equal("w"))
		Expect(got.Header.Get("X-To")).To(Equal("u0"))
		Expect(got.Header).NotTo(HaveKey("X-Key"))
	})

	// Guards against requests that run without a route, a key or an ID.
	It("refuses requests without a route, a valid key or an ID", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("GET", "/q/", "").status).To(Equal(404))
		Expect(b.send("GET", "/p/", "", "X-Key", "wrong").status).To(Equal(401))
		Expect(b.send("GET", "/p/", "", "X-Id", "").status).To(Equal(400))
		Expect(b.ranUpstreams()).To(BeEmpty())
	})

	// Guards against headers above the configured limit reaching upstreams.
	It("refuses headers that are too large", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.limits = matcher.Limits{HeaderBytes: 2000}
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("GET", "/p/", "", "X-Long", strings.Repeat("x", 1000)).status).To(Equal(200))
		Expect(b.send("GET", "/p/", "", "X-Long", strings.Repeat("x", 2000)).status).To(Equal(431))
		Expect(b.ranUpstreams()).To(HaveLen(1))
	})

	// Guards against idle connections of one host using up an upstream's limit, so
	// that other hosts cannot connect.
	It("limits idle connections to an upstream with a low connection limit", func() {
		const callers = 4
		b.maxConns = 2 * 2 // Allows two idle connections.
		all := make(chan struct{}, callers)
		release := make(chan struct{})
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
			all <- struct{}{}
			<-release
			fmt.Fprint(w, "done")
		})
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1})
		done := make(chan int, callers)
		for range 3 {
			go func() { done <- b.send("GET", "/p/", "").status }()
			<-all
		}
		close(release)
		for range 3 {
			Expect(<-done).To(Equal(200))
		}
		Eventually(b.openConns.Load, time.Minute).Should(Equal(int64(2)))
	})

	// Guards against an error status that does not say that the request has not
	// run.
	It("sends Retry-After when there is no upstream", func() {
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		a := b.send("POST", "/p/", "x")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against new requests that are cut off at the end of a shutdown.
	It("refuses requests that may not complete before the shutdown", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("GET", "/p/", "").status).To(Equal(200))
		b.fwd.Leave(forwarder.Departure{End: time.Now().Add(time.Minute)})
		a := b.send("GET", "/p/", "")
		Expect(a.status).To(Equal(200))
		Expect(a.closed).To(BeTrue())
		b.fwd.Leave(forwarder.Departure{End: time.Now().Add(time.Second)})
		a = b.send("GET", "/p/", "")
		Expect(a.status).To(Equal(503))
		Expect(a.closed).To(BeTrue())
		Expect(b.ranUpstreams()).To(HaveLen(2))
	})

	// Guards against failures of a single upstream reaching the callers of
	// idempotent requests.
	It("retries an idempotent request at a second upstream", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("GET", "/p/", "").body).To(Equal("done"))
		Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u1"}))
	})

	// Guards against a response of unknown length that is cut at the limit of the
	// router and forwarded as complete, and against an upstream that sends without
	// end.
	It("does not forward a response that is too long", func() {
		ended := make(chan struct{})
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			defer close(ended)
			for part := make([]byte, 1<<20); r.Context().Err() == nil; {
				if _, err := w.Write(part); err != nil {
					return
				}
			}
		})
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("GET", "/p/", "").body).To(Equal("done"))
		Eventually(ended, time.Minute).Should(BeClosed())
	})

	// Guards against a refusal while an upstream is free, because many others have
	// just crashed: a refused connection is not an attempt at an upstream.
	It("goes on until an upstream is listening", func() {
		for range 11 {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		}
		for _, s := range b.servers[:10] {
			s.Close()
		}
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		Expect(b.send("POST", "/p/", "x").body).To(Equal("done"))
		Expect(b.placer.TakeUnreachable(100)).NotTo(BeEmpty())
	})

	// Guards against arrivals beyond the retry budget when many addresses have been
	// given to other upstreams, which refuse the requests sent to them.
	It("charges misdirected attempts to the retry budget", func() {
		b.budget.Ratio, b.budget.Slack = 0, 4/0.9
		b = newTestbedWithBudget(b.budget)
		for range 12 {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
		}
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("GET", "/p/", "").status).To(Equal(503))
		Expect(b.ranUpstreams()).To(HaveLen(1 + 4))
	})

	// Guards against a storm of arrivals, which uses up the retry budget, after all
	// upstreams of a service were replaced: until the list names the new ones, those
	// at its addresses refuse everything.
	It("asks an upstream that has been replaced once a second", func() {
		for range 3 {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
			})
		}
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		clock := timekeeper.System{}
		start := clock.Now()
		for i := range 20 {
			a := b.send("GET", "/p/", "", "X-Id", fmt.Sprint("r", i))
			Expect(a.status).To(Equal(503))
			Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		probes := 1 + int(clock.Since(start)/time.Second)
		before := len(b.ranUpstreams())
		Expect(before).To(BeNumerically("<=", 3*probes))

		By("the list names their successors")
		for i := range b.upstreams {
			b.upstreams[i].ID += "-next"
		}
		b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
		b.send("GET", "/p/", "", "X-Id", "next")
		Expect(len(b.ranUpstreams())).To(BeNumerically(">", before))
	})

	// Guards against refusing a long stream, which several upstreams served for a
	// while before they crashed for another reason.
	It("does not suspect a stream that was served for a while", func() {
		serve := pausingStream(1100 * time.Millisecond)
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Stream") != "" {
				serve(w, r)
			}
			panic(http.ErrAbortHandler)
		})
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1, Resumable: true, MaxPause: 5 * time.Second})
		Expect(b.send("POST", "/p/", "x", "X-Stream", "1").err).To(HaveOccurred())
		Expect(b.fwd.Evidence(netip.AddrPort{}).Breaks).To(BeEmpty())
		Expect(b.send("POST", "/p/", "x").status).To(Equal(http.StatusBadGateway))
		Expect(b.fwd.Evidence(netip.AddrPort{}).Breaks).To(HaveLen(1))
	})

	// Guards against isolating the parts of long streams, which reach no end while
	// engines crash under another part.
	It("clears the prompt parts of a stream that was served for a while", func() {
		serve := pausingStream(1100 * time.Millisecond)
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			serve(w, r)
			panic(http.ErrAbortHandler)
		})
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1, Resumable: true, MaxPause: 5 * time.Second})
		part := controller.PromptPart{Service: "s", ID: 7}
		b.fwd.SetSuspects([]controller.PromptPart{part})
		Expect(b.sendParts("7", "8").err).To(HaveOccurred())
		e := b.fwd.Evidence(netip.AddrPort{})
		Expect(e.Crashes).To(HaveLen(1))
		Expect(e.Successes).To(HaveLen(1))
		Expect(e.Successes[0].Part).To(Equal(part))
		Expect(e.Successes[0].SentAge-e.Successes[0].Age).To(BeNumerically(">=", time.Second), "the attempt was sent before it was served")
	})

	// Guards against a trial of an isolated part that sends more than one request, or one
	// request to several upstreams, and against one whose success is not reported.
	It("lets one request with an isolated part through for a trial", func() {
		var healthy atomic.Bool
		for range 2 {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				if !healthy.Load() {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvent(w, 1)
			})
		}
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true, MaxPause: 5 * time.Second})
		part := controller.PromptPart{Service: "s", ID: 7}
		config := b.fwd.ActiveConfig()
		config.Isolated = map[controller.PromptPart]bool{part: true}
		b.fwd.SetConfig(config)
		Expect(b.sendParts("7", "8").status).To(Equal(http.StatusServiceUnavailable))
		e := b.fwd.Evidence(netip.AddrPort{})
		Expect(e.Refused).To(Equal([]controller.PromptPart{part}))
		i := controller.Isolation{Part: part, Active: true, Since: timekeeper.System{}.Now()}
		for i.Trials < controller.MaxIsolationTrials {
			i.Trials, i.TrialBy = i.Trials+1, e.Recorder
			b.fwd.SetIsolations([]controller.Isolation{i})
			before := len(b.ranUpstreams())
			for range 3 {
				b.sendParts("7", "8")
			}
			Expect(len(b.ranUpstreams())-before).To(Equal(1), "trial %d", i.Trials)
			Expect(b.fwd.Evidence(netip.AddrPort{}).Served).To(HaveLen(i.Trials - 1))
			healthy.Store(true)
		}
	})

	// Guards against requests with a held part that are refused or sent before the trial has
	// a result, against a trial with several attempts, and against requests that wait for a
	// leader that no longer decides.
	It("lets requests with a held part wait for the trial of one", func() {
		b.addUpstream(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1, Resumable: true, MaxPause: 5 * time.Second})
		part := controller.PromptPart{Service: "s", ID: 7}
		config := b.fwd.ActiveConfig()
		hold := func(by uint64) {
			config.Held, config.Isolated = map[controller.PromptPart]bool{part: true}, nil
			b.fwd.SetIsolations([]controller.Isolation{{Part: part, Active: true, Held: true, Since: timekeeper.System{}.Now(), Trials: 1, TrialBy: by}})
			b.fwd.SetConfig(config)
		}
		hold(1)
		startedAt := time.Now()
		Expect(b.sendParts("7", "8").status).To(Equal(http.StatusBadGateway), "sent after a hold without a decision")
		Expect(time.Since(startedAt)).To(BeNumerically(">=", 900*time.Millisecond))
		Expect(b.ranUpstreams()).To(HaveLen(1))

		By("the trial of this host")
		hold(b.fwd.Evidence(netip.AddrPort{}).Recorder)
		Expect(b.sendParts("7", "8").status).To(Equal(http.StatusBadGateway))
		Expect(b.fwd.Evidence(netip.AddrPort{}).Broken).To(Equal([]controller.PromptPart{part}))
		Expect(b.ranUpstreams()).To(HaveLen(2))

		By("a request that waits until the part is refused")
		hold(1)
		refusing := config
		refusing.Isolated, refusing.Held = config.Held, nil
		time.AfterFunc(100*time.Millisecond, func() { b.fwd.SetConfig(refusing) })
		a := b.sendParts("7", "8")
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.body).To(ContainSubstring("promptIsolated"))
		Expect(b.ranUpstreams()).To(HaveLen(2))
	})

	// Guards against callers that hold a request for ever by sending its body a byte
	// at a time or not at all.
	It("refuses a request whose body does not arrive in time", func(context.Context) {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2, Timeout: 300 * time.Millisecond})
		for _, framing := range []string{"Content-Length: 100\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n64\r\n"} {
			conn, err := net.Dial("tcp", b.frontend.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
			fmt.Fprintf(conn, "POST /p/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: id1\r\nX-Key: k\r\n%sx", framing)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
			Expect(resp.Close).To(BeTrue())
			conn.Close()
		}
		Expect(b.ranUpstreams()).To(BeEmpty())
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.send("POST", "/p/", "x").body).To(Equal("done"), "the next request of a connection has its own time")
	}, NodeTimeout(2*time.Minute))

	// Guards against more attempts than the route allows.
	It("makes no more attempts than the route allows", func() {
		for range 3 {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
		}
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		a := b.send("GET", "/p/", "")
		Expect(a.status).To(Equal(500))
		Expect(a.header.Get("X-Sign")).To(Equal("u1"))
		Expect(b.ranUpstreams()).To(HaveLen(2))
	})

	// Guards against an attempt that counts twice, as answered and as broken off,
	// and against counting one that was sent to another upstream's address.
	It("counts each attempt once", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			fmt.Fprint(w, "part")
			closeConn(w, r)
		})
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("X-Sign") })
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 3})
		Expect(b.send("GET", "/p/", "").body).To(Equal("done"))
		Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u1", "u2", "u3"}))
	})

	// Guards against a request that runs twice, and against a status that claims
	// that it has not run.
	DescribeTable("runs a non-idempotent request at most once",
		func(h http.HandlerFunc, status int) {
			b.addUpstream(h)
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
			b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 3})
			Expect(b.send("POST", "/p/", "x").status).To(Equal(status))
			Expect(b.ranUpstreams()).To(Equal([]string{"u0"}))
		},
		Entry("broken connection", http.HandlerFunc(closeConn), 502),
		Entry("error status", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }), 500),
		Entry("status that would claim that the request has not run", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }), 502),
		Entry("no signature", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("X-Sign") }), 502),
		Entry("encoded body", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Encoding", "gzip") }), 502),
	)

	// Guards against refusals reaching the caller although another upstream has
	// capacity.
	It("retries a non-idempotent request that provably did not run", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 2})
		Expect(b.send("POST", "/p/", "x").body).To(Equal("done"))
	})

	// Guards against taking the response to an earlier request for that to this
	// one.
	It("discards a response to another request", func() {
		b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			writeRaw(conn, "HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\nold")
			writeRaw(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\nnew")
		})
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		Expect(b.send("POST", "/p/", "x").body).To(Equal("new"))
	})

	// Guards against callers waiting beyond the route's timeout.
	It("returns 504 when the route's timeout expires", func() {
		release := make(chan struct{})
		b.addUpstream(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1, Timeout: 100 * time.Millisecond})
		Expect(b.send("POST", "/p/", "x").status).To(Equal(504))
	})

	// Guards against upstreams working for callers that have disconnected.
	It("cancels the request at the upstream when the caller disconnects", func() {
		begun, ended := make(chan struct{}), make(chan struct{})
		b.addUpstream(func(_ http.ResponseWriter, r *http.Request) {
			close(begun)
			<-r.Context().Done()
			close(ended)
		})
		b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.frontend.URL+"/p/", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("X-Id", "id1")
		req.Header.Set("X-Key", "k")
		go func() {
			<-begun
			cancel()
		}()
		_, err = http.DefaultClient.Do(req)
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Eventually(ended, time.Minute).Should(BeClosed())
	})

	Describe("streams", func() {
		streamRoute := matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true}
		threeEvents := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

		// Guards against a stream with lost, repeated or partial events after an
		// upstream broke off, also within an event.
		It("resumes at another upstream", func() {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				writeEvent(w, 1)
				fmt.Fprint(w, "id: 2\nda")
				w.(http.Flusher).Flush()
				closeConn(nil, nil)
			})
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				from, _ := strconv.Atoi(r.Header.Get("X-Resume"))
				for i := from + 1; i <= 3; i++ {
					writeEvent(w, i)
				}
			})
			b.setRoute(streamRoute)
			a := b.send("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(threeEvents))
			Expect(a.header.Get("X-Sign")).To(Equal("u0"))
		})

		// Guards against a stream that waits for an upstream that sends nothing
		// although another one could answer.
		It("abandons an upstream that sends nothing", func() {
			b.addUpstream(func(_ http.ResponseWriter, r *http.Request) {
				// The server detects a closed connection only after the body is read.
				_, err := io.Copy(io.Discard, r.Body)
				Expect(err).NotTo(HaveOccurred())
				<-r.Context().Done()
			})
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				for i := range 3 {
					writeEvent(w, i+1)
				}
			})
			b.setRoute(streamRoute)
			Expect(b.send("POST", "/p/", "x").body).To(Equal(threeEvents))
			Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u1"}))
		})

		// Guards against a request that is moved, and its prompt processed again, only
		// because its engine is busy with the requests of other hosts: a host of many
		// has no other request there that would show it.
		It("waits for an upstream that sends data to other hosts", func() {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				for range 15 {
					<-time.After(100 * time.Millisecond)
					loads := b.placer.Loads()
					loads[0].SinceReceived = 0
					b.placer.SetRemoteLoads(loads)
				}
				writeEvent(w, 1)
			})
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 1) })
			b.setRoute(streamRoute)
			Expect(b.send("POST", "/p/", "x").body).To(Equal("id: 1\ndata: e1\n\n"))
			Expect(b.ranUpstreams()).To(Equal([]string{"u0"}))
		})

		// Guards against a stream that waits for its deadline because its upstream
		// sends a byte or a comment now and then, but no event.
		It("resumes elsewhere when an upstream sends no whole events", func() {
			for _, filler := range []string{"d", ": comment\n\n"} {
				b = newTestbed()
				b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
					writeEvent(w, 1)
					for r.Context().Err() == nil {
						fmt.Fprint(w, filler)
						w.(http.Flusher).Flush()
						<-time.After(20 * time.Millisecond)
					}
				})
				b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
					writeEvent(w, 2)
					writeEvent(w, 3)
				})
				route := streamRoute
				route.MaxPause = 200 * time.Millisecond
				b.setRoute(route)
				a := b.send("POST", "/p/", "x")
				Expect(a.err).NotTo(HaveOccurred())
				Expect(strings.ReplaceAll(a.body, ": comment\n\n", "")).To(Equal(threeEvents))
				Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u1"}))
			}
		})

		// Guards against ending the last attempt only because its upstream is silent.
		It("does not end the last attempt for silence", func() {
			release := make(chan struct{})
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				select {
				case <-time.After(1500 * time.Millisecond):
				case <-release:
				}
				writeEvent(w, 1)
			})
			DeferCleanup(func() { close(release) })
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1, Resumable: true})
			Expect(b.send("POST", "/p/", "x").body).To(Equal("id: 1\ndata: e1\n\n"))
		})

		// Guards against abandoning a silent upstream when the budget allows no
		// further attempt, which would end the stream without an answer.
		It("waits for a silent upstream when the retry budget is exhausted", func() {
			b.budget.Ratio, b.budget.Slack = 0, 0
			b = newTestbedWithBudget(b.budget)
			b.addUpstream(pausingStream(300 * time.Millisecond))
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true, MaxPause: 50 * time.Millisecond})
			a := b.send("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"))
			Expect(b.ranUpstreams()).To(Equal([]string{"u0"}))
		})

		// Guards against streams that leave a silent upstream together because of the
		// same retry that is left, of which all but one are cut.
		It("moves only as many streams from a silent upstream as may be retried", func() {
			const streams, retries = 8, 3
			b.budget.Ratio, b.budget.Slack = 0, 3.4 // Three retries.
			b = newTestbedWithBudget(b.budget)
			var begun sync.WaitGroup
			begun.Add(streams)
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				writeEvent(w, 1)
				begun.Done()
				begun.Wait()
				<-time.After(400 * time.Millisecond)
				writeEvent(w, 2)
			})
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
			b.placer.Update(b.upstreams[:1:1])
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true, MaxPause: 50 * time.Millisecond})
			answers := make([]response, streams)
			var sent sync.WaitGroup
			for i := range streams {
				sent.Go(func() { answers[i] = b.send("POST", "/p/", "x", "X-Id", fmt.Sprint("id", i)) })
			}
			begun.Wait()
			b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
			sent.Wait()
			for _, a := range answers {
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.body).To(Equal("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"))
			}
			Expect(len(b.ranUpstreams())).To(BeNumerically("<=", streams+retries))
		})

		// Guards against losing a stream because it was moved from a slow upstream to
		// a last attempt that fails.
		It("waits longer for a silent upstream when one attempt is left", func() {
			b.addUpstream(pausingStream(300 * time.Millisecond))
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, Resumable: true, MaxPause: 200 * time.Millisecond})
			a := b.send("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(b.ranUpstreams()).To(Equal([]string{"u0"}))
		})

		// Guards against resuming a request on the target of a rollout that was
		// ordered after the request began, since the target may be bad.
		It("keeps a request off the target of a rollout ordered while it runs", func() {
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				writeEvent(w, 1)
				cur := b.fwd.ActiveConfig()
				cur.Rollouts = map[string]controller.OrderedRollout{"s": {
					RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2"}, State: controller.RolloutRunning, Share: 1000,
				}}
				b.fwd.SetConfig(cur)
				closeConn(w, r)
			})
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
			b.upstreams[1].Version = "v2"
			b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
			b.setRoute(streamRoute)
			Expect(b.send("POST", "/p/", "x").err).NotTo(HaveOccurred())
			Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u2"}))
		})

		// Guards against exhausting the budget with attempts that reached no
		// upstream, as when many engines crash at once.
		It("does not charge attempts that reach no upstream to the retry budget", func() {
			b.budget.Ratio, b.budget.Slack = 0, 1.2 // One retry.
			b = newTestbedWithBudget(b.budget)
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				writeEvent(w, 1)
				closeConn(w, r)
			})
			for range 3 {
				b.addUpstream(func(http.ResponseWriter, *http.Request) {})
			}
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 2) })
			for _, s := range b.servers[1:4] {
				s.Close()
			}
			b.setRoute(streamRoute)
			a := b.send("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u4"}))
		})

		// Guards against an incomplete stream that looks complete.
		It("breaks the connection when a stream cannot be resumed", func() {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				writeEvent(w, 1)
				closeConn(nil, nil)
			})
			b.addUpstream(func(http.ResponseWriter, *http.Request) {})
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3})
			a := b.send("POST", "/p/", "x")
			Expect(a.err).To(HaveOccurred())
			Expect(b.ranUpstreams()).To(Equal([]string{"u0"}))
		})

		// Guards against parts of a discarded response reaching the caller, and
		// against answers of a model that is too small for the request.
		It("escalates to a larger model when the smaller one has low confidence", func() {
			var models []string
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				m := r.Header.Get("X-Model")
				models = append(models, m)
				if m == "small" {
					w.Header().Set("X-Sure", "10")
					writeEvent(w, 7)
					return
				}
				for i := range 3 {
					writeEvent(w, i+1)
				}
			})
			r := streamRoute
			r.Sizes = []string{"small", "large"}
			b.setRoute(r)
			Expect(b.send("POST", "/p/", "x", "X-Model", "*").body).To(Equal(threeEvents))
			Expect(models).To(Equal([]string{"small", "large"}))
		})

		// Guards against a rollout that is not rolled back because the responses of
		// larger models on the other versions count as late, which hides the bad ones
		// of the target.
		It("compares the time to the first byte within a model", func() {
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Model") == "large" {
					<-time.After(300 * time.Millisecond)
				}
				w.Header().Set("X-Sure", "10")
				writeEvent(w, 1)
			})
			route := streamRoute
			route.Sizes = []string{"small", "large"}
			b.setRoute(route)
			for i := range 3 {
				Expect(b.send("POST", "/p/", "x", "X-Model", "*", "X-Id", fmt.Sprint(i)).status).To(Equal(200))
			}
			var counted uint64
			for _, n := range b.fwd.Counts() {
				counted += n.All
				Expect(n.Bad).To(BeZero())
			}
			Expect(counted).To(Equal(uint64(6)))
		})

		// Guards against a rollout that goes on because the responses of a version
		// that is several times slower are counted last: a stream counts as late
		// before it ends, and without its first byte.
		It("counts a response as late while it is still awaited", func() {
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			defer release()
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("X-Id") == "slow" {
					<-hold
				}
				writeEvent(w, 1)
			})
			b.setRoute(matcher.Route{Kind: matcher.Stream, Timeout: time.Minute, MaxAttempts: 1})
			for i := range 3 {
				Expect(b.send("POST", "/p/", "x", "X-Id", fmt.Sprint(i)).status).To(Equal(200))
			}
			ended := make(chan int, 1)
			go func() { ended <- b.send("POST", "/p/", "x", "X-Id", "slow").status }()
			Eventually(b.badAnswers, 10*time.Second).Should(Equal([2]uint64{4, 1}))
			release()
			Expect(<-ended).To(Equal(200))
			Expect(b.badAnswers()).To(Equal([2]uint64{4, 1}))
		})

		// Guards against a rollout of a version that begins its responses in time
		// and then generates them several times more slowly.
		It("counts a stream as late whose events come several times more slowly", func() {
			hold := make(chan struct{})
			release := sync.OnceFunc(func() { close(hold) })
			defer release()
			b.addUpstream(func(w http.ResponseWriter, r *http.Request) {
				slow := r.Header.Get("X-Id") == "slow"
				for i := range 6 {
					if slow {
						<-time.After(100 * time.Millisecond)
					}
					writeEvent(w, i+1)
				}
				if slow {
					<-hold
				}
			})
			b.setRoute(matcher.Route{Kind: matcher.Stream, Timeout: time.Minute, MaxAttempts: 1})
			for i := range 3 {
				Expect(b.send("POST", "/p/", "x", "X-Id", fmt.Sprint(i)).status).To(Equal(200))
			}
			ended := make(chan int, 1)
			go func() { ended <- b.send("POST", "/p/", "x", "X-Id", "slow").status }()
			Eventually(b.badAnswers, 10*time.Second).Should(Equal([2]uint64{4, 1}))
			release()
			Expect(<-ended).To(Equal(200))
			Expect(b.badAnswers()).To(Equal([2]uint64{4, 1}))
		})

		// Guards against the cost of a larger model that is not needed.
		It("does not escalate when the model has high confidence", func() {
			b.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Sure", "90")
				writeEvent(w, 1)
			})
			r := streamRoute
			r.Sizes = []string{"small", "large"}
			b.setRoute(r)
			Expect(b.send("POST", "/p/", "x", "X-Model", "*").status).To(Equal(200))
			Expect(b.ranUpstreams()).To(HaveLen(1))
		})

		// Guards against a session that changes its version during the trial of a
		// rollout, and against requests on a version that was rolled back.
		It("keeps sessions on their version during the trial of a rollout", func() {
			for _, v := range []string{"v1", "v2"} {
				b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { writeEvent(w, 1) })
				b.upstreams[len(b.upstreams)-1].Version = v
			}
			b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
			b.setRoute(streamRoute)
			Expect(b.send("POST", "/p/", "x", "X-Session", "old").header.Get("X-Sign")).To(Equal("u0"))
			cur := b.fwd.ActiveConfig()
			put := func(state controller.RolloutState, share int, moving bool) {
				cur.Rollouts = map[string]controller.OrderedRollout{"s": {
					RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2"}, State: state, Share: share, Moving: moving,
				}}
				b.fwd.SetConfig(cur)
			}
			put(controller.RolloutRunning, 1000, false)
			Expect(b.send("POST", "/p/", "x", "X-Session", "old").header.Get("X-Sign")).To(Equal("u0"))
			Expect(b.send("POST", "/p/", "x", "X-Session", "new").header.Get("X-Sign")).To(Equal("u1"))
			put(controller.RolloutRunning, 1000, true)
			Expect(b.send("POST", "/p/", "x", "X-Session", "old").header.Get("X-Sign")).To(Equal("u1"))
			put(controller.RolloutRolledBack, 0, false)
			Expect(b.send("POST", "/p/", "x", "X-Session", "new").header.Get("X-Sign")).To(Equal("u0"))
		})
	})

	// Guards against refusing callers while a host that has just started waits for
	// its configuration.
	It("holds requests until the first configuration", func() {
		b.addUpstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		got := make(chan response)
		go func() {
			defer GinkgoRecover()
			got <- b.send("GET", "/p/", "")
		}()
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1})
		Expect((<-got).body).To(Equal("done"))
	})
})

func writeRaw(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
}
