package dialer

import (
	"context"
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/encoder"
	"foxtailwall/refuser"
	"foxtailwall/router"
)

// drainWait bounds the wait for the end of a stream's body behind its end
// marker; without it the connection could not be used again.
const drainWait = 200 * time.Millisecond

// stream is a streamed answer. It implements router.Stream.
type stream struct {
	x      *exchange
	events *encoder.EventReader
	done   bool
}

var errNoMarker = errors.New("the stream ended without its end marker")

// Do implements router.Upstreams.
func (d *Dialer) Do(ctx context.Context, a *router.Attempt) (*router.Answer, error) {
	x, err := d.start(ctx, a, false)
	if err != nil {
		return nil, err
	}
	if err := x.refusal(); err != nil {
		return nil, err
	}
	body, err := x.read()
	if err != nil {
		return nil, err
	}
	ans := &router.Answer{
		Status: x.resp.StatusCode, Header: x.resp.Header, Body: body,
		FirstByte: x.wait, RetryAfter: retryAfter(x.resp.Header),
	}
	if a.Engine && ans.Status == http.StatusOK {
		if err := x.fill(ans); err != nil {
			return nil, err
		}
	}
	x.finish()
	return ans, nil
}

// fill reads what routing needs from the body of an engine's answer.
func (x *exchange) fill(ans *router.Answer) error {
	p, err := encoder.ParseAnswer(ans.Body)
	if err != nil {
		return x.fail(router.FailMalformed, err)
	}
	if p.RequestID != x.a.ID {
		return x.fail(router.FailMismatch, errors.Newf("the body carries the ID %q, not %q", p.RequestID, x.a.ID))
	}
	if p.Usage != nil {
		ans.Usage = router.Usage{Input: p.Usage.PromptTokens, Output: p.Usage.CompletionTokens}
	}
	if x.a.Text {
		ans.Text = p.Text()
	}
	return nil
}

// Open implements router.Upstreams.
func (d *Dialer) Open(ctx context.Context, a *router.Attempt) (router.Stream, error) {
	x, err := d.start(ctx, a, true)
	if err != nil {
		return nil, err
	}
	if err := x.refusal(); err != nil {
		return nil, err
	}
	if err := x.streams(); err != nil {
		return nil, err
	}
	x.w.within(d.o.FirstByte)
	return &stream{x: x, events: encoder.NewEventReader(x.resp.Body, d.o.MaxEvent)}, nil
}

// streams checks that the answer is a stream and turns any other into an
// error.
func (x *exchange) streams() error {
	kind, _, err := mime.ParseMediaType(x.resp.Header.Get("Content-Type"))
	if x.resp.StatusCode == http.StatusOK && err == nil && kind == "text/event-stream" {
		return nil
	}
	if x.resp.StatusCode == http.StatusOK {
		return x.fail(router.FailMalformed, errors.Newf("the upstream answered with %q instead of a stream",
			x.resp.Header.Get("Content-Type")))
	}
	status, after := x.resp.StatusCode, retryAfter(x.resp.Header)
	body, err := x.read()
	if err != nil {
		return err
	}
	x.finish()
	return &router.AttemptError{
		Kind: router.FailStatus, Outcome: refuser.Unknown, Status: status, RetryAfter: after, Body: body,
		Err: errors.Newf("the upstream answered %d", status),
	}
}

// Next implements router.Stream.
func (s *stream) Next() (router.Chunk, error) {
	if s.done {
		return router.Chunk{}, io.EOF
	}
	data, err := s.events.Next()
	if err != nil {
		return router.Chunk{}, s.end(err)
	}
	if string(data) == encoder.Done {
		s.done = true
		return router.Chunk{}, io.EOF
	}
	s.x.w.within(s.x.d.o.Between)
	return s.chunk(data)
}

func (s *stream) chunk(data []byte) (router.Chunk, error) {
	p, err := encoder.ParseAnswer(data)
	if err != nil {
		return router.Chunk{}, s.x.fail(router.FailMalformed, err)
	}
	if p.RequestID != s.x.a.ID {
		return router.Chunk{}, s.x.fail(router.FailMismatch,
			errors.Newf("a chunk carries the ID %q, not %q", p.RequestID, s.x.a.ID))
	}
	if len(p.Error) > 0 && string(p.Error) != "null" {
		return router.Chunk{}, s.x.fail(router.FailCut, errors.New("the engine reported an error in the stream"))
	}
	c := router.Chunk{Data: data}
	if p.Produced() {
		c.Tokens = 1
	}
	if s.x.a.Text {
		c.Text = p.Text()
	}
	if p.Usage != nil {
		c.Usage = &router.Usage{Input: p.Usage.PromptTokens, Output: p.Usage.CompletionTokens}
	}
	return c, nil
}

// end returns the error for a stream that ended before its end marker.
func (s *stream) end(err error) error {
	if errors.Is(err, io.EOF) {
		err = errNoMarker
	}
	var large *encoder.EventTooLargeError
	if errors.As(err, &large) {
		return s.x.fail(router.FailMalformed, err)
	}
	return s.x.fail(router.FailCut, err)
}

// Close implements router.Stream.
func (s *stream) Close() {
	if s.x.settled {
		return
	}
	if !s.done {
		s.x.release()
		s.x.c.Close()
		return
	}
	s.x.w.within(drainWait)
	if _, err := s.events.Next(); !errors.Is(err, io.EOF) {
		s.x.release()
		s.x.d.o.Scope.Counter("dialer.unread").Inc(1)
		s.x.c.Close()
		return
	}
	s.x.finish()
}
