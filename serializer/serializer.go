// Package serializer is the CBOR codec for all data that only the system itself
// reads: log entries, snapshots, records on disk and messages between its own
// processes.
//
// The encoding is canonical: the same value gives the same bytes on every
// host, so that hosts can compare states byte by byte.
//
// # Usage
//
//	b, err := serializer.Marshal(v)
//	err := serializer.Unmarshal(b, &v)
package serializer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxElements bounds the arrays and maps of a message, so that a short
	// message cannot make a process allocate memory without limit.
	maxElements = 1 << 20
	// maxStateElements bounds the arrays and maps of a snapshot, which is
	// larger than a message: it holds a day of claims and billing records.
	maxStateElements = 1 << 30
	// maxDepth bounds the nesting levels of a message or snapshot.
	maxDepth = 32
)

// DecodeError reports bytes that cannot be decoded into Type, the Go type of the
// target.
type DecodeError struct {
	Type string
	Err  error
}

var (
	encMode = must(cbor.EncOptions{
		Sort: cbor.SortBytewiseLexical,
		Time: cbor.TimeRFC3339Nano,
	}.EncMode())
	messageMode = must(decOptions(maxElements).DecMode())
	stateMode   = must(decOptions(maxStateElements).DecMode())
)

// Marshal returns the canonical CBOR encoding of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes CBOR into v. Unknown keys are ignored, so that hosts of
// adjacent releases can exchange messages. Errors are of type *DecodeError.
func Unmarshal(b []byte, v any) error { return decode(messageMode, b, v) }

// UnmarshalState decodes a snapshot or another file of this system into v. It
// accepts larger arrays and maps than Unmarshal. Errors are of type *DecodeError.
func UnmarshalState(b []byte, v any) error { return decode(stateMode, b, v) }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Type, e.Err) }

// Unwrap returns the error of the CBOR library.
func (e *DecodeError) Unwrap() error { return e.Err }

func decode(mode cbor.DecMode, b []byte, v any) error {
	if err := mode.Unmarshal(b, v); err != nil {
		return &DecodeError{Type: fmt.Sprintf("%T", v), Err: err}
	}
	return nil
}

func decOptions(elements int) cbor.DecOptions {
	return cbor.DecOptions{
		MaxArrayElements: elements,
		MaxMapPairs:      elements,
		MaxNestedLevels:  maxDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // The options are constants, so this is a programming error.
	}
	return v
}
