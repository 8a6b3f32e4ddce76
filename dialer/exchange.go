package dialer

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/refuser"
	"foxtailwall/router"
)

const (
	requestHeader  = "Foxtailwall-Request"
	deadlineHeader = "Foxtailwall-Deadline"
	priorityHeader = "Foxtailwall-Priority"
	resumeHeader   = "Foxtailwall-Resume"
	notRunHeader   = "Foxtailwall-Not-Run"

	// maxRetryAfter bounds what an upstream may ask callers to wait.
	maxRetryAfter = time.Minute
)

// exchange is one request and its answer on one connection.
type exchange struct {
	hold
	a     *router.Attempt
	ctx   context.Context
	resp  *http.Response
	begun time.Time
	wait  time.Duration // Time to the header of the answer.
}

// start sends the attempt and reads the header of its answer. On error the
// connection is closed.
func (d *Dialer) start(ctx context.Context, a *router.Attempt, stream bool) (*exchange, error) {
	if !cleanTarget(a.Path) {
		return nil, &router.AttemptError{
			Kind: router.FailMalformed, Outcome: refuser.NotRun, Err: errors.New("the path has bytes that would end it"),
		}
	}
	h, err := d.open(ctx, a.Upstream, a.Fresh, a.Deadline, nil)
	if err != nil {
		return nil, err
	}
	x := &exchange{hold: h, a: a, ctx: ctx, begun: d.o.Clock.Now()}
	if a.Check != nil {
		if err := a.Check(); err != nil {
			// Nothing was sent.
			x.end(true, 0)
			return nil, &router.AttemptError{Kind: router.FailChecked, Outcome: refuser.NotRun, Err: err}
		}
	}
	x.w.within(x.patience(stream))
	if err := x.send(); err != nil {
		return nil, x.fail(router.FailReset, err)
	}
	if err := x.header(); err != nil {
		return nil, x.fail(router.FailReset, err)
	}
	x.wait = d.o.Clock.Since(x.begun)
	if err := x.verify(); err != nil {
		return nil, err
	}
	return x, nil
}

// patience returns how long the header of the answer may take.
func (x *exchange) patience(stream bool) time.Duration {
	d := x.d.o.FirstByte
	if !x.c.reused || x.a.Engine && !stream {
		return d
	}
	if !x.a.Deadline.IsZero() {
		d = min(d, x.a.Deadline.Sub(x.begun)/2)
	}
	return min(d, x.d.o.Silent)
}

// send writes the request. Header and body go out together where the
// connection allows it.
func (x *exchange) send() error {
	return x.c.send(x.appendHead(make([]byte, 0, 512)), x.a.Body)
}

func (x *exchange) appendHead(b []byte) []byte {
	a := x.a
	b = appendStart(b, a.Method, a.Path, a.Upstream.Address.String(), len(a.Body))
	if a.ID != "" {
		b = appendField(b, requestHeader, a.ID)
	}
	if !a.Deadline.IsZero() {
		left := max(a.Deadline.Sub(x.begun).Milliseconds(), 0)
		b = appendField(b, deadlineHeader, strconv.FormatInt(left, 10))
	}
	if a.Engine {
		b = appendField(b, priorityHeader, strconv.Itoa(a.Priority))
	}
	if a.Resume != "" {
		b = appendField(b, resumeHeader, a.Resume)
	}
	for k, vs := range a.Header {
		for _, v := range vs {
			b = appendField(b, k, v)
		}
	}
	return append(b, "\r\n"...)
}

// appendStart writes the request line, the host and the length of the body, for
// methods that usually have one also if it is empty.
func appendStart(b []byte, method, target, host string, body int) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	if body > 0 || method != http.MethodGet && method != http.MethodHead {
		b = appendField(b, "Content-Length", strconv.Itoa(body))
	}
	return b
}

