package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"foxtailwall/refuser"
)

const (
	// startupRetryAfter is the Retry-After of refusals for lack of a configuration.
	startupRetryAfter = 400 * time.Millisecond
	// noUpstreamRetryAfter is the Retry-After of refusals for lack of an upstream: the
	// list names a new one about a second after its start.
	noUpstreamRetryAfter = 900 * time.Millisecond
	// shutdownRetryAfter is the Retry-After while this host leaves and the retry reaches
	// another one.
	shutdownRetryAfter = 30 * time.Millisecond
	// busyRetryAfter is the Retry-After when no further attempt is allowed.
	busyRetryAfter = 150 * time.Millisecond
	// isolatedRetryAfter is the Retry-After of requests with an isolated prompt
	// part, which no host will serve for minutes.
	isolatedRetryAfter = time.Minute
	// limitedRetryAfter is the Retry-After while the upstreams that could serve a
	// request are at their rate limits. The retry reaches another host, whose share
	// may be free.
	limitedRetryAfter = 700 * time.Millisecond
	// coldRetryAfter is the Retry-After while the only upstreams are cold and this host
	// has no permit for any: other hosts may have one, and some upstreams become warm.
	coldRetryAfter = 500 * time.Millisecond
	// fullRetryAfter is the Retry-After while brittle upstreams have no room for a request
	// of this host.
	fullRetryAfter = 500 * time.Millisecond
	// minRetryJitter and retryJitter bound the factors that spread the retries of
	// callers that are refused together.
	minRetryJitter, retryJitter = 0.75, 0.5
	// statusNone is the logged status of a request that ended without a complete
	// response.
	statusNone = 0
	// callerLeft is the logged end of a request whose caller has closed the
	// connection.
	callerLeft refuser.Code = "callerLeft"
)

// refusal is a response that the router itself generates.
type refusal struct {
	status int
	code   refuser.Code
	// retryAfter is the value of Retry-After, zero to omit it.
	retryAfter time.Duration
}

func newRefusal(status int, code refuser.Code, retryAfter time.Duration) *refusal {
	return &refusal{status: status, code: code, retryAfter: retryAfter}
}

// finishFailed ends a request for which no further attempt is made.
func (c *call) finishFailed(ref *refusal) {
	switch {
	case c.responding, ref.status == statusNone:
		c.abort(ref.code)
	case c.lastFailure != nil:
		c.writeResponse(c.lastFailure)
		return
	case c.mayHaveRun == 0 && !promisesNotRun(ref.status):
		// The request has not run, so the caller may safely retry.
		ref = newRefusal(http.StatusServiceUnavailable, ref.code, max(ref.retryAfter, busyRetryAfter))
	case c.mayHaveRun > 0 && promisesNotRun(ref.status):
		ref = newRefusal(http.StatusBadGateway, ref.code, 0)
	}
	c.writeRefusal(ref)
}

// abort closes the caller's connection and logs the end of the request. A handler
// that only returned would end a response as complete, or send an empty success.
func (c *call) abort(reason refuser.Code) {
	c.logEnd(statusNone, string(reason))
	panic(http.ErrAbortHandler)
}

// writeRefusal sends a refusal to the caller and logs the end of the request.
func (c *call) writeRefusal(ref *refusal) {
	h := c.w.Header()
	if ref.retryAfter > 0 {
		seconds := ref.retryAfter.Seconds() * (minRetryJitter + retryJitter*rand.Float64())
		h.Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	}
	if c.isDelegated() {
		c.handBack(h)
	}
	if id := c.envelope.ID; id != "" {
		h.Set(c.f.settings.Codec.IDField(), id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := string(ref.code) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.w.WriteHeader(ref.status)
	if _, err := c.w.Write([]byte(text)); err != nil {
		c.f.settings.Scope.Counter("forwarder.unsent").Inc(1)
	}
	c.logEnd(ref.status, string(ref.code))
}

// handBack tells the host that has passed the request to this one whether it may have
// run.
func (c *call) handBack(h http.Header) {
	outcome := refuser.Unknown
	if c.mayHaveRun == 0 {
		outcome = refuser.NotRun
		if c.service != nil {
			// The other host counts the request again.
			c.f.settings.Budget.ReturnRequest(c.service.Name)
		}
	}
	h.Set(fieldDelegatedOutcome, string(outcome))
}

// writeResponse forwards a complete response of an upstream that ran the request,
// except if its status would promise callers that the request has not run.
func (c *call) writeResponse(resp *response) {
	status := resp.status
	if promisesNotRun(status) {
		c.lastFailure = nil
		c.writeRefusal(newRefusal(http.StatusBadGateway, refuser.UpstreamFailed, 0))
		return
	}
	c.copyHeader(resp.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(resp.body)))
	c.limitWrite()
	c.w.WriteHeader(status)
	if _, err := c.w.Write(resp.body); err != nil {
		c.f.settings.Scope.Counter("forwarder.unsent").Inc(1)
	}
	c.logEnd(status, "answered")
}

// copyHeader copies the fields of an upstream's response that are not hop-by-hop.
func (c *call) copyHeader(from http.Header) {
	to := c.w.Header()
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
			"Transfer-Encoding", "Upgrade", "Content-Length", fieldDelegatedOutcome:
			continue
		}
		to[name] = values
	}
	if c.isDelegated() {
		to.Set(fieldDelegatedOutcome, string(refuser.Ran))
	}
}
