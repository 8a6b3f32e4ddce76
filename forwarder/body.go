package forwarder

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/dialer"
	"foxtailwall/refuser"
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

var errResponseTooLong = errors.Newf("the response exceeds %d bytes", maxResponseBytes)

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

// readResponse reads the body of a response, at most maxResponseBytes.
func readResponse(resp *dialer.ForwardResponse) ([]byte, error) {
	if resp.Length > maxResponseBytes {
		return nil, errResponseTooLong
	}
	if resp.Length >= 0 {
		body := make([]byte, resp.Length)
		_, err := io.ReadFull(resp, body)
		if err != nil || resp.Length == 0 {
			return body, err
		}
		// Reading the end of the body frees the connection.
		_, err = resp.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			err = nil
		}
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp, maxResponseBytes+1))
	if len(body) > maxResponseBytes {
		return nil, errResponseTooLong
	}
	return body, err
}
