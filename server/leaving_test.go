package server_test

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/server"
	"foxtailwall/timekeeper"
)

// callerRequest is a request of one kind.
type callerRequest struct{ method, path, body string }

// requestsOfEachKind returns a request of each kind, by name.
func requestsOfEachKind() map[string]callerRequest {
	return map[string]callerRequest{
		"whole answer":    {"POST", "/v1/chat/completions", `{"model":"engraver","messages":[{"role":"user","content":"hi"}]}`},
		"stream":          {"POST", "/v1/chat/completions", streamBody},
		"idempotent call": {"GET", "/services/laser/status", ""},
		"claimed call":    {"POST", "/services/laser/book", "square"},
	}
}

var _ = Describe("A host that drains", func() {
	var (
		h       *host
		clock   drainClock
		release func()
	)
	// start runs a host whose timers stand still and whose upstreams answer once
	// release is called, which the end of the spec does too.
	start := func(drainTimeout time.Duration) (reached chan struct{}) {
		e := newEngine(2)
		DeferCleanup(e.Close)
		reached = make(chan struct{}, 64)
		gate := make(chan struct{})
		release = sync.OnceFunc(func() { close(gate) })
		DeferCleanup(release)
		e.hook = func(_ http.ResponseWriter, r *http.Request) bool {
			reached <- struct{}{}
			select {
			case <-gate:
			case <-r.Context().Done():
			}
			return false
		}
		at := []netip.AddrPort{addrOf(e.Listener)}
		clock = drainClock{fake: timekeeper.NewFake(time.Unix(0, 0))}
		h = startHost(testConfig(at, at, false), func(o *server.Options, _ *router.Options, _ *dialer.Options) {
			o.Clock, o.Grace, o.DrainTimeout = clock, time.Second, drainTimeout
		})
		return reached
	}
	drain := func(ctx context.Context) <-chan error {
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
		return drained
	}
	send := func(r callerRequest, fields ...string) (*http.Response, string) {
		key, err := uuid.NewV7()
		Expect(err).NotTo(HaveOccurred())
		return h.send(r.method, r.path, r.body, append(fields, "Idempotency-Key", key.String())...)
	}

	// Guards against requests that are taken after SIGTERM and aborted when the drain
	// time is over, because nothing compared their deadline with it.
	It("takes a request only if its deadline passes before the end of the drain", func(ctx context.Context) {
		start(20 * time.Second)
		release()
		drain(ctx)
		for name, r := range requestsOfEachKind() {
			resp, body := send(r, "Foxtailwall-Deadline", "5000")
			Expect(resp.StatusCode).To(Equal(http.StatusOK), "%s: %s", name, body)
			calls := len(h.bills.records())
			for _, deadline := range []string{"", "18000", "3600000"} {
				var fields []string
				if deadline != "" {
					fields = []string{"Foxtailwall-Deadline", deadline}
				}
				resp, body := send(r, fields...)
				Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable), "%s, deadline %q: %s", name, deadline, body)
				problem := decodeProblem(body)
				Expect(problem.Code).To(Equal(refuser.ShuttingDown))
				Expect(problem.Outcome).To(Equal(refuser.NotRun))
				Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
				Expect(resp.Close).To(BeTrue())
			}
			Expect(h.bills.records()).To(HaveLen(calls), name)
		}
	}, NodeTimeout(20*time.Second))

	// Guards against callers that get a closed connection and no answer because their
	// request began before SIGTERM and outlasts the drain time.
	It("answers the requests that it cuts off", func(ctx context.Context) {
		for name, r := range requestsOfEachKind() {
			reached := start(time.Minute)
			answers := make(chan string, 1)
			go func() {
				defer GinkgoRecover()
				_, body := send(r, "Foxtailwall-Deadline", "3600000")
				answers <- body
			}()
			Eventually(ctx, reached).Should(Receive())
			drained := drain(ctx)
			clock.fake.Advance(time.Second)
			Expect(<-h.served).To(Succeed())
			Expect(clock.fake.WaitTimers(ctx, 1)).To(Succeed())
			clock.fake.Advance(time.Minute)
			var body string
			Eventually(ctx, answers).Should(Receive(&body))
			problem := decodeProblem(body)
			Expect(problem.Code).To(Equal(refuser.OutcomeUnknown), name)
			Expect(problem.Outcome).To(Equal(refuser.Unknown), name)
			Eventually(ctx, drained).Should(Receive(HaveOccurred()))
		}
	}, NodeTimeout(20*time.Second))
})
