// Package refuser defines the error type that callers receive for a refused
// request.
//
// A refusal has a stable code, the outcome of the request and a message that
// says what the caller can do. The outcome tells whether a retry is safe:
// after NotRun the request can be sent again, after Unknown a non-idempotent
// request must not be sent with a new key.
//
// # Usage
//
//	return refuser.New(refuser.QueueFull, refuser.NotRun,
//		"workspace %q has %d queued requests; retry after %s", name, n, wait)
//
//	if r, ok := refuser.As(err); ok && r.Outcome == refuser.NotRun {
//		// A retry is safe.
//	}
package refuser

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Outcomes of a refused request.
const (
	// NotRun means that no upstream has run or will run the request.
	NotRun Outcome = "notRun"
	// Ran means that an upstream ran the request, but its complete answer is not
	// available.
	Ran Outcome = "ran"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Codes of refusals. They are stable, since clients may match on them.
const (
	BadRequest         Code = "badRequest"
	BodyTooLarge       Code = "bodyTooLarge"
	HeaderTooLarge     Code = "headerTooLarge"
	Unauthorized       Code = "unauthorized"
	UnknownModel       Code = "unknownModel"
	UnknownService     Code = "unknownService"
	ModelNotAllowed    Code = "modelNotAllowed"
	VersionWithdrawn   Code = "versionWithdrawn"
	SessionInvalid     Code = "sessionInvalid"
	KeyRequired        Code = "keyRequired"
	KeyInvalid         Code = "keyInvalid"
	KeyExpired         Code = "keyExpired"
	KeyReused          Code = "keyReused"
	NoQuorum           Code = "noQuorum"
	NoUpstream         Code = "noUpstream"
	QueueFull          Code = "queueFull"
	DeadlineTooShort   Code = "deadlineTooShort"
	DeadlineExceeded   Code = "deadlineExceeded"
	RetryBudget        Code = "retryBudgetSpent"
	UpstreamFailed     Code = "upstreamFailed"
	PromptIsolated     Code = "promptIsolated"
	RequestIsolated    Code = "requestIsolated"
	RateLimited        Code = "rateLimited"
	UpstreamsPaused    Code = "upstreamsPaused"
	UpstreamsFull      Code = "upstreamsFull"
	UpstreamsCold      Code = "upstreamsCold"
	StreamCut          Code = "streamCut"
	AnswerMismatch     Code = "answerMismatch"
	OutcomeUnknown     Code = "outcomeUnknown"
	AnswerNotStored    Code = "answerNotStored"
	MixedReleases      Code = "mixedReleases"
	ShuttingDown       Code = "shuttingDown"
	NotConfigured      Code = "notConfigured"
	Conflict           Code = "conflict"
	InvalidDeclaration Code = "invalidDeclaration"
	Internal           Code = "internal"
)

type (
	// Outcome tells whether the refused request ran.
	Outcome string

	// Code identifies the reason for a refusal.
	Code string

	// Refusal is the error that a caller receives for a refused request.
	Refusal struct {
		Code    Code
		Outcome Outcome
		Message string
		// RetryAfter is the delay after which a retry may succeed, zero if
		// unknown.
		RetryAfter time.Duration
	}
)

// statusByCode maps each code to its HTTP status.
var statusByCode = map[Code]int{
	BadRequest:         http.StatusBadRequest,
	BodyTooLarge:       http.StatusRequestEntityTooLarge,
	HeaderTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	Unauthorized:       http.StatusUnauthorized,
	UnknownModel:       http.StatusNotFound,
	UnknownService:     http.StatusNotFound,
	ModelNotAllowed:    http.StatusForbidden,
	VersionWithdrawn:   http.StatusConflict,
	SessionInvalid:     http.StatusBadRequest,
	KeyRequired:        http.StatusBadRequest,
	KeyInvalid:         http.StatusBadRequest,
	KeyExpired:         http.StatusConflict,
	KeyReused:          http.StatusUnprocessableEntity,
	NoQuorum:           http.StatusServiceUnavailable,
	NoUpstream:         http.StatusServiceUnavailable,
	QueueFull:          http.StatusTooManyRequests,
	DeadlineTooShort:   http.StatusServiceUnavailable,
	DeadlineExceeded:   http.StatusGatewayTimeout,
	RetryBudget:        http.StatusServiceUnavailable,
	UpstreamFailed:     http.StatusBadGateway,
	PromptIsolated:     http.StatusServiceUnavailable,
	RequestIsolated:    http.StatusServiceUnavailable,
	RateLimited:        http.StatusServiceUnavailable,
	UpstreamsPaused:    http.StatusServiceUnavailable,
	UpstreamsFull:      http.StatusServiceUnavailable,
	UpstreamsCold:      http.StatusServiceUnavailable,
	StreamCut:          http.StatusBadGateway,
	AnswerMismatch:     http.StatusBadGateway,
	OutcomeUnknown:     http.StatusBadGateway,
	AnswerNotStored:    http.StatusConflict,
	MixedReleases:      http.StatusServiceUnavailable,
	ShuttingDown:       http.StatusServiceUnavailable,
	NotConfigured:      http.StatusServiceUnavailable,
	Conflict:           http.StatusConflict,
	InvalidDeclaration: http.StatusUnprocessableEntity,
	Internal:           http.StatusInternalServerError,
}

// New returns a refusal whose message is formatted with fmt.Sprintf.
func New(code Code, outcome Outcome, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: outcome, Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// Status returns the HTTP status for the code, 500 for an unknown code.
func (r *Refusal) Status() int {
	if s, ok := statusByCode[r.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// WithRetryAfter returns a copy of r with RetryAfter set to d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// As returns the first refusal in the error chain of err.
func As(err error) (*Refusal, bool) {
	var r *Refusal
	ok := errors.As(err, &r)
	return r, ok
}
