package encoder

import (
	"encoding/json"

	"foxtailwall/refuser"
)

type (
	// Problem is the body of a response that refuses a request.
	Problem struct {
		Error ProblemError `json:"error"`
	}

	// ProblemError describes a refusal to the caller.
	ProblemError struct {
		Code    refuser.Code    `json:"code"`
		Outcome refuser.Outcome `json:"outcome"`
		Message string          `json:"message"`
		// RequestID is the ID of the refused request.
		RequestID string `json:"requestId"`
		// RetryAfterMs is the time in milliseconds after which a retry may
		// succeed, absent if none is known.
		RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	}
)

// AppendProblem appends the JSON body of the response to a refused request.
func AppendProblem(dst []byte, r *refuser.Refusal, requestID string) []byte {
	b, err := json.Marshal(Problem{Error: ProblemError{
		Code: r.Code, Outcome: r.Outcome, Message: r.Message,
		RequestID: requestID, RetryAfterMs: r.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return dst // Cannot happen: strings and numbers always marshal.
	}
	return append(dst, b...)
}
