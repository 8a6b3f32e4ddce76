package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// invalidHeads are starts of responses that are none, or no final ones.
var invalidHeads = map[string]string{
	"status 000": "HTTP/1.1 000 None\r\n", "status 099": "HTTP/1.1 099 None\r\n", "status +12": "HTTP/1.1 +12 None\r\n",
	"status 600": "HTTP/1.1 600 None\r\n", "status 999": "HTTP/1.1 999 None\r\n",
	"no protocol was asked for": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\n",
	"endless interim":           strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100) + "HTTP/1.1 200 OK\r\n",
	"000 before the answer":     "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// invalidFields follow invalidHeads, for both kinds of request IDs.
const invalidFields = "X-Id: a\r\nFoxtailwall-Request: a\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n\r\nok"

// forwardGet forwards a request without a body.
func forwardGet(ctx context.Context, d *dialer.Dialer, u *scriptedUpstream, id string) (*dialer.ForwardResponse, error) {
	return d.Forward(ctx, &dialer.ForwardRequest{
		Upstream: netip.MustParseAddrPort(u.listener.Addr().String()), Method: "GET", Target: "/p", Host: "h",
		Fields: []dialer.Field{{Name: "X-Id", Value: id}}, ID: id, IDField: "X-Id", Deadline: time.Now().Add(time.Minute),
	})
}

var _ = Describe("A response that is invalid", func() {
	// Guards against statuses that are none which reach callers or pass for interim
	// responses, and against upstreams that count as crashed for them.
	It("is an attempt that may have run, by each way of sending", func(ctx context.Context) {
		d := newDialer(dialer.Options{})
		for name, head := range invalidHeads {
			u := startHeadUpstream(head + invalidFields)
			_, err := forwardGet(ctx, d, u, "a")
			_, doErr := d.Do(ctx, u.newAttempt("a"))
			call := u.newAttempt("a")
			call.Engine = false
			_, callErr := d.Do(ctx, call)
			_, openErr := d.Open(ctx, u.newAttempt("a"))
			for way, err := range map[string]error{"Forward": err, "Do": doErr, "Do of a service": callErr, "Open": openErr} {
				Expect(err).To(HaveOccurred(), "%s, %s", name, way)
				attemptErr := expectAttemptError(err)
				Expect(attemptErr.Kind).To(Equal(router.FailMalformed), "%s, %s", name, way)
				Expect(attemptErr.Outcome).To(Equal(refuser.Unknown), "%s, %s", name, way)
			}
		}
	}, NodeTimeout(time.Minute))

	// Guards against a body that must not be there and that is read as the head of the
	// next response on the connection, also if it comes late.
	It("does not leave a connection for the next request if its status allows no body", func(ctx context.Context) {
		for _, fields := range []string{"Content-Length: 5\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
			for _, status := range []int{204, 304} {
				u := startUpstream(func(c net.Conn, r *bufio.Reader) {
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body) // Its end is seen by the next read.
						fmt.Fprintf(c, "HTTP/1.1 %d x\r\nX-Id: a\r\nFoxtailwall-Request: a\r\n%s", status, fields)
					}
				})
				d := newDialer(dialer.Options{})
				resp, err := forwardGet(ctx, d, u, "a")
				Expect(err).NotTo(HaveOccurred())
				Expect(io.ReadAll(resp)).To(BeEmpty())
				resp.Finish()
				Expect(d.IdleConns(u.declaration().Address)).To(BeZero(), "%d, %q", status, fields)
				a := u.newAttempt("a")
				a.Engine = false
				ans, err := d.Do(ctx, a)
				Expect(err).NotTo(HaveOccurred())
				Expect(ans.Body).To(BeEmpty())
				Expect(d.IdleConns(u.declaration().Address)).To(BeZero(), "%d, %q", status, fields)
			}
		}
	}, NodeTimeout(time.Minute))

	It("is an attempt that may have run if 205 has a body", func(ctx context.Context) {
		u := startHeadUpstream("HTTP/1.1 205 Reset Content\r\n" + invalidFields)
		a := u.newAttempt("a")
		a.Engine = false
		_, err := newDialer(dialer.Options{}).Do(ctx, a)
		Expect(err).To(HaveOccurred())
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailMalformed))
	})

	// Guards against a body that is longer than its length and whose rest is read as the
	// response to the next request.
	It("has its announced length, and the connection is not used again", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			id := readForwardedID(r)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\nContent-Length: 2\r\n\r\nok"+forwardedResponse("b", "smuggled"))
			readForwardedID(r) // Keeps the connection open.
		})
		d := newDialer(dialer.Options{})
		resp, err := forwardGet(ctx, d, u, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(io.ReadAll(resp)).To(BeEquivalentTo("ok"))
		resp.Finish()
		Expect(d.IdleConns(u.declaration().Address)).To(BeZero())
	}, NodeTimeout(time.Minute))
})
