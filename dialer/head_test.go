package dialer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
	"foxtailwall/router"
)

// heads are heads of responses, by the way in which their bodies are delimited.
var heads = map[string]string{
	"connection":    "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\n",
	"close":         "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: a\r\n\r\n",
	"HTTP/1.0":      "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n",
	"length":        "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 12\r\n\r\n",
	"no body":       "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: a\r\n\r\n",
	"line feeds":    "HTTP/1.1 200 OK\nX-Id: a\n\n",
	"folded line":   "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Long: b\r\n c\r\n\r\n",
	"interim":       "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
	"engine answer": "HTTP/1.1 200 OK\r\nFoxtailwall-Request: a\r\nContent-Length: 0\r\n\r\n",
	"engine stream": "HTTP/1.1 200 OK\r\nFoxtailwall-Request: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// startHeadUpstream starts an upstream that answers with the data and closes the
// connection.
func startHeadUpstream(data string) *scriptedUpstream {
	return startUpstream(func(c net.Conn, r *bufio.Reader) {
		readForwardedID(r)
		_, _ = io.WriteString(c, data) // The dialer may have closed the connection.
	})
}

var _ = Describe("A response whose head is cut off", func() {
	ctx := context.Background()

	// Guards against an upstream that stops within the head of its response and closes
	// the connection: a response whose body ends with the connection would look whole
	// and empty if the end of the connection passed for the end of the head.
	It("is no response, wherever the head ends", func() {
		d := newDialer(dialer.Options{})
		for name, head := range heads {
			for n := range len(head) {
				u := startHeadUpstream(head[:n])
				resp, err := d.Forward(ctx, &dialer.ForwardRequest{
					Upstream: netip.MustParseAddrPort(u.listener.Addr().String()), Method: "GET", Target: "/p", Host: "h",
					Fields: []dialer.Field{{Name: "X-Id", Value: "a"}}, ID: "a", IDField: "X-Id", Deadline: time.Now().Add(time.Minute),
				})
				if err == nil {
					resp.Abort()
				}
				Expect(err).To(HaveOccurred(), "%s, %d of %d bytes: %q", name, n, len(head), head[:n])
				attemptErr := expectAttemptError(err)
				Expect(attemptErr.Kind).To(Equal(router.FailReset), "%s: %v", name, err)
				Expect(d.Do(ctx, u.newAttempt("a"))).Error().To(HaveOccurred(), "%s, %d bytes", name, n)
				stream, err := d.Open(ctx, u.newAttempt("a"))
				if err == nil {
					stream.Close()
				}
				Expect(err).To(HaveOccurred(), "%s, %d bytes", name, n)
				u.listener.Close()
			}
		}
	})

	It("is one once the head is whole", func() {
		d := newDialer(dialer.Options{})
		for name, head := range heads {
			if strings.HasPrefix(name, "engine") {
				continue
			}
			u := startHeadUpstream(head)
			resp, err := d.Forward(ctx, &dialer.ForwardRequest{
				Upstream: netip.MustParseAddrPort(u.listener.Addr().String()), Method: "GET", Target: "/p", Host: "h",
				Fields: []dialer.Field{{Name: "X-Id", Value: "a"}}, ID: "a", IDField: "X-Id", Deadline: time.Now().Add(time.Minute),
			})
			Expect(err).NotTo(HaveOccurred(), name)
			resp.Abort()
		}
	})
})
