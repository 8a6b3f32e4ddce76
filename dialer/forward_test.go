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
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// readForwardedID reads one request and returns its X-Id, empty on error.
func readForwardedID(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, req.Body)
	return req.Header.Get("X-Id")
}

// forwardedResponse returns a response with an ID, or without one if id is empty.
func forwardedResponse(id, body string) string {
	field := ""
	if id != "" {
		field = "X-Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", field, len(body), body)
}

var _ = Describe("Forward", func() {
	forward := func(ctx context.Context, d *dialer.Dialer, u *scriptedUpstream, id string) (string, error) {
		resp, err := d.Forward(ctx, &dialer.ForwardRequest{
			Upstream: netip.MustParseAddrPort(u.listener.Addr().String()), Method: "GET", Target: "/p", Host: "h",
			Fields: []dialer.Field{{Name: "X-Id", Value: id}}, ID: id, IDField: "X-Id", Deadline: time.Now().Add(10 * time.Second),
		})
		if err != nil {
			return "", err
		}
		defer resp.Abort()
		body, err := io.ReadAll(resp)
		if err == nil {
			resp.Finish()
		}
		return string(body), err
	}

	// Guards against a caller that gets the second copy of an earlier answer, which
	// its upstream sends late on a connection that is in use again. The copy comes
	// after the first answer or before the next one, whole or in two parts.
	It("discards a second copy of an earlier answer on a reused connection", func(ctx context.Context) {
		answer := func(id string) string { return forwardedResponse(id, "body of "+id) }
		for _, script := range []func(c net.Conn, r *bufio.Reader){
			func(c net.Conn, r *bufio.Reader) {
				io.WriteString(c, answer(readForwardedID(r)))
				id := readForwardedID(r)
				io.WriteString(c, answer("a")+answer(id))
			},
			func(c net.Conn, r *bufio.Reader) {
				io.WriteString(c, answer(readForwardedID(r)))
				id := readForwardedID(r)
				second := answer("a")
				io.WriteString(c, second[:20])
				io.WriteString(c, second[20:40])
				io.WriteString(c, second[40:]+answer(id))
			},
			func(c net.Conn, r *bufio.Reader) {
				io.WriteString(c, answer(readForwardedID(r))+answer("a"))
				if id := readForwardedID(r); id != "" {
					io.WriteString(c, answer(id))
				}
			},
		} {
			u := startUpstream(func(c net.Conn, r *bufio.Reader) {
				script(c, r)
				readForwardedID(r) // Keeps the connection open.
			})
			d := newDialer(dialer.Options{})
			for _, id := range []string{"a", "b"} {
				body, err := forward(ctx, d, u, id)
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(Equal("body of " + id))
			}
		}
	})

	// Guards against a late answer so long that the rest of its body is read as the
	// answer to this request.
	It("does not read the body of a long stray answer as an answer", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			id := readForwardedID(r)
			rest := forwardedResponse(id, "not the answer")
			io.WriteString(c, forwardedResponse("old", strings.Repeat("x", 1<<20)+rest))
			io.Copy(io.Discard, r)
		})
		_, err := forward(ctx, newDialer(dialer.Options{}), u, "a")
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailMismatch))
	})

	// Guards against an upstream that sends without end before its answer: memory
	// stays bounded and the connection is closed.
	It("ends an answer whose header has no end", func(ctx context.Context) {
		for _, part := range []string{"HTTP/1.1 200 OK" + strings.Repeat(" ", 1000), "X-Filler: x\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			closed := make(chan struct{})
			u := startUpstream(func(c net.Conn, r *bufio.Reader) {
				defer close(closed)
				readForwardedID(r)
				if strings.HasPrefix(part, "X-") {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n")
				}
				for {
					if _, err := io.WriteString(c, part); err != nil {
						return
					}
				}
			})
			_, err := forward(ctx, newDialer(dialer.Options{}), u, "a")
			Expect(err).To(HaveOccurred())
			Eventually(closed, time.Minute).Should(BeClosed())
		}
	}, NodeTimeout(time.Minute))
})

// slowWriteConn returns from a write only once a read has failed, as a goroutine does
// that the scheduler resumes late.
type slowWriteConn struct {
	net.Conn
	readFailed chan struct{}
	once       sync.Once
}

func (c *slowWriteConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.once.Do(func() { close(c.readFailed) })
	}
	return n, err
}

func (c *slowWriteConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	<-c.readFailed
	return n, err
}

var _ = Describe("A request whose connection is reset while it is written", func() {
	// Guards against a request that is taken for one that was not sent, and is run at a
	// second upstream, because the reading side notices the reset before the write has
	// returned and its bytes were counted.
	It("may have run", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r) // The body is not read.
			c.(*net.TCPConn).SetLinger(0)
		})
		d := newDialer(dialer.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
			return &slowWriteConn{Conn: c, readFailed: make(chan struct{})}, err
		}})
		_, err := d.Forward(ctx, &dialer.ForwardRequest{
			Upstream: netip.MustParseAddrPort(u.listener.Addr().String()), Method: "POST", Target: "/p", Host: "h",
			Body: make([]byte, 64<<10), ID: "a", IDField: "X-Id", Deadline: time.Now().Add(time.Minute),
		})
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))
	}, NodeTimeout(time.Minute))
})

var _ = Describe("A long body that the upstream reads after its answer has begun", func() {
	// Guards against a request that is sent again elsewhere while the upstream works on
	// it: the kernel closed the connection because the upstream took no bytes for a
	// while, as if its host had stopped.
	It("does not end the connection", func(ctx context.Context) {
		const userTimeout = 200 * time.Millisecond
		lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
			var err error
			cerr := rc.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10)
			})
			return errors.CombineErrors(cerr, err)
		}}
		l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		body := make([]byte, 8<<20)
		go func() {
			defer GinkgoRecover()
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				r := bufio.NewReaderSize(c, 1<<10)
				req, err := http.ReadRequest(r)
				Expect(err).NotTo(HaveOccurred())
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 10\r\n\r\nfirst")
				<-time.After(5 * userTimeout)
				n, err := io.Copy(io.Discard, req.Body)
				Expect(err).NotTo(HaveOccurred())
				Expect(n).To(Equal(int64(len(body))))
				fmt.Fprint(c, "after")
			}
		}()
		d := newDialer(dialer.Options{TCPUserTimeout: userTimeout})
		for range 2 {
			resp, err := d.Forward(ctx, &dialer.ForwardRequest{
				Upstream: netip.MustParseAddrPort(l.Addr().String()), Method: "POST", Target: "/p", Host: "h",
				Body: body, ID: "a", IDField: "X-Id", Deadline: time.Now().Add(time.Minute), NewConn: true,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(resp)).To(BeEquivalentTo("firstafter"))
			resp.Finish()
		}
	}, NodeTimeout(time.Minute))
})