// appendField leaves out fields whose bytes could end the line, so that a
// value from a caller cannot add fields or a request of its own.
func appendField(b []byte, name, value string) []byte {
	if !cleanField(name) || !cleanField(value) {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// cleanTarget reports whether s stays one word of the request line.
func cleanTarget(s string) bool {
	return strings.HasPrefix(s, "/") && cleanField(s) && !strings.ContainsAny(s, " \t")
}

func cleanField(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// header reads the header of the answer.
func (x *exchange) header() error {
	resp, err := x.c.header(x.a.Method) //nolint:bodyclose // The exchange ends with its connection.
	x.resp = resp
	return err
}

// verify checks that the answer belongs to the attempt and that its end can
// be told.
func (x *exchange) verify() error {
	got := x.resp.Header.Get(requestHeader)
	if got != x.a.ID && (got != "" || x.a.Engine) {
		return x.fail(router.FailMismatch, errors.Newf("the answer carries the ID %q, not %q", got, x.a.ID))
	}
	if x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 && x.a.Method != http.MethodHead {
		return x.fail(router.FailMalformed, errors.New("the answer has neither a length nor chunks, so its end cannot be told"))
	}
	return nil
}

// refusal returns the error for an answer whose status proves that the
// request did not run, or nil.
func (x *exchange) refusal() error {
	if x.resp.Header.Get(notRunHeader) != "true" {
		return nil
	}
	err := &router.AttemptError{
		Kind: router.FailStatus, Outcome: refuser.NotRun, Status: x.resp.StatusCode,
		RetryAfter: retryAfter(x.resp.Header), Err: errors.Newf("the upstream answered %s without running the request", x.resp.Status),
	}
	if _, rerr := x.read(); rerr != nil {
		return err // The header is the proof; read has closed the connection.
	}
	x.finish()
	return err
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s)*time.Second, maxRetryAfter)
}

// read returns the whole body.
func (x *exchange) read() ([]byte, error) {
	if x.a.Method == http.MethodHead {
		return nil, nil // Its length is that of the body a GET would get.
	}
	if x.resp.ContentLength > x.d.o.MaxBody {
		return nil, x.fail(router.FailMalformed, x.tooLarge())
	}
	var buf bytes.Buffer
	if n := x.resp.ContentLength; n > 0 {
		buf.Grow(int(n) + bytes.MinRead)
	}
	r := &progressReader{r: x.resp.Body, x: x}
	if _, err := buf.ReadFrom(io.LimitReader(r, x.d.o.MaxBody+1)); err != nil {
		return nil, x.fail(router.FailCut, err)
	}
	if int64(buf.Len()) > x.d.o.MaxBody {
		return nil, x.fail(router.FailMalformed, x.tooLarge())
	}
	return buf.Bytes(), nil
}

func (x *exchange) tooLarge() error {
	return errors.Newf("the answer exceeds %d bytes", x.d.o.MaxBody)
}

// finish ends an exchange whose body was read to its end.
func (x *exchange) finish() {
	reusable := !x.resp.Close && x.c.br.Buffered() == 0
	if !reusable && !x.resp.Close {
		x.d.o.Scope.Counter("dialer.unread").Inc(1)
	}
	x.end(reusable, 0)
}

// fail closes the connection and returns the error that says what became of
// the attempt. An engine may just have needed longer than its caller had.
func (x *exchange) fail(kind router.FailKind, err error) error {
	return x.failed(kind, x.resp != nil, !x.a.Engine, x.a.Upstream.Name, err)
}

// cancelled replaces the kind of a failed dial when the caller has left.
func cancelled(ctx context.Context, err error) error {
	var ae *router.AttemptError
	if ctx.Err() != nil && errors.As(err, &ae) {
		ae.Kind = router.FailCancelled
	}
	return err
}

// progressReader notes every read of an answer as progress.
type progressReader struct {
	r io.Reader
	x *exchange
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	p.x.w.within(p.x.d.o.Between)
	n, err := p.r.Read(b)
	return n, err
}
