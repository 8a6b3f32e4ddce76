package dialer

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/declarer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

const (
	// aloneBody is the size in bytes from which a body is written beside the
	// reading of the answer: an upstream may answer before it has read a body
	// that does not fit the connection's windows.
	aloneBody = 8 << 10
	// maxStrays bounds the answers to earlier requests that are passed over.
	maxStrays = 2
	// maxStray bounds the body of such an answer, in bytes.
	maxStray = 1 << 20
	// keepMargin is taken off the time for which a peer keeps an unused
	// connection, so that it is not used while the peer closes it.
	keepMargin = 700 * time.Millisecond
)

type (
	// Forward is a request that goes to an upstream as its caller made it.
	Forward struct {
		Upstream netip.AddrPort
		Method   string
		// Target is the request target, Host the value of the Host header.
		Target, Host string
		// Fields are the other header fields in order, but for the length.
		Fields []Field
		Body   []byte
		// ID and IDField are what the answer has to repeat.
		ID, IDField string
		// Fresh demands a new connection.
		Fresh bool
		// MaxIdle bounds the unused connections that are kept for the upstream
		// when this request ends, beside Options.MaxIdle; zero is no bound.
		MaxIdle  int
		Deadline time.Time
		// FirstByte bounds the time to the header of the answer; zero means
		// the deadline only.
		FirstByte time.Duration
		// More is asked when a bound on progress is missed. It returns the
		// time to add, zero to give up; nil always gives up. It must not
		// block.
		More func() time.Duration
	}

	// Field is a header field.
	Field struct{ Name, Value string }

	// Forwarded is an answer whose header was read. Finish or Abort ends it.
	Forwarded struct {
		Status int
		Header http.Header
		// Length is the length of the body, -1 if it is not known.
		Length int64
		// Framed says that the end of the body can be told from the end of
		// the connection.
		Framed bool

		hold
		f    *Forward
		resp *http.Response
		// written is closed when the body was sent; nil if it was sent before
		// the answer was read.
		written chan struct{}
		stray   bool
	}
)

// Forward sends the request and reads the header of its answer. Errors are
// *router.AttemptError.
func (d *Dialer) Forward(ctx context.Context, f *Forward) (*Forwarded, error) {
	if !cleanTarget(f.Target) || !cleanField(f.Host) {
		return nil, &router.AttemptError{
			Kind: router.FailMalformed, Outcome: refuser.NotRun, Err: errors.New("the path or host has bytes that would end it"),
		}
	}
	h, err := d.open(ctx, &declarer.Upstream{Address: f.Upstream}, f.Fresh, f.Deadline, f.More)
	if err != nil {
		return nil, err
	}
	a := &Forwarded{hold: h, f: f}
	if f.FirstByte > 0 {
		a.w.within(f.FirstByte)
	}
	if err := a.send(); err != nil {
		return nil, a.fail(router.FailReset, err)
	}
	if err := a.header(); err != nil {
		return nil, err
	}
	return a, nil
}

// Within bounds the time to the next bytes of the body.
func (a *Forwarded) Within(d time.Duration) { a.w.within(d) }

// Read reads the body. It returns io.EOF only at its end; any other error is
// an *router.AttemptError, after which the answer is over.
func (a *Forwarded) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, a.fail(router.FailCut, err)
	}
	return n, err
}

// Finish ends an answer whose body was read to its end.
func (a *Forwarded) Finish() {
	if a.settled {
		return
	}
	reusable := a.Framed && !a.stray && !a.resp.Close && a.c.br.Buffered() == 0 && a.sent()
	if keep, ok := keepAlive(a.Header); ok && reusable {
		a.c.keep = max(keep-keepMargin, time.Millisecond)
	}
	a.end(reusable, a.f.MaxIdle)
}

// Abort ends an answer before its end, which cancels the request at the
// upstream.
func (a *Forwarded) Abort() {
	if a.settled {
		return
	}
	a.release()
	a.c.Close()
}

func (a *Forwarded) send() error {
	head := a.appendHead(make([]byte, 0, 1024))
	if len(a.f.Body) < aloneBody {
		return a.c.send(head, a.f.Body)
	}
	a.written = make(chan struct{})
	a.d.wg.Go(func() {
		// A failure shows in the reading of the answer.
		if err := a.c.send(head, a.f.Body); err == nil {
			close(a.written)
		}
	})
	return nil
}

// sent reports whether the whole request was sent.
func (a *Forwarded) sent() bool {
	if a.written == nil {
		return true
	}
	select {
	case <-a.written:
		return true
	default:
		return false
	}
}

func (a *Forwarded) appendHead(b []byte) []byte {
	b = appendStart(b, a.f.Method, a.f.Target, a.f.Host, len(a.f.Body))
	for _, f := range a.f.Fields {
		b = appendField(b, f.Name, f.Value)
	}
	return append(b, "\r\n"...)
}

// header reads the header of the answer to this request. Answers to earlier
// requests that arrive late on the connection are passed over.
func (a *Forwarded) header() error {
	for range maxStrays + 1 {
		resp, err := a.c.header(a.f.Method) //nolint:bodyclose // The exchange ends with its connection.
		if err != nil {
			return a.fail(router.FailReset, err)
		}
		id := resp.Header.Get(a.f.IDField)
		if id == a.f.ID || id == "" {
			a.resp = resp
			a.Status, a.Header, a.Length = resp.StatusCode, resp.Header, resp.ContentLength
			a.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return nil
		}
		a.stray = true
		a.d.o.Scope.Counter("dialer.strays").Inc(1)
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray)); err != nil {
			return a.fail(router.FailReset, err)
		}
	}
	return a.fail(router.FailMismatch, errors.New("the answer carries the ID of another request"))
}

// fail closes the connection and returns what became of the attempt.
func (a *Forwarded) fail(kind router.FailKind, err error) error {
	return a.failed(kind, a.resp != nil, false, a.f.Upstream.String(), err)
}

// keepAlive returns the time for which the peer keeps an unused connection.
func keepAlive(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
