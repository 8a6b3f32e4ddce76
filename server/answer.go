package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// unforwardedFields lists the header fields that are not forwarded: those that
// concern a single connection (RFC 9110, 7.6.1) and those that each side sets
// itself.
var unforwardedFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true, "Date": true,
	"Authorization": true, // Holds the caller's API key, which upstreams must not see.
	// A stored response keeps only its Content-Type, not its Content-Encoding,
	// so upstreams must not compress it.
	"Accept-Encoding": true,
}

// protocolPrefix is the prefix of the header fields of the router's own
// protocol with callers and upstreams; they are not forwarded.
const protocolPrefix = "Foxtailwall-"

// eventSink writes a streamed response as server-sent events. It implements
// router.Sink.
type eventSink struct {
	x       *exchange
	started bool
	buf     []byte
}

// readBody reads the request body, limited by MaxBody, BodyTimeout and the memory for
// all bodies, and takes a place among the running requests.
func (x *exchange) readBody() ([]byte, error) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	o := &x.s.opts
	if x.r.ContentLength > o.MaxBody {
		return nil, bodyTooLarge(o.MaxBody)
	}
	// The deadline keeps slow senders from holding memory. It is removed
	// after the read, since it would also end the background read by which
	// net/http notices that the caller has disconnected.
	_ = x.rc.SetReadDeadline(o.Clock.Now().Add(o.BodyTimeout)) // httptest.ResponseRecorder does not support it.
	x.upload = o.Memory.NewUpload(allotter.Holder{Workspace: x.req.Holder.Workspace.Name}, func() { _ = x.rc.SetReadDeadline(time.Unix(1, 0)) })
	b, err := x.upload.ReadAll(x.r.Body, allotter.Limits{Length: x.r.ContentLength, MaxBytes: o.MaxBody})
	if err == nil && !x.upload.Complete() {
		err = &allotter.CancelledError{}
	}
	var large *allotter.TooLongError
	var exhausted *allotter.ExhaustedError
	var cancelled *allotter.CancelledError
	switch {
	case err == nil:
		_ = x.rc.SetReadDeadline(time.Time{})
		if own, ok := x.r.Context().Value(slotKey{}).(*slot); ok {
			if re := own.take(); re != nil {
				return nil, re
			}
		}
		return b, nil
	case errors.As(err, &large):
		return nil, bodyTooLarge(o.MaxBody)
	}
	x.w.Header().Set("Connection", "close")
	if errors.As(err, &exhausted) || errors.As(err, &cancelled) {
		o.Scope.Counter("server.bodiesRefused").Inc(1)
		return nil, refuser.New(refuser.QueueFull, refuser.NotRun, "this host has no memory for the body; retry or use another host")
	}
	return nil, refuser.New(refuser.BadRequest, refuser.NotRun, "the body was not received completely within %s", o.BodyTimeout)
}

// release returns the memory of the body and of the answers.
func (x *exchange) release() {
	x.answers.Release()
	if x.upload != nil {
		x.upload.Release()
	}
}

func bodyTooLarge(limit int64) error {
	return refuser.New(refuser.BodyTooLarge, refuser.NotRun, "the body exceeds %d bytes", limit)
}

// intHeader returns the value of an integer header field, def if the field is
// missing, and an error if the value is not between lo and hi.
func (x *exchange) intHeader(name string, lo, hi, def int) (int, error) {
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

// writeResponse sends a complete response.
func (x *exchange) writeResponse(status int, kind string, body []byte) {
	h := x.w.Header()
	if kind != "" {
		h.Set("Content-Type", kind)
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.extendWriteDeadline()
	x.w.WriteHeader(status)
	_, _ = x.w.Write(body) // The caller may have disconnected.
}

func (x *exchange) writeJSON(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode response")
	}
	x.writeResponse(http.StatusOK, "application/json", b)
	return nil
}

// extendWriteDeadline moves the write deadline so that the caller has between
// half and all of WriteTimeout to read the next data. Moving the deadline for
// every token of a stream would cost more than writing the token.
func (x *exchange) extendWriteDeadline() {
	now := x.s.opts.Clock.Now()
	if now.Sub(x.deadlineMovedAt) < x.s.opts.WriteTimeout/2 {
		return
	}
	x.deadlineMovedAt = now
	_ = x.rc.SetWriteDeadline(now.Add(x.s.opts.WriteTimeout)) // httptest.ResponseRecorder does not support it.
}

// writeError sends err as the response: the upstream's own response if it
// rejected the request, a refusal otherwise.
func (x *exchange) writeError(err error) {
	var rejected *router.RejectedError
	if errors.As(err, &rejected) {
		x.writeResponse(rejected.Status, rejected.ContentType, rejected.Body)
		return
	}
	re, ok := refuser.As(err)
	if !ok {
		re = refuser.New(refuser.Internal, refuser.Unknown, "internal error; the outcome of the request is not known")
	}
	x.s.opts.Scope.Counter("server.refusals", "code", string(re.Code)).Inc(1)
	x.extendWriteDeadline()
	writeRefusal(x.w, re, 0)
}

// writeRefusal writes a refusal as JSON. If status is zero, the status follows
// from the code of the refusal.
func writeRefusal(w http.ResponseWriter, re *refuser.Refusal, status int) {
	if status == 0 {
		status = re.Status()
	}
	h := w.Header()
	body := encoder.AppendProblem(nil, re, h.Get(requestIDHeader))
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if re.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(re.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // The caller may have disconnected.
}

// forwardedFields returns the fields of h except unforwardedFields, those with
// protocolPrefix and those that the Connection field lists.
func forwardedFields(h http.Header) http.Header {
	out := make(http.Header, len(h))
	listed := strings.ToLower(strings.Join(h.Values("Connection"), ","))
	for k, vs := range h {
		if unforwardedFields[k] || strings.HasPrefix(k, protocolPrefix) || listsField(listed, k) {
			continue
		}
		out[k] = vs
	}
	return out
}

// listsField reports whether the Connection field lists the name.
func listsField(listed, name string) bool {
	for _, l := range strings.Split(listed, ",") {
		if strings.EqualFold(strings.TrimSpace(l), name) {
			return true
		}
	}
	return false
}

// Begin implements router.Sink.
func (e *eventSink) Begin(n router.SessionInfo) error {
	e.started = true
	h := e.x.w.Header()
	e.x.setSessionHeader(n)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	e.x.extendWriteDeadline()
	e.x.w.WriteHeader(http.StatusOK)
	return nil
}

// Chunk implements router.Sink.
func (e *eventSink) Chunk(data []byte) error {
	e.buf = encoder.AppendEvent(e.buf[:0], data)
	e.x.extendWriteDeadline()
	if _, err := e.x.w.Write(e.buf); err != nil {
		return err
	}
	return e.x.rc.Flush()
}

// End implements router.Sink.
func (e *eventSink) End() error { return e.Chunk([]byte(encoder.EndMarker)) }

// writeError sends err as the last event, so that the caller sees that the
// stream is incomplete.
func (e *eventSink) writeError(err error) {
	re, ok := refuser.As(err)
	if !ok {
		re = refuser.New(refuser.StreamCut, refuser.Ran, "the answer is incomplete")
	}
	e.x.s.opts.Scope.Counter("server.refusals", "code", string(re.Code)).Inc(1)
	_ = e.Chunk(encoder.AppendProblem(nil, re, e.x.req.ID)) // The caller may have disconnected.
}
