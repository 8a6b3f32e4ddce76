package router

import (
	"net/http"
	"time"

	"foxtailwall/declarer"
)

type (
	// Request is what every request has.
	Request struct {
		// ID is unique and names the request in answers, bills and claims.
		ID     string
		Holder declarer.KeyHolder
		// Deadline is the time the caller gives the request, zero if it
		// names none.
		Deadline time.Duration
		// Priority goes from 0, the lowest, to 9.
		Priority int
	}

	// ChatRequest is a request for a model.
	ChatRequest struct {
		Request
		// Model is the model the caller names; empty or AutoModel leaves the
		// choice to the chooser.
		Model string
		// Kind is empty if the caller names none.
		Kind declarer.Kind
		// Body returns the body for an engine that shall run the version.
		Body         func(ref declarer.VersionRef) []byte
		Prompt       []byte
		PromptTokens int64
		MaxTokens    int64
		// Session is the caller's own session ID, empty if it has none.
		Session string
		// Tokens are the session tokens the caller returned.
		Tokens []string
		// Repin says that the caller accepts another version if that of its
		// session was withdrawn.
		Repin bool
	}

	// ChatAnswer is the whole answer to a ChatRequest.
	ChatAnswer struct {
		Notice
		Status int
		Type   string
		Body   []byte
	}

	// Notice is what an answer says about its session.
	Notice struct {
		Ref declarer.VersionRef
		// Tokens are the session tokens to return with the next request.
		Tokens []string
		// Provisional says that the pin was not stored, because the control
		// group was out of reach.
		Provisional bool
		// Moved says why the session runs on another version than before,
		// empty if it does not.
		Moved string
	}

	// Sink receives a streamed answer.
	Sink interface {
		// Begin is called once, before the first chunk.
		Begin(n Notice) error
		// Chunk takes the data of one chunk, which is valid during the call.
		Chunk(data []byte) error
		// End is called after the last chunk of a whole answer, once the
		// bill is held.
		End() error
	}

	// CallRequest is a request for a plain service.
	CallRequest struct {
		Request
		Service string
		Method  string
		// Path is the path below the service, with a leading slash, and
		// Query the raw query.
		Path  string
		Query string
		// Header holds the end-to-end fields to pass on.
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
		// Stored says that the answer is that of an earlier request with the
		// same key, whose ID is Origin.
		Stored bool
		Origin string
	}
)

// AutoModel leaves the choice of the model to the chooser.
const AutoModel = declarer.AnyModel
