package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/dialer"
	"foxtailwall/placer"
)

const (
	// eventBuffer is the size in bytes of the buffer in which events are
	// collected; it grows for larger ones.
	eventBuffer = 2 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

var (
	errPartialEvent = errors.New("the stream ended within an event")
	errEventTooLong = errors.Newf("an event exceeds %d bytes", maxEvent)
)

// stream forwards the events of an answer as they arrive and reports whether
// the request is answered. If the answer breaks off, the next attempt goes on
// after the last whole event.
func (c *call) stream(t *placer.Ticket, ans *dialer.Forwarded, g *guard, first time.Duration) bool {
	g.begun.Store(true)
	buf := make([]byte, 0, eventBuffer)
	for {
		now := c.f.set.Clock.Now()
		g.since.Store(&now)
		ans.Within(g.pause())
		if cap(buf)-len(buf) < eventBuffer/2 {
			buf = append(buf, make([]byte, eventBuffer)...)[:len(buf)]
		}
		n, err := ans.Read(buf[len(buf):cap(buf)])
		if n > 0 {
			t.Heard()
		}
		buf = buf[:len(buf)+n]
		if end := lastEvent(buf); end > 0 {
			if werr := c.forward(ans, buf[:end]); werr != nil {
				ans.Abort()
				t.Done(placer.Abandoned, first)
				c.spend(true)
				c.logEnd(statusClosed, "callerLeft")
				return true
			}
			buf = append(buf[:0], buf[end:]...)
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.streamEnd(t, ans, first, len(buf) == 0)
		case err == nil && len(buf) > maxEvent:
			ans.Abort()
			err = errEventTooLong
		}
		if err != nil {
			return c.streamCut(t, err)
		}
	}
}

// forward writes whole events to the caller.
func (c *call) forward(ans *dialer.Forwarded, events []byte) error {
	if !c.started {
		c.started = true
		copyHeader(c.w.Header(), ans.Header)
		c.w.WriteHeader(http.StatusOK)
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	if fl, ok := c.w.(http.Flusher); ok {
		fl.Flush()
	}
	if id := eventID(events); id != "" {
		c.lastID = id
	}
	c.events++
	return nil
}

// streamEnd handles the end of an answer's body.
func (c *call) streamEnd(t *placer.Ticket, ans *dialer.Forwarded, first time.Duration, whole bool) bool {
	if !whole {
		ans.Abort()
		return c.streamCut(t, errPartialEvent)
	}
	ans.Finish()
	c.spend(true)
	t.Done(placer.Good, first)
	c.count(t.Upstream(), false, first)
	if !c.started {
		// A stream without events is complete as it is.
		copyHeader(c.w.Header(), ans.Header)
		c.w.WriteHeader(http.StatusOK)
	}
	c.noteSession()
	c.logEnd(http.StatusOK, "answered")
	return true
}

// streamCut handles a stream that broke off.
func (c *call) streamCut(t *placer.Ticket, err error) bool {
	done := c.failed(t, err)
	if !done {
		c.f.set.Scope.Counter("forwarder.resumed").Inc(1)
	}
	return done
}

// lastEvent returns the length of the whole events at the beginning of b.
func lastEvent(b []byte) int {
	at := bytes.LastIndex(b, []byte("\n\n"))
	if crlf := bytes.LastIndex(b, []byte("\r\n\r\n")); crlf >= 0 && crlf+4 > at+2 {
		return crlf + 4
	}
	if at < 0 {
		return 0
	}
	return at + 2
}

// eventID returns the ID of the last event in b that has one.
func eventID(b []byte) string {
	id := ""
	for line := range bytes.Lines(b) {
		if rest, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}

// noteSession keeps the session on its version from the end of the request on.
func (c *call) noteSession() {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.assigner.Note(c.service.Name, c.session, c.target, c.f.set.Clock.Now())
}
