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
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/counter"
	"foxtailwall/declarer"
	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
	"foxtailwall/timekeeper"
)

func TestDialer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dialer")
}

// upstream is a scripted peer: every connection is handed to the script.
type upstream struct {
	l     net.Listener
	conns atomic.Int64
}

func listen(script func(c net.Conn, r *bufio.Reader)) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	u := &upstream{l: l}
	DeferCleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			u.conns.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return u
}

func (u *upstream) decl() *declarer.Upstream {
	return &declarer.Upstream{Name: "u", Address: netip.MustParseAddrPort(u.l.Addr().String())}
}

func (u *upstream) attempt(id string) *router.Attempt {
	return &router.Attempt{ID: id, Upstream: u.decl(), Method: "POST", Path: "/v1/chat/completions", Body: []byte(`{}`), Engine: true}
}

// next reads one request and returns its attempt ID, empty at the end.
func next(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	io.Copy(io.Discard, req.Body)
	return req.Header.Get("Foxtailwall-Request")
}

func answer(c net.Conn, id, body string, fields ...string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: %d\r\n%s\r\n%s",
		id, len(body), strings.Join(fields, ""), body)
}

func whole(id string) string { return fmt.Sprintf(`{"requestId":%q,"usage":{"prompt_tokens":1}}`, id) }

// streamHead begins a chunked stream; chunk and lastChunk continue it.
func streamHead(c net.Conn, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
}

func chunk(c net.Conn, data string) {
	ev := "data: " + data + "\n\n"
	fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
}

func token(id, text string) string {
	return fmt.Sprintf(`{"requestId":%q,"choices":[{"delta":{"content":%q}}]}`, id, text)
}

const lastChunk = "0\r\n\r\n"

func newDialer(o dialer.Options) *dialer.Dialer {
	d := dialer.New(o)
	DeferCleanup(d.Close)
	return d
}

func failure(err error) *router.AttemptError {
	var ae *router.AttemptError
	ExpectWithOffset(1, errors.As(err, &ae)).To(BeTrue(), "%v", err)
	return ae
}

// drain reads a stream to its end.
func drain(s router.Stream) (n int64, err error) {
	for {
		k, err := s.Next()
		if err != nil {
			return n, err
		}
		n += k.Tokens
	}
}

