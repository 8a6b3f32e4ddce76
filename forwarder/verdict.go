package forwarder

import (
	"mime"
	"net/http"

	"foxtailwall/dialer"
	"foxtailwall/matcher"
)

// Verdicts on responses.
const (
	// verdictNotRun means that the upstream did not run the request: it says so, or
	// the address belongs to another upstream.
	verdictNotRun verdict = iota
	// verdictInvalid means that the request may have run and that the response is of
	// no use to the caller.
	verdictInvalid
	// verdictStream means that the events of the response are for the caller.
	verdictStream
	// verdictAnswer means that the whole response is for the caller.
	verdictAnswer
	// verdictFailure means that the upstream ran the request and failed. The response
	// is for the caller if no further attempt is made.
	verdictFailure
)

type (
	// verdict says what the response of an upstream means for its request.
	verdict uint8

	// responseFacts are the facts that decide the verdict.
	responseFacts struct {
		status int
		// notRun means that the response states that the request did not run.
		notRun bool
		// signed, ownID and encoded report whether the response has the upstream's
		// signature, the ID of the request and an encoded body.
		signed, ownID, encoded bool
		// own means that the response belongs to the request, whether it has an ID or
		// not.
		own bool
		// stream means that the route's successful responses are streams of events.
		stream bool
		// begun means that the caller has received a part of the stream, and sameType
		// that the response has the media type of that part.
		begun, sameType bool
	}
)

// judge decides what a response means from its status and header. After the
// caller has received a part of a stream, only the rest of the stream is of use.
func judge(f responseFacts) verdict {
	switch {
	case !f.own, !isFinal(f.status):
		return verdictInvalid
	case f.notRun, f.status == http.StatusMisdirectedRequest:
		return verdictNotRun
	case f.status/100 == 2 && (!f.signed || !f.ownID || f.encoded):
		return verdictInvalid
	case f.begun && (f.status != http.StatusOK || !f.sameType):
		return verdictInvalid
	case f.stream && f.status == http.StatusOK:
		return verdictStream
	case promisesNotRun(f.status):
		return verdictFailure
	}
	switch f.status / 100 {
	case 2, 3, 4:
		return verdictAnswer
	case 5:
		return verdictFailure
	}
	return verdictInvalid
}

// isFinal reports whether the status is one of a final response.
func isFinal(status int) bool { return status >= 200 && status <= 599 }

// judgeResponse returns the verdict on the response to the current attempt.
func (c *call) judgeResponse(resp *dialer.ForwardResponse, reply Reply) verdict {
	return judge(responseFacts{
		status: resp.Status, notRun: reply.NotRun,
		own:    c.isOwnResponse(resp, reply),
		signed: reply.Signed, ownID: reply.ID == c.envelope.ID, encoded: resp.Header.Get("Content-Encoding") != "",
		stream: c.route.Kind == matcher.Stream, begun: c.responding,
		sameType: mediaType(resp.Header) == mediaType(c.w.Header()),
	})
}

// isOwnResponse reports whether a response belongs to the request. One without an ID
// on a connection that carried another request may be a copy of an earlier response
// and proves nothing.
func (c *call) isOwnResponse(resp *dialer.ForwardResponse, reply Reply) bool {
	return reply.ID == c.envelope.ID || reply.ID == "" && resp.Sole
}

// mediaType returns the media type in a header without its parameters, empty if
// there is none.
func mediaType(h http.Header) string {
	value := h.Get("Content-Type")
	if t, _, err := mime.ParseMediaType(value); err == nil {
		return t
	}
	return value
}

// promisesNotRun reports whether the status tells callers that the request has
// not run and never will. From an upstream, only 421 proves it without a statement
// in the header.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
