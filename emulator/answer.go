package emulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"foxtailwall/declarer"
)

const (
	// LongPrompt is the length in tokens from which a request that is not
	// streamed counts as declarer.KindLong.
	LongPrompt = 512
	// defaultOutputTokens is the answer length when max_tokens is absent.
	defaultOutputTokens = 48

	answerPrefix = "answer:"
	sealPrefix   = "seal:"
)

type (
	// Version describes a model version that an engine can serve.
	Version struct {
		Model   string `json:"model"`
		Version string `json:"version"`
		// Quality is the fraction of answers that pass, 0 to 1.
		Quality float64 `json:"quality"`
		// ByKind overrides Quality per request kind.
		ByKind map[declarer.Kind]float64 `json:"byKind,omitempty"`
	}

	// AnswerCheck is the result of verifying the seal of an answer.
	AnswerCheck struct {
		// Intact is true if no word is missing, added or changed.
		Intact bool
		// MatchesPrompt is true if the answer belongs to the given prompt.
		MatchesPrompt bool
		// Pass is the grade encoded in the seal.
		Pass bool
		// Digest is the digest of the prompt that was answered.
		Digest string
	}

	// answer generates the text of one answer word by word.
	answer struct {
		digest string
		salt   uint64
		n      int
		pass   bool
	}

	// message is one message of a chat request.
	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

var vocabulary = strings.Fields(`a the of and with for line curve letter stroke chalk square
	border serif depth margin proof colour shade frame corner panel script flask date name`)

// Ref returns the model and version names without the quality.
func (v Version) Ref() declarer.VersionRef {
	return declarer.VersionRef{Model: v.Model, Version: v.Version}
}

// quality returns the fraction of answers of kind k that pass.
func (v Version) quality(k declarer.Kind) float64 {
	if q, ok := v.ByKind[k]; ok {
		return q
	}
	return v.Quality
}

// Passes decides from a hash of seed, prompt digest and version whether the
// answer passes; the same arguments always give the same result.
func (v Version) Passes(seed uint64, digest string, k declarer.Kind) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%d/%s/%s/%s", seed, digest, v.Model, v.Version))
	const bits = 53 // of the mantissa of a float64
	return float64(h>>(64-bits))/(1<<bits) < v.quality(k)
}

// CountTokens returns the number of tokens of a prompt.
func CountTokens(prompt string) int { return max((len(prompt)+bytesPerToken-1)/bytesPerToken, 1) }

// KindOf classifies a request by its prompt length in tokens and whether it
// streams.
func KindOf(tokens int, stream bool) declarer.Kind {
	switch {
	case stream:
		return declarer.KindChat
	case tokens >= LongPrompt:
		return declarer.KindLong
	default:
		return declarer.KindShort
	}
}

// Digest returns the hash of a prompt in hexadecimal. The prompt is the
// contents of the messages joined by newlines.
func Digest(prompt string) string { return fmt.Sprintf("%016x", xxhash.Sum64String(prompt)) }

// VerifyAnswer verifies the seal of an answer, given as text or as the JSON
// body of a chat completion. With an empty prompt, MatchesPrompt is true for
// any sealed answer.
func VerifyAnswer(prompt, text string) AnswerCheck {
	fields := strings.Fields(messageContent(text))
	if len(fields) == 0 {
		return AnswerCheck{}
	}
	parts := strings.Split(fields[len(fields)-1], ":")
	const sealParts = 5
	if len(parts) != sealParts || parts[0]+":" != sealPrefix {
		return AnswerCheck{Digest: strings.TrimPrefix(fields[0], answerPrefix)}
	}
	j := AnswerCheck{Digest: parts[1]}
	n, _ := strconv.Atoi(parts[2])
	body := strings.Join(fields[:len(fields)-1], " ")
	j.Intact = n == len(fields) && parts[3] == checksum(body)
	j.MatchesPrompt = prompt == "" || j.Digest == Digest(prompt)
	j.Pass = parts[4] == gradeCode(j.Digest, true)
	return j
}

// word returns the token at index i, with a leading space unless i is 0.
func (a answer) word(i int) string {
	space := " "
	if i == 0 {
		space = ""
	}
	switch {
	case i >= a.n:
		return "" // with FaultCross, the answer sent may be shorter than requested
	case i == a.n-1:
		return fmt.Sprintf("%s%s%s:%d:%s:%s", space, sealPrefix, a.digest, a.n, checksum(a.text(a.n-1)), gradeCode(a.digest, a.pass))
	case i == 0:
		return answerPrefix + a.digest
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], a.salt)
	binary.BigEndian.PutUint64(b[8:], uint64(i))
	return space + vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))]
}

// text returns the first n words.
func (a answer) text(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.word(i))
	}
	return b.String()
}

func checksum(text string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(text))) }

func gradeCode(digest string, pass bool) string {
	return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(fmt.Sprint(digest, pass))))
}

// messageContent returns the message content of a chat completion, or text
// unchanged if it is not one.
func messageContent(text string) string {
	if !strings.HasPrefix(strings.TrimSpace(text), "{") {
		return text
	}
	var c struct {
		Choices []struct{ Message message }
	}
	if err := json.Unmarshal([]byte(text), &c); err != nil || len(c.Choices) == 0 {
		return text
	}
	return c.Choices[0].Message.Content
}

func joinContents(messages []message) string {
	parts := make([]string, len(messages))
	for i, m := range messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}
