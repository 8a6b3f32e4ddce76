package loader

import (
	"time"

	"foxtailwall/emulator"
	"foxtailwall/refuser"
)

type (
	// Attempt is one sending of a request and its outcome.
	Attempt struct {
		// Entry is the index of the entry host.
		Entry int
		// Sent and Ended are read from the loader's clock.
		Sent, Ended time.Time
		// Status is the HTTP status, 0 if there was no response.
		Status int
		// RequestID is the request ID of the response, empty if there was none.
		RequestID string
		// Code and Outcome describe a refusal. A missing or truncated response
		// has the code CodeTransport and an unknown outcome.
		Code    refuser.Code
		Outcome refuser.Outcome
		// Moved is the reason for moving the session, from the
		// Foxtailwall-Moved header.
		Moved string
		// Accepted means that the caller accepted another version for its
		// session.
		Accepted bool
		// StoredID is the ID of the earlier request whose stored response was
		// returned for a booking; the booking is billed under that ID.
		StoredID string
		// Interrupted means that the response is missing or incomplete, GaveUp
		// that the caller had reached its own timeout by then.
		Interrupted bool
		GaveUp      bool
	}

	// Result is a request with its attempts and the answer's checks.
	Result struct {
		Request
		// Key is the idempotency key of a booking.
		Key string
		// SessionKey names the session; it is empty outside sessions.
		SessionKey string
		Attempts   []Attempt
		// Answered means that the last attempt returned a complete response.
		Answered bool
		// Judgement is the check of the answer's seal against the prompt.
		Judgement emulator.AnswerCheck
		// Foreign means that the response of a plain service belongs to another
		// call.
		Foreign bool
		// FirstToken and Total are measured from the intended start.
		FirstToken, Total time.Duration
		// Gaps are the times between the tokens of a stream.
		Gaps []time.Duration
		// Skipped means that the request was not sent because Config.InFlight
		// was reached.
		Skipped bool
	}
)

// CodeTransport is the code of a missing or truncated response.
const CodeTransport refuser.Code = "transport"

// lastAttempt returns the last attempt, or a zero Attempt if there is none.
func (r *Result) lastAttempt() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// isModelRequest reports whether the request is for a model, not for a plain
// service.
func (r *Result) isModelRequest() bool { return r.Class.Kind != "" }

// isBooking reports whether the request is a booking, which must not run twice.
func (r *Result) isBooking() bool { return r.Key != "" }
