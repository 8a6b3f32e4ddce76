package server_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/claimer"
	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/router"
	"foxtailwall/server"
)

const apiKey = "caller-key"

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

type (
	// host is an entry host under test.
	host struct {
		scope  counter.Scope
		dialer *dialer.Dialer
		router *router.Router
		server *server.Server
		views  *views
		bills  *bills
		claims *claims
		url    string
		served chan error
	}

	// views implements router.Views with values that the tests set.
	views struct {
		c      atomic.Pointer[declarer.Catalog]
		leased atomic.Bool
	}

	// bills keeps the billing records in memory.
	bills struct {
		mu   sync.Mutex
		recs []biller.Record
	}

	// claims is an in-memory table of idempotency claims.
	claims struct {
		mu    sync.Mutex
		table map[claimer.Key]*claim
	}

	claim struct {
		req  claimer.Request
		resp *claimer.Response
		lost bool
	}

	// engine is a fake model engine and service.
	engine struct {
		*httptest.Server
		tokens int
		calls  atomic.Int64
		// hook is called first; if it returns true, it has written the
		// response.
		hook func(w http.ResponseWriter, r *http.Request) bool
	}
)

func (v *views) Catalog() *declarer.Catalog { return v.c.Load() }
func (v *views) Leased() bool               { return v.leased.Load() }

func (b *bills) Hold(_ context.Context, r biller.Record) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recs = append(b.recs, r)
	return true, nil
}

func (b *bills) records() []biller.Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]biller.Record(nil), b.recs...)
}

func (c *claims) Claim(_ context.Context, r claimer.Request) (claimer.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		c.table = make(map[claimer.Key]*claim)
	}
	x := c.table[r.Key]
	switch {
	case x == nil:
		c.table[r.Key] = &claim{req: r}
		return claimer.Result{State: claimer.Granted, RequestID: r.RequestID}, nil
	case x.req.Digest != r.Digest:
		return claimer.Result{State: claimer.Reused, RequestID: x.req.RequestID}, nil
	case x.resp != nil:
		return claimer.Result{State: claimer.Finished, RequestID: x.req.RequestID, Response: x.resp}, nil
	case x.lost:
		return claimer.Result{State: claimer.Lost, RequestID: x.req.RequestID}, nil
	}
	return claimer.Result{State: claimer.Running, RequestID: x.req.RequestID}, nil
}

func (c *claims) Finish(_ context.Context, k claimer.Key, _ string, resp claimer.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table[k].resp = &resp
	return nil
}

func (c *claims) Release(_ context.Context, k claimer.Key, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.table[k]; x != nil && x.req.RequestID == id {
		delete(c.table, k)
	}
	return nil
}

func newEngine(tokens int) *engine {
	e := newUnstartedEngine(tokens)
	e.Start()
	return e
}

func newUnstartedEngine(tokens int) *engine {
	e := &engine{tokens: tokens}
	e.Server = httptest.NewUnstartedServer(e)
	return e
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.calls.Add(1)
	if e.hook != nil && e.hook(w, r) {
		return
	}
	id := r.Header.Get("Foxtailwall-Request")
	w.Header().Set("Foxtailwall-Request", id)
	if r.URL.Path != dialer.ChatPath {
		b, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), b)
		return
	}
	var q struct {
		Model  string
		Stream bool
	}
	json.NewDecoder(r.Body).Decode(&q)
	if !q.Stream {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"requestId":%q,"model":%q,"choices":[{"message":{"content":"hi"}}],"usage":{"prompt_tokens":3,"completion_tokens":%d}}`,
			id, q.Model, e.tokens)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, id, 0, e.tokens)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// stream sends the tokens from index first up to but not including end, and the
// usage after the last token of the answer.
func (e *engine) stream(w http.ResponseWriter, id string, first, end int) {
	for i := first; i < end; i++ {
		fmt.Fprintf(w, "data: {\"requestId\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", id, i)
		w.(http.Flusher).Flush()
	}
	if end == e.tokens {
		fmt.Fprintf(w, "data: {\"requestId\":%q,\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":%d}}\n\n", id, end)
	}
}

func addrOf(l net.Listener) netip.AddrPort { return netip.MustParseAddrPort(l.Addr().String()) }

// testConfig returns a configuration with one workspace, a model on the engines
// and a booking service on the services.
func testConfig(engines, services []netip.AddrPort, resumes bool) declarer.Config {
	sum := sha256.Sum256([]byte(apiKey))
	c := declarer.Config{
		Workspaces: []declarer.Workspace{{
			Name: "counter", Models: []declarer.Allowed{{Model: "engraver"}}, Services: []string{"laser"},
			Members: []declarer.Member{{Name: "shop-1", KeyDigests: []string{hex.EncodeToString(sum[:])}}},
		}},
		Models: []declarer.Model{{
			Name: "engraver", Stable: "v1",
			Versions: []declarer.Version{
				{Name: "v1", Price: declarer.Price{InputNanos: 10, OutputNanos: 100}},
				{Name: "v2", Price: declarer.Price{InputNanos: 10, OutputNanos: 100}},
			},
		}},
		Services: []declarer.Service{{
			Name: "laser", PriceNanos: 7,
			Calls: []declarer.Call{
				{Method: "POST", Path: "/book"}, {Method: "GET", Path: "/status", Idempotent: true},
			},
		}},
	}
	for i, a := range engines {
		c.Upstreams = append(c.Upstreams, declarer.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Address: a, Resumes: resumes,
			Serves: []declarer.VersionRef{{Model: "engraver", Version: "v1"}, {Model: "engraver", Version: "v2"}},
		})
	}
	for i, a := range services {
		c.Upstreams = append(c.Upstreams, declarer.Upstream{Name: fmt.Sprintf("laser-%d", i), Address: a, Service: "laser"})
	}
	return c
}

// startHost runs an entry host with the configuration until the end of the
// spec. The change functions modify its options.
func startHost(conf declarer.Config, change ...func(*server.Options, *router.Options, *dialer.Options)) *host {
	h := &host{scope: counter.NewTest(""), views: &views{}, bills: &bills{}, claims: &claims{}, served: make(chan error, 1)}
	h.views.leased.Store(true)
	h.views.c.Store(declarer.NewCatalog(declarer.View{Version: 1, Config: conf}))
	so := server.Options{Scope: h.scope, Views: h.views}
	ro := router.Options{Host: "entry-1", Scope: h.scope, Views: h.views, Bills: h.bills, Claims: h.claims}
	do := dialer.Options{Scope: h.scope}
	for _, f := range change {
		f(&so, &ro, &do)
	}
	h.dialer = dialer.New(do)
	DeferCleanup(h.dialer.Close)
	ro.Upstreams = h.dialer
	h.router = router.New(ro)
	so.Router = h.router
	var err error
	h.server, err = server.New(so)
	Expect(err).NotTo(HaveOccurred())
	l, err := server.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
	Expect(err).NotTo(HaveOccurred())
	h.url = "http://" + l.Addr().String()
	go func() { h.served <- h.server.ServeCallers(l, nil) }()
	DeferCleanup(h.server.Close)
	return h
}

// newRequest returns a request with the API key; fields are alternating names
// and values of header fields.
func (h *host) newRequest(method, path, body string, fields ...string) *http.Request {
	req, err := http.NewRequest(method, h.url+path, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i+1 < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	return req
}

// send sends a request with the API key and returns the response and its body.
func (h *host) send(method, path, body string, fields ...string) (*http.Response, string) {
	resp, err := http.DefaultClient.Do(h.newRequest(method, path, body, fields...))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body) // An aborted stream ends with an error.
	return resp, string(b)
}
