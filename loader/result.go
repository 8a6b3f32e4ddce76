package loader

import (
	"time"

	"foxtailwall/emulator"
	"foxtailwall/refuser"
)

type (
	// Attempt is one time that a caller sent a request.
	Attempt struct {
		Entry int
		// Sent and Ended are by the loader's clock.
		Sent, Ended time.Time
		// Status is the HTTP status, 0 if there was no response.
		Status int
		// RequestID is the request ID of the response, empty if there was none.
		RequestID string
		// Code and Outcome are those of a refusal. A response that broke off,
		// or never came, has the code CodeTransport and an unknown outcome.
		Code    refuser.Code
		Outcome refuser.Outcome
		// Moved is the Foxtailwall-Moved header: why the session was moved.
		Moved string
		// Accepted says that the caller accepted another version for its
		// session.
		Accepted bool
		// StoredID is the request whose stored response this is, if a booking
		// had run before; the bill is under its ID.
		StoredID string
		// Interrupted says that the connection ended before the response did,
		// and GaveUp that the caller ended it after its own timeout.
		Interrupted bool
		GaveUp      bool
	}

	// Result is what a caller got for one request.
	Result struct {
		Request
		// Key is the idempotency key of a booking.
		Key string
		// SessionKey names the session; it is empty outside sessions.
		SessionKey string
		Attempts   []Attempt
		// Answered says that the last attempt returned an answer.
		Answered bool
		// Judgement is what the seal of the answer says.
		Judgement emulator.AnswerCheck
		// Foreign says that the response of a plain service belongs to
		// another call.
		Foreign bool
		// FirstToken and Total count from the intended start.
		FirstToken, Total time.Duration
		// Gaps are the times between the tokens of a stream.
		Gaps []time.Duration
		// Skipped says that the loader had no room to send the request.
		Skipped bool
	}
)

// CodeTransport stands for a response that broke off or never came.
const CodeTransport refuser.Code = "transport"

// last returns the last attempt, or the zero one.
func (r *Result) last() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// model reports whether the request went to a model.
func (r *Result) model() bool { return r.Class.Kind != "" }

// booking reports whether the request must not run twice.
func (r *Result) booking() bool { return r.Key != "" }
