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
	// tokenFormat is the first byte of every token. A change of the layout
	// takes another byte, so that old and new tokens are told apart.
	tokenFormat = 'a'
	// maxToken bounds the length in bytes of a token, far above what the
	// names in a pin need.
	maxToken = 4096
	// minKey is the length in bytes below which a key is refused; HMAC-SHA-256
	// needs as many bytes as its digest has for its full strength.
	minKey = 32
	// maxSkew is how far in the future a token may have been issued, for hosts
	// whose clocks differ.
	maxSkew = 5 * time.Minute
	// tokenDomain separates these tokens from other uses of the same key.
	tokenDomain = "foxtailwall session token\n"
)

// Reasons why a token is refused.
const (
	// Malformed is a token that is not in the expected format.
	Malformed Fault = "malformed"
	// Forged is a token that none of the keys has signed.
	Forged Fault = "forged"
	// Outdated is a token older than Signer.MaxAge.
	Outdated Fault = "outdated"
	// Early is a token issued in the future.
	Early Fault = "early"
)

type (
	// Fault says why a token is refused.
	Fault string

	// Signer makes and verifies session tokens. It is safe for concurrent use
	// once its fields are set.
	Signer struct {
		// Keys are the HMAC keys, at least 32 bytes each. The first signs, all
		// verify: a rotation puts the new key second, then first, and removes
		// the old one when its tokens are outdated.
		Keys [][]byte
		// Clock is the system's if nil.
		Clock timekeeper.Clock
		// MaxAge is the age beyond which a token is refused. Zero means none.
		MaxAge time.Duration
	}

	// Token is the content of a session token.
	Token struct {
		Pin    Pin
		Issued time.Time
	}

	// TokenError says that a session token is refused.
	TokenError struct{ Fault Fault }

	// KeyError says that a Signer has no usable key.
	KeyError struct {
		// Index is the position of the key; Length is its length in bytes,
		// zero if there is none.
		Index, Length int
	}
)

// Error implements error.
func (e *TokenError) Error() string {
	return fmt.Sprintf("the session token is %s; send the request without it to get a new one", e.Fault)
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("session key %d has %d bytes; give at least %d", e.Index+1, e.Length, minKey)
}

// Check returns a *KeyError if a key is missing or too short.
func (s *Signer) Check() error {
	if len(s.Keys) == 0 {
		return &KeyError{}
	}
	for i, k := range s.Keys {
		if len(k) < minKey {
			return &KeyError{Index: i, Length: len(k)}
		}
	}
	return nil
}

// Sign returns the token of the pin. The error is a *KeyError.
func (s *Signer) Sign(p Pin) (string, error) {
	if err := s.Check(); err != nil {
		return "", err
	}
	payload := binary.AppendUvarint(nil, uint64(s.now().Unix()))
	for _, field := range []string{p.Workspace, p.Session, p.Model, p.Version} {
		payload = binary.AppendUvarint(payload, uint64(len(field)))
		payload = append(payload, field...)
	}
	sealed := append(payload, mac(s.Keys[0], payload)...)
	return string(tokenFormat) + base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Verify returns the pin of a token. The caller compares the pin's workspace
// with that of the request. The error is a *TokenError or a *KeyError.
func (s *Signer) Verify(token string) (Pin, error) {
	t, err := s.Open(token)
	return t.Pin, err
}

// Open returns the content of a token. Its errors are those of Verify.
func (s *Signer) Open(token string) (Token, error) {
	if err := s.Check(); err != nil {
		return Token{}, err
	}
	if len(token) > maxToken || len(token) == 0 || token[0] != tokenFormat {
		return Token{}, &TokenError{Malformed}
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(token[1:])
	if err != nil || len(sealed) < sha256.Size {
		return Token{}, &TokenError{Malformed}
	}
	payload, sum := sealed[:len(sealed)-sha256.Size], sealed[len(sealed)-sha256.Size:]
	if !s.signed(payload, sum) {
		return Token{}, &TokenError{Forged}
	}
	t, ok := parse(payload)
	if !ok {
		return Token{}, &TokenError{Malformed}
	}
	age := s.now().Sub(t.Issued)
	switch {
	case s.MaxAge > 0 && age > s.MaxAge:
		return Token{}, &TokenError{Outdated}
	case age < -maxSkew:
		return Token{}, &TokenError{Early}
	}
	return t, nil
}

// signed tries every key, so that its time does not tell which one fits.
func (s *Signer) signed(payload, sum []byte) bool {
	found := false
	for _, k := range s.Keys {
		if hmac.Equal(sum, mac(k, payload)) {
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

func mac(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(tokenDomain))
	h.Write(payload)
	return h.Sum(nil)
}

func parse(payload []byte) (Token, bool) {
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
