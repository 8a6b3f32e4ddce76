package dialer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

const (
	requestHeader  = "Foxtailwall-Request"
	deadlineHeader = "Foxtailwall-Deadline"
	priorityHeader = "Foxtailwall-Priority"
	resumeHeader   = "Foxtailwall-Resume"
	notRunHeader   = "Foxtailwall-Not-Run"

	// maxRetryAfter limits the Retry-After that is accepted from an upstream.
	maxRetryAfter = time.Minute
)

// exchange is one request and its response on one connection.
type exchange struct {
	checkout
	attempt     *router.Attempt
	ctx         context.Context
	resp        *http.Response
	startedAt   time.Time
	headerDelay time.Duration // Time from the request to the response header.
}

// roundTrip sends the attempt and reads the response header. stream selects
// the time limits of a streamed response.
func (d *Dialer) roundTrip(ctx context.Context, a *router.Attempt, stream bool) (*exchange, error) {
	if !validTarget(a.Path) {
		return nil, &router.AttemptError{
			Kind: router.FailMalformed, Outcome: refuser.NotRun, Err: errors.New("the request path does not start with / or contains spaces or control bytes"),
		}
	}
	use, err := d.checkOut(ctx, a.Upstream, a.NewConn, a.Deadline, nil)
	if err != nil {
		return nil, err
	}
	x := &exchange{checkout: use, attempt: a, ctx: ctx, startedAt: d.opts.Clock.Now()}
	if a.Check != nil {
		if err := a.Check(); err != nil {
			// Nothing was sent.
			x.returnConn(true, 0)
			return nil, &router.AttemptError{Kind: router.FailCheck, Outcome: refuser.NotRun, Err: err}
		}
	}
	x.watch.expectProgressWithin(x.headerTimeout(stream))
	if err := x.send(); err != nil {
		return nil, x.fail(router.FailReset, err)
	}
	if err := x.readHeader(); err != nil {
		return nil, x.fail(headerFailure(err), err)
	}
	x.headerDelay = d.opts.Clock.Since(x.startedAt)
	if err := x.verify(); err != nil {
		return nil, err
	}
	return x, nil
}

// headerTimeout returns the time limit for the response header; see
// Options.ReuseTimeout.
func (x *exchange) headerTimeout(stream bool) time.Duration {
	d := x.dialer.opts.FirstByteTimeout
	if !x.conn.reused || x.attempt.Engine && !stream {
		return d
	}
	if !x.attempt.Deadline.IsZero() {
		d = min(d, x.attempt.Deadline.Sub(x.startedAt)/2)
	}
	return min(d, x.dialer.opts.ReuseTimeout)
}

func (x *exchange) send() error {
	if err := x.allowLateReading(len(x.attempt.Body), x.attempt.Deadline); err != nil {
		return err
	}
	return x.conn.writeRequest(x.appendHead(make([]byte, 0, 512)), x.attempt.Body)
}

