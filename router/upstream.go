package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// Kinds of failed attempts.
const (
	// FailRefused means that no connection could be opened.
	FailRefused FailKind = "refused"
	// FailReset means that the connection broke before the answer was whole.
	FailReset FailKind = "reset"
	// FailSilent means that a connection that had worked before gave no
	// answer at all. It says nothing about the upstream.
	FailSilent FailKind = "silent"
	// FailStalled means that a new connection gave no answer, or that an
	// answer stopped in the middle, for longer than the bound.
	FailStalled FailKind = "stalled"
	// FailMismatch means that the answer belongs to another attempt.
	FailMismatch FailKind = "mismatch"
	// FailCut means that the answer ended before its end marker.
	FailCut FailKind = "cut"
	// FailMalformed means that the answer breaks the protocol or a bound.
	FailMalformed FailKind = "malformed"
	// FailStatus means that the upstream answered with a failure status.
	FailStatus FailKind = "status"
	// FailDeadline means that the deadline of the attempt passed.
	FailDeadline FailKind = "deadline"
	// FailCancelled means that the caller left.
	FailCancelled FailKind = "cancelled"
	// FailChecked means that the check before the first byte failed.
	FailChecked FailKind = "checked"
)

type (
	// Upstreams sends attempts. Every error is an *AttemptError.
	Upstreams interface {
		// Do sends the attempt and returns its whole answer.
		Do(ctx context.Context, a *Attempt) (*Answer, error)
		// Open sends the attempt and returns its streamed answer, which the
		// caller closes. Closing a stream before its end cancels the
		// request at the upstream.
		Open(ctx context.Context, a *Attempt) (Stream, error)
	}

	// Stream is a streamed answer.
	Stream interface {
		// Next returns the next chunk. It returns io.EOF only after the end
		// marker, and an *AttemptError for every other end.
		Next() (Chunk, error)
		Close()
	}

	// Attempt is one try of a request on one upstream.
	Attempt struct {
		// ID is unique to the attempt and echoed by the upstream.
		ID       string
		Upstream *declarer.Upstream
		Method   string
		// Path is the request path with its query.
		Path   string
		Header http.Header
		Body   []byte
		// Engine says that the upstream is a model engine, which echoes the
		// ID in the header and in every body and chunk. A plain service may
		// leave it out, but may not echo another.
		Engine bool
		// Fresh demands a new connection. A reused one may have been closed
		// by the peer, which shows only after the request was sent.
		Fresh    bool
		Deadline time.Time
		// Priority goes from 0, the lowest, to 9.
		Priority int
		// Text asks for the generated text of the answer.
		Text bool
		// Resume names a cut stream and the tokens received, "ID:N".
		Resume string
		// Check is called when a connection is ready, before the first byte.
		// Its error ends the attempt.
		Check func() error
	}

	// Answer is the whole answer of an upstream.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
		// Usage is set in answers of engines.
		Usage Usage
		// Text is the generated text, if the attempt asked for it.
		Text string
		// FirstByte is the time until the answer began.
		FirstByte time.Duration
		// RetryAfter is what the upstream asked for, zero if nothing.
		RetryAfter time.Duration
	}

	// Chunk is one chunk of a streamed answer.
	Chunk struct {
		// Data is valid until the next call of Next.
		Data []byte
		// Text is the generated text, if the attempt asked for it.
		Text string
		// Tokens is the number of tokens the chunk carries.
		Tokens int64
		// Usage is set in the chunk that reports it.
		Usage *Usage
	}

	// Usage counts the tokens of an answer.
	Usage struct{ Input, Output int64 }

	// FailKind says how an attempt failed.
	FailKind string

	// AttemptError says how an attempt failed and whether it ran.
	AttemptError struct {
		Kind FailKind
		// Outcome is NotRun only if no byte of the request was sent or the
		// upstream proves that it did not run it.
		Outcome refuser.Outcome
		// Status is the HTTP status of a FailStatus.
		Status int
		// Body is the body of a FailStatus.
		Body []byte
		// RetryAfter is what the upstream asked for, zero if nothing.
		RetryAfter time.Duration
		Err        error
	}
)

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt %s (%s): %v", e.Kind, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }
