// Package encoder holds the codecs: CBOR between the system's own processes,
// and the OpenAI-compatible bodies and server-sent events towards callers and
// upstreams.
//
// # Usage
//
//	opt := connect.WithCodec(encoder.CBOR{})
//	b, err := encoder.Marshal(v)
//	err := encoder.Unmarshal(b, &v)
package encoder

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxElements bounds the arrays and maps of a message, so that a few
	// bytes cannot make a process allocate without limit.
	maxElements = 1 << 20
	// maxDepth bounds the nesting of a message.
	maxDepth = 32
)

type (
	// CBOR is the connect codec of own processes. Its zero value is ready.
	CBOR struct{}

	// DecodeError says that bytes are not the message they should be.
	DecodeError struct {
		Type string
		Err  error
	}
)

var (
	encMode = must(cbor.EncOptions{
		Sort: cbor.SortBytewiseLexical,
		Time: cbor.TimeRFC3339Nano,
	}.EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

// Marshal returns the canonical CBOR of v: the same value gives the same
// bytes on every host.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal reads CBOR into v. Unknown keys are ignored, so that hosts of
// neighbouring releases understand each other. It returns a *DecodeError.
func Unmarshal(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return &DecodeError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	return nil
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Type, e.Err) }

// Unwrap returns the error of the library.
func (e *DecodeError) Unwrap() error { return e.Err }

// Name implements connect.Codec.
func (CBOR) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (CBOR) Marshal(v any) ([]byte, error) { return Marshal(v) }

// Unmarshal implements connect.Codec.
func (CBOR) Unmarshal(b []byte, v any) error { return Unmarshal(b, v) }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // The options are constants, so this is a programming error.
	}
	return v
}
