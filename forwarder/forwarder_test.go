package forwarder_test

import (
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

	"foxtailwall/budgeter"
	"foxtailwall/controller"
	"foxtailwall/dialer"
	"foxtailwall/forwarder"
	"foxtailwall/matcher"
	"foxtailwall/placer"
	"foxtailwall/timekeeper"
	"foxtailwall/tracker"
)

func TestForwarder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forwarder")
}

// codec speaks a protocol with short names.
type codec struct{}

func (codec) IDField() string { return "X-Id" }

func (codec) Request(h http.Header) forwarder.Envelope {
	e := forwarder.Envelope{ID: h.Get("X-Id"), Key: h.Get("X-Key"), AnyModel: h.Get("X-Model") == "*", Session: h.Get("X-Session")}
	if ms, err := strconv.Atoi(h.Get("X-Wait")); err == nil {
		e.Wait = time.Duration(ms) * time.Millisecond
	}
	return e
}

func (codec) Fields(h http.Header, d forwarder.Dispatch) []dialer.Field {
	return []dialer.Field{
		{Name: "X-Id", Value: h.Get("X-Id")}, {Name: "X-To", Value: d.Upstream}, {Name: "X-Ws", Value: d.Workspace},
		{Name: "X-Model", Value: d.Model}, {Name: "X-Resume", Value: d.Resume}, {Name: "X-Left", Value: d.Left.String()},
	}
}

func (codec) Reply(h http.Header) forwarder.Reply {
	r := forwarder.Reply{ID: h.Get("X-Id"), Signed: h.Get("X-Sign") != "", NotRun: h.Get("X-Not-Run") != "", Confidence: -1}
	if n, err := strconv.Atoi(h.Get("X-Sure")); err == nil {
		r.Confidence = n
	}
	return r
}

// bench is a forwarder with its upstreams and a caller.
type bench struct {
	fwd    *forwarder.Forwarder
	placer *placer.Placer
	front  *httptest.Server
	list   []tracker.Upstream
	budget budgeter.Settings
	// servers are those of list.
	servers []*httptest.Server
	// limits and conns, the connections that an upstream accepts, are put in
	// force with the next route.
	limits matcher.Limits
	conns  int
	// open counts the connections to all upstreams.
	open atomic.Int64

	mu  sync.Mutex
	ran []string
}

func newBench() *bench {
	return newBenchWith(budgeter.Settings{Ratio: 1, Window: 10 * time.Second, Slack: 50, Clock: timekeeper.System{}})
}

func newBenchWith(budget budgeter.Settings) *bench {
	b := &bench{budget: budget, placer: placer.New(placer.Settings{Clock: timekeeper.System{}, Zone: "a"})}
	d := dialer.New(dialer.Options{})
	DeferCleanup(d.Close)
	b.fwd = forwarder.New(forwarder.Settings{
		Codec: codec{}, Upstreams: d, Placer: b.placer, Clock: timekeeper.System{},
		Budget: budgeter.New(budget),
	})
	b.front = httptest.NewServer(b.fwd)
	DeferCleanup(b.front.Close)
	return b
}

// upstream adds an upstream that answers with h. The first one added is used
// first.
func (b *bench) upstream(h http.HandlerFunc) {
	id := fmt.Sprintf("u%d", len(b.list))
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
			b.open.Add(1)
		case http.StateClosed:
			b.open.Add(-1)
		}
	}
	srv.Start()
	b.servers = append(b.servers, srv)
	DeferCleanup(srv.Close)
	b.list = append(b.list, tracker.Upstream{
		ID: id, Service: "s", Zone: []string{"a", "b", "c"}[min(len(b.list), 2)], Version: "v1", Slots: 8,
		Address: netip.MustParseAddrPort(srv.Listener.Addr().String()),
	})
	b.placer.Update(append([]tracker.Upstream(nil), b.list...))
}

func (b *bench) runs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.ran...)
}