var _ = Describe("Do", func() {
	It("reuses a connection whose answer was read to the end", func(ctx context.Context) {
		u := listen(func(c net.Conn, r *bufio.Reader) {
			for id := next(r); id != ""; id = next(r) {
				answer(c, id, whole(id))
			}
		})
		d := newDialer(dialer.Options{})
		for _, id := range []string{"a", "b", "c"} {
			a, err := d.Do(ctx, u.attempt(id))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(a.Body)).To(Equal(whole(id)))
		}
		Expect(u.conns.Load()).To(Equal(int64(1)))
	})

	// Each case guards against handing a caller an answer that is not its
	// own or not whole, and against using the connection again.
	DescribeTable("closes the connection and fails when an answer",
		func(ctx context.Context, want router.FailKind, script func(c net.Conn, id string)) {
			u := listen(func(c net.Conn, r *bufio.Reader) {
				if id := next(r); id != "" {
					script(c, id)
				}
			})
			d := newDialer(dialer.Options{MaxBody: 100})
			_, err := d.Do(ctx, u.attempt("mine"))
			ae := failure(err)
			Expect(ae.Kind).To(Equal(want))
			Expect(ae.Outcome).To(Equal(refuser.Unknown))
			Expect(d.Idle(u.decl().Address)).To(BeZero())
		},
		Entry("carries another ID", router.FailMismatch, func(c net.Conn, _ string) { answer(c, "other", whole("other")) }),
		Entry("carries no ID", router.FailMismatch, func(c net.Conn, id string) { answer(c, "", whole(id)) }),
		Entry("has the body of another", router.FailMismatch, func(c net.Conn, id string) { answer(c, id, whole("other")) }),
		Entry("has a body without ID", router.FailMismatch, func(c net.Conn, id string) { answer(c, id, `{}`) }),
		Entry("has a body that is no JSON", router.FailMalformed, func(c net.Conn, id string) { answer(c, id, `{"requestId":`) }),
		Entry("is shorter than its length", router.FailCut, func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: 90\r\n\r\n{", id)
		}),
		Entry("has no length", router.FailMalformed, func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\n\r\n%s", id, whole(id))
		}),
		Entry("exceeds the bound", router.FailMalformed, func(c net.Conn, id string) { answer(c, id, strings.Repeat(" ", 101)) }),
		Entry("has a header beyond the bound", router.FailReset, func(c net.Conn, id string) {
			answer(c, id, whole(id), strings.Repeat("X-Flood: xxxxxxxxxxxxxxxx\r\n", 4000))
		}),
		Entry("never begins, for a reset", router.FailReset, func(c net.Conn, _ string) { c.(*net.TCPConn).SetLinger(0) }),
	)

	// Guards against the answer of one request reaching the next one on the
	// same connection: late bytes that nobody waits for any more.
	DescribeTable("does not reuse a connection with bytes that nobody asked for",
		func(ctx context.Context, script func(c net.Conn, id string, returned <-chan bool)) {
			returned, sent := make(chan bool), make(chan bool, 2)
			u := listen(func(c net.Conn, r *bufio.Reader) {
				for id := next(r); id != ""; id = next(r) {
					script(c, id, returned)
					sent <- true
				}
			})
			d := newDialer(dialer.Options{})
			_, err := d.Do(ctx, u.attempt("a"))
			Expect(err).NotTo(HaveOccurred())
			close(returned)
			<-sent
			a, err := d.Do(ctx, u.attempt("b"))
			Expect(err).NotTo(HaveOccurred())
			Expect(string(a.Body)).To(Equal(whole("b")))
			Expect(u.conns.Load()).To(Equal(int64(2)))
		},
		Entry("in the same segment", func(c net.Conn, id string, _ <-chan bool) {
			one := "HTTP/1.1 200 OK\r\nFoxtailwall-Request: %s\r\nContent-Length: %d\r\n\r\n%s"
			fmt.Fprintf(c, one+one, id, len(whole(id)), whole(id), "late", len(whole("late")), whole("late"))
		}),
		Entry("later", func(c net.Conn, id string, returned <-chan bool) {
			answer(c, id, whole(id))
			<-returned
			answer(c, "late", whole("late"))
		}),
	)

	// Guards against a refusal that says the request did not run although
	// bytes of it were sent, and against one that hides that none were.
	It("counts an attempt as not run only if no byte was sent", func(ctx context.Context) {
		d := newDialer(dialer.Options{})
		u := listen(func(c net.Conn, r *bufio.Reader) {
			r.ReadByte() // One byte of the request, then a reset.
			c.(*net.TCPConn).SetLinger(0)
		})
		a := u.attempt("a")
		a.Body = make([]byte, 8<<20) // More than the buffers take, so that the write fails part-way.
		_, err := d.Do(ctx, a)
		Expect(failure(err).Kind).To(Equal(router.FailReset))
		Expect(failure(err).Outcome).To(Equal(refuser.Unknown))

		u.l.Close()
		_, err = d.Do(ctx, u.attempt("b"))
		Expect(failure(err).Kind).To(Equal(router.FailRefused))
		Expect(failure(err).Outcome).To(Equal(refuser.NotRun))
	})

	It("takes the upstream's proof that it did not run the request", func(ctx context.Context) {
		u := listen(func(c net.Conn, r *bufio.Reader) {
			id := next(r)
			fmt.Fprintf(c, "HTTP/1.1 503 Leaving\r\nFoxtailwall-Request: %s\r\nFoxtailwall-Not-Run: true\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", id)
		})
		_, err := newDialer(dialer.Options{}).Do(ctx, u.attempt("a"))
		Expect(failure(err).Outcome).To(Equal(refuser.NotRun))
		Expect(failure(err).RetryAfter).To(Equal(2 * time.Second))
	})

	// Guards against a version that was withdrawn while the connection was
	// opened getting the request all the same.
	It("sends nothing if the check at dispatch fails", func(ctx context.Context) {
		got := make(chan string, 1)
		u := listen(func(_ net.Conn, r *bufio.Reader) { got <- next(r) })
		d := newDialer(dialer.Options{})
		a := u.attempt("a")
		a.Check = func() error { return refuser.New(refuser.VersionWithdrawn, refuser.NotRun, "withdrawn") }
		_, err := d.Do(ctx, a)
		Expect(failure(err).Kind).To(Equal(router.FailChecked))
		Expect(failure(err).Outcome).To(Equal(refuser.NotRun))
		d.Close()
		Expect(<-got).To(BeEmpty())
	})

	// Guards against a caller's header value that adds a field or a second
	// request to the connection.
	It("leaves out header values that could end their line", func(ctx context.Context) {
		got := make(chan http.Header, 1)
		u := listen(func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			got <- req.Header
			answer(c, "a", whole("a"))
		})
		a := u.attempt("a")
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

	// Guards against an engine that goes on generating for a caller that has
	// left.
	It("closes the connection when the caller leaves", func(ctx context.Context) {
		began, ended := make(chan bool), make(chan error, 1)
		u := listen(func(_ net.Conn, r *bufio.Reader) {
			next(r)
			close(began)
			_, err := r.ReadByte()
			ended <- err
		})
		ctx, cancel := context.WithCancel(ctx)
		go func() {
			<-began
			cancel()
		}()
		_, err := newDialer(dialer.Options{}).Do(ctx, u.attempt("a"))
		Expect(failure(err).Kind).To(Equal(router.FailCancelled))
		Expect(failure(err).Outcome).To(Equal(refuser.Unknown))
		Expect(<-ended).To(HaveOccurred())
	})

	// Guards against a dead path that holds requests for ever, against
	// taking it for a dead upstream, and against the late answer of the
	// first request reaching a second one.
	It("replaces a connection that went silent", func(ctx context.Context) {
		asked, release := make(chan string, 8), make(chan bool)
		var n atomic.Int64
		u := listen(func(c net.Conn, r *bufio.Reader) {
			first := n.Add(1) == 1
			for i, id := 0, next(r); id != ""; i, id = i+1, next(r) {
				asked <- id
				if first && i == 1 {
					<-release
				}
				answer(c, id, whole(id))
			}
		})
		clock, scope := timekeeper.NewFake(time.Unix(1000, 0)), counter.NewTest("")
		d := newDialer(dialer.Options{Clock: clock, Scope: scope, FirstByte: time.Second})
		_, err := d.Do(ctx, u.attempt("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-asked).To(Equal("a"))
		go func() {
			<-asked
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}()
		_, err = d.Do(ctx, u.attempt("b"))
		Expect(failure(err).Kind).To(Equal(router.FailSilent))
		close(release) // The late answer comes now.
		ans, err := d.Do(ctx, u.attempt("c"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(ans.Body)).To(Equal(whole("c")))
		Expect(u.conns.Load()).To(Equal(int64(2)))
		Expect(scope.Snapshot()).To(ContainElement(And(HaveField("Name", "dialer.silent"), HaveField("Value", 1.0))))
	}, NodeTimeout(20*time.Second))

	// Guards against a call whose whole time is spent on a dead connection.
	It("leaves time for a new connection when a service's went silent", func(ctx context.Context) {
		asked := make(chan string, 8)
		var n atomic.Int64
		u := listen(func(c net.Conn, r *bufio.Reader) {
			first := n.Add(1) == 1
			for i, id := 0, next(r); id != ""; i, id = i+1, next(r) {
				asked <- id
				if !first || i == 0 {
					answer(c, id, "")
				}
			}
		})
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock})
		a := u.attempt("a")
		a.Engine, a.Deadline = false, clock.Now().Add(4*time.Second)
		_, err := d.Do(ctx, a)
		Expect(err).NotTo(HaveOccurred())
		<-asked
		go func() {
			<-asked
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(2 * time.Second)
			}
		}()
		_, err = d.Do(ctx, a)
		Expect(failure(err).Kind).To(Equal(router.FailSilent))
		a.Fresh = true
		_, err = d.Do(ctx, a)
		Expect(err).NotTo(HaveOccurred())
	}, NodeTimeout(20*time.Second))

	It("ends an attempt at its deadline", func(ctx context.Context) {
		asked := make(chan string, 1)
		u := listen(func(_ net.Conn, r *bufio.Reader) {
			asked <- next(r)
			next(r)
		})
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock})
		go func() {
			<-asked
			if clock.WaitTimers(ctx, 1) == nil {
				clock.Advance(time.Second)
			}
		}()
		a := u.attempt("a")
		a.Deadline = clock.Now().Add(time.Second)
		_, err := d.Do(ctx, a)
		Expect(failure(err).Kind).To(Equal(router.FailDeadline))
	}, NodeTimeout(20*time.Second))
})

