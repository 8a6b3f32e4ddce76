package dialer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/reserver"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

func TestDialer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dialer")
}

// scriptedUpstream accepts connections and runs a script on each.
type scriptedUpstream struct {
	listener net.Listener
	accepted atomic.Int64
}

// timedOutConn fails each read as the kernel does once the peer's host answers
// no probes.
type timedOutConn struct{ net.Conn }

func (c *timedOutConn) Read([]byte) (int, error) {
	return 0, os.NewSyscallError("read", syscall.ETIMEDOUT)
}

// ports has the ports of upstreams, one of which stops.
var ports reserver.Ports

func startUpstream(script func(c net.Conn, r *bufio.Reader)) *scriptedUpstream {
	l, err := ports.Listen()
	Expect(err).NotTo(HaveOccurred())
	u := &scriptedUpstream{listener: l}
	DeferCleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

func (u *scriptedUpstream) declaration() *declarer.Upstream {
	return &declarer.Upstream{Name: "u", Address: netip.MustParseAddrPort(u.listener.Addr().String())}
}

func (u *scriptedUpstream) newAttempt(id string) *router.Attempt {
	return &router.Attempt{ID: id, Upstream: u.declaration(), Method: "POST", Path: "/v1/chat/completions", Body: []byte(`{}`), Engine: true}
}

// readAttemptID reads one request and returns its attempt ID, empty on error.
func readAttemptID(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, req.Body)
	return req.Header.Get("Foxtailwall-Request")
}

func writeResponse(c net.Conn, id, body string, fields ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		id, len(body), strings.Join(fields, ""), body)
}

func okBody(id string) string { return fmt.Sprintf(`{"requestId":%q,"usage":{"prompt_tokens":1}}`, id) }

// writeStreamHeader starts a chunked stream; writeChunk and lastChunk continue
// it.
func writeStreamHeader(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

func writeChunk(c net.Conn, data string) {
	ev := "data: " + data + "\n\n"
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
}

func tokenChunk(id, text string) string {
	return fmt.Sprintf(`{"requestId":%q,"choices":[{"delta":{"content":%q}}]}`, id, text)
}

const lastChunk = "0\r\n\r\n"

// connectTimeout is the time to open a connection in specs. With the default of 1 s, an
// attempt fails as refused if the machine is so busy that the process does not run for as
// long: with a load of 80, connections took up to 1.8 s.
const connectTimeout = time.Minute

func newDialer(o dialer.Options) *dialer.Dialer {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = connectTimeout
	}
	d := dialer.New(o)
	DeferCleanup(d.Close)
	return d
}

func expectAttemptError(err error) *router.AttemptError {
	var ae *router.AttemptError
	ExpectWithOffset(1, errors.As(err, &ae)).To(BeTrue(), "%v", err)
	return ae
}

// readStream reads a stream to its end and returns the number of tokens.
func readStream(s router.Stream) (n int64, err error) {
	for {
		k, err := s.Next()
		if err != nil {
			return n, err
		}
		n += k.Tokens
	}
}

