package forwarder

import (
	"io"
	"net/http"
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
	// maxPreallocatedBody is the announced length up to which the memory for a
	// request's body is reserved at once.
	maxPreallocatedBody = 64 << 10
)

// readBody reads the body until the request's deadline, so that a caller cannot
// hold a request for ever. Memory grows with what has arrived, not with the
// announced length.
func (c *call) readBody() *refusal {
	maxBytes := c.table.Limits().BodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if c.r.ContentLength > maxBytes {
		return newRefusal(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, 0)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	c.setReadDeadline(c.deadline)
	var err error
	if n := c.r.ContentLength; n > 0 && n <= maxPreallocatedBody {
		c.body = make([]byte, n)
		_, err = io.ReadFull(c.r.Body, c.body)
	} else {
		c.body, err = io.ReadAll(io.LimitReader(c.r.Body, maxBytes+1))
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		return newRefusal(http.StatusRequestTimeout, refuser.DeadlineExceeded, 0)
	case err != nil:
		return newRefusal(http.StatusBadRequest, refuser.BadRequest, 0)
	case int64(len(c.body)) > maxBytes:
		return newRefusal(http.StatusRequestEntityTooLarge, refuser.BodyTooLarge, 0)
	}
	c.setReadDeadline(time.Time{})
	return nil
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
