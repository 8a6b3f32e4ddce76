package server

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// hopByHop are the fields that belong to one connection (RFC 9110, 7.6.1) or
// are set anew by each side.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true, "Date": true,
	"Authorization": true, // The caller's API key is nobody else's business.
	// A stored answer keeps only its type, so that it must not be encoded.
	"Accept-Encoding": true,
}

// ownPrefix marks the fields between callers, router and upstreams; none is
// passed through.
const ownPrefix = "Foxtailwall-"

// eventSink writes a streamed answer. It implements router.Sink.
type eventSink struct {
	x     *exchange
	begun bool
	buf   []byte
}

// body reads the whole body within its bounds.
func (x *exchange) body() ([]byte, error) {
	o := &x.s.o
	if x.r.ContentLength > o.MaxBody {
		return nil, tooLarge(o.MaxBody)
	}
	// Writers that send slower than this would hold a slot for nothing. The
	// deadline is lifted again, since it would also end the watch for the
	// caller's leaving.
	_ = x.rc.SetReadDeadline(o.Clock.Now().Add(o.BodyTimeout)) // Not supported by recorders in tests.
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, o.MaxBody))
	_ = x.rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return b, nil
	case errors.As(err, &large):
		return nil, tooLarge(o.MaxBody)
	default:
		x.w.Header().Set("Connection", "close")
		return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "the body did not arrive whole within %s", o.BodyTimeout)
	}
}

func tooLarge(limit int64) error {
	return refuser.New(refuser.BodyTooLarge, refuser.NotRun, "the body exceeds %d bytes", limit)
}

// number reads a header field that is a whole number.
func (x *exchange) number(name string, lo, hi, def int) (int, error) {
	v := x.r.Header.Get(name)
	if v == "" {
		return def, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < lo || n > hi {
		return 0, refuser.New(refuser.BadRequest, refuser.NotRun, "%s must be a whole number from %d to %d", name, lo, hi)
	}
	return n, nil
}

// write sends a whole answer.
func (x *exchange) write(status int, kind string, body []byte) {
	h := x.w.Header()
	if kind != "" {
		h.Set("Content-Type", kind)
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.extend()
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // A caller that left gets nothing.
}

func (x *exchange) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	x.write(http.StatusOK, "application/json", b)
	return nil
}

// extend gives the caller at least half of WriteTimeout, and at most all of
// it, to take something. Moving the deadline at every token of a stream would
// cost more than writing it.
func (x *exchange) extend() {
	now := x.s.o.Clock.Now()
	if now.Sub(x.extended) < x.s.o.WriteTimeout/2 {
		return
	}
	x.extended = now
	_ = x.rc.SetWriteDeadline(now.Add(x.s.o.WriteTimeout)) // Not supported by recorders in tests.
}

// fail tells the caller of err.
func (x *exchange) fail(err error) {
	var rejected *router.RejectedError
	if errors.As(err, &rejected) {
		x.write(rejected.Status, rejected.Type, rejected.Body)
		return
	}
	re, ok := refuser.As(err)
	if !ok {
		re = refuser.New(refuser.Internal, refuser.Unknown, "internal error; the outcome of the request is not known")
	}
	x.s.o.Scope.Counter("server.refusals", "code", string(re.Code)).Inc(1)
	x.extend()
	refuse(x.w, re, 0)
}

// refuse writes a refusal. A status of zero takes that of the code.
func refuse(w http.ResponseWriter, re *refuser.Refusal, status int) {
	if status == 0 {
		status = re.Status()
	}
	h := w.Header()
	body := encoder.AppendProblem(nil, re, h.Get(requestHeader))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if re.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(re.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // A caller that left gets nothing.
}

// endToEnd returns the fields that are passed through.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	listed := strings.ToLower(strings.Join(h.Values("Connection"), ","))
	for k, vs := range h {
		if hopByHop[k] || strings.HasPrefix(k, ownPrefix) || named(listed, k) {
			continue
		}
		out[k] = vs
	}
	return out
}

// named reports whether the Connection field lists the name.
func named(listed, name string) bool {
	for _, l := range strings.Split(listed, ",") {
		if strings.EqualFold(strings.TrimSpace(l), name) {
			return true
		}
	}
	return false
}

// Begin implements router.Sink.
func (e *eventSink) Begin(n router.Notice) error {
	e.begun = true
	h := e.x.w.Header()
	e.x.notice(n)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	e.x.extend()
	e.x.w.WriteHeader(http.StatusOK)
	return nil
}

// Chunk implements router.Sink.
func (e *eventSink) Chunk(data []byte) error {
	e.buf = encoder.AppendEvent(e.buf[:0], data)
	e.x.extend()
	if _, err := e.x.w.Write(e.buf); err != nil {
		return err
	}
	return e.x.rc.Flush()
}

// End implements router.Sink.
func (e *eventSink) End() error { return e.Chunk([]byte(encoder.Done)) }

// fail tells the caller that the stream is not whole.
func (e *eventSink) fail(err error) {
	re, ok := refuser.As(err)
	if !ok {
		re = refuser.New(refuser.StreamCut, refuser.Ran, "the answer is not whole")
	}
	e.x.s.o.Scope.Counter("server.refusals", "code", string(re.Code)).Inc(1)
	_ = e.Chunk(encoder.AppendProblem(nil, re, e.x.req.ID)) // A caller that left gets nothing.
}
