package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// uploadBytes is more than the buffers of a connection hold that nobody reads from.
const uploadBytes = 8 << 20

// writeResetConn reports the end of its connection to the writing side only, as the
// kernel does if that asks first; the reading side sees a clean end.
type writeResetConn struct {
	net.Conn
	// writeFirst means that the write fails before the read ends, else after it.
	writeFirst             bool
	failOnce, endOnce      sync.Once
	writeFailed, readEnded chan struct{}
	// closed is closed with the connection, after which nothing waits.
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *writeResetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == nil {
		return n, nil
	}
	if c.writeFirst {
		c.wait(c.writeFailed)
	}
	c.endOnce.Do(func() { close(c.readEnded) })
	return n, io.EOF
}

func (c *writeResetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err == nil {
		return n, nil
	}
	if !c.writeFirst {
		c.wait(c.readEnded)
	}
	c.failOnce.Do(func() { close(c.writeFailed) })
	return n, err
}

// wait waits for an event or the end of the connection.
func (c *writeResetConn) wait(event chan struct{}) {
	select {
	case <-event:
	case <-c.closed:
	}
}

func (c *writeResetConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// dialWriteReset returns an Options.Dial of writeResetConn.
func dialWriteReset(writeFirst bool) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &writeResetConn{Conn: c, writeFirst: writeFirst, writeFailed: make(chan struct{}), readEnded: make(chan struct{}), closed: make(chan struct{})}, nil
	}
}

// startEarlyUpstream starts an upstream that answers before it has read a request's body
// and calls end.
func startEarlyUpstream(response string, end func(c *net.TCPConn, r *bufio.Reader)) *scriptedUpstream {
	return startUpstream(func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, response) // The dialer may have closed the connection.
		end(c.(*net.TCPConn), r)
	})
}

// resetConn resets the connection.
func resetConn(c *net.TCPConn, _ *bufio.Reader) {
	_ = c.SetLinger(0) // Fails only on a closed connection.
	c.Close()
}

// upload forwards a request with a long body and returns the body of the response.
func upload(ctx context.Context, d *dialer.Dialer, u *scriptedUpstream) (string, error) {
	resp, err := d.Forward(ctx, &dialer.ForwardRequest{
		Upstream: netip.MustParseAddrPort(u.listener.Addr().String()), Method: "POST", Target: "/p", Host: "h",
		Body: make([]byte, uploadBytes), ID: "a", IDField: "X-Id", Deadline: time.Now().Add(time.Minute), NewConn: true,
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp)
	if err == nil {
		resp.Finish()
	}
	return string(body), err
}

var _ = Describe("A response that ends with the connection while the request is written", func() {
	// Guards against a truncated response that is taken for a complete one: only the
	// write is told of the reset, and the read ends as if the body were complete.
	It("is cut off if the connection is reset", func(ctx context.Context) {
		for _, head := range []string{"HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: a\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n"} {
			for _, writeFirst := range []bool{true, false} {
				u := startEarlyUpstream(head+"a part", resetConn)
				d := newDialer(dialer.Options{Dial: dialWriteReset(writeFirst)})
				body, err := upload(ctx, d, u)
				Expect(err).To(HaveOccurred(), "%q is taken for complete; head %q, write first: %t", body, head, writeFirst)
				attemptErr := expectAttemptError(err)
				Expect(attemptErr.Kind).To(Equal(router.FailCut))
				Expect(attemptErr.Outcome).To(Equal(refuser.Unknown))
			}
		}
	}, NodeTimeout(time.Minute))

	It("is cut off over TCP too", func(ctx context.Context) {
		const tries = 50
		u := startEarlyUpstream("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\na part", resetConn)
		d := newDialer(dialer.Options{})
		complete := 0
		for range tries {
			if _, err := upload(ctx, d, u); err == nil {
				complete++
			} else {
				Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))
			}
		}
		Expect(complete).To(BeZero(), "of %d", tries)
	}, NodeTimeout(time.Minute))

	// Guards against complete responses that are given up.
	It("is complete if the upstream reads the request to its end", func(ctx context.Context) {
		u := startEarlyUpstream("HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it", func(c *net.TCPConn, r *bufio.Reader) {
			_ = c.CloseWrite() // Fails only on a closed connection.
			_, _ = io.Copy(io.Discard, r)
		})
		Expect(upload(ctx, newDialer(dialer.Options{}), u)).To(Equal("all of it"))
	}, NodeTimeout(time.Minute))

	It("is complete with its length if the connection is reset after it", func(ctx context.Context) {
		u := startEarlyUpstream("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\n\r\nall of it", resetConn)
		for _, writeFirst := range []bool{true, false} {
			Expect(upload(ctx, newDialer(dialer.Options{Dial: dialWriteReset(writeFirst)}), u)).To(Equal("all of it"))
		}
	}, NodeTimeout(time.Minute))

	It("is none for engines and services of serve", func(ctx context.Context) {
		for _, kind := range []string{"application/json", "text/event-stream"} {
			// The request is written before the response is read.
			u := startEarlyUpstream(fmt.Sprintf("HTTP/1.1 200 OK\r\nFoxtailwall-Request: a\r\nContent-Type: %s\r\n\r\n%s", kind, okBody("a")), resetConn)
			d := newDialer(dialer.Options{Dial: dialWriteReset(true)})
			for _, engine := range []bool{true, false} {
				a := u.newAttempt("a")
				a.Body, a.Engine, a.NewConn, a.Deadline = make([]byte, uploadBytes), engine, true, time.Now().Add(time.Minute)
				_, err := d.Do(ctx, a)
				Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))
				_, err = d.Open(ctx, a)
				Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))
			}
		}
	}, NodeTimeout(time.Minute))
})
