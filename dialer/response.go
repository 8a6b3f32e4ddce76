package dialer

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// streamEndTimeout limits the wait for the end of a stream's body after its end
// marker. The connection is reusable only if the body is read to its end.
const streamEndTimeout = 200 * time.Millisecond

type (
	// stream is a streamed response. It implements router.Stream.
	stream struct {
		exchange *exchange
		events   *encoder.EventReader
		event    eventMemory
		done     bool
	}

	// eventMemory takes memory for the event of a stream that is being read, and for the
	// copy of it that is written to the caller.
	eventMemory struct {
		r        io.Reader
		exchange *exchange
		share    *allotter.Share
		// bytes is the number of bytes read of the event.
		bytes int64
	}
)

var errNoEndMarker = errors.New("the stream ended without its end marker")

// Read implements io.Reader.
func (e *eventMemory) Read(b []byte) (int, error) {
	need := 2 * min(e.bytes+int64(len(b)), int64(e.exchange.dialer.opts.MaxEvent))
	if !e.share.Grow(need) {
		if err := e.exchange.awaitMemory(e.share, need); err != nil {
			return 0, err
		}
		e.exchange.watch.expectProgressWithin(e.exchange.dialer.opts.StallTimeout)
	}
	n, err := e.r.Read(b)
	e.bytes += int64(n)
	return n, err
}

// Do implements router.Upstreams.
func (d *Dialer) Do(ctx context.Context, a *router.Attempt) (*router.Answer, error) {
	x, err := d.roundTrip(ctx, a, false)
	if err != nil {
		return nil, err
	}
	if err := x.notRunError(); err != nil {
		return nil, err
	}
	body, share, err := x.readBody()
	if err != nil {
		return nil, err
	}
	if x.resp.StatusCode == http.StatusResetContent && len(body) > 0 {
		share.Release()
		return nil, x.fail(router.FailMalformed, &InvalidResponseError{Status: x.resp.StatusCode, Reason: "it has a body"})
	}
	ans := &router.Answer{
		Status: x.resp.StatusCode, Header: x.resp.Header, Body: body, Memory: share,
		FirstByte: x.headerDelay, RetryAfter: retryAfter(x.resp.Header),
	}
	if a.Engine && ans.Status == http.StatusOK {
		if err := x.parseChatBody(ans); err != nil {
			share.Release()
			return nil, err
		}
	}
	x.finish()
	return ans, nil
}

// parseChatBody checks the ID in the body of an engine's response and copies
// the usage and, if the attempt asked for it, the text to ans.
func (x *exchange) parseChatBody(ans *router.Answer) error {
	p, err := encoder.ParseChatResponse(ans.Body)
	if err != nil {
		return x.fail(router.FailMalformed, err)
	}
	if p.RequestID != x.attempt.ID {
		return x.fail(router.FailMismatch, errors.Newf("the body carries the ID %q, not %q", p.RequestID, x.attempt.ID))
	}
	if p.Usage != nil {
		ans.Usage = router.Usage{Input: p.Usage.PromptTokens, Output: p.Usage.CompletionTokens}
	}
	if x.attempt.WantText {
		ans.Text = p.Text()
	}
	return nil
}

// Open implements router.Upstreams.
func (d *Dialer) Open(ctx context.Context, a *router.Attempt) (router.Stream, error) {
	x, err := d.roundTrip(ctx, a, true)
	if err != nil {
		return nil, err
	}
	if err := x.notRunError(); err != nil {
		return nil, err
	}
	if err := x.checkStream(); err != nil {
		return nil, err
	}
	x.watch.expectProgressWithin(d.opts.FirstByteTimeout)
	s := &stream{exchange: x, event: eventMemory{r: x.resp.Body, exchange: x, share: x.newShare()}}
	s.events = encoder.NewEventReader(&s.event, d.opts.MaxEvent)
	return s, nil
}

// checkStream returns an error unless the response is an event stream.
func (x *exchange) checkStream() error {
	mediaType, _, err := mime.ParseMediaType(x.resp.Header.Get("Content-Type"))
	if x.resp.StatusCode == http.StatusOK && err == nil && mediaType == "text/event-stream" {
		return nil
	}
	if x.resp.StatusCode == http.StatusOK {
		return x.fail(router.FailMalformed, errors.Newf("the upstream responded with content type %q, not an event stream",
			x.resp.Header.Get("Content-Type")))
	}
	status, after := x.resp.StatusCode, retryAfter(x.resp.Header)
	body, share, err := x.readBody()
	if err != nil {
		return err
	}
	x.finish()
	return &router.AttemptError{
		Kind: router.FailStatus, Outcome: refuser.Unknown, Status: status, RetryAfter: after, Body: body, Memory: share,
		Err: errors.Newf("the upstream responded with status %d", status),
	}
}

// Next implements router.Stream.
func (s *stream) Next() (router.Chunk, error) {
	if s.done {
		return router.Chunk{}, io.EOF
	}
	data, err := s.events.Next()
	if err != nil {
		return router.Chunk{}, s.failRead(err)
	}
	s.event.bytes = 0
	if string(data) == encoder.EndMarker {
		s.done = true
		return router.Chunk{}, io.EOF
	}
	s.exchange.watch.expectProgressWithin(s.exchange.dialer.opts.StallTimeout)
	return s.parseChunk(data)
}

func (s *stream) parseChunk(data []byte) (router.Chunk, error) {
	p, err := encoder.ParseChatResponse(data)
	if err != nil {
		return router.Chunk{}, s.exchange.fail(router.FailMalformed, err)
	}
	if p.RequestID != s.exchange.attempt.ID {
		return router.Chunk{}, s.exchange.fail(router.FailMismatch,
			errors.Newf("a chunk carries the ID %q, not %q", p.RequestID, s.exchange.attempt.ID))
	}
	if len(p.Error) > 0 && string(p.Error) != "null" {
		return router.Chunk{}, s.exchange.fail(router.FailCut, errors.New("the engine reported an error in the stream"))
	}
	c := router.Chunk{Data: data}
	if p.HasTokens() {
		c.Tokens = 1
	}
	if s.exchange.attempt.WantText {
		c.Text = p.Text()
	}
	if p.Usage != nil {
		c.Usage = &router.Usage{Input: p.Usage.PromptTokens, Output: p.Usage.CompletionTokens}
	}
	return c, nil
}

// failRead closes the connection and returns the error for a stream whose next
// event could not be read.
func (s *stream) failRead(err error) error {
	if errors.Is(err, io.EOF) {
		err = errNoEndMarker
	}
	var large *encoder.EventTooLargeError
	if errors.As(err, &large) {
		return s.exchange.fail(router.FailMalformed, err)
	}
	return s.exchange.failBody(err)
}

// Close implements router.Stream.
func (s *stream) Close() {
	defer s.event.share.Release()
	if s.exchange.ended {
		return
	}
	if !s.done {
		s.exchange.unwatch()
		s.exchange.conn.Close()
		return
	}
	s.exchange.watch.expectProgressWithin(streamEndTimeout)
	if _, err := s.events.Next(); !errors.Is(err, io.EOF) {
		s.exchange.unwatch()
		s.exchange.dialer.opts.Scope.Counter("dialer.unread").Inc(1)
		s.exchange.conn.Close()
		return
	}
	s.exchange.finish()
}
