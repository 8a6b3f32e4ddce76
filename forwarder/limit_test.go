package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/timekeeper"
)

// limitedPerSecond is the rate limit that upstreams of the specs name.
const limitedPerSecond = 2.0

// allowedRequests returns how many requests may reach an upstream within a time,
// by the promise on rate limits: one and a half times the limit, and 5, in each
// 4 s.
func allowedRequests(took time.Duration) int {
	windows := int(took/(4*time.Second)) + 1
	return windows * int(1.5*limitedPerSecond*4+5)
}

// limited returns a handler that answers with a rate limit.
func limited(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Limit", strconv.FormatFloat(limitedPerSecond, 'f', 1, 64))
	sound(w, r)
}

// sound answers a request to any route.
func sound(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Stream") != "" {
		writeEvent(w, 1)
		return
	}
	fmt.Fprint(w, "done")
}

var _ = Describe("An upstream that names a rate limit", func() {
	var b *testbed
	BeforeEach(func() { b = newTestbed() })

	ranAt := func(id string) (n int) {
		for _, ran := range b.ranUpstreams() {
			if ran == id {
				n++
			}
		}
		return n
	}

	// Guards against an upstream in need that goes on getting its usual share, and
	// against requests that are refused although another upstream could serve them.
	DescribeTable("gets no more than it allows while others serve the rest", func(kind matcher.Kind, fields ...string) {
		b.addUpstream(limited)
		b.addUpstream(sound)
		b.setRoute(matcher.Route{Kind: kind, MaxAttempts: 2, Resumable: kind == matcher.Stream})
		clock := timekeeper.System{}
		start := clock.Now()
		for i := range 60 {
			a := b.send("POST", "/p/", "x", append(fields, "X-Id", fmt.Sprint("r", i))...)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
		}
		Expect(ranAt("u0")).To(And(BeNumerically(">=", 1), BeNumerically("<=", allowedRequests(clock.Since(start)))))
	},
		Entry("idempotent requests", matcher.Idempotent),
		Entry("requests that may run once", matcher.NonIdempotent),
		Entry("streams", matcher.Stream, "X-Stream", "1"),
	)

	// Guards against requests that wait for their deadline, or exceed the limit,
	// because no other upstream is left.
	It("gets no more than it allows if there is no other", func() {
		b.addUpstream(limited)
		b.setRoute(matcher.Route{Kind: matcher.Idempotent, MaxAttempts: 2})
		clock := timekeeper.System{}
		start := clock.Now()
		refused := 0
		for i := range 60 {
			if a := b.send("GET", "/p/", "", "X-Id", fmt.Sprint("r", i)); a.status != http.StatusOK {
				refused++
				Expect(a.status).To(Equal(http.StatusServiceUnavailable))
				Expect(a.body).To(Equal("rateLimited\n"))
				Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			}
		}
		Expect(ranAt("u0")).To(And(Equal(60-refused), BeNumerically("<=", allowedRequests(clock.Since(start)))))
	})
})
