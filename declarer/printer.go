package declarer

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// indentWidth is the number of spaces of one level in the printed text.
const indentWidth = 2

// ParseError reports text that is not a configuration. Its message includes the
// line that the YAML library reports.
type ParseError struct{ Err error }

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("parse configuration: %v; print it again with the declarations library or mend the line", e.Err)
}

// Unwrap returns the error of the YAML library.
func (e *ParseError) Unwrap() error { return e.Err }

// Print returns the canonical text of c: the same declarations give the same
// bytes in whatever order they were declared.
func Print(c Config) ([]byte, error) {
	c = c.Sorted()
	var b bytes.Buffer
	enc := yaml.NewEncoder(&b)
	enc.SetIndent(indentWidth)
	if err := enc.Encode(c); err != nil {
		return nil, errors.Wrap(err, "print configuration")
	}
	if err := enc.Close(); err != nil {
		return nil, errors.Wrap(err, "print configuration")
	}
	return b.Bytes(), nil
}

// Parse reads the text of one configuration. Unknown keys and repeated keys
// are errors, so that a misspelt key is not silently ignored. Errors are of
// type *ParseError.
func Parse(text []byte) (Config, error) {
	var c Config
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&c); err != nil && !errors.Is(err, io.EOF) {
		return Config{}, &ParseError{Err: err}
	}
	if err := dec.Decode(new(Config)); !errors.Is(err, io.EOF) {
		return Config{}, &ParseError{Err: errors.New("the text holds more than one YAML document")}
	}
	return c, nil
}

// KeyDigest returns the SHA-256 digest of an API key in hexadecimal, as
// Member.KeyDigests lists it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Sorted returns a copy of c in canonical order and leaves c unchanged.
func (c Config) Sorted() Config {
	c.Workspaces = sortedBy(c.Workspaces, func(w Workspace) string { return w.Name })
	for i, w := range c.Workspaces {
		w.Members = sortedBy(w.Members, func(m Member) string { return m.Name })
		for j := range w.Members {
			w.Members[j].KeyDigests = sortedBy(w.Members[j].KeyDigests, identity)
		}
		w.Models = sortedBy(w.Models, func(a Allowed) string { return a.Model })
		for j := range w.Models {
			w.Models[j].Versions = sortedBy(w.Models[j].Versions, identity)
		}
		w.Services = sortedBy(w.Services, identity)
		c.Workspaces[i] = w
	}
	c.Models = sortedBy(c.Models, func(m Model) string { return m.Name })
	for i := range c.Models {
		c.Models[i].Versions = sortedBy(c.Models[i].Versions, func(v Version) string { return v.Name })
	}
	c.Services = sortedBy(c.Services, func(s Service) string { return s.Name })
	for i := range c.Services {
		c.Services[i].Calls = sortedBy(c.Services[i].Calls, func(c Call) string { return c.Path + " " + c.Method })
	}
	c.Upstreams = sortedBy(c.Upstreams, func(u Upstream) string { return u.Name })
	for i := range c.Upstreams {
		c.Upstreams[i].Serves = sortedBy(c.Upstreams[i].Serves, VersionRef.String)
	}
	c.Rollouts = sortedBy(c.Rollouts, func(r Rollout) string { return r.Model + "/" + r.Version })
	c.Withdrawals = sortedBy(c.Withdrawals, func(w Withdrawal) string { return w.Model + "/" + w.Version })
	return c
}

func identity(s string) string { return s }

// sortedBy returns a sorted copy of s, nil if s is empty.
func sortedBy[T any](s []T, key func(T) string) []T {
	if len(s) == 0 {
		return nil
	}
	out := slices.Clone(s)
	slices.SortStableFunc(out, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
	return out
}
