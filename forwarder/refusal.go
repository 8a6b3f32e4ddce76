package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"foxtailwall/matcher"
	"foxtailwall/refuser"
)

const (
	// startWait is when callers are to come back that found no configuration
	// or no upstream.
	startWait = 400 * time.Millisecond
	// leaveWait is when callers are to come back that reached a host which is
	// leaving; they reach another one.
	leaveWait = 30 * time.Millisecond
	// busyWait is when callers are to come back whose upstreams were full.
	busyWait = 150 * time.Millisecond
	// statusClosed stands for a caller that has left.
	statusClosed = 0
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	code   refuser.Code
	// again is when the caller may come back, zero if it is not told.
	again time.Duration
}

func refuse(status int, code refuser.Code, again time.Duration) *refusal {
	return &refusal{status: status, code: code, again: again}
}

// promises reports whether callers understand the status as: the request has
// not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// giveUp answers a request for which no further attempt is made.
func (c *call) giveUp(ref *refusal) {
	switch {
	case c.started:
		// An answer that has begun must not look complete.
		c.logEnd(statusClosed, string(ref.code))
		panic(http.ErrAbortHandler)
	case ref.status == statusClosed:
		c.logEnd(statusClosed, string(ref.code))
		return
	case c.last != nil:
		c.deliver(c.last)
		return
	case c.ran == 0 && !promises(ref.status):
		// Nothing may have run, so the caller may come back.
		ref = refuse(http.StatusServiceUnavailable, ref.code, max(ref.again, busyWait))
	case c.ran > 0 && promises(ref.status):
		ref = refuse(http.StatusBadGateway, ref.code, 0)
	}
	c.refuse(ref)
}

// refuse writes an answer of the router's own.
func (c *call) refuse(ref *refusal) {
	h := c.w.Header()
	if ref.again > 0 {
		// Callers that are refused together come back one after the other.
		s := ref.again.Seconds() * (0.75 + 0.5*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(s, 'f', 3, 64))
	}
	if id := c.env.ID; id != "" {
		h.Set(c.f.set.Codec.IDField(), id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := string(ref.code) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(ref.status)
	if _, err := c.w.Write([]byte(text)); err != nil {
		c.f.set.Scope.Counter("forwarder.unsent").Inc(1)
	}
	c.logEnd(ref.status, string(ref.code))
}

// deliver forwards a whole answer.
func (c *call) deliver(a *answer) {
	status := a.status
	if promises(status) && c.ran > 0 && c.route.Kind == matcher.NonIdempotent {
		// The status would say that the request has not run.
		c.last = nil
		c.refuse(refuse(http.StatusBadGateway, refuser.UpstreamFailed, 0))
		return
	}
	copyHeader(c.w.Header(), a.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	c.w.WriteHeader(status)
	if _, err := c.w.Write(a.body); err != nil {
		c.f.set.Scope.Counter("forwarder.unsent").Inc(1)
	}
	c.logEnd(status, "answered")
}

// copyHeader copies the fields that do not concern one connection only.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
			"Transfer-Encoding", "Upgrade", "Content-Length":
			continue
		}
		to[name] = values
	}
}
