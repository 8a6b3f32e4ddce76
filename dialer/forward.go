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
	// concurrentBodyBytes is the size from which a body is written
	// concurrently with the reading of the response: an upstream may respond
	// before it has read a body that does not fit the TCP windows.
	concurrentBodyBytes = 8 << 10
	// maxStrayResponses limits the late responses to earlier requests that are
	// discarded.
	maxStrayResponses = 2
	// maxStrayBytes limits the body of a discarded response.
	maxStrayBytes = 1 << 20
	// keepAliveMargin is subtracted from the peer's keep-alive timeout, so that
	// a connection is not used while the peer closes it.
	keepAliveMargin = 700 * time.Millisecond
)

type (
	// ForwardRequest is a request that is passed to an upstream unchanged.
	ForwardRequest struct {
		Upstream netip.AddrPort
		Method   string
		// Target is the request target and Host the value of the Host header.
		Target, Host string
		// Fields are the other header fields, in order, without the
		// Content-Length.
		Fields []Field
		Body   []byte
		// ID is the request ID and IDField the header in which the response
		// may echo it; a response with another ID is discarded.
		ID, IDField string
		// NewConn requires a new connection. A request that was sent to the upstream
		// before needs one: a late copy of the first response carries the same ID.
		NewConn bool
		// MaxIdle limits the idle connections to the upstream when this
		// request ends, in addition to Options.MaxIdleConns; zero is no limit.
		MaxIdle  int
		Deadline time.Time
		// HeaderTimeout limits the time to the response header; zero applies the
		// deadline only.
		HeaderTimeout time.Duration
		// Extend is called when a progress limit passes. It returns the time to
		// add, or zero to end the request, as a nil Extend does. It must not
		// block.
		Extend func() time.Duration
	}

	// Field is a header field.
	Field struct{ Name, Value string }

	// ForwardResponse is a response whose header has been read. The caller ends it
	// with Finish or Abort.
	ForwardResponse struct {
		Status int
		Header http.Header
		// Length is the length of the body in bytes, -1 if unknown.
		Length int64
		// Framed is true if the body has a Content-Length or a transfer
		// encoding; otherwise it ends with the connection.
		Framed bool
		// Sole is true if the connection carried no other request or response before,
		// so that the response cannot belong to another request.
		Sole bool

		checkout
		req  *ForwardRequest
		resp *http.Response
		// sendEnded is closed when the writing of a body sent concurrently has ended,
		// with sendErr; nil if the body was sent before the response was read.
		sendEnded chan struct{}
		sendErr   error
		sawStray  bool
	}
)

// Forward sends the request and reads the response header. Errors are
// *router.AttemptError.
func (d *Dialer) Forward(ctx context.Context, f *ForwardRequest) (*ForwardResponse, error) {
	if !validTarget(f.Target) || !validField(f.Host) {
		return nil, &router.AttemptError{
			Kind: router.FailMalformed, Outcome: refuser.NotRun, Err: errors.New("the request target does not start with /, or the target or host contains invalid bytes"),
		}
	}
	use, err := d.checkOut(ctx, &declarer.Upstream{Address: f.Upstream}, f.NewConn, f.Deadline, f.Extend)
	if err != nil {
		return nil, err
	}
	r := &ForwardResponse{checkout: use, req: f}
	if f.HeaderTimeout > 0 {
		r.watch.expectProgressWithin(f.HeaderTimeout)
	}
	if err := r.send(); err != nil {
		return nil, r.fail(router.FailReset, err)
	}
	if err := r.readHeader(); err != nil {
		return nil, err
	}
	return r, nil
}

// ExpectWithin limits the time from now to the next progress, which is a
// further call of ExpectWithin or the end of the response.
func (r *ForwardResponse) ExpectWithin(d time.Duration) { r.watch.expectProgressWithin(d) }

