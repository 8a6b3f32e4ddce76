package accepter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/accepter"
	"foxtailwall/allotter"
	"foxtailwall/timekeeper"
)

func TestAccepter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "accepter")
}

// serve runs a guarded server until the spec ends and returns its address.
func serve(limits accepter.Limits, h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	if limits.Memory == nil {
		limits.Memory = &allotter.Memory{}
	}
	limits.Clock = timekeeper.System{}
	srv := &http.Server{Handler: h}
	guarded := accepter.Guard(srv, l, limits)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(guarded) // It ends with http.ErrServerClosed.
	}()
	DeferCleanup(func() {
		srv.Close()
		<-done
	})
	return l.Addr().String()
}

func dial(addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return c
}

// readStatus returns the status of the next response, or an error.
func readStatus(r *bufio.Reader) (int, bool, error) {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, err
}

func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
	}
}

var _ = Describe("a guarded server", func() {
	// Guards against connections that keep others from being accepted, and against
	// closing one whose request runs.
	It("replaces connections that wait and none whose request runs", func() {
		started, release := make(chan struct{}), make(chan struct{})
		addr := serve(accepter.Limits{MaxConns: 2}, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				close(started)
				<-release
			}
		})
		slow := dial(addr)
		fmt.Fprint(slow, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
		<-started
		half := dial(addr)
		fmt.Fprint(half, "GET / HTTP/1.1\r\n")
		for range 3 {
			// A request runs until the server has noted its end, a moment after its caller
			// has the response; until then the next connection is closed.
			Eventually(func() (int, error) {
				c := dial(addr)
				fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				status, _, err := readStatus(bufio.NewReader(c))
				return status, err
			}, time.Minute).Should(Equal(200))
		}
		_, err := half.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		close(release)
		status, _, err := readStatus(bufio.NewReader(slow))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
	})

	// Guards against a limit on connections that closes those whose requests run.
	It("closes a new connection if requests run on all others", func() {
		started, release := make(chan struct{}), make(chan struct{})
		addr := serve(accepter.Limits{MaxConns: 1}, func(http.ResponseWriter, *http.Request) {
			close(started)
			<-release
		})
		slow := dial(addr)
		fmt.Fprint(slow, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		<-started
		_, err := dial(addr).Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		close(release)
		status, _, err := readStatus(bufio.NewReader(slow))
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(Equal(200))
	})

	// Guards against headers whose fields take many times their size.
	It("refuses a header with too many fields and serves one with as many as allowed", func() {
		addr := serve(accepter.Limits{MaxFields: 100}, func(http.ResponseWriter, *http.Request) {})
		for fields, want := range map[int]int{99: 200, 5000: 431} {
			c := dial(addr)
			var head strings.Builder
			for i := range fields {
				fmt.Fprintf(&head, "a%d:\r\n", i)
			}
			fmt.Fprintf(c, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", head.String())
			status, _, err := readStatus(bufio.NewReader(c))
			if want == 431 && err != nil {
				continue // The connection may also be reset.
			}
			Expect(status).To(Equal(want))
		}
	})

	// Guards against a connection that is kept although the rest of a body is unread,
	// and against closing kept connections without need.
	DescribeTable("answers before the rest of a body that the handler does not read",
		func(framing string, closes bool) {
			addr := serve(accepter.Limits{}, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
			c := dial(addr)
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s", framing)
			status, closing, err := readStatus(bufio.NewReader(c))
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusNotFound))
			Expect(closing).To(Equal(closes))
		},
		Entry("a body that was sent", "Content-Length: 3\r\n\r\nabc", false),
		Entry("a body that stops", "Content-Length: 3\r\n\r\nab", true),
		Entry("a huge body", "Content-Length: 900000000\r\n\r\nab", true),
		Entry("a body of unknown length", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true),
		Entry("a body that waits for 100", "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n", true),
	)

	// Guards against bodies that take the memory of a host although its handlers read
	// them with a limit for each.
	It("refuses a body for which there is no memory, as not run", func() {
		addr := serve(accepter.Limits{Memory: &allotter.Memory{Total: 64 << 10}}, readAll)
		for size, want := range map[int]int{1 << 10: 200, 1 << 20: 503} {
			c := dial(addr)
			go fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size))
			status, closes, err := readStatus(bufio.NewReader(c))
			if want == 503 && err != nil {
				continue // The connection may also be reset.
			}
			Expect(status).To(Equal(want))
			Expect(closes).To(Equal(want == 503))
		}
	})

	// Guards against a caller that never reads and holds its response, its connection
	// and, with pipelined requests, those that follow.
	It("closes the connection of a caller that does not read", func() {
		ended := make(chan error, 1)
		addr := serve(accepter.Limits{WriteTimeout: 10 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
			part := make([]byte, 1<<20)
			for {
				if _, err := w.Write(part); err != nil {
					ended <- err
					return
				}
			}
		})
		fmt.Fprint(dial(addr), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		Eventually(ended, time.Minute).Should(Receive())
	})

	// Guards against a bound on a kept connection that ordinary callers meet.
	It("serves many requests on one connection, pipelined and with bodies", func() {
		addr := serve(accepter.Limits{MaxFields: 64}, readAll)
		c := dial(addr)
		const requests = 2000
		go func() {
			for range requests {
				fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n%sGET / HTTP/1.1\r\nHost: h\r\n\r\n", strings.Repeat("\n", 300))
			}
		}()
		r := bufio.NewReader(c)
		for range 2 * requests {
			status, _, err := readStatus(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(200))
		}
	})
})
