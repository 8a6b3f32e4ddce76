package server_test

import (
	"bufio"
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
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

// drainClock returns real time, which connection deadlines need, but its timers
// fire only when the test advances the fake clock.
type drainClock struct {
	timekeeper.System
	fake *timekeeper.Fake
}

func (c drainClock) NewTimer(d time.Duration) timekeeper.Timer { return c.fake.NewTimer(d) }

func decodeProblem(body string) encoder.ProblemError {
	var p encoder.Problem
	ExpectWithOffset(1, json.Unmarshal([]byte(body), &p)).To(Succeed(), body)
	return p.Error
}

// sendRaw sends data on a new connection and returns the response and its body.
func (h *host) sendRaw(data string) (*http.Response, string) {
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	go io.WriteString(c, data)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	b, _ := io.ReadAll(resp.Body)
	return resp, string(b)
}

var _ = Describe("the callers' port", func() {
	// Each entry guards against invalid input that reaches an engine, crashes
	// the host, or gets a response without a code.
	DescribeTable("refuses invalid requests with a JSON error",
		func(method, path, body string, status int, code refuser.Code, fields ...string) {
			e := newEngine(1)
			DeferCleanup(e.Close)
			at := []netip.AddrPort{addrOf(e.Listener)}
			h := startHost(testConfig(at, at, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) { o.MaxBody = 200 })
			resp, text := h.send(method, path, body, fields...)
			Expect(resp.StatusCode).To(Equal(status), text)
			p := decodeProblem(text)
			Expect(p.Code).To(Equal(code))
			Expect(p.Outcome).To(Equal(refuser.NotRun))
			Expect(p.RequestID).To(And(Not(BeEmpty()), Equal(resp.Header.Get("Foxtailwall-Request"))))
			Expect(e.calls.Load()).To(BeZero())
		},
		Entry("no key", "POST", "/v1/chat/completions", wholeBody, 401, refuser.Unauthorized, "Authorization", ""),
		Entry("wrong key", "POST", "/v1/chat/completions", wholeBody, 401, refuser.Unauthorized, "Authorization", "Bearer x"),
		Entry("wrong scheme", "GET", "/v1/models", "", 401, refuser.Unauthorized, "Authorization", "Basic "+apiKey),
		Entry("broken JSON", "POST", "/v1/chat/completions", `{"messages":[`, 400, refuser.BadRequest),
		Entry("no messages", "POST", "/v1/chat/completions", `{}`, 400, refuser.BadRequest),
		Entry("a body over the limit", "POST", "/v1/chat/completions", strings.Repeat(" ", 201), 413, refuser.BodyTooLarge),
		Entry("an unknown model", "POST", "/v1/chat/completions", `{"model":"z","messages":[{}]}`, 404, refuser.UnknownModel),
		Entry("a deadline that is not a number", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Deadline", "soon"),
		Entry("a negative deadline", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Deadline", "-1"),
		Entry("an unknown kind", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Kind", "x"),
		Entry("a session ID over the limit", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Session", strings.Repeat("s", 300)),
		Entry("an unknown path", "GET", "/v1/nothing", "", 404, refuser.BadRequest),
		Entry("a wrong method", "DELETE", "/v1/models", "", 405, refuser.BadRequest),
		Entry("an unknown service", "GET", "/services/z/status", "", 404, refuser.UnknownService),
		Entry("an undeclared call", "DELETE", "/services/laser/book", "", 404, refuser.UnknownService),
		Entry("a path with encoded dot segments", "GET", "/services/laser/status/%2e%2e/book", "", 400, refuser.BadRequest),
		Entry("a booking without idempotency key", "POST", "/services/laser/book", "", 400, refuser.KeyRequired),
	)

	// Guards against a chunked body, which announces no length, over the limit;
	// against headers over the limit; and against senders that stall.
	It("limits the size and duration of reads", func() {
		h := startHost(testConfig(nil, nil, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.MaxBody, o.MaxHeader, o.BodyTimeout, o.HeaderTimeout = 100, 1000, 50*time.Millisecond, 50*time.Millisecond
		})
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + apiKey + "\r\n"
		_, body := h.sendRaw(head + "Transfer-Encoding: chunked\r\n\r\n200\r\n" + strings.Repeat(" ", 0x200) + "\r\n0\r\n\r\n")
		Expect(decodeProblem(body).Code).To(Equal(refuser.BodyTooLarge))
		_, body = h.sendRaw(head + "Content-Length: 50\r\n\r\n{")
		Expect(decodeProblem(body).Code).To(Equal(refuser.BadRequest))
		resp, _ := h.sendRaw(head + strings.Repeat("X-Flood: "+strings.Repeat("x", 100)+"\r\n", 200) + "\r\n")
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))

		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		io.WriteString(c, head) // The header never ends.
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred(), "the host closes the connection")
	})

	It("refuses requests over the concurrency limit without running them", func() {
		e := newEngine(1)
		DeferCleanup(e.Close)
		began, release := make(chan bool), make(chan bool)
		e.hook = func(http.ResponseWriter, *http.Request) bool {
			close(began)
			<-release
			return false
		}
		h := startHost(testConfig([]netip.AddrPort{addrOf(e.Listener)}, nil, false),
			func(o *server.Options, _ *router.Options, _ *dialer.Options) { o.MaxConcurrent = 1 })
		done := make(chan bool)
		go func() {
			defer GinkgoRecover()
			defer close(done)
			resp, _ := h.send("POST", "/v1/chat/completions", wholeBody)
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
		}()
		<-began
		resp, body := h.send("GET", "/v1/models", "")
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(decodeProblem(body).Outcome).To(Equal(refuser.NotRun))
		close(release)
		<-done
	})

	// Guards against a truncated stream that a client takes for a complete one.
	It("ends a truncated stream with an error and without [DONE]", func() {
		e := newEngine(9)
		DeferCleanup(e.Close)
		e.hook = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Foxtailwall-Request")
			w.Header().Set("Foxtailwall-Request", id)
			w.Header().Set("Content-Type", "text/event-stream")
			e.stream(w, id, 0, 2)
			panic(http.ErrAbortHandler)
		}
		h := startHost(testConfig([]netip.AddrPort{addrOf(e.Listener)}, nil, false))
		resp, err := http.DefaultClient.Do(h.newRequest("POST", "/v1/chat/completions", streamBody))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(b)).NotTo(ContainSubstring("[DONE]"))
		events := strings.Split(strings.TrimSpace(string(b)), "\n\n")
		p := decodeProblem(strings.TrimPrefix(events[len(events)-1], "data: "))
		Expect(p.Code).To(Equal(refuser.StreamCut))
		Expect(p.Outcome).To(Equal(refuser.Ran))
		Expect(h.bills.records()).To(HaveLen(1))
	})

	It("resumes an interrupted stream without losing or repeating a token", func() {
		e := newEngine(4)
		DeferCleanup(e.Close)
		first := ""
		e.hook = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Foxtailwall-Request")
			w.Header().Set("Foxtailwall-Request", id)
			w.Header().Set("Content-Type", "text/event-stream")
			if first == "" {
				first = id
				e.stream(w, id, 0, 2)
				panic(http.ErrAbortHandler)
			}
			Expect(r.Header.Get("Foxtailwall-Resume")).To(Equal(first + ":2"))
			e.stream(w, id, 2, 4)
			fmt.Fprint(w, "data: [DONE]\n\n")
			return true
		}
		h := startHost(testConfig([]netip.AddrPort{addrOf(e.Listener)}, nil, true))
		_, body := h.send("POST", "/v1/chat/completions", streamBody)
		for i := range 4 {
			Expect(strings.Count(body, fmt.Sprintf(`"t%d "`, i))).To(Equal(1))
		}
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// Guards against a caller that stops reading and thereby occupies a slot of
	// the engine.
	It("cancels the request of a caller that stops reading", func() {
		e := newEngine(1)
		DeferCleanup(e.Close)
		gone := make(chan bool)
		e.hook = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Foxtailwall-Request")
			w.Header().Set("Foxtailwall-Request", id)
			w.Header().Set("Content-Type", "text/event-stream")
			pad := strings.Repeat("x", 100_000)
			for r.Context().Err() == nil {
				fmt.Fprintf(w, "data: {\"requestId\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", id, pad)
			}
			close(gone)
			return true
		}
		h := startHost(testConfig([]netip.AddrPort{addrOf(e.Listener)}, nil, false),
			func(o *server.Options, _ *router.Options, _ *dialer.Options) { o.WriteTimeout = 50 * time.Millisecond })
		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			apiKey, len(streamBody), streamBody)
		Eventually(gone, "20s").Should(BeClosed())
		Eventually(h.bills.records, "20s").Should(ConsistOf(HaveField("Ending", biller.Cancelled)))
	})

	It("lists the models of the workspace", func() {
		_, body := startHost(testConfig(nil, nil, false)).send("GET", "/v1/models", "")
		Expect(body).To(MatchJSON(`{"object":"list","data":[{"id":"engraver","object":"model","owned_by":""}]}`))
	})
})

