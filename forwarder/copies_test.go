package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/tracker"
)

// addRepeating adds an upstream that refuses the first request with status 503 and
// writes that refusal once more at the next request on the same connection, which it
// runs. withID says whether its refusals carry the ID of the request. It returns the
// number of requests that it has run.
func (b *testbed) addRepeating(withID bool) *atomic.Int64 {
	var ran, requests atomic.Int64
	l, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	serve := func(conn net.Conn) {
		defer conn.Close()
		refusal := ""
		for br := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, req.Body)
			Expect(err).NotTo(HaveOccurred())
			id := req.Header.Get("X-Id")
			switch {
			case requests.Add(1) == 1:
				refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				if withID {
					refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
				}
				writeRaw(conn, refusal)
			default:
				ran.Add(1)
				// The router may have closed the connection after the copy.
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Sign: s\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: e1\n\n", refusal, id)
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer GinkgoRecover()
				serve(conn)
			}()
		}
	}()
	b.upstreams = append(b.upstreams, tracker.Upstream{
		ID: "repeating", Service: "s", Zone: "a", Version: "v1", Slots: 8, Address: netip.MustParseAddrPort(l.Addr().String()),
	})
	b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
	return &ran
}

// Guards against callers that are told that a request has not run, and against one
// that runs at a second upstream, on the word of a copy of an earlier refusal.
var _ = Describe("A copy of an earlier refusal", func() {
	It("of the same request does not count as that of a later attempt", func() {
		for name, route := range requestKinds {
			b := newTestbed()
			ran := b.addRepeating(true)
			route.MaxAttempts = 3
			b.setRoute(route)
			Expect(b.send("POST", "/p/", "x").status).To(Equal(200), name)
			Expect(ran.Load()).To(Equal(int64(1)), name)
		}
	})

	It("without an ID does not count as that of a later request", func() {
		for name, route := range requestKinds {
			b := newTestbed()
			ran := b.addRepeating(false)
			route.MaxAttempts = 1
			b.setRoute(route)
			Expect(b.send("POST", "/p/", "x").status).To(Equal(503), name)
			route.MaxAttempts = 3
			b.setRoute(route)
			a := b.send("POST", "/p/", "x", "X-Id", "id2")
			Expect(promisesNotRun(a.status)).To(BeFalse(), name)
			if route.Kind == matcher.NonIdempotent || route.Kind == matcher.Stream && !route.Resumable {
				Expect(ran.Load()).To(Equal(int64(1)), name)
			}
		}
	})
})