// route puts a configuration with one route in force.
func (b *bench) route(r matcher.Route) {
	r.Name, r.Host, r.Prefix = "r", "127.0.0.1", "/p/"
	r.Splits = []matcher.Split{{Service: "s", Weight: 1}}
	if r.Timeout == 0 {
		r.Timeout = 10 * time.Second
	}
	if r.Target == 0 {
		r.Target = 5 * time.Second
	}
	conf := matcher.Config{
		Version: 1, Limits: b.limits, Routes: []matcher.Route{r}, Services: []matcher.Service{{Name: "s", MaxConns: b.conns}},
		Workspaces: []matcher.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	if r.Kind == matcher.Stream {
		conf.Services[0].Engine = &matcher.Engine{Slots: 8, Models: []matcher.Model{{Name: "small", Cost: 1}, {Name: "large", Cost: 10}}}
	}
	Expect(matcher.Check(conf)).To(BeEmpty())
	b.fwd.Put(forwarder.InForce{Table: matcher.New(conf)})
}

// answer is what the caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (b *bench) do(method, target, body string, fields ...string) answer {
	req, err := http.NewRequest(method, b.front.URL+target, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("X-Id", "id1")
	req.Header.Set("X-Key", "k")
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(got), err: err}
}

// event writes one event of a stream.
func event(w http.ResponseWriter, id int) {
	fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", id, id)
	w.(http.Flusher).Flush()
}

// pausing answers a stream of two events with 300 ms between them, or less at the
// end of the spec.
func pausing() http.HandlerFunc {
	release := make(chan struct{})
	DeferCleanup(func() { close(release) })
	return func(w http.ResponseWriter, _ *http.Request) {
		event(w, 1)
		select {
		case <-time.After(300 * time.Millisecond):
		case <-release:
		}
		event(w, 2)
	}
}

// cut breaks the connection of the answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