var _ = Describe("Drain", func() {
	var (
		h       *host
		clock   drainClock
		release chan bool
		body    chan string
	)
	BeforeEach(func() {
		e := newEngine(2)
		DeferCleanup(e.Close)
		release, body = make(chan bool), make(chan string, 1)
		gate := release // BeforeEach replaces release for the next spec.
		e.hook = func(w http.ResponseWriter, r *http.Request) bool {
			if r.Method == http.MethodGet {
				return false
			}
			id := r.Header.Get("Foxtailwall-Request")
			w.Header().Set("Foxtailwall-Request", id)
			w.Header().Set("Content-Type", "text/event-stream")
			e.stream(w, id, 0, 1)
			select {
			case <-gate:
			case <-r.Context().Done():
				return true
			}
			e.stream(w, id, 1, 2)
			fmt.Fprint(w, "data: [DONE]\n\n")
			return true
		}
		at := []netip.AddrPort{addrOf(e.Listener)}
		clock = drainClock{fake: timekeeper.NewFake(time.Unix(0, 0))}
		h = startHost(testConfig(at, at, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.Clock, o.Grace, o.DrainTimeout = clock, time.Second, time.Minute
		})
		resp, err := http.DefaultClient.Do(h.newRequest("POST", "/v1/chat/completions", streamBody))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body) // An aborted stream ends with an error.
			body <- string(b)
		}()
	})

	// Guards against a shutdown that aborts a stream, or that refuses requests
	// that the load balancer still sends during the grace period.
	It("fails readiness first, serves until the grace period ends, and lets streams finish", func(ctx context.Context) {
		Expect(h.getOperatorPage("/readyz").Code).To(Equal(http.StatusOK))
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		Expect(h.getOperatorPage("/readyz").Code).To(Equal(http.StatusServiceUnavailable))
		resp, _ := h.send("GET", "/services/laser/status", "")
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		clock.fake.Advance(time.Second)
		Expect(<-h.served).To(Succeed(), "the listener has stopped")
		Expect(drained).NotTo(Receive())
		close(release)
		Expect(<-body).To(HaveSuffix("data: [DONE]\n\n"))
		Expect(<-drained).To(Succeed())
	}, NodeTimeout(20*time.Second))

	// Guards against a host that stops before the handler of an aborted stream
	// has billed what the caller received.
	It("aborts and bills requests that exceed the drain timeout", func(ctx context.Context) {
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		clock.fake.Advance(time.Second)
		Expect(<-h.served).To(Succeed())
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		clock.fake.Advance(time.Minute)
		Expect(<-drained).To(HaveOccurred())
		Expect(h.bills.records()).To(HaveLen(1))
		Expect(<-body).NotTo(ContainSubstring("[DONE]"))
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("the operators' port", func() {
	It("requires the operator key for metrics and configuration", func() {
		sum := sha256.Sum256([]byte("operator"))
		h := startHost(testConfig(nil, nil, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.OperatorDigest = hex.EncodeToString(sum[:])
		})
		h.scope.Counter("router.retries", "kind", `a"b`).Inc(2)
		for _, path := range []string{"/metrics", "/config"} {
			Expect(h.getOperatorPage(path).Code).To(Equal(http.StatusUnauthorized))
			Expect(h.getOperatorPage(path, apiKey).Code).To(Equal(http.StatusUnauthorized))
		}
		Expect(h.getOperatorPage("/metrics", "operator").Body.String()).To(ContainSubstring("router_retries{kind=\"a\\\"b\"} 2\n"))
		Expect(h.getOperatorPage("/config", "operator").Body.String()).To(ContainSubstring("name: engraver"))
		Expect(h.getOperatorPage("/healthz").Code).To(Equal(http.StatusOK))
		h.views.c.Store((*declarer.Catalog)(nil))
		Expect(h.getOperatorPage("/readyz").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("refuses an invalid operator key digest", func() {
		_, err := server.New(server.Options{OperatorDigest: "x"})
		Expect(err).To(BeAssignableToTypeOf(&validator.SettingError{}))
	})
})

// getOperatorPage sends a GET request to the operators' port, with the key if
// given.
func (h *host) getOperatorPage(path string, key ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	for _, k := range key {
		r.Header.Set("Authorization", "Bearer "+k)
	}
	w := httptest.NewRecorder()
	h.server.OperatorHandler().ServeHTTP(w, r)
	return w
}
