package pinner

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"time"

	"foxtailwall/timekeeper"
)

const (
	// tokenFormat is the first byte of every token. It changes with the layout
	// of the token, to distinguish old tokens from new ones.
	tokenFormat = 'a'
	// maxTokenBytes is the maximum length of a token, far more than the names
	// in a pin need.
	maxTokenBytes = 4096
	// minKeyBytes is the minimum length of a key. For its full strength,
	// HMAC-SHA-256 needs a key at least as long as its digest.
	minKeyBytes = 32
	// maxClockSkew is how far in the future a token may have been issued,
	// because the clocks of hosts differ.
	maxClockSkew = 5 * time.Minute
	// tokenDomain separates these tokens from other uses of the same key.
	tokenDomain = "foxtailwall session token\n"
)

// Reasons why a token is refused.
const (
	// Malformed means that the token is not in the expected format.
	Malformed Fault = "malformed"
	// Forged means that the token was signed with none of the keys.
	Forged Fault = "forged"
	// Outdated means that the token is older than Signer.MaxAge.
	Outdated Fault = "outdated"
	// Early means that the token was issued more than 5 minutes in the future.
	Early Fault = "early"
)

type (
	// Fault says why a token is refused.
	Fault string

	// Signer signs and verifies session tokens. Its fields must not change
	// while it is used; its methods are safe for concurrent use.
	Signer struct {
		// Keys are the HMAC keys, at least 32 bytes each. The first one signs
		// and all verify. To rotate keys, add the new key as the second, then
		// move it to the front, and remove the old key once its tokens are
		// outdated.
		Keys [][]byte
		// Clock defaults to the system clock if nil.
		Clock timekeeper.Clock
		// MaxAge is the age above which a token is refused. Zero means no
		// limit.
		MaxAge time.Duration
	}

	// Token is the decoded content of a session token.
	Token struct {
		Pin    Pin
		Issued time.Time
	}

	// TokenError reports why a session token is refused.
	TokenError struct{ Fault Fault }

	// KeyError reports that a Signer has no key or one that is too short.
	KeyError struct {
		// Index is the position of the key in Signer.Keys; Length is its
		// length in bytes. Both are zero if there is no key.
		Index, Length int
	}
)

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("the session token is %s; send the request without it to get a new one", e.Fault)
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("session key %d has %d bytes; use a key of at least %d bytes", e.Index+1, e.Length, minKeyBytes)
}

// Check returns a *KeyError if there is no key or one is too short.
func (s *Signer) Check() error {
	if len(s.Keys) == 0 {
		return &KeyError{}
	}
	for i, k := range s.Keys {
		if len(k) < minKeyBytes {
			return &KeyError{Index: i, Length: len(k)}
		}
	}
	return nil
}

// Sign returns a signed token with the pin and the present time. The error is a
// *KeyError.
func (s *Signer) Sign(p Pin) (string, error) {
	if err := s.Check(); err != nil {
		return "", err
	}
	payload := binary.AppendUvarint(nil, uint64(s.now().Unix()))
	for _, field := range []string{p.Workspace, p.Session, p.Model, p.Version} {
		payload = binary.AppendUvarint(payload, uint64(len(field)))
		payload = append(payload, field...)
	}
	signedPayload := append(payload, computeMAC(s.Keys[0], payload)...)
	return string(tokenFormat) + base64.RawURLEncoding.EncodeToString(signedPayload), nil
}

// Verify checks a token and returns its pin. The caller must check that the
// pin's workspace is that of the request. The error is a *TokenError or a
// *KeyError.
func (s *Signer) Verify(token string) (Pin, error) {
	t, err := s.Open(token)
	return t.Pin, err
}

// Open checks a token and returns its content. The error is a *TokenError or a
// *KeyError.
func (s *Signer) Open(token string) (Token, error) {
	if err := s.Check(); err != nil {
		return Token{}, err
	}
	if len(token) > maxTokenBytes || len(token) == 0 || token[0] != tokenFormat {
		return Token{}, &TokenError{Malformed}
	}
	signedPayload, err := base64.RawURLEncoding.Strict().DecodeString(token[1:])
	if err != nil || len(signedPayload) < sha256.Size {
		return Token{}, &TokenError{Malformed}
	}
	payload, sum := signedPayload[:len(signedPayload)-sha256.Size], signedPayload[len(signedPayload)-sha256.Size:]
	if !s.hasValidMAC(payload, sum) {
		return Token{}, &TokenError{Forged}
	}
	t, ok := parsePayload(payload)
	if !ok {
		return Token{}, &TokenError{Malformed}
	}
	age := s.now().Sub(t.Issued)
	switch {
	case s.MaxAge > 0 && age > s.MaxAge:
		return Token{}, &TokenError{Outdated}
	case age < -maxClockSkew:
		return Token{}, &TokenError{Early}
	}
	return t, nil
}

// hasValidMAC reports whether sum is the MAC of the payload under one of the
// keys. It tries every key, so that its timing does not reveal which one
// matches.
func (s *Signer) hasValidMAC(payload, sum []byte) bool {
	found := false
	for _, k := range s.Keys {
		if hmac.Equal(sum, computeMAC(k, payload)) {
			found = true
		}
	}
	return found
}

func (s *Signer) now() time.Time {
	if s.Clock == nil {
		return timekeeper.System{}.Now()
	}
	return s.Clock.Now()
}

// computeMAC returns the HMAC-SHA-256 of tokenDomain and the payload.
func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(tokenDomain))
	h.Write(payload)
	return h.Sum(nil)
}

// parsePayload decodes the payload of a token, and returns false if it is
// malformed.
func parsePayload(payload []byte) (Token, bool) {
	issued, n := binary.Uvarint(payload)
	if n <= 0 {
		return Token{}, false
	}
	rest := payload[n:]
	var fields [4]string
	for i := range fields {
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			return Token{}, false
		}
		fields[i] = string(rest[n : n+int(size)])
		rest = rest[n+int(size):]
	}
	if len(rest) > 0 {
		return Token{}, false
	}
	p := Pin{Workspace: fields[0], Session: fields[1], Model: fields[2], Version: fields[3]}
	return Token{Pin: p, Issued: time.Unix(int64(issued), 0)}, true
}