// Read reads the body. It returns io.EOF only at its end, which is known of a body
// that ends with the connection once the request has been written; any other error is an
// *router.AttemptError, which ends the response.
func (r *ForwardResponse) Read(b []byte) (int, error) {
	n, err := r.resp.Body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		return n, r.fail(router.FailCut, err)
	}
	if err != nil && !r.Framed && r.resp.Body != http.NoBody {
		if sendErr := r.waitSent(); sendErr != nil {
			return n, r.fail(router.FailCut, errors.Wrap(sendErr, "the connection was lost while the request was written, so the response may be incomplete"))
		}
	}
	return n, err
}

// waitSent waits until the writing of the request has ended, at the latest when the
// exchange is stopped, and returns its error. A reset is reported once: if the write was
// told of it, the read ends as if the peer had closed the connection properly.
func (r *ForwardResponse) waitSent() error {
	if r.sendEnded == nil {
		return nil
	}
	<-r.sendEnded
	return r.sendErr
}

// Finish ends a response whose body was read to its end, and returns the
// connection to the pool if it is reusable.
func (r *ForwardResponse) Finish() {
	if r.ended {
		return
	}
	reusable := r.Framed && !r.sawStray && !r.resp.Close && !announcesMissingBody(r.resp) && r.conn.br.Buffered() == 0 && r.requestSent()
	if timeout, ok := keepAliveTimeout(r.Header); ok && reusable {
		r.conn.keepAlive = max(timeout-keepAliveMargin, time.Millisecond)
	}
	r.returnConn(reusable, r.req.MaxIdle)
}

// Abort closes the connection before the end of the response, which cancels
// the request at the upstream.
func (r *ForwardResponse) Abort() {
	if r.ended {
		return
	}
	r.unwatch()
	r.conn.abandon()
}

func (r *ForwardResponse) send() error {
	head := r.appendHead(make([]byte, 0, 1024))
	if len(r.req.Body) < concurrentBodyBytes {
		return r.conn.writeRequest(head, r.req.Body)
	}
	if err := r.allowLateReading(len(r.req.Body), r.req.Deadline); err != nil {
		return err
	}
	r.sendEnded = make(chan struct{})
	r.dialer.wg.Go(func() {
		defer close(r.sendEnded)
		r.sendErr = r.conn.writeRequest(head, r.req.Body)
	})
	return nil
}

// requestSent reports whether the whole request has been sent.
func (r *ForwardResponse) requestSent() bool {
	if r.sendEnded == nil {
		return true
	}
	select {
	case <-r.sendEnded:
		return r.sendErr == nil
	default:
		return false
	}
}

func (r *ForwardResponse) appendHead(b []byte) []byte {
	b = appendRequestStart(b, r.req.Method, r.req.Target, r.req.Host, len(r.req.Body))
	for _, field := range r.req.Fields {
		b = appendField(b, field.Name, field.Value)
	}
	return append(b, "\r\n"...)
}

// readHeader reads the header of the response to this request. It discards
// late responses to earlier requests on the connection.
func (r *ForwardResponse) readHeader() error {
	for range maxStrayResponses + 1 {
		resp, err := r.conn.readHeader(r.req.Method) //nolint:bodyclose // The body is read to its end or the connection is closed.
		if err != nil {
			return r.fail(headerFailure(err), err)
		}
		id := resp.Header.Get(r.req.IDField)
		if id == r.req.ID || id == "" {
			r.resp = resp
			r.Status, r.Header, r.Length = resp.StatusCode, resp.Header, resp.ContentLength
			r.Sole = !r.conn.reused && !r.sawStray
			r.Framed = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
			return nil
		}
		r.sawStray = true
		r.dialer.opts.Scope.Counter("dialer.strays").Inc(1)
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes+1))
		if err != nil {
			return r.fail(router.FailReset, err)
		}
		if n > maxStrayBytes {
			// The rest of the body must not be read as a response.
			break
		}
	}
	return r.fail(router.FailMismatch, errors.New("the response carries the ID of another request"))
}

// fail closes the connection and returns the error of the attempt.
func (r *ForwardResponse) fail(kind router.FailKind, err error) error {
	return r.closeWithError(kind, r.resp != nil, false, r.req.Upstream.String(), err)
}

// keepAliveTimeout returns the timeout parameter of the Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