var _ = Describe("Open", func() {
	It("reads a stream to its end marker and reuses the connection", func(ctx context.Context) {
		u := listen(func(c net.Conn, r *bufio.Reader) {
			for id := next(r); id != ""; id = next(r) {
				streamHead(c, id)
				chunk(c, token(id, "x"))
				chunk(c, token(id, "y"))
				chunk(c, "[DONE]")
				io.WriteString(c, lastChunk)
			}
		})
		d := newDialer(dialer.Options{})
		for range 2 {
			s, err := d.Open(ctx, u.attempt("a"))
			Expect(err).NotTo(HaveOccurred())
			n, err := drain(s)
			Expect(err).To(Equal(io.EOF))
			Expect(n).To(Equal(int64(2)))
			s.Close()
		}
		Expect(u.conns.Load()).To(Equal(int64(1)))
	})

	// Each case guards against a stream that is cut, mixed or broken passing
	// for a whole one.
	DescribeTable("fails when a stream",
		func(ctx context.Context, want router.FailKind, script func(c net.Conn, id string)) {
			u := listen(func(c net.Conn, r *bufio.Reader) {
				if id := next(r); id != "" {
					streamHead(c, id)
					chunk(c, token(id, "x"))
					script(c, id)
				}
			})
			d := newDialer(dialer.Options{MaxEvent: 200})
			s, err := d.Open(ctx, u.attempt("mine"))
			Expect(err).NotTo(HaveOccurred())
			defer s.Close()
			n, err := drain(s)
			Expect(n).To(Equal(int64(1)))
			Expect(failure(err).Kind).To(Equal(want))
			Expect(d.Idle(u.decl().Address)).To(BeZero())
		},
		Entry("ends without its marker", router.FailCut, func(c net.Conn, _ string) { io.WriteString(c, lastChunk) }),
		Entry("breaks off", router.FailCut, func(net.Conn, string) {}),
		Entry("breaks off within an event", router.FailCut, func(c net.Conn, _ string) { io.WriteString(c, "7\r\ndata: {") }),
		Entry("has the chunk of another", router.FailMismatch, func(c net.Conn, _ string) { chunk(c, token("other", "y")) }),
		Entry("has a chunk without ID", router.FailMismatch, func(c net.Conn, _ string) { chunk(c, `{}`) }),
		Entry("has a chunk that is no JSON", router.FailMalformed, func(c net.Conn, _ string) { chunk(c, `{`) }),
		Entry("has a chunk beyond the bound", router.FailMalformed, func(c net.Conn, _ string) { chunk(c, strings.Repeat(" ", 300)) }),
		Entry("reports an error", router.FailCut, func(c net.Conn, id string) {
			chunk(c, fmt.Sprintf(`{"requestId":%q,"error":{"message":"out of memory"}}`, id))
		}),
	)

	// Guards against a stream that stands still holding its caller for ever.
	It("ends a stream that stands still between tokens", func(ctx context.Context) {
		u := listen(func(c net.Conn, r *bufio.Reader) {
			id := next(r)
			streamHead(c, id)
			chunk(c, token(id, "x"))
			next(r)
		})
		clock := timekeeper.NewFake(time.Unix(1000, 0))
		d := newDialer(dialer.Options{Clock: clock, Between: time.Second})
		s, err := d.Open(ctx, u.attempt("a"))
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		_, err = s.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(clock.WaitTimers(ctx, 1)).To(Succeed())
		clock.Advance(time.Second)
		_, err = s.Next()
		Expect(failure(err).Kind).To(Equal(router.FailStalled))
	}, NodeTimeout(20*time.Second))
})
