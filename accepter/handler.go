package accepter

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/allotter"
)

const (
	// maxUnread is the announced size in bytes up to which the rest of a body that the
	// handler has not read is received, so that the connection can be used again.
	maxUnread = 64 << 10
	// unreadTimeout bounds the time for that. The response is written after it.
	unreadTimeout = time.Second
	// bodyFactor is the memory for each byte of a body that a handler reads into a
	// growing slice.
	bodyFactor = 2
	// retryAfter is the Retry-After in seconds of a request without memory.
	retryAfter = 1
)

type (
	// handler is the handler of a guarded server.
	handler struct {
		next   http.Handler
		limits Limits
	}

	// body is the body of a request.
	body struct {
		io.ReadCloser
		h      *handler
		c      *conn // nil over HTTP/2
		rc     *http.ResponseController
		upload *allotter.Upload // nil if the handler counts the memory
		size   int64
		// ended reports whether the body was read to its end.
		ended bool
		// refused reports whether the body found no memory.
		refused bool
	}

	// response is the response to a request with a body.
	response struct {
		http.ResponseWriter
		r     *http.Request
		b     *body
		wrote bool
	}
)

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if r.ProtoMajor != 1 {
		// A connection of HTTP/2 carries several requests, whose headers it does not count.
		c = nil
		header := h.limits.Memory.NewUpload(allotter.Holder{Address: addressOf(r)}, func() {})
		defer header.Release()
		if cost := headerCost(r.Header); cost > 0 && (header.Grow(cost) != nil || !header.Complete()) {
			h.limits.Scope.Counter("accepter.headersRefused").Inc(1)
			w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if r.ContentLength == 0 {
		if c != nil && !c.startRunning() {
			panic(http.ErrAbortHandler)
		}
		h.next.ServeHTTP(w, r)
		return
	}
	if c != nil && !c.enter(receiving) {
		panic(http.ErrAbortHandler)
	}
	b := &body{ReadCloser: r.Body, h: h, c: c, rc: http.NewResponseController(w)}
	if !h.limits.OwnBodies {
		b.upload = h.limits.Memory.NewUpload(allotter.Holder{Address: addressOf(r)}, b.cancel)
		defer b.upload.Release()
	}
	b.setReadDeadline(h.limits.Clock.Now().Add(h.limits.BodyTimeout))
	r.Body = b
	resp := &response{ResponseWriter: w, r: r, b: b}
	h.next.ServeHTTP(resp, r)
	if !resp.wrote {
		resp.WriteHeader(http.StatusOK)
	}
}

// headerCost returns the memory that a header takes beyond freeHeader, in bytes.
func headerCost(h http.Header) int64 {
	cost := int64(-freeHeader)
	for name, values := range h {
		for _, v := range values {
			cost += int64(len(name) + len(v) + fieldCost)
		}
	}
	return cost
}

// startRunning begins the phase in which the connection is not replaced and the header
// keeps its memory. It reports false if the request must not run.
func (c *conn) startRunning() bool { return c.enter(running) && c.header.Complete() }

// addressOf returns the address of the caller.
func addressOf(r *http.Request) netip.Addr {
	addr, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{} // A connection without IP addresses.
	}
	return addr.Addr().Unmap()
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	if b.upload != nil {
		if growErr := b.upload.Grow(bodyFactor * b.size); growErr != nil {
			b.refused = true
			b.h.limits.Scope.Counter("accepter.bodiesRefused").Inc(1)
			return 0, growErr
		}
	}
	if errors.Is(err, io.EOF) && !b.ended {
		return n, b.end(err)
	}
	return n, err
}

// end ends the phase in which the request may be cancelled and returns the error for
// the reader, which is eof unless the request was cancelled.
func (b *body) end(eof error) error {
	if b.c != nil && !b.c.startRunning() || b.upload != nil && !b.upload.Complete() {
		b.refused = true
		return &allotter.CancelledError{}
	}
	b.ended = true
	b.setReadDeadline(time.Time{})
	return eof
}

// cancel ends the pending and later reads of the body.
func (b *body) cancel() {
	if b.c != nil {
		b.c.cancelReads()
		return
	}
	b.setReadDeadline(time.Unix(1, 0))
}

func (b *body) setReadDeadline(t time.Time) {
	if err := b.rc.SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) && !errors.Is(err, net.ErrClosed) {
		b.h.limits.Scope.Counter("accepter.deadlinesUnset").Inc(1)
	}
}

// WriteHeader implements http.ResponseWriter. If the body was not read, the response
// does not wait for it: net/http would read up to 256 KiB of it without a time limit.
func (w *response) WriteHeader(status int) {
	if w.wrote || status < http.StatusOK {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	w.wrote = true
	if !w.b.ended {
		if w.b.refused {
			status = http.StatusServiceUnavailable
			w.Header().Set("Retry-After", strconv.Itoa(retryAfter))
		}
		if w.b.refused || w.r.ContentLength < 0 || w.r.ContentLength-w.b.size > maxUnread {
			if w.r.ProtoMajor == 1 {
				w.Header().Set("Connection", "close")
			}
		} else {
			w.b.setReadDeadline(w.b.h.limits.Clock.Now().Add(unreadTimeout))
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *response) Write(b []byte) (int, error) {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// Flush implements http.Flusher.
func (w *response) Flush() {
	if !w.wrote {
		w.WriteHeader(http.StatusOK)
	}
	_ = http.NewResponseController(w.ResponseWriter).Flush() // A later write reports the error.
}

// Unwrap is used by http.ResponseController.
func (w *response) Unwrap() http.ResponseWriter { return w.ResponseWriter }
