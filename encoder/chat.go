package encoder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// maxChatDepth limits the nesting of a chat body; encoding/json itself
	// allows 10000 levels.
	maxChatDepth = 64
	// bytesPerToken is the usual estimate for prompts whose tokens the engine
	// has not counted yet.
	bytesPerToken = 4
)

// routedFields are the request fields that routing reads.
var routedFields = []string{"model", "stream", "messages", "max_tokens", "max_completion_tokens"}

type (
	// ChatRequest is the body of POST /v1/chat/completions. Only the fields
	// that routing needs are parsed; all others go to the engine unchanged.
	ChatRequest struct {
		// Model is the requested model, empty if the body names none.
		Model  string
		Stream bool
		// MaxTokens is the larger of max_tokens and max_completion_tokens,
		// zero if both are absent.
		MaxTokens int64
		// Prompt is the concatenated text of all messages, in order.
		Prompt []byte

		raw         []byte
		modelStart  int // Offset of the value of "model", -1 if absent.
		modelEnd    int
		fieldsStart int // Offset after the opening brace.
		noFields    bool
	}

	// Usage is the number of tokens that a response reports.
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	}

	// ChatResponse holds the fields that routing needs of a complete response
	// or of one chunk of a streamed response.
	ChatResponse struct {
		RequestID string `json:"requestId"`
		Usage     *Usage `json:"usage"`
		// Error is set by engines that fail after the first chunk.
		Error   json.RawMessage `json:"error"`
		Choices []ChatChoice    `json:"choices"`
	}

	// ChatChoice is one choice of a response. Message is set in complete
	// responses and Delta in chunks.
	ChatChoice struct {
		Message      ChatMessage `json:"message"`
		Delta        ChatMessage `json:"delta"`
		FinishReason string      `json:"finish_reason"`
	}

	// ChatMessage is a message or a part of one. Content is raw JSON because
	// it is a string or, for several parts, an array.
	ChatMessage struct {
		Content   json.RawMessage `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	}

	// BodyError describes an invalid body. Its text is a sentence about Field,
	// or about the whole body if Field is empty.
	BodyError struct {
		Field string
		// Reason is the predicate of that sentence, such as "is missing".
		Reason string
	}

	contentPart struct {
		Text string `json:"text"`
	}

	message struct {
		Content json.RawMessage `json:"content"`
	}
)

// Error implements error.
func (e *BodyError) Error() string {
	if e.Field == "" {
		return "the body " + e.Reason
	}
	return fmt.Sprintf("field %q %s", e.Field, e.Reason)
}

// ParseChat parses the body of a chat request. The result refers to b, which
// must not be modified. Errors are *BodyError.
//
// Top-level keys must not be repeated, and those that routing reads must be
// spelled in exact case: an engine that reads the other copy of "model", or
// "Model", would run a model that was not checked.
func ParseChat(b []byte) (*ChatRequest, error) {
	if err := checkDepth(b); err != nil {
		return nil, err
	}
	r := &ChatRequest{raw: b, modelStart: -1, noFields: true}
	dec := json.NewDecoder(bytes.NewReader(b))
	t, err := dec.Token()
	if err != nil || t != json.Delim('{') {
		return nil, &BodyError{Reason: "is not a JSON object"}
	}
	r.fieldsStart = int(dec.InputOffset())
	seen := make(map[string]bool)
	for dec.More() {
		if err := r.parseField(dec, seen); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, &BodyError{Reason: "is not valid JSON: " + err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &BodyError{Reason: "has data after the JSON object"}
	}
	if !seen["messages"] {
		return nil, &BodyError{Field: "messages", Reason: "is missing"}
	}
	return r, nil
}

// parseField reads the next key and value. seen holds the keys read so far.
func (r *ChatRequest) parseField(dec *json.Decoder, seen map[string]bool) error {
	t, err := dec.Token()
	if err != nil {
		return &BodyError{Reason: "is not valid JSON: " + err.Error()}
	}
	name, ok := t.(string)
	if !ok {
		return &BodyError{Reason: "is not a JSON object"}
	}
	for _, k := range routedFields {
		if name != k && strings.EqualFold(name, k) {
			return &BodyError{Field: name, Reason: fmt.Sprintf("must be written %q", k)}
		}
	}
	if seen[name] {
		return &BodyError{Field: name, Reason: "is repeated; send it once"}
	}
	seen[name] = true
	r.noFields = false
	var v json.RawMessage
	if err := dec.Decode(&v); err != nil {
		return &BodyError{Field: name, Reason: "is not valid JSON: " + err.Error()}
	}
	return r.setField(name, v, int(dec.InputOffset()))
}

// setField stores a field that routing needs. end is the offset after the
// value in the body.
func (r *ChatRequest) setField(name string, v json.RawMessage, end int) error {
	decode := func(p any, want string) error {
		if err := json.Unmarshal(v, p); err != nil {
			return &BodyError{Field: name, Reason: "must be " + want}
		}
		return nil
	}
	switch name {
	case "model":
		r.modelStart, r.modelEnd = end-len(v), end
		return decode(&r.Model, "a string")
	case "stream":
		return decode(&r.Stream, "true or false")
	case "max_tokens", "max_completion_tokens":
		var n int64
		if err := decode(&n, "a whole number"); err != nil {
			return err
		}
		if n < 0 {
			return &BodyError{Field: name, Reason: "must not be negative"}
		}
		r.MaxTokens = max(r.MaxTokens, n)
	case "messages":
		var ms []message
		if err := decode(&ms, "an array of messages"); err != nil {
			return err
		}
		if len(ms) == 0 {
			return &BodyError{Field: name, Reason: "must hold at least one message"}
		}
		for _, m := range ms {
			r.Prompt = appendText(r.Prompt, m.Content)
		}
	}
	return nil
}

// WithModel returns a copy of the body with the given model and everything else
// unchanged.
func (r *ChatRequest) WithModel(model string) []byte {
	v := strconv.AppendQuote(nil, model)
	if q, err := json.Marshal(model); err == nil {
		v = q
	}
	if r.modelStart >= 0 {
		out := make([]byte, 0, len(r.raw)+len(v))
		out = append(out, r.raw[:r.modelStart]...)
		out = append(out, v...)
		return append(out, r.raw[r.modelEnd:]...)
	}
	out := make([]byte, 0, len(r.raw)+len(v)+len(`"model":,`))
	out = append(out, r.raw[:r.fieldsStart]...)
	out = append(out, `"model":`...)
	out = append(out, v...)
	if !r.noFields {
		out = append(out, ',')
	}
	return append(out, r.raw[r.fieldsStart:]...)
}

// EstimatePromptTokens estimates the number of tokens of the prompt from its
// size.
func (r *ChatRequest) EstimatePromptTokens() int64 {
	return int64(len(r.Prompt)+bytesPerToken-1) / bytesPerToken
}

// ParseChatResponse parses a complete response or a chunk. Errors are
// *BodyError.
func ParseChatResponse(b []byte) (*ChatResponse, error) {
	var r ChatResponse
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, &BodyError{Reason: "is not a chat response: " + err.Error()}
	}
	return &r, nil
}

// HasTokens reports whether the response or chunk contains generated content
// or tool calls.
func (r *ChatResponse) HasTokens() bool {
	for _, c := range r.Choices {
		if hasContent(c.Delta) || hasContent(c.Message) {
			return true
		}
	}
	return false
}

// Text returns the generated text of the first choice.
func (r *ChatResponse) Text() string {
	if len(r.Choices) == 0 {
		return ""
	}
	return string(appendText(appendText(nil, r.Choices[0].Message.Content), r.Choices[0].Delta.Content))
}

func hasContent(m ChatMessage) bool {
	return nonEmpty(m.Content, `""`) || nonEmpty(m.ToolCalls, `[]`)
}

// nonEmpty reports whether v is present and neither null nor the given empty
// value.
func nonEmpty(v json.RawMessage, empty string) bool {
	return len(v) > 0 && string(v) != empty && string(v) != "null"
}

// appendText appends the text of a message's content, which is a string or an
// array of parts; content of any other form has no text.
func appendText(dst []byte, content json.RawMessage) []byte {
	if len(content) == 0 {
		return dst
	}
	var s string
	if json.Unmarshal(content, &s) == nil {
		return append(dst, s...)
	}
	var parts []contentPart
	if json.Unmarshal(content, &parts) == nil {
		for _, p := range parts {
			dst = append(dst, p.Text...)
		}
	}
	return dst
}

// checkDepth rejects bodies nested deeper than maxChatDepth. It runs before the
// body is parsed.
func checkDepth(b []byte) error {
	depth, quoted := 0, false
	for i := 0; i < len(b); i++ {
		switch c := b[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			if depth++; depth > maxChatDepth {
				return &BodyError{Reason: fmt.Sprintf("is nested deeper than %d levels", maxChatDepth)}
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}
