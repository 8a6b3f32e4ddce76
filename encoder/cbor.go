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

import "foxtailwall/serializer"

type (
	// CBOR is the connect codec of own processes. Its zero value is ready.
	CBOR struct{}

	// DecodeError says that bytes are not the message they should be.
	DecodeError = serializer.DecodeError
)

// Marshal returns the canonical CBOR of v: the same value gives the same
// bytes on every host.
func Marshal(v any) ([]byte, error) { return serializer.Marshal(v) }

// Unmarshal reads CBOR into v. Unknown keys are ignored, so that hosts of
// neighbouring releases understand each other. It returns a *DecodeError.
func Unmarshal(b []byte, v any) error { return serializer.Unmarshal(b, v) }

// Name implements connect.Codec.
func (CBOR) Name() string { return "cbor" }

// Marshal implements connect.Codec.
func (CBOR) Marshal(v any) ([]byte, error) { return Marshal(v) }

// Unmarshal implements connect.Codec.
func (CBOR) Unmarshal(b []byte, v any) error { return Unmarshal(b, v) }
