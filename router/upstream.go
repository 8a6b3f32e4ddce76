package router

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"foxtailwall/allotter"
	"foxtailwall/declarer"
	"foxtailwall/refuser"
)

// The ways in which an attempt fails.
const (
	// FailRefused means that no connection could be opened.
	FailRefused FailKind = "refused"
	// FailReset means that the connection broke before the answer was complete.
	FailReset FailKind = "reset"
	// FailSilent means that a reused connection gave no answer at all. It says
	// nothing about the health of the upstream.
	FailSilent FailKind = "silent"
	// FailStalled means that a new connection gave no answer, or that an answer
	// paused, for longer than the limit.
	FailStalled FailKind = "stalled"
	// FailMismatch means that the answer belongs to another attempt.
	FailMismatch FailKind = "mismatch"
	// FailCut means that the answer ended before its end marker.
	FailCut FailKind = "cut"
	// FailMalformed means that the answer violates the protocol or exceeds a
	// limit.
	FailMalformed FailKind = "malformed"
	// FailStatus means that the upstream returned an error status.
	FailStatus FailKind = "status"
	// FailDeadline means that the deadline of the attempt passed.
	FailDeadline FailKind = "deadline"
	// FailCancelled means that the caller disconnected or another attempt was
	// faster.
	FailCancelled FailKind = "cancelled"
	// FailMemory means that this host had no memory for the answer in time. It says
	// nothing about the upstream, and another attempt would need the memory, too.
	FailMemory FailKind = "memory"
	// FailCheck means that Attempt.Check returned an error, before the first
	// byte was sent.
	FailCheck FailKind = "checked"
)

type (
	// Upstreams sends attempts. Every error is an *AttemptError.
	Upstreams interface {
		// Do sends the attempt and returns its complete answer.
		Do(ctx context.Context, a *Attempt) (*Answer, error)
		// Open sends the attempt and returns its streamed answer, which the
		// caller must close. Closing a stream before its end cancels the request
		// at the upstream.
		Open(ctx context.Context, a *Attempt) (Stream, error)
	}

	// Stream is a streamed answer.
	Stream interface {
		// Next returns the next chunk. It returns io.EOF only after the end
		// marker, and an *AttemptError if the stream ends in any other way.
		Next() (Chunk, error)
		Close()
	}

	// Attempt is one execution of a request on one upstream.
	Attempt struct {
		// ID is unique to the attempt. The upstream returns it with the answer.
		ID       string
		Upstream *declarer.Upstream
		Method   string
		// Path is the request path with its query.
		Path   string
		Header http.Header
		Body   []byte
		// Engine means that the upstream is a model engine, which returns the ID
		// in the header and in every body and chunk. A plain service may omit the
		// ID, but must not return another one.
		Engine bool
		// NewConn requires a new connection. The peer may have closed a reused one,
		// which shows only after the request was sent.
		NewConn  bool
		Deadline time.Time
		// Priority ranges from 0, the lowest, to 9.
		Priority int
		// WantText requests the generated text of the answer.
		WantText bool
		// Memory collects the shares of memory that the answer holds. If it is nil, the
		// answer holds none once it was read.
		Memory *allotter.Shares
		// Resume has the form "ID:N": the attempt that started the interrupted
		// stream and the number of tokens received.
		Resume string
		// Check is called when a connection is ready, before the first byte is
		// sent. Its error ends the attempt.
		Check func() error
	}

	// Answer is the complete answer of an upstream.
	Answer struct {
		Status int
		Header http.Header
		Body   []byte
		// Memory is the share of Attempt.Memory that holds the body, nil if there is
		// none. An answer that is not used releases it early.
		Memory *allotter.Share
		// Usage is set in answers of engines.
		Usage Usage
		// Text is the generated text, if the attempt requested it.
		Text string
		// FirstByte is the time until the answer began.
		FirstByte time.Duration
		// RetryAfter is the delay that the upstream asked for, zero if none.
		RetryAfter time.Duration
	}

	// Chunk is one chunk of a streamed answer.
	Chunk struct {
		// Data is valid until the next call of Next.
		Data []byte
		// Text is the generated text, if the attempt requested it.
		Text string
		// Tokens is the number of tokens in the chunk.
		Tokens int64
		// Usage is the total reported by the engine, nil in chunks that report
		// none.
		Usage *Usage
	}

	// Usage is the number of prompt and answer tokens of a request.
	Usage struct{ Input, Output int64 }

	// FailKind is the way in which an attempt failed.
	FailKind string

	// AttemptError describes how an attempt failed and whether its request ran.
	AttemptError struct {
		Kind FailKind
		// Outcome is NotRun only if no byte of the request was sent or the
		// upstream proved that it did not run it.
		Outcome refuser.Outcome
		// Status is the HTTP status of a FailStatus.
		Status int
		// Body is the body of a FailStatus, and Memory what holds it, as in Answer.
		Body   []byte
		Memory *allotter.Share
		// RetryAfter is the delay that the upstream asked for, zero if none.
		RetryAfter time.Duration
		// Begun means that a part of a response was received.
		Begun bool
		Err   error
	}
)

// Error implements error.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("attempt %s (%s): %v", e.Kind, e.Outcome, e.Err)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }
