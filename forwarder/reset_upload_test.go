package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/tracker"
)

// addEarlyUpstream adds an upstream that answers each request with the bytes that answer
// returns before it has read the body, and then resets the connection.
func (b *testbed) addEarlyUpstream(answer func(r *http.Request) string) {
	l, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, answer(r)) // The forwarder may have closed the connection.
				_ = c.(*net.TCPConn).SetLinger(0)   // Fails only on a closed connection.
			}()
		}
	}()
	b.upstreams = append(b.upstreams, tracker.Upstream{
		ID: fmt.Sprintf("early%d", len(b.upstreams)), Service: "s", Zone: "a", Version: "v1", Slots: 8,
		Address: netip.MustParseAddrPort(l.Addr().String()),
	})
	b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
}

// Guards against a truncated response that a caller gets as a complete one: the upstream
// answers a long upload at once, without a length, and resets the connection while the
// upload is written. The write may be told of the reset, and the read then ends as if the
// body were complete.
var _ = Describe("A response that is cut off by a reset during the upload", func() {
	// uploads is the number of requests of each case; before the reset was noticed, the
	// write was told of it in four of five.
	const uploads = 5
	const event = "id: 1\ndata: e1\n\n"
	const part = "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Sign: u\r\nContent-Type: text/event-stream\r\n\r\n" + event
	body := strings.Repeat("x", 8<<20)

	It("never reaches a caller as a whole one", func() {
		for name, route := range routesOfEachKind() {
			for _, delegated := range []bool{false, true} {
				route.MaxAttempts = 1
				b := newTestbed()
				target := b
				if delegated {
					d := newDelegating(1, route)
					b, target = d.testbed, d.helpers[0]
				}
				target.addEarlyUpstream(func(*http.Request) string { return part })
				b.setRoute(route)
				for range uploads {
					a := b.send("POST", "/p/", body)
					Expect(a.err == nil && a.status == http.StatusOK).To(BeFalse(), "%s, delegated: %t: %q", name, delegated, a.body)
					if a.err == nil {
						Expect(a.status).To(Equal(http.StatusBadGateway), "%s, delegated: %t", name, delegated)
					}
				}
			}
		}
	})

	It("does not end a resumed stream as complete", func() {
		for range uploads {
			b := newTestbed()
			b.addEarlyUpstream(func(r *http.Request) string {
				if r.Header.Get("X-Resume") != "" {
					return strings.ReplaceAll(part, "1\n", "2\n")
				}
				return "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Sign: u\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\n" + event
			})
			b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, Resumable: true})
			a := b.send("POST", "/p/", body)
			Expect(a.err).To(HaveOccurred())
		}
	})
})
