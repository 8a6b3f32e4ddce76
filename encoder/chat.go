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
	// maxChatDepth bounds the nesting of a chat body; encoding/json itself
	// stops only at 10000 levels.
	maxChatDepth = 64
	// bytesPerToken is the usual rule of thumb for prompts that the engine
	// has not counted yet.
	bytesPerToken = 4
)

// routed are the fields that routing reads.
var routed = []string{"model", "stream", "messages", "max_tokens", "max_completion_tokens"}

type (
	// ChatRequest is the body of POST /v1/chat/completions. Only the fields
	// that routing needs are read; all others go to the engine unchanged.
	ChatRequest struct {
		// Model is the model the caller names; empty if it names none.
		Model  string
		Stream bool
		// MaxTokens is the caller's bound on the answer, zero if it has none.
		MaxTokens int64
		// Prompt is the text of all messages, in order.
		Prompt []byte

		raw        []byte
		modelStart int // Offset of the value of "model", -1 if absent.
		modelEnd   int
		open       int // Offset behind the opening brace.
		empty      bool
	}

	// Usage counts the tokens of an answer.
	Usage struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
	}

	// ChatAnswer holds the fields of a whole answer or of one chunk of a
	// streamed answer that routing needs.
	ChatAnswer struct {
		RequestID string `json:"requestId"`
		Usage     *Usage `json:"usage"`
		// Error is set by engines that fail after the first chunk.
		Error   json.RawMessage `json:"error"`
		Choices []ChatChoice    `json:"choices"`
	}

	// ChatChoice is one alternative of an answer. Message is set in whole
	// answers and Delta in chunks.
	ChatChoice struct {
		Message      ChatMessage `json:"message"`
		Delta        ChatMessage `json:"delta"`
		FinishReason string      `json:"finish_reason"`
	}

	// ChatMessage is the text of a message. Content is kept raw since it is
	// a string or, with several parts, an array.
	ChatMessage struct {
		Content   json.RawMessage `json:"content"`
		ToolCalls json.RawMessage `json:"tool_calls"`
	}

	// BodyError says what is wrong with a body and what to do.
	BodyError struct {
		Field  string
		Reason string
	}

	part struct {
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

// ParseChat reads the body of a chat request and keeps b. It returns a
// *BodyError.
//
// Keys may not be repeated, and those that routing reads must be in their
// exact case: an engine that reads another copy of "model", or "Model", would
// run a model that was never checked.
func ParseChat(b []byte) (*ChatRequest, error) {
	if err := checkDepth(b); err != nil {
		return nil, err
	}
	r := &ChatRequest{raw: b, modelStart: -1, empty: true}
	dec := json.NewDecoder(bytes.NewReader(b))
	t, err := dec.Token()
	if err != nil || t != json.Delim('{') {
		return nil, &BodyError{Reason: "is not a JSON object"}
	}
	r.open = int(dec.InputOffset())
	seen := make(map[string]bool)
	for dec.More() {
		if err := r.field(dec, seen); err != nil {
			return nil, err
		}
	}
	if _, err := dec.Token(); err != nil {
		return nil, &BodyError{Reason: "is not valid JSON: " + err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &BodyError{Reason: "has data behind the JSON object"}
	}
	if !seen["messages"] {
		return nil, &BodyError{Field: "messages", Reason: "is missing"}
	}
	return r, nil
}

func (r *ChatRequest) field(dec *json.Decoder, seen map[string]bool) error {
	t, err := dec.Token()
	if err != nil {
		return &BodyError{Reason: "is not valid JSON: " + err.Error()}
	}
	name, ok := t.(string)
	if !ok {
		return &BodyError{Reason: "is not a JSON object"}
	}
	for _, k := range routed {
		if name != k && strings.EqualFold(name, k) {
			return &BodyError{Field: name, Reason: fmt.Sprintf("must be written %q", k)}
		}
	}
	if seen[name] {
		return &BodyError{Field: name, Reason: "is repeated; send it once"}
	}
	seen[name] = true
	r.empty = false
	var v json.RawMessage
	if err := dec.Decode(&v); err != nil {
		return &BodyError{Field: name, Reason: "is not valid JSON: " + err.Error()}
	}
	return r.set(name, v, int(dec.InputOffset()))
}

func (r *ChatRequest) set(name string, v json.RawMessage, end int) error {
	into := func(p any, want string) error {
		if err := json.Unmarshal(v, p); err != nil {
			return &BodyError{Field: name, Reason: "must be " + want}
		}
		return nil
	}
	switch name {
	case "model":
		r.modelStart, r.modelEnd = end-len(v), end
		return into(&r.Model, "a string")
	case "stream":
		return into(&r.Stream, "true or false")
	case "max_tokens", "max_completion_tokens":
		var n int64
		if err := into(&n, "a whole number"); err != nil {
			return err
		}
		if n < 0 {
			return &BodyError{Field: name, Reason: "must not be negative"}
		}
		r.MaxTokens = max(r.MaxTokens, n)
	case "messages":
		var ms []message
		if err := into(&ms, "an array of messages"); err != nil {
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

// For returns the body with its model replaced by the given one; everything
// else is unchanged.
func (r *ChatRequest) For(model string) []byte {
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
	out = append(out, r.raw[:r.open]...)
	out = append(out, `"model":`...)
	out = append(out, v...)
	if !r.empty {
		out = append(out, ',')
	}
	return append(out, r.raw[r.open:]...)
}

// PromptTokens returns the estimated number of tokens of the prompt.
func (r *ChatRequest) PromptTokens() int64 {
	return int64(len(r.Prompt)+bytesPerToken-1) / bytesPerToken
}

// ParseAnswer reads a whole answer or a chunk. It returns a *BodyError.
func ParseAnswer(b []byte) (*ChatAnswer, error) {
	var a ChatAnswer
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, &BodyError{Reason: "is no chat answer: " + err.Error()}
	}
	return &a, nil
}

// Produced reports whether the answer or chunk carries generated tokens.
func (a *ChatAnswer) Produced() bool {
	for _, c := range a.Choices {
		if holds(c.Delta) || holds(c.Message) {
			return true
		}
	}
	return false
}

// Text returns the text of the first choice.
func (a *ChatAnswer) Text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	return string(appendText(appendText(nil, a.Choices[0].Message.Content), a.Choices[0].Delta.Content))
}

func holds(m ChatMessage) bool {
	return filled(m.Content, `""`) || filled(m.ToolCalls, `[]`)
}

func filled(v json.RawMessage, empty string) bool {
	return len(v) > 0 && string(v) != empty && string(v) != "null"
}

// appendText appends the text of a content, which is a string or an array of
// parts. Contents of another form have no text.
func appendText(dst []byte, content json.RawMessage) []byte {
	if len(content) == 0 {
		return dst
	}
	var s string
	if json.Unmarshal(content, &s) == nil {
		return append(dst, s...)
	}
	var parts []part
	if json.Unmarshal(content, &parts) == nil {
		for _, p := range parts {
			dst = append(dst, p.Text...)
		}
	}
	return dst
}

// checkDepth refuses bodies that nest deeper than maxChatDepth before they
// are parsed.
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
				return &BodyError{Reason: fmt.Sprintf("nests deeper than %d levels", maxChatDepth)}
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return nil
}
