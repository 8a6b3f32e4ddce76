// Package serializer is the CBOR codec of everything the system writes for
// itself: log entries, snapshots, records on disk and messages between its
// own processes.
//
// The encoding is canonical: the same value gives the same bytes on every
// host, so that hosts can compare states by their bytes.
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
	// maxElements bounds the arrays and maps of a message, so that a few
	// bytes cannot make a process allocate without limit.
	maxElements = 1 << 20
	// maxStateElements bounds the arrays and maps of a snapshot, which holds
	// a day of claims and billing records.
	maxStateElements = 1 << 30
	// maxDepth bounds the nesting of a message.
	maxDepth = 32
)

// DecodeError says that bytes are not the message they should be.
type DecodeError struct {
	Type string
	Err  error
}

var (
	encMode = must(cbor.EncOptions{
		Sort: cbor.SortBytewiseLexical,
		Time: cbor.TimeRFC3339Nano,
	}.EncMode())
	decMode   = must(decOptions(maxElements).DecMode())
	stateMode = must(decOptions(maxStateElements).DecMode())
)

// Marshal returns the canonical CBOR of v.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal reads CBOR into v. Unknown keys are ignored, so that hosts of
// neighbouring releases understand each other. It returns a *DecodeError.
func Unmarshal(b []byte, v any) error { return decode(decMode, b, v) }

// UnmarshalState reads a snapshot or another file of this system into v. It
// takes larger arrays than Unmarshal. It returns a *DecodeError.
func UnmarshalState(b []byte, v any) error { return decode(stateMode, b, v) }

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("decode %s: %v", e.Type, e.Err) }

// Unwrap returns the error of the library.
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
