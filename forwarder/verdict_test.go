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