func (x *exchange) appendHead(b []byte) []byte {
	a := x.attempt
	b = appendRequestStart(b, a.Method, a.Path, a.Upstream.Address.String(), len(a.Body))
	if a.ID != "" {
		b = appendField(b, requestHeader, a.ID)
	}
	if !a.Deadline.IsZero() {
		left := max(a.Deadline.Sub(x.startedAt).Milliseconds(), 0)
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

// appendRequestStart appends the request line, the Host and, unless a GET or
// HEAD has no body, the Content-Length.
func appendRequestStart(b []byte, method, target, host string, body int) []byte {
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

// appendField appends a header field. It omits fields with control bytes, so
// that a value from a caller cannot inject header fields or a second request.
func appendField(b []byte, name, value string) []byte {
	if !validField(name) || !validField(value) {
		return b
	}
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// validTarget reports whether s can be the target in a request line: it starts
// with a slash and has neither spaces nor control bytes.
func validTarget(s string) bool {
	return strings.HasPrefix(s, "/") && validField(s) && !strings.ContainsAny(s, " \t")
}

func validField(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func (x *exchange) readHeader() error {
	resp, err := x.conn.readHeader(x.attempt.Method) //nolint:bodyclose // The body is read to its end or the connection is closed.
	x.resp = resp
	return err
}

// verify checks that the response carries the ID of the attempt and that its
// body is delimited. Services other than engines may omit the ID.
func (x *exchange) verify() error {
	got := x.resp.Header.Get(requestHeader)
	if got != x.attempt.ID && (got != "" || x.attempt.Engine) {
		return x.fail(router.FailMismatch, errors.Newf("the response carries the ID %q, not %q", got, x.attempt.ID))
	}
	if x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 && x.attempt.Method != http.MethodHead {
		return x.fail(router.FailMalformed, errors.New("the response has neither a Content-Length nor chunked encoding, so a truncated body would go unnoticed"))
	}
	return nil
}

// notRunError returns an error if a response header states that the upstream
// did not run the request, else nil. On a reused connection, a statement without the
// attempt's ID may be a copy of an earlier one and proves nothing.
func (x *exchange) notRunError() error {
	if x.resp.Header.Get(notRunHeader) != "true" {
		return nil
	}
	if x.conn.reused && x.resp.Header.Get(requestHeader) != x.attempt.ID {
		return x.fail(router.FailMismatch, errors.Newf("the upstream responded %s without an ID on a reused connection", x.resp.Status))
	}
	err := &router.AttemptError{
		Kind: router.FailStatus, Outcome: refuser.NotRun, Status: x.resp.StatusCode,
		RetryAfter: retryAfter(x.resp.Header), Err: errors.Newf("the upstream responded %s without running the request", x.resp.Status),
	}
	_, share, rerr := x.readBody()
	share.Release()
	if rerr != nil {
		return err // The header suffices; readBody has closed the connection.
	}
	x.finish()
	return err
}

// retryAfter returns the delay in the Retry-After field, at most maxRetryAfter;
// zero unless the field is a number of seconds.
func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return min(time.Duration(s)*time.Second, maxRetryAfter)
}

// readBody reads the body to its end, up to Options.MaxBody. It returns the share of
// Options.Memory that holds the body, nil if there is none.
func (x *exchange) readBody() ([]byte, *allotter.Share, error) {
	if x.attempt.Method == http.MethodHead {
		return nil, nil, nil // The Content-Length is that of the body of a GET.
	}
	share := x.newShare()
	body, err := share.ReadAll(&progressReader{r: x.resp.Body, exchange: x}, allotter.Limits{
		Length: x.resp.ContentLength, MaxBytes: x.dialer.opts.MaxBody,
		Wait: func(bytes int64) error { return x.awaitMemory(share, bytes) },
	})
	if err != nil || x.attempt.Memory == nil {
		share.Release()
	}
	if err != nil {
		return nil, nil, x.failBody(err)
	}
	return body, share, nil
}

// failBody closes the connection and returns the error for a body that was not read to
// its end.
func (x *exchange) failBody(err error) error {
	kind := router.FailCut
	var tooLong *allotter.TooLongError
	var exhausted *allotter.ExhaustedError
	switch {
	case errors.As(err, &tooLong):
		kind = router.FailMalformed
	case errors.As(err, &exhausted) && x.ctx.Err() != nil:
		kind = router.FailCancelled
	case errors.As(err, &exhausted):
		kind = router.FailMemory
	}
	return x.fail(kind, err)
}

// newShare returns an empty share of Options.Memory.
func (x *exchange) newShare() *allotter.Share {
	if x.attempt.Memory != nil {
		return x.attempt.Memory.NewShare(x.dialer.opts.Memory)
	}
	share := x.dialer.opts.Memory.NewShare()
	return &share
}

// awaitMemory waits until the share may hold the bytes, at most until the deadline of the
// attempt. Meanwhile nothing is read, so the upstream is not expected to make progress.
func (x *exchange) awaitMemory(share *allotter.Share, bytes int64) error {
	d := x.dialer
	d.opts.Scope.Counter("dialer.memoryWaits").Inc(1)
	x.watch.expectNoProgress()
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	w := d.watcher.add(cancel)
	defer d.watcher.remove(w)
	w.setDeadline(x.attempt.Deadline)
	return share.Await(ctx, bytes)
}

// finish ends an exchange whose body was read to its end, and returns the
// connection to the pool unless unread data follows the body.
func (x *exchange) finish() {
	closing := x.resp.Close || announcesMissingBody(x.resp)
	reusable := !closing && x.conn.br.Buffered() == 0
	if !reusable && !closing {
		x.dialer.opts.Scope.Counter("dialer.unread").Inc(1)
	}
	x.returnConn(reusable, 0)
}

// fail closes the connection and returns the error of the attempt. A passed
// deadline does not make an engine's connection silent: the engine may only
// have needed more time than its caller had.
func (x *exchange) fail(kind router.FailKind, err error) error {
	return x.closeWithError(kind, x.resp != nil, !x.attempt.Engine, x.attempt.Upstream.Name, err)
}

// markCancelled sets the kind of err to FailCancelled if ctx has ended.
func markCancelled(ctx context.Context, err error) error {
	var ae *router.AttemptError
	if ctx.Err() != nil && errors.As(err, &ae) {
		ae.Kind = router.FailCancelled
	}
	return err
}

// progressReader restarts the stall timeout at every read of a response body.
type progressReader struct {
	r        io.Reader
	exchange *exchange
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	p.exchange.watch.expectProgressWithin(p.exchange.dialer.opts.StallTimeout)
	n, err := p.r.Read(b)
	return n, err
}