var _ = Describe("Forwarder", func() {
	var b *bench
	BeforeEach(func() { b = newBench() })

	// Guards against requests that are changed on their way, a key that
	// reaches an upstream, and a workspace that the caller names itself.
	It("forwards a request unchanged", func() {
		var got *http.Request
		var body []byte
		b.upstream(func(w http.ResponseWriter, r *http.Request) {
			got = r.Clone(context.Background())
			body, _ = io.ReadAll(r.Body)
			w.Header().Set("X-Other", "kept")
			fmt.Fprint(w, "done")
		})
		b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		a := b.do("POST", "/p/a%2Fb/..//c?x=1&y=%20", "the body", "X-Ws", "other")
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

	// Guards against requests that run without a route or key.
	It("refuses what the configuration does not allow", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.do("GET", "/q/", "").status).To(Equal(404))
		Expect(b.do("GET", "/p/", "", "X-Key", "wrong").status).To(Equal(401))
		Expect(b.do("GET", "/p/", "", "X-Id", "").status).To(Equal(400))
		Expect(b.runs()).To(BeEmpty())
	})

	// Guards against headers beyond the operator's bound that reach upstreams.
	It("refuses headers that are too large", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.limits = matcher.Limits{HeaderBytes: 2000}
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.do("GET", "/p/", "", "X-Long", strings.Repeat("x", 1000)).status).To(Equal(200))
		Expect(b.do("GET", "/p/", "", "X-Long", strings.Repeat("x", 2000)).status).To(Equal(431))
		Expect(b.runs()).To(HaveLen(1))
	})

	// Guards against unused connections that take those of other hosts.
	It("keeps few unused connections to an upstream that accepts few", func() {
		const callers = 4
		b.conns = 2 * 2 // Two of them may be unused.
		all := make(chan struct{}, callers)
		release := make(chan struct{})
		b.upstream(func(w http.ResponseWriter, _ *http.Request) {
			all <- struct{}{}
			<-release
			fmt.Fprint(w, "done")
		})
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1})
		done := make(chan int, callers)
		for range 3 {
			go func() { done <- b.do("GET", "/p/", "").status }()
			<-all
		}
		close(release)
		for range 3 {
			Expect(<-done).To(Equal(200))
		}
		Eventually(b.open.Load, time.Minute).Should(Equal(int64(2)))
	})

	// Guards against a refusal without a promise when nothing has run.
	It("tells callers to come back when there is no upstream", func() {
		b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		a := b.do("POST", "/p/", "x")
		Expect(a.status).To(Equal(503))
		Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against new requests that are cut at the end of a shutdown.
	It("refuses new requests late in a shutdown", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		b.fwd.Close()
		Expect(b.do("GET", "/p/", "").status).To(Equal(200))
		b.fwd.Leave(time.Now().Add(time.Minute))
		Expect(b.do("GET", "/p/", "").status).To(Equal(200))
		b.fwd.Leave(time.Now().Add(time.Second))
		Expect(b.do("GET", "/p/", "").status).To(Equal(503))
		Expect(b.runs()).To(HaveLen(2))
	})

	// Guards against failures of one upstream that reach callers of
	// idempotent requests.
	It("sends an idempotent request to a second upstream", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		Expect(b.do("GET", "/p/", "").body).To(Equal("done"))
		Expect(b.runs()).To(Equal([]string{"u0", "u1"}))
	})

	// Guards against more attempts than the route allows.
	It("keeps to the attempts of the route", func() {
		for range 3 {
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
		}
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		a := b.do("GET", "/p/", "")
		Expect(a.status).To(Equal(500))
		Expect(a.header.Get("X-Sign")).To(Equal("u1"))
		Expect(b.runs()).To(HaveLen(2))
	})

	// Guards against an attempt that counts twice, as one that was answered and
	// as one that broke off, and against one that counts although another
	// upstream had the address.
	It("counts each attempt once", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		})
		b.upstream(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "9")
			fmt.Fprint(w, "part")
			cut(w, r)
		})
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("X-Sign") })
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 3})
		Expect(b.do("GET", "/p/", "").body).To(Equal("done"))
		Expect(b.runs()).To(Equal([]string{"u0", "u1", "u2", "u3"}))
	})

	// Guards against a request that runs twice, and against a status that
	// says that it has not run.
	DescribeTable("runs a non-idempotent request at most once",
		func(h http.HandlerFunc, status int) {
			b.upstream(h)
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
			b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 3})
			Expect(b.do("POST", "/p/", "x").status).To(Equal(status))
			Expect(b.runs()).To(Equal([]string{"u0"}))
		},
		Entry("broken connection", http.HandlerFunc(cut), 502),
		Entry("failure", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }), 500),
		Entry("status that would promise", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }), 502),
		Entry("no signature", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Del("X-Sign") }), 502),
		Entry("encoded body", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Encoding", "gzip") }), 502),
	)

	// Guards against refusals that reach the caller although another upstream
	// has room.
	It("sends a request on that provably did not run", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 2})
		Expect(b.do("POST", "/p/", "x").body).To(Equal("done"))
	})

	// Guards against an answer to an earlier request that is taken for this
	// one's.
	It("passes over an answer to another request", func() {
		b.upstream(func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := w.(http.Hijacker).Hijack()
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: old\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\nold")
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\nnew")
		})
		b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		Expect(b.do("POST", "/p/", "x").body).To(Equal("new"))
	})

	// Guards against a caller that waits beyond the route's time.
	It("answers when the time of the route is over", func() {
		release := make(chan struct{})
		b.upstream(func(http.ResponseWriter, *http.Request) { <-release })
		DeferCleanup(func() { close(release) })
		b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1, Timeout: 100 * time.Millisecond})
		Expect(b.do("POST", "/p/", "x").status).To(Equal(504))
	})

	// Guards against work for a caller that has left.
	It("cancels the request at the upstream when the caller leaves", func() {
		begun, ended := make(chan struct{}), make(chan struct{})
		b.upstream(func(_ http.ResponseWriter, r *http.Request) {
			close(begun)
			<-r.Context().Done()
			close(ended)
		})
		b.route(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, b.front.URL+"/p/", nil)
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
		stream := matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true}
		whole := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"

		// Guards against a stream with lost, repeated or partial events after
		// an upstream broke off, also within an event.
		It("goes on at another upstream", func() {
			b.upstream(func(w http.ResponseWriter, _ *http.Request) {
				event(w, 1)
				fmt.Fprint(w, "id: 2\nda")
				w.(http.Flusher).Flush()
				cut(nil, nil)
			})
			b.upstream(func(w http.ResponseWriter, r *http.Request) {
				from, _ := strconv.Atoi(r.Header.Get("X-Resume"))
				for i := from + 1; i <= 3; i++ {
					event(w, i)
				}
			})
			b.route(stream)
			a := b.do("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal(whole))
			Expect(a.header.Get("X-Sign")).To(Equal("u0"))
		})

		// Guards against a stream that waits for an upstream which sends
		// nothing, although another could answer.
		It("gives up an upstream that stays silent", func() {
			b.upstream(func(_ http.ResponseWriter, r *http.Request) {
				// The end of the connection shows once the body has been read.
				_, err := io.Copy(io.Discard, r.Body)
				Expect(err).NotTo(HaveOccurred())
				<-r.Context().Done()
			})
			b.upstream(func(w http.ResponseWriter, _ *http.Request) {
				for i := range 3 {
					event(w, i+1)
				}
			})
			b.route(stream)
			Expect(b.do("POST", "/p/", "x").body).To(Equal(whole))
			Expect(b.runs()).To(Equal([]string{"u0", "u1"}))
		})

		// Guards against an end of the last attempt that only its upstream's
		// silence gives a reason for.
		It("lets the last attempt wait", func() {
			release := make(chan struct{})
			b.upstream(func(w http.ResponseWriter, _ *http.Request) {
				select {
				case <-time.After(1500 * time.Millisecond):
				case <-release:
				}
				event(w, 1)
			})
			DeferCleanup(func() { close(release) })
			b.route(matcher.Route{Kind: matcher.Stream, MaxAttempts: 1, Resumable: true})
			Expect(b.do("POST", "/p/", "x").body).To(Equal("id: 1\ndata: e1\n\n"))
		})

		// Guards against a stream that is given up as silent when the budget
		// allows no other attempt, and so ends without an answer.
		It("waits for a silent upstream when the budget is exhausted", func() {
			b.budget.Ratio, b.budget.Slack = 0, 0
			b = newBenchWith(b.budget)
			b.upstream(pausing())
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { event(w, 2) })
			b.route(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true, MaxPause: 50 * time.Millisecond})
			a := b.do("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.body).To(Equal("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"))
			Expect(b.runs()).To(Equal([]string{"u0"}))
		})

		// Guards against a stream that is lost because its last attempt fails,
		// while the upstream that it was taken from was only slow.
		It("waits longer for a silent upstream when one attempt is left", func() {
			b.upstream(pausing())
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
			b.route(matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, Resumable: true, MaxPause: 200 * time.Millisecond})
			a := b.do("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(b.runs()).To(Equal([]string{"u0"}))
		})

		// Guards against a request that goes on at the target of a rollout which
		// was ordered after it began, and may be bad.
		It("keeps a request off a rollout that is ordered while it runs", func() {
			b.upstream(func(w http.ResponseWriter, r *http.Request) {
				event(w, 1)
				cur := b.fwd.InForce()
				cur.Rollouts = map[string]controller.OrderedRollout{"s": {
					RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2"}, State: controller.RolloutRunning, Share: 1000,
				}}
				b.fwd.Put(cur)
				cut(w, r)
			})
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { event(w, 2) })
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { event(w, 2) })
			b.list[1].Version = "v2"
			b.placer.Update(append([]tracker.Upstream(nil), b.list...))
			b.route(stream)
			Expect(b.do("POST", "/p/", "x").err).NotTo(HaveOccurred())
			Expect(b.runs()).To(Equal([]string{"u0", "u2"}))
		})

		// Guards against a budget that is used up by attempts which reached
		// no upstream, as when many engines crash at once.
		It("does not count attempts that reach nobody against the budget", func() {
			b.budget.Ratio, b.budget.Slack = 0, 1.2 // One repeat.
			b = newBenchWith(b.budget)
			b.upstream(func(w http.ResponseWriter, r *http.Request) {
				event(w, 1)
				cut(w, r)
			})
			for range 3 {
				b.upstream(func(http.ResponseWriter, *http.Request) {})
			}
			b.upstream(func(w http.ResponseWriter, _ *http.Request) { event(w, 2) })
			for _, s := range b.servers[1:4] {
				s.Close()
			}
			b.route(stream)
			a := b.do("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred())
			Expect(b.runs()).To(Equal([]string{"u0", "u4"}))
		})

		// Guards against a stream that looks complete although it is not.
		It("breaks the answer off when it cannot go on", func() {
			b.upstream(func(w http.ResponseWriter, _ *http.Request) {
				event(w, 1)
				cut(nil, nil)
			})
			b.upstream(func(http.ResponseWriter, *http.Request) {})
			b.route(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3})
			a := b.do("POST", "/p/", "x")
			Expect(a.err).To(HaveOccurred())
			Expect(b.runs()).To(Equal([]string{"u0"}))
		})

		// Guards against pieces of a dropped answer that reach the caller, and
		// against answers of a model for which the request is too hard.
		It("asks a larger model where the smaller is not confident", func() {
			var models []string
			b.upstream(func(w http.ResponseWriter, r *http.Request) {
				m := r.Header.Get("X-Model")
				models = append(models, m)
				if m == "small" {
					w.Header().Set("X-Sure", "10")
					event(w, 7)
					return
				}
				for i := range 3 {
					event(w, i+1)
				}
			})
			r := stream
			r.Sizes = []string{"small", "large"}
			b.route(r)
			Expect(b.do("POST", "/p/", "x", "X-Model", "*").body).To(Equal(whole))
			Expect(models).To(Equal([]string{"small", "large"}))
		})

		// Guards against the cost of a larger model where it is not needed.
		It("keeps the answer of a confident model", func() {
			b.upstream(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Sure", "90")
				event(w, 1)
			})
			r := stream
			r.Sizes = []string{"small", "large"}
			b.route(r)
			Expect(b.do("POST", "/p/", "x", "X-Model", "*").status).To(Equal(200))
			Expect(b.runs()).To(HaveLen(1))
		})

		// Guards against a session that changes its version in the trial of a
		// rollout, and against requests on a version that was rolled back.
		It("keeps sessions on their version", func() {
			for _, v := range []string{"v1", "v2"} {
				b.upstream(func(w http.ResponseWriter, _ *http.Request) { event(w, 1) })
				b.list[len(b.list)-1].Version = v
			}
			b.placer.Update(append([]tracker.Upstream(nil), b.list...))
			b.route(stream)
			Expect(b.do("POST", "/p/", "x", "X-Session", "old").header.Get("X-Sign")).To(Equal("u0"))
			cur := b.fwd.InForce()
			put := func(state controller.RolloutState, share int, moving bool) {
				cur.Rollouts = map[string]controller.OrderedRollout{"s": {
					RolloutOrder: controller.RolloutOrder{Service: "s", Target: "v2"}, State: state, Share: share, Moving: moving,
				}}
				b.fwd.Put(cur)
			}
			put(controller.RolloutRunning, 1000, false)
			Expect(b.do("POST", "/p/", "x", "X-Session", "old").header.Get("X-Sign")).To(Equal("u0"))
			Expect(b.do("POST", "/p/", "x", "X-Session", "new").header.Get("X-Sign")).To(Equal("u1"))
			put(controller.RolloutRunning, 1000, true)
			Expect(b.do("POST", "/p/", "x", "X-Session", "old").header.Get("X-Sign")).To(Equal("u1"))
			put(controller.RolloutRolledBack, 0, false)
			Expect(b.do("POST", "/p/", "x", "X-Session", "new").header.Get("X-Sign")).To(Equal("u0"))
		})
	})

	// Guards against callers that are refused while a host that has just
	// started waits for its configuration.
	It("lets requests wait for the first configuration", func() {
		b.upstream(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "done") })
		got := make(chan answer)
		go func() {
			defer GinkgoRecover()
			got <- b.do("GET", "/p/", "")
		}()
		b.route(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 1})
		Expect((<-got).body).To(Equal("done"))
	})
})

func write(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
}
