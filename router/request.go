package router

import (
	"net/http"
	"time"

	"foxtailwall/allotter"
	"foxtailwall/declarer"
)

type (
	// Request holds the fields that chat requests and service calls share.
	Request struct {
		// ID is unique. Answers, bills and claims refer to the request by it.
		ID string
		// Holder is the workspace and member that the API key belongs to.
		Holder declarer.KeyHolder
		// Deadline is the time limit that the caller set, zero if none.
		Deadline time.Duration
		// Priority ranges from 0, the lowest, to 9.
		Priority int
		// Memory collects the shares of memory that answers hold; the caller of the
		// router releases it once the answer was written. It may be nil.
		Memory *allotter.Shares
	}

	// ChatRequest is a request for a model.
	ChatRequest struct {
		Request
		// Model is the model that the caller named. With an empty name or
		// AutoModel the chooser selects one.
		Model string
		// Kind is empty if the caller named none.
		Kind declarer.Kind
		// Body returns the request body for an engine that runs the given
		// version.
		Body         func(ref declarer.VersionRef) []byte
		Prompt       []byte
		PromptTokens int64
		MaxTokens    int64
		// Session is the caller's session ID, empty if it sent none.
		Session string
		// Tokens are the session tokens that the caller sent.
		Tokens []string
		// Repin means that the caller accepts another version if the version of
		// its session was withdrawn.
		Repin bool
	}

	// ChatAnswer is the complete answer to a ChatRequest.
	ChatAnswer struct {
		SessionInfo
		Status      int
		ContentType string
		Body        []byte
	}

	// SessionInfo is the session information that accompanies an answer.
	SessionInfo struct {
		// Ref is the version that produced the answer.
		Ref declarer.VersionRef
		// Tokens are the session tokens for the caller to send with its next
		// request.
		Tokens []string
		// Provisional means that the pin was not stored because the control group
		// could not be reached.
		Provisional bool
		// MoveReason is the reason why the session runs on another version than
		// before, empty if it does not.
		MoveReason string
	}

	// Sink receives a streamed answer.
	Sink interface {
		// Begin is called once, before the first chunk.
		Begin(info SessionInfo) error
		// Chunk receives the data of one chunk, which is valid only during the
		// call.
		Chunk(data []byte) error
		// End is called after the last chunk of a complete answer, once its bill
		// is stored.
		End() error
	}

	// CallRequest is a request for a plain service.
	CallRequest struct {
		Request
		Service string
		Method  string
		// Path is the path below the service, with a leading slash, and Query the
		// raw query.
		Path  string
		Query string
		// Header holds the end-to-end header fields to pass on.
		Header http.Header
		Body   []byte
		// Key is the caller's Idempotency-Key.
		Key string
	}

	// CallAnswer is the answer of a plain service.
	CallAnswer struct {
		Status int
		Header http.Header
		Body   []byte
		// Stored means that the answer is the stored one of an earlier request
		// with the same key, and OriginalID is the ID of that request.
		Stored     bool
		OriginalID string
	}
)

// AutoModel is the model name with which the chooser selects the model.
const AutoModel = declarer.AnyModel
