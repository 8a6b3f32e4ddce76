package forwarder

import (
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
	"foxtailwall/dialer"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	// defaultMaxBodyBytes bounds a request's body if the configuration does not.
	defaultMaxBodyBytes = 16 << 20
)

// readBody reads the body until the request's deadline, so that a caller cannot
// hold a request for ever, and counts the request as received.
func (c *call) readBody() *refusal {
	maxBytes := c.table.Limits().BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if c.r.ContentLength > maxBytes {
		return newRefusal(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, 0)
	}
	if c.r.ContentLength != 0 {
		if ref := c.receiveBody(maxBytes); ref != nil {
			return ref
		}
	}
	c.received = true
	if n := c.f.received.Add(1); c.f.settings.MaxRunning > 0 && n > int64(c.f.settings.MaxRunning) {
		return newRefusal(http.StatusServiceUnavailable, refuser.QueueFull, busyRetryAfter)
	}
	return nil
}

// receiveBody reads a body of up to maxBytes.
func (c *call) receiveBody(maxBytes int64) *refusal {
	c.setReadDeadline(c.deadline)
	// The connection is closed after a body that was not read to its end.
	c.upload = c.f.memory.NewUpload(c.holder(), func() { c.setReadDeadline(time.Unix(1, 0)) })
	var err error
	c.body, err = c.upload.ReadAll(c.r.Body, allotter.Limits{Length: c.r.ContentLength, MaxBytes: maxBytes})
	if err == nil && !c.upload.Complete() {
		err = &allotter.CancelledError{}
	}
	var tooLong *allotter.TooLongError
	var exhausted *allotter.ExhaustedError
	var cancelled *allotter.CancelledError
	switch {
	case err == nil:
		c.setReadDeadline(time.Time{})
		return nil
	case errors.As(err, &tooLong):
		return newRefusal(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, 0)
	}
	c.w.Header().Set("Connection", "close")
	switch {
	case errors.As(err, &exhausted), errors.As(err, &cancelled):
		c.f.settings.Scope.Counter("forwarder.bodiesRefused").Inc(1)
		return newRefusal(http.StatusServiceUnavailable, refuser.QueueFull, fullRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, refuser.DeadlineExceeded, 0)
	}
	return newRefusal(http.StatusBadRequest, refuser.BadRequest, 0)
}

// holder returns whose memory the body takes: that of the workspace, or of the address
// of a caller without one.
func (c *call) holder() allotter.Holder {
	if c.workspace != "" {
		return allotter.Holder{Workspace: c.workspace}
	}
	addr, err := netip.ParseAddrPort(c.r.RemoteAddr)
	if err != nil {
		return allotter.Holder{} // A test may leave the address out.
	}
	return allotter.Holder{Address: addr.Addr().Unmap()}
}

// release returns the memory of the body and ends the count of the request.
func (c *call) release() {
	if c.upload != nil {
		c.upload.Release()
	}
	if c.received {
		c.f.received.Add(-1)
	}
}

// limitWrite bounds the time for the caller to read a response that is not a stream. A
// caller has no use for it after its deadline.
func (c *call) limitWrite() {
	if c.f.settings.WriteTimeout <= 0 {
		return
	}
	end := c.deadline
	if now := c.f.settings.Clock.Now(); end.Before(now) {
		end = now
	}
	err := http.NewResponseController(c.w).SetWriteDeadline(end.Add(c.f.settings.WriteTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.f.requestLog.Info().Str("request", c.envelope.ID).AnErr("cause", err).Msg("cannot limit the time to write the response")
	}
}

// setReadDeadline limits the reading from the caller's connection; the zero time
// removes the limit.
func (c *call) setReadDeadline(t time.Time) {
	err := http.NewResponseController(c.w).SetReadDeadline(t)
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		c.f.requestLog.Info().Str("request", c.envelope.ID).AnErr("cause", err).Msg("cannot limit the time to read the body")
	}
}

// readResponse reads the body of a response that is not a stream. Its errors are
// *router.AttemptError; a body that is too large is the upstream's fault, but no sign
// that it crashed.
func (c *call) readResponse(resp *dialer.ForwardResponse) ([]byte, error) {
	limits := allotter.Limits{Length: resp.Length, MaxBytes: maxResponseBytes}
	if c.lastFailure != nil {
		limits.Held = int64(len(c.lastFailure.body))
	}
	body, err := c.memory.ReadAll(resp, limits)
	var attemptErr *router.AttemptError
	if err == nil || errors.As(err, &attemptErr) {
		return body, err
	}
	return nil, c.tooLarge(err)
}

// tooLarge returns the error of an attempt whose response is larger than this host
// reads.
func (c *call) tooLarge(err error) error {
	c.f.settings.Scope.Counter("forwarder.responsesTooLarge").Inc(1)
	return &router.AttemptError{Kind: router.FailMalformed, Outcome: refuser.Unknown, Err: err}
}
