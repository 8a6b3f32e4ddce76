package forwarder_test

import (
	"fmt"
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

// responseStatuses are statuses of every class that an upstream may answer with,
// among them all with a meaning of their own.
var responseStatuses = []int{
	200, 201, 204, 206, 301, 304, 307, 400, 401, 403, 404, 408, 409, 413, 421, 429, 431, 499, 500, 501, 502, 503, 504, 599,
}

// statusHandler answers with a status and a body that contains an event.
func statusHandler(status int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain")
		if notRun {
			w.Header().Set("X-Not-Run", "1")
		}
		w.WriteHeader(status)
		// A status without a body refuses the write.
		_, _ = fmt.Fprint(w, "id: 9\ndata: error\n\n")
	}
}

// remainingEvents sends the events of a stream of three that the caller lacks.
func remainingEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("X-Resume")) // An absent header means 0.
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from + 1; i <= 3; i++ {
		writeEvent(w, i)
	}
}

// firstEvent sends the first event of a stream and breaks off; it does not resume.
func firstEvent(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Resume") == "" {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvent(w, 1)
	}
	closeConn(w, r)
}

var _ = Describe("A response to a resumed stream", func() {
	const received = "id: 1\ndata: e1\n\n"

	// Guards against the text of an upstream's error in the middle of a stream, and
	// against a stream that then ends as if it were complete: the response was
	// forwarded as if the caller had received nothing yet.
	It("never reaches the caller unless it continues the stream", func() {
		for _, status := range responseStatuses {
			for _, notRun := range []bool{false, true} {
				b := newTestbed()
				b.addUpstream(firstEvent)
				b.addUpstream(statusHandler(status, notRun))
				b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, Resumable: true})
				a := b.send("POST", "/p/", "x")
				Expect(a.body).To(Equal(received), "status %d, not run: %t", status, notRun)
				Expect(a.err).To(HaveOccurred(), "status %d, not run: %t", status, notRun)
			}
		}
	})

	// Guards against a stream that is given up although a third upstream continues it.
	It("is replaced by that of another upstream", func() {
		for _, status := range responseStatuses {
			for _, notRun := range []bool{false, true} {
				b := newTestbed()
				b.addUpstream(firstEvent)
				b.addUpstream(statusHandler(status, notRun))
				b.addUpstream(remainingEvents)
				b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true})
				a := b.send("POST", "/p/", "x")
				Expect(a.err).NotTo(HaveOccurred(), "status %d, not run: %t", status, notRun)
				Expect(a.body).To(Equal(received+"id: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"), "status %d, not run: %t", status, notRun)
				Expect(b.ranUpstreams()).To(Equal([]string{"u0", "u1", "u2"}))
			}
		}
	})
})

// requestKinds are the kinds of routes, which decide whether a request may run more
// than once.
var requestKinds = map[string]matcher.Route{
	"idempotent":        {Kind: matcher.Idempotent},
	"may run once":      {Kind: matcher.NonIdempotent},
	"resumable stream":  {Kind: matcher.Stream, Resumable: true},
	"stream, runs once": {Kind: matcher.Stream},
}

// promisesNotRun reports whether callers take the status for a promise that the
// request has not run.
func promisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

var _ = Describe("The response to a caller", func() {
	refuse := statusHandler(http.StatusServiceUnavailable, true)
	fail := statusHandler(http.StatusInternalServerError, false)

	// Guards against callers that send a request again although it has run, on the
	// word of a status that an upstream gave without saying that it did not run it.
	It("never promises that a request has not run that an upstream ran", func() {
		for name, route := range requestKinds {
			route.MaxAttempts = 3
			for _, status := range responseStatuses {
				for _, earlier := range []http.HandlerFunc{nil, refuse, fail} {
					b := newTestbed()
					if earlier != nil {
						b.addUpstream(earlier)
					}
					b.addUpstream(statusHandler(status, false))
					b.setRoute(route)
					if status == http.StatusMisdirectedRequest {
						continue // It proves that the request did not run.
					}
					a := b.send("POST", "/p/", "x")
					Expect(promisesNotRun(a.status)).To(BeFalse(), "%s: status %d became %d", name, status, a.status)
				}
			}
		}
	})

	// Guards against a request that may run once and runs at a second upstream after
	// a status that proves nothing, and against one that is given up although the
	// upstream has proved that it did not run it.
	It("follows from a second attempt only if the request may run again or did not run", func() {
		for name, route := range requestKinds {
			route.MaxAttempts = 3
			repeatable := route.Kind == matcher.Idempotent || route.Resumable
			for _, status := range responseStatuses {
				for _, notRun := range []bool{false, true} {
					b := newTestbed()
					b.addUpstream(statusHandler(status, notRun))
					b.addUpstream(remainingEvents)
					b.setRoute(route)
					a := b.send("POST", "/p/", "x")
					what := fmt.Sprintf("%s: status %d, not run: %t", name, status, notRun)
					proved := notRun || status == http.StatusMisdirectedRequest
					again := proved || repeatable && (promisesNotRun(status) || status >= 500 && status != http.StatusGatewayTimeout)
					want := []string{"u0"}
					if again {
						want = []string{"u0", "u1"}
						Expect(a.status).To(Equal(200), what)
					}
					Expect(b.ranUpstreams()).To(Equal(want), what)
				}
			}
		}
	})

	// Guards against a promise that holds for the last attempt only.
	It("does not promise that a request has not run because the last upstream refused it", func() {
		for name, route := range requestKinds {
			if route.MaxAttempts = 2; route.Kind == matcher.NonIdempotent || route.Kind == matcher.Stream && !route.Resumable {
				continue
			}
			b := newTestbed()
			b.addUpstream(fail)
			b.addUpstream(refuse)
			b.setRoute(route)
			Expect(b.send("POST", "/p/", "x").status).To(Equal(500), name)
		}
	})
})