var _ = Describe("Do", func() {
	It("reuses a connection whose response was read to its end", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			for id := readAttemptID(r); id != ""; id = readAttemptID(r) {
				writeResponse(c, id, okBody(id))
			}
		})
		d := newDialer(dialer.Options{})
		for _, id := range []string{"a", "b", "c"} {
			a, err := d.Do(ctx, u.newAttempt(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(a.Body)).To(Equal(okBody(id)))
		}
		Expect(u.accepted.Load()).To(Equal(int64(1)))
	})

	// Guards against a caller getting the response to another request or a
	// truncated one, and against the connection being reused.
	DescribeTable("closes the connection and returns an error for a response that",
		func(ctx context.Context, want router.FailKind, script func(c net.Conn, id string)) {
			u := startUpstream(func(c net.Conn, r *bufio.Reader) {
				if id := readAttemptID(r); id != "" {
					script(c, id)
				}
			})
			d := newDialer(dialer.Options{MaxBody: 100})
			_, err := d.Do(ctx, u.newAttempt("mine"))
			ae := expectAttemptError(err)
			Expect(ae.Kind).To(Equal(want))
			Expect(ae.Outcome).To(Equal(refuser.Unknown))
			Expect(d.IdleConns(u.declaration().Address)).To(BeZero())
		},
		Entry("carries another ID", router.FailMismatch, func(c net.Conn, _ string) { writeResponse(c, "other", okBody("other")) }),
		Entry("carries no ID", router.FailMismatch, func(c net.Conn, id string) { writeResponse(c, "", okBody(id)) }),
		Entry("has the body of another response", router.FailMismatch, func(c net.Conn, id string) { writeResponse(c, id, okBody("other")) }),
		Entry("has a body without an ID", router.FailMismatch, func(c net.Conn, id string) { writeResponse(c, id, `{}`) }),
		Entry("has a body that is not JSON", router.FailMalformed, func(c net.Conn, id string) { writeResponse(c, id, `{"requestId":`) }),
		Entry("is shorter than its Content-Length", router.FailCut, func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: 90\r\n\r\n{", id)
		}),
		Entry("has neither a length nor chunked encoding", router.FailMalformed, func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\n\r\n%s", id, okBody(id))
		}),
		Entry("exceeds the body limit", router.FailMalformed, func(c net.Conn, id string) { writeResponse(c, id, strings.Repeat(" ", 101)) }),
		Entry("exceeds the header limit", router.FailReset, func(c net.Conn, id string) {
			writeResponse(c, id, okBody(id), strings.Repeat("X-Flood: xxxxxxxxxxxxxxxx\r\n", 4000))
		}),
		Entry("is preceded by a connection reset", router.FailReset, func(c net.Conn, _ string) { c.(*net.TCPConn).SetLinger(0) }),
	)

	// Guards against late bytes on a connection being taken for the response to
	// the next request on it.
	DescribeTable("does not reuse a connection on which a second response arrived",
		func(ctx context.Context, script func(c net.Conn, id string, doReturned <-chan bool)) {
			doReturned, sent := make(chan bool), make(chan bool, 2)
			u := startUpstream(func(c net.Conn, r *bufio.Reader) {
				for id := readAttemptID(r); id != ""; id = readAttemptID(r) {
					script(c, id, doReturned)
					sent <- true
				}
			})
			d := newDialer(dialer.Options{})
			_, err := d.Do(ctx, u.newAttempt("a"))
			Expect(err).NotTo(HaveOccurred())
			close(doReturned)
			<-sent
			a, err := d.Do(ctx, u.newAttempt("b"))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(a.Body)).To(Equal(okBody("b")))
			Expect(u.accepted.Load()).To(Equal(int64(2)))
		},
		Entry("with the first response", func(c net.Conn, id string, _ <-chan bool) {
			response := "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: %d\r\n\r\n%s"
			fmt.Fprintf(c, response+response, id, len(okBody(id)), okBody(id), "late", len(okBody("late")), okBody("late"))
		}),
		Entry("while the connection was idle", func(c net.Conn, id string, doReturned <-chan bool) {
			writeResponse(c, id, okBody(id))
			<-doReturned
			writeResponse(c, "late", okBody("late"))
		}),
	)

	// Guards against an error that says NotRun although bytes of the request
	// were sent, and against one that says Unknown although none were.
	It("returns the outcome NotRun only if no byte was sent", func(ctx context.Context) {
		d := newDialer(dialer.Options{})
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			r.ReadByte() // Reads one byte of the request, then resets the connection.
			c.(*net.TCPConn).SetLinger(0)
		})
		a := u.newAttempt("a")
		a.Body = make([]byte, 8<<20) // Exceeds the socket buffers, so the write fails partway.
		_, err := d.Do(ctx, a)
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailReset))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))

		u.listener.Close()
		_, err = d.Do(ctx, u.newAttempt("b"))
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailRefused))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.NotRun))
	})

	// Guards against an upstream that does not accept connections and keeps requests
	// waiting until their deadlines.
	It("gives up a connection that is not opened in time", func(ctx context.Context) {
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock, ConnectTimeout: time.Second, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			clock.Advance(time.Second)
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		_, err := d.Do(ctx, &router.Attempt{ID: "a", Upstream: &declarer.Upstream{Name: "u"}, Method: "GET", Path: "/"})
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailRefused))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.NotRun))
	}, NodeTimeout(20*time.Second))

	It("returns the outcome NotRun if the upstream sends Foxtailwall-Not-Run", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			id := readAttemptID(r)
			fmt.Fprintf(c, "HTTP/1.1 503 Leaving\r\nFoxtailwall-Request: %s\r\nFoxtailwall-Not-Run: true\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", id)
		})
		_, err := newDialer(dialer.Options{}).Do(ctx, u.newAttempt("a"))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.NotRun))
		Expect(expectAttemptError(err).RetryAfter).To(Equal(2 * time.Second))
	})

	// Guards against a call that is run again, or reported as not run, on the word of
	// a copy of an earlier refusal.
	It("does not believe a refusal without an ID on a reused connection", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			for readAttemptID(r) != "" {
				fmt.Fprint(c, "HTTP/1.1 503 Full\r\nFoxtailwall-Not-Run: true\r\nContent-Length: 0\r\n\r\n")
			}
		})
		d := newDialer(dialer.Options{})
		for _, outcome := range []refuser.Outcome{refuser.NotRun, refuser.Unknown} {
			a := u.newAttempt("a")
			a.Engine = false
			_, err := d.Do(ctx, a)
			Expect(expectAttemptError(err).Outcome).To(Equal(outcome))
		}
	})

	// Guards against a request reaching a version that was withdrawn while the
	// connection was being opened.
	It("sends nothing if the check before sending fails", func(ctx context.Context) {
		got := make(chan string, 1)
		u := startUpstream(func(_ net.Conn, r *bufio.Reader) { got <- readAttemptID(r) })
		d := newDialer(dialer.Options{})
		a := u.newAttempt("a")
		a.Check = func() error { return refuser.New(refuser.VersionWithdrawn, refuser.NotRun, "withdrawn") }
		_, err := d.Do(ctx, a)
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailCheck))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.NotRun))
		d.Close()
		Expect(<-got).To(BeEmpty())
	})

	// Guards against a caller's header value that injects a header field or a
	// second request.
	It("omits header values with line breaks", func(ctx context.Context) {
		got := make(chan http.Header, 1)
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			got <- req.Header
			writeResponse(c, "a", okBody("a"))
		})
		a := u.newAttempt("a")
		a.Header = http.Header{"X-Good": {"1"}, "X-Bad": {"1\r\nX-Added: 1"}}
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		a.Deadline, a.Priority = clock.Now().Add(3*time.Second), 7
		_, err := newDialer(dialer.Options{Clock: clock}).Do(ctx, a)
		Expect(err).NotTo(HaveOccurred())
		h := <-got
		Expect(h).To(And(HaveKey("X-Good"), HaveKeyWithValue("Foxtailwall-Deadline", []string{"3000"}),
			HaveKeyWithValue("Foxtailwall-Priority", []string{"7"})))
		Expect(h).NotTo(HaveKey("X-Added"))
	})

	// Guards against an engine that continues to generate after the caller has
	// disconnected.
	It("closes the connection when the context is cancelled", func(ctx context.Context) {
		requestRead, ended := make(chan bool), make(chan error, 1)
		u := startUpstream(func(_ net.Conn, r *bufio.Reader) {
			readAttemptID(r)
			close(requestRead)
			_, err := r.ReadByte()
			ended <- err
		})
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			<-requestRead
			cancel()
		}()
		_, err := newDialer(dialer.Options{}).Do(ctx, u.newAttempt("a"))
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailCancelled))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))
		Expect(<-ended).To(HaveOccurred())
	})

	// Guards against an upstream whose host has stopped being taken for one that
	// resets connections, so that it is used on.
	It("counts a connection that the kernel gave up as silent", func(ctx context.Context) {
		u := startUpstream(func(_ net.Conn, r *bufio.Reader) { readAttemptID(r) })
		d := newDialer(dialer.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			var nd net.Dialer
			c, err := nd.DialContext(ctx, network, address)
			return &timedOutConn{Conn: c}, err
		}})
		_, err := d.Do(ctx, u.newAttempt("a"))
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailStalled))
		Expect(expectAttemptError(err).Outcome).To(Equal(refuser.Unknown))
	})

	// Guards against a dead connection that blocks requests forever or is
	// reported as a dead upstream, and against a late response on it being
	// returned for a later request.
	It("closes a reused connection that gives no response and opens a new one", func(ctx context.Context) {
		received, release := make(chan string, 8), make(chan bool)
		var connCount atomic.Int64
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			firstConn := connCount.Add(1) == 1
			for i, id := 0, readAttemptID(r); id != ""; i, id = i+1, readAttemptID(r) {
				received <- id
				if firstConn && i == 1 {
					<-release
				}
				writeResponse(c, id, okBody(id))
			}
		})
		clock, scope := timekeeper.NewFake(time.Unix(1000, 0)), counter.NewTest("")
		d := newDialer(dialer.Options{Clock: clock, Scope: scope, FirstByteTimeout: time.Second})
		_, err := d.Do(ctx, u.newAttempt("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-received).To(Equal("a"))
		go func() {
			<-received
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}()
		_, err = d.Do(ctx, u.newAttempt("b"))
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailSilent))
		close(release) // Lets the late response arrive.
		ans, err := d.Do(ctx, u.newAttempt("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(ans.Body)).To(Equal(okBody("c")))
		Expect(u.accepted.Load()).To(Equal(int64(2)))
		Expect(scope.Snapshot()).To(ContainElement(And(HaveField("Name", "dialer.silent"), HaveField("Value", 1.0))))
	}, NodeTimeout(20*time.Second))

	// Guards against a call that spends all its time on a dead connection.
	It("spends at most half of a service call's time on a silent connection", func(ctx context.Context) {
		received := make(chan string, 8)
		var connCount atomic.Int64
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			firstConn := connCount.Add(1) == 1
			for i, id := 0, readAttemptID(r); id != ""; i, id = i+1, readAttemptID(r) {
				received <- id
				if !firstConn || i == 0 {
					writeResponse(c, id, "")
				}
			}
		})
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock})
		a := u.newAttempt("a")
		a.Engine, a.Deadline = false, clock.Now().Add(4*time.Second)
		_, err := d.Do(ctx, a)
		Expect(err).NotTo(HaveOccurred())
		<-received
		go func() {
			<-received
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(2 * time.Second)
			}
		}()
		_, err = d.Do(ctx, a)
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailSilent))
		a.NewConn = true
		_, err = d.Do(ctx, a)
		Expect(err).NotTo(HaveOccurred())
	}, NodeTimeout(20*time.Second))

	It("fails an attempt at its deadline", func(ctx context.Context) {
		received := make(chan string, 1)
		u := startUpstream(func(_ net.Conn, r *bufio.Reader) {
			received <- readAttemptID(r)
			readAttemptID(r)
		})
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock})
		go func() {
			<-received
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}()
		a := u.newAttempt("a")
		a.Deadline = clock.Now().Add(time.Second)
		_, err := d.Do(ctx, a)
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailDeadline))
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("Open", func() {
	It("reads a stream to its end marker and reuses the connection", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			for id := readAttemptID(r); id != ""; id = readAttemptID(r) {
				writeStreamHeader(c, id)
				writeChunk(c, tokenChunk(id, "x"))
				writeChunk(c, tokenChunk(id, "y"))
				writeChunk(c, "[DONE]")
				io.WriteString(c, lastChunk)
			}
		})
		d := newDialer(dialer.Options{})
		for range 2 {
			s, err := d.Open(ctx, u.newAttempt("a"))
			Expect(err).NotTo(HaveOccurred())
			n, err := readStream(s)
			Expect(err).To(Equal(io.EOF))
			Expect(n).To(Equal(int64(2)))
			s.Close()
		}
		Expect(u.accepted.Load()).To(Equal(int64(1)))
	})

	// Guards against a truncated, mixed up or malformed stream being taken for
	// a complete one.
	DescribeTable("returns an error for a stream that",
		func(ctx context.Context, want router.FailKind, script func(c net.Conn, id string)) {
			u := startUpstream(func(c net.Conn, r *bufio.Reader) {
				if id := readAttemptID(r); id != "" {
					writeStreamHeader(c, id)
					writeChunk(c, tokenChunk(id, "x"))
					script(c, id)
				}
			})
			d := newDialer(dialer.Options{MaxEvent: 200})
			s, err := d.Open(ctx, u.newAttempt("mine"))
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			n, err := readStream(s)
			Expect(n).To(Equal(int64(1)))
			Expect(expectAttemptError(err).Kind).To(Equal(want))
			Expect(d.IdleConns(u.declaration().Address)).To(BeZero())
		},
		Entry("ends without the end marker", router.FailCut, func(c net.Conn, _ string) { io.WriteString(c, lastChunk) }),
		Entry("loses its connection", router.FailCut, func(net.Conn, string) {}),
		Entry("loses its connection within an event", router.FailCut, func(c net.Conn, _ string) { io.WriteString(c, "7\r\ndata: {") }),
		Entry("has a chunk of another stream", router.FailMismatch, func(c net.Conn, _ string) { writeChunk(c, tokenChunk("other", "y")) }),
		Entry("has a chunk without an ID", router.FailMismatch, func(c net.Conn, _ string) { writeChunk(c, `{}`) }),
		Entry("has a chunk that is not JSON", router.FailMalformed, func(c net.Conn, _ string) { writeChunk(c, `{`) }),
		Entry("has a chunk above the size limit", router.FailMalformed, func(c net.Conn, _ string) { writeChunk(c, strings.Repeat(" ", 300)) }),
		Entry("reports an engine error", router.FailCut, func(c net.Conn, id string) {
			writeChunk(c, fmt.Sprintf(`{"requestId":%q,"error":{"message":"out of memory"}}`, id))
		}),
	)

	// Guards against a stalled stream that blocks its caller forever.
	It("fails a stream that stalls between tokens", func(ctx context.Context) {
		u := startUpstream(func(c net.Conn, r *bufio.Reader) {
			id := readAttemptID(r)
			writeStreamHeader(c, id)
			writeChunk(c, tokenChunk(id, "x"))
			readAttemptID(r)
		})
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock, StallTimeout: time.Second})
		s, err := d.Open(ctx, u.newAttempt("a"))
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		clock.Advance(time.Second)
		_, err = s.Next()
		Expect(expectAttemptError(err).Kind).To(Equal(router.FailStalled))
	}, NodeTimeout(20*time.Second))
})
