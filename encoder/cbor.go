// Package encoder provides the message formats: CBOR between the processes of
// the system, and OpenAI-compatible bodies and server-sent events for callers
// and upstreams.
//
// # Usage
//
//	opt := connect.WithCodec(encoder.CBOR{})
//	b, err := encoder.Marshal(v)
//	err := encoder.Unmarshal(b, &v)
package encoder

import "foxtailwall/serializer"

type (
	// CBOR is the connect codec for calls between the processes of the system.
	// Its zero value is ready to use.
	CBOR struct{}

	// DecodeError is returned for bytes that are not a valid message of the
	// expected type.
	DecodeError = serializer.DecodeError
)

// Marshal returns the canonical CBOR encoding of v: equal values have the same
// bytes on every host.
func Marshal(v any) ([]byte, error) { return serializer.Marshal(v) }

// Unmarshal decodes CBOR into v. Unknown keys are ignored, so that hosts of
// adjacent releases can exchange messages. Errors are *DecodeError.
func Unmarshal(b []byte, v any) error { return serializer.Unmarshal(b, v) }

// Name implements connect.Codec.
func (CBOR) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (CBOR) Marshal(v any) ([]byte, error) { return Marshal(v) }

// Unmarshal implements connect.Codec.
func (CBOR) Unmarshal(b []byte, v any) error { return Unmarshal(b, v) }
