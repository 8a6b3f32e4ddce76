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

// drainClock shows real time, since the deadlines of connections need it, but
// its timers fire when the test says so.
type drainClock struct {
	timekeeper.System
	fake *timekeeper.Fake
}

func (c drainClock) NewTimer(d time.Duration) timekeeper.Timer { return c.fake.NewTimer(d) }

func problem(body string) encoder.ProblemError {
	var p encoder.Problem
	ExpectWithOffset(1, json.Unmarshal([]byte(body), &p)).To(Succeed(), body)
	return p.Error
}

// raw sends bytes on a connection of its own and returns the answer.
func (h *host) raw(data string) (*http.Response, string) {
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
	// Each case guards against input that reaches an engine, crashes the
	// host, or gets an answer that a client cannot read.
	DescribeTable("answers bad input in typed JSON",
		func(method, path, body string, status int, code refuser.Code, fields ...string) {
			e := newEngine(1)
			DeferCleanup(e.Close)
			at := []netip.AddrPort{addrOf(e.Listener)}
			h := start(config(at, at, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) { o.MaxBody = 200 })
			resp, text := h.send(method, path, body, fields...)
			Expect(resp.StatusCode).To(Equal(status), text)
			p := problem(text)
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
		Entry("a large body", "POST", "/v1/chat/completions", strings.Repeat(" ", 201), 413, refuser.BodyTooLarge),
		Entry("an unknown model", "POST", "/v1/chat/completions", `{"model":"z","messages":[{}]}`, 404, refuser.UnknownModel),
		Entry("a deadline that is no number", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Deadline", "soon"),
		Entry("a deadline in the past", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Deadline", "-1"),
		Entry("an unknown kind", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Kind", "x"),
		Entry("a long session", "POST", "/v1/chat/completions", wholeBody, 400, refuser.BadRequest, "Foxtailwall-Session", strings.Repeat("s", 300)),
		Entry("an unknown path", "GET", "/v1/nothing", "", 404, refuser.BadRequest),
		Entry("a wrong method", "DELETE", "/v1/models", "", 405, refuser.BadRequest),
		Entry("an unknown service", "GET", "/services/z/status", "", 404, refuser.UnknownService),
		Entry("an undeclared call", "DELETE", "/services/laser/book", "", 404, refuser.UnknownService),
		Entry("a dotted path", "GET", "/services/laser/status/%2e%2e/book", "", 400, refuser.BadRequest),
		Entry("a booking without key", "POST", "/services/laser/book", "", 400, refuser.KeyRequired),
	)

	// Guards against a chunked body, which announces no length, beyond the
	// bound; against headers without end; and against senders that stop.
	It("bounds what it reads and how long it waits", func() {
		h := start(config(nil, nil, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.MaxBody, o.MaxHeader, o.BodyTimeout, o.HeaderTimeout = 100, 1000, 50*time.Millisecond, 50*time.Millisecond
		})
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + apiKey + "\r\n"
		_, body := h.raw(head + "Transfer-Encoding: chunked\r\n\r\n200\r\n" + strings.Repeat(" ", 0x200) + "\r\n0\r\n\r\n")
		Expect(problem(body).Code).To(Equal(refuser.BodyTooLarge))
		_, body = h.raw(head + "Content-Length: 50\r\n\r\n{")
		Expect(problem(body).Code).To(Equal(refuser.BadRequest))
		resp, _ := h.raw(head + strings.Repeat("X-Flood: "+strings.Repeat("x", 100)+"\r\n", 200) + "\r\n")
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))

		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		io.WriteString(c, head) // The header never ends.
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred(), "the host closes the connection")
	})

	It("refuses requests beyond its bound, unrun", func() {
		e := newEngine(1)
		DeferCleanup(e.Close)
		began, release := make(chan bool), make(chan bool)
		e.hook = func(http.ResponseWriter, *http.Request) bool {
			close(began)
			<-release
			return false
		}
		h := start(config([]netip.AddrPort{addrOf(e.Listener)}, nil, false),
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
		Expect(problem(body).Outcome).To(Equal(refuser.NotRun))
		close(release)
		<-done
	})

	// Guards against a cut stream that a client takes for a whole one.
	It("ends a cut stream with an error and without end marker", func() {
		e := newEngine(9)
		DeferCleanup(e.Close)
		e.hook = func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Foxtailwall-Request")
			w.Header().Set("Foxtailwall-Request", id)
			w.Header().Set("Content-Type", "text/event-stream")
			e.stream(w, id, 0, 2)
			panic(http.ErrAbortHandler)
		}
		h := start(config([]netip.AddrPort{addrOf(e.Listener)}, nil, false))
		resp, err := http.DefaultClient.Do(h.newRequest("POST", "/v1/chat/completions", streamBody))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		Expect(string(b)).NotTo(ContainSubstring("[DONE]"))
		events := strings.Split(strings.TrimSpace(string(b)), "\n\n")
		p := problem(strings.TrimPrefix(events[len(events)-1], "data: "))
		Expect(p.Code).To(Equal(refuser.StreamCut))
		Expect(p.Outcome).To(Equal(refuser.Ran))
		Expect(h.bills.all()).To(HaveLen(1))
	})

	It("resumes a cut stream without losing or repeating a token", func() {
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
		h := start(config([]netip.AddrPort{addrOf(e.Listener)}, nil, true))
		_, body := h.send("POST", "/v1/chat/completions", streamBody)
		for i := range 4 {
			Expect(strings.Count(body, fmt.Sprintf(`"t%d "`, i))).To(Equal(1))
		}
		Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
	})

	// Guards against a caller that stops reading and holds an engine's slot.
	It("gives up on a caller that takes nothing", func() {
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
		h := start(config([]netip.AddrPort{addrOf(e.Listener)}, nil, false),
			func(o *server.Options, _ *router.Options, _ *dialer.Options) { o.WriteTimeout = 50 * time.Millisecond })
		c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			apiKey, len(streamBody), streamBody)
		Eventually(gone, "20s").Should(BeClosed())
		Eventually(h.bills.all, "20s").Should(ConsistOf(HaveField("Ending", biller.Cancelled)))
	})

	It("lists the models of the workspace", func() {
		_, body := start(config(nil, nil, false)).send("GET", "/v1/models", "")
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
		gate := release // The next spec has another one.
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
		h = start(config(at, at, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.Clock, o.Grace, o.DrainTimeout = clock, time.Second, time.Minute
		})
		resp, err := http.DefaultClient.Do(h.newRequest("POST", "/v1/chat/completions", streamBody))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			defer resp.Body.Close()
			b, _ := io.ReadAll(resp.Body) // A cut stream ends with an error.
			body <- string(b)
		}()
	})

	// Guards against a shutdown that cuts a stream, or that refuses requests
	// which the load balancer still sends.
	It("fails readiness, serves on, stops listening and lets streams finish", func(ctx context.Context) {
		Expect(h.operate("/readyz").Code).To(Equal(http.StatusOK))
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		Expect(h.operate("/readyz").Code).To(Equal(http.StatusServiceUnavailable))
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

	// Guards against a host that stops before the handler of a cut stream has
	// billed what the caller received.
	It("cuts only what exceeds the drain timeout, and bills it", func(ctx context.Context) {
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		clock.fake.Advance(time.Second)
		Expect(<-h.served).To(Succeed())
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		clock.fake.Advance(time.Minute)
		Expect(<-drained).To(HaveOccurred())
		Expect(h.bills.all()).To(HaveLen(1))
		Expect(<-body).NotTo(ContainSubstring("[DONE]"))
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("the operators' port", func() {
	It("shows metrics and configuration only to the operator", func() {
		sum := sha256.Sum256([]byte("operator"))
		h := start(config(nil, nil, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.OperatorDigest = hex.EncodeToString(sum[:])
		})
		h.scope.Counter("router.retries", "kind", `a"b`).Inc(2)
		for _, path := range []string{"/metrics", "/config"} {
			Expect(h.operate(path).Code).To(Equal(http.StatusUnauthorized))
			Expect(h.operate(path, apiKey).Code).To(Equal(http.StatusUnauthorized))
		}
		Expect(h.operate("/metrics", "operator").Body.String()).To(ContainSubstring("router_retries{kind=\"a\\\"b\"} 2\n"))
		Expect(h.operate("/config", "operator").Body.String()).To(ContainSubstring("name: engraver"))
		Expect(h.operate("/healthz").Code).To(Equal(http.StatusOK))
		h.views.c.Store((*declarer.Catalog)(nil))
		Expect(h.operate("/readyz").Code).To(Equal(http.StatusServiceUnavailable))
	})

	It("refuses a digest that is none", func() {
		_, err := server.New(server.Options{OperatorDigest: "x"})
		Expect(err).To(BeAssignableToTypeOf(&validator.SettingError{}))
	})
})

// operate asks the operators' port.
func (h *host) operate(path string, key ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	for _, k := range key {
		r.Header.Set("Authorization", "Bearer "+k)
	}
	w := httptest.NewRecorder()
	h.server.OperatorHandler().ServeHTTP(w, r)
	return w
}
