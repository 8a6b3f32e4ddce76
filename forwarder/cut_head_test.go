package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/matcher"
	"foxtailwall/tracker"
)

// addRawUpstream adds an upstream that answers each request with the bytes that
// answer returns and then closes the connection.
func (b *testbed) addRawUpstream(answer func(r *http.Request) string) {
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
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					return
				}
				_, _ = io.WriteString(c, answer(r)) // The forwarder may have closed the connection.
			}()
		}
	}()
	b.upstreams = append(b.upstreams, tracker.Upstream{
		ID: fmt.Sprintf("raw%d", len(b.upstreams)), Service: "s", Zone: "a", Version: "v1", Slots: 8,
		Address: netip.MustParseAddrPort(l.Addr().(*net.TCPAddr).String()),
	})
	b.placer.Update(append([]tracker.Upstream(nil), b.upstreams...))
}

// framedAnswer is a response of an upstream. Framed is false if its body ends with the
// connection, so that only its head can be seen to be cut off.
type framedAnswer struct {
	name, head, body string
	framed           bool
}

// framedAnswers returns responses with the content, framed in each way.
func framedAnswers(content string) []framedAnswer {
	const fields = "X-Id: id1\r\nX-Sign: u\r\nContent-Type: text/event-stream\r\n"
	return []framedAnswer{
		{name: "connection", head: "HTTP/1.1 200 OK\r\n" + fields + "\r\n", body: content},
		{name: "close", head: "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n", body: content},
		{name: "length", head: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n", len(content), fields), body: content, framed: true},
		{
			name: "chunks", head: "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
			body: fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(content), content), framed: true,
		},
	}
}

var _ = Describe("A response that an upstream breaks off", func() {
	const event = "id: 1\ndata: e1\n\n"

	// Guards against a 200 with an empty or short body that looks whole, because the
	// upstream stopped in the middle of the head, or anywhere in a framed body.
	It("never reaches a caller as a whole one, wherever it ends", func() {
		for name, route := range routesOfEachKind() {
			route.MaxAttempts = 1
			b := newTestbed()
			cut := ""
			b.addRawUpstream(func(*http.Request) string { return cut })
			b.setRoute(route)
			for _, f := range framedAnswers(event) {
				end := len(f.head)
				if f.framed {
					end += len(f.body)
				}
				for n := range end {
					cut = (f.head + f.body)[:n]
					a := b.send("POST", "/p/", "x")
					whole := a.err == nil && a.status == http.StatusOK
					Expect(whole).To(BeFalse(), "%s, %s: %q became %q", name, f.name, cut, a.body)
				}
				cut = f.head + f.body
				a := b.send("POST", "/p/", "x")
				Expect(a.err).NotTo(HaveOccurred(), "%s, %s", name, f.name)
				Expect(a.body).To(Equal(event), "%s, %s", name, f.name)
			}
		}
	})

	// Guards against a stream that ends as if it were complete, because the upstream that
	// was to continue it stopped in the middle of its head.
	It("does not end a resumed stream as complete", func() {
		for _, f := range framedAnswers("id: 2\ndata: e2\n\n") {
			for n := range len(f.head) {
				b := newTestbed()
				b.addRawUpstream(func(r *http.Request) string {
					if r.Header.Get("X-Resume") != "" {
						return f.head[:n]
					}
					return "HTTP/1.1 200 OK\r\nX-Id: id1\r\nX-Sign: u\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\n" + event
				})
				b.setRoute(matcher.Route{Kind: matcher.Stream, MaxAttempts: 2, Resumable: true})
				a := b.send("POST", "/p/", "x")
				Expect(a.err).To(HaveOccurred(), "%s: %q continued the stream", f.name, f.head[:n])
				Expect(a.body).To(Equal(event))
			}
		}
	})
})
