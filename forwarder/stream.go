package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
	"foxtailwall/dialer"
	"foxtailwall/placer"
)

const (
	// eventBufferSize is the initial size of the event buffer in bytes; it grows
	// for larger events.
	eventBufferSize = 2 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

// streamPace is how the events of a stream reached the caller.
type streamPace struct {
	firstAt, lastAt time.Time
	longestPause    time.Duration
}

var (
	errPartialEvent = errors.New("the stream ended within an event")
	errEventTooLong = errors.Newf("an event exceeds %d bytes", maxEventBytes)
)

// forwardStream forwards the events of a response as they arrive and reports
// whether the request is finished. If the response breaks off, the next attempt
// resumes after the last complete event. The guard is nil if another host guards the
// attempt.
func (c *call) forwardStream(t ticket, resp *dialer.ForwardResponse, g *progressGuard, firstByte time.Duration) bool {
	recordProgress := func() { c.expectDelegatedEvent(resp) }
	if g != nil {
		g.streaming.Store(true)
		recordProgress = func() { g.recordProgress(resp) }
	}
	recordProgress()
	c.recordResponse(false, firstByte)
	buf := make([]byte, 0, eventBufferSize)
	for {
		if cap(buf)-len(buf) < eventBufferSize/2 {
			if size := int64(len(buf) + eventBufferSize); !c.memory.Grow(size) {
				resp.Abort()
				return c.handleStreamFailure(t, c.tooLarge(&allotter.ExhaustedError{Bytes: size}))
			}
			buf = append(buf, make([]byte, eventBufferSize)...)[:len(buf)]
		}
		n, err := resp.Read(buf[len(buf):cap(buf)])
		if n > 0 {
			t.RecordReceived()
		}
		buf = buf[:len(buf)+n]
		if end := completeEventsLen(buf); end > 0 {
			if werr := c.forwardEvents(resp, buf[:end]); werr != nil {
				resp.Abort()
				t.Done(placer.Abandoned, firstByte)
				c.countDelivered(true)
				c.abort(callerLeft)
			}
			// An upstream that sends parts of an event or comments is not making
			// progress.
			if containsEvent(buf[:end]) {
				recordProgress()
				c.recordEvents(buf[:end])
				c.recordServed()
			}
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.finishStream(t, resp, firstByte, len(buf) == 0)
		case err == nil && len(buf) > maxEventBytes:
			resp.Abort()
			err = c.tooLarge(errEventTooLong)
		}
		if err != nil {
			return c.handleStreamFailure(t, err)
		}
	}
}

// forwardEvents writes complete events to the caller.
func (c *call) forwardEvents(resp *dialer.ForwardResponse, events []byte) error {
	if !c.responding {
		c.responding = true
		c.copyHeader(resp.Header)
		c.w.WriteHeader(http.StatusOK)
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	if fl, ok := c.w.(http.Flusher); ok {
		fl.Flush()
	}
	if id := parseLastEventID(events); id != "" {
		c.lastEventID = id
	}
	c.events++
	c.pace.record(c.f.settings.Clock.Now())
	return nil
}

// record records that events were sent to the caller.
func (p *streamPace) record(now time.Time) {
	if p.firstAt.IsZero() {
		p.firstAt = now
	} else {
		p.longestPause = max(p.longestPause, now.Sub(p.lastAt))
	}
	p.lastAt = now
}

// finishStream handles the end of a response's body. It reports whether the
// request is finished.
func (c *call) finishStream(t ticket, resp *dialer.ForwardResponse, firstByte time.Duration, complete bool) bool {
	if !complete {
		resp.Abort()
		return c.handleStreamFailure(t, errPartialEvent)
	}
	resp.Finish()
	c.countDelivered(true)
	t.Done(placer.Succeeded, firstByte)
	c.recordStreamEnd()
	if !c.responding {
		// A stream without events is complete.
		c.copyHeader(resp.Header)
		c.w.WriteHeader(http.StatusOK)
	}
	c.recordSession()
	c.recordUnbroken()
	c.logEnd(http.StatusOK, "answered")
	return true
}

// handleStreamFailure handles a stream that broke off. It reports whether the
// request is finished.
func (c *call) handleStreamFailure(t ticket, err error) bool {
	c.discardResponse()
	done := c.handleFailure(t, err)
	if !done {
		c.f.settings.Scope.Counter("forwarder.resumed").Inc(1)
	}
	return done
}

// completeEventsLen returns the length of the complete events at the start of
// b.
func completeEventsLen(b []byte) int {
	lf := bytes.LastIndex(b, []byte("\n\n"))
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > lf+2 {
		return crlf + 4
	}
	if lf < 0 {
		return 0
	}
	return lf + 2
}

// containsEvent reports whether b, a sequence of complete events, has a line
// that is not a comment.
func containsEvent(b []byte) bool {
	for line := range bytes.Lines(b) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// parseLastEventID returns the ID of the last event in b that has one.
func parseLastEventID(b []byte) string {
	id := ""
	for line := range bytes.Lines(b) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}

// recordSession records the version that the session used, so that its later
// requests stay on it.
func (c *call) recordSession() {
	if c.stats == nil {
		return
	}
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.assigner.RecordUse(c.service.Name, c.session, c.onTarget, c.f.settings.Clock.Now())
}
