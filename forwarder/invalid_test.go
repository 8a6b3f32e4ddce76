package forwarder_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
)

// invalidResponses start responses that are none, or not final, or have a body that their
// status does not allow.
var invalidResponses = []string{
	"HTTP/1.1 000 None\r\n", "HTTP/1.1 099 None\r\n", "HTTP/1.1 600 None\r\n", "HTTP/1.1 999 None\r\n",
	"HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n",
	"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n",
	"HTTP/1.1 205 Reset Content\r\n",
	"HTTP/1.1 600 None\r\nX-Not-Run: 1\r\n", "HTTP/1.1 000 None\r\nX-Not-Run: 1\r\n",
}

// Guards against statuses that are none which reach callers, and against requests that
// are refused as not run, or run again, on the word of an invalid response.
var _ = Describe("An invalid response of an upstream", func() {
	const event = "id: 1\ndata: e1\n\n"
	fields := fmt.Sprintf("X-Id: id1\r\nX-Sign: u\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(event))

	It("is replaced by that of another one if the request may run again, else by 502", func() {
		for name, route := range routesOfEachKind() {
			route.MaxAttempts = 2
			for _, delegated := range []bool{false, true} {
				b := newTestbed()
				target := b
				if delegated {
					d := newDelegating(1, route)
					b, target = d.testbed, d.helpers[0]
				}
				var start atomic.Pointer[string]
				var calls atomic.Int64
				target.addRawUpstream(func(*http.Request) string {
					calls.Add(1)
					return *start.Load() + fields + event
				})
				target.setRoute(route)
				b.setRoute(route)
				send := func(response string, status int) {
					what := fmt.Sprintf("%s, delegated: %t, %.40q", name, delegated, response)
					start.Store(&response)
					before := calls.Load()
					a := b.send("POST", "/p/", "x")
					Expect(a.err).NotTo(HaveOccurred(), what)
					Expect(a.status).To(Equal(status), what)
					if !route.Repeatable() {
						Expect(calls.Load()-before).To(Equal(int64(1)), what)
					}
				}
				for _, response := range invalidResponses {
					send(response, http.StatusBadGateway)
				}
				if !route.Repeatable() {
					continue
				}
				target.addUpstream(remainingEvents)
				for _, response := range invalidResponses {
					send(response, http.StatusOK)
				}
			}
		}
	})

	It("does not continue a resumed stream", func() {
		for _, start := range invalidResponses {
			b := newTestbed()
			b.addUpstream(firstEvent)
			b.addRawUpstream(func(*http.Request) string { return start + fields + event })
			b.addUpstream(remainingEvents)
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 3, Resumable: true})
			a := b.send("POST", "/p/", "x")
			Expect(a.err).NotTo(HaveOccurred(), start)
			Expect(a.status).To(Equal(200), start)
			Expect(a.body).To(Equal(event+"id: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"), start)
		}
	})

	// Guards against a body after a status that allows none, which the caller would read
	// as its next response.
	It("of status 204 or 304 reaches the caller without its body", func() {
		for _, status := range []int{204, 304} {
			b := newTestbed()
			b.addRawUpstream(func(*http.Request) string { return fmt.Sprintf("HTTP/1.1 %d x\r\n%s%s", status, fields, event) })
			b.setRoute(matcher.Route{Kind: matcher.NonIdempotent, MaxAttempts: 1})
			for range 2 {
				a := b.send("POST", "/p/", "x")
				Expect(a.err).NotTo(HaveOccurred())
				Expect(a.status).To(Equal(status))
				Expect(a.body).To(BeEmpty())
				Expect(a.header).NotTo(HaveKey("Content-Length"))
			}
		}
	})
})
