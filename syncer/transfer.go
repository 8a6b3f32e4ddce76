package syncer

import (
	"bytes"
	"compress/zlib"
	"fmt"
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"foxtailwall/serializer"
)

const (
	// maxPartBytes and minPartBytes bound Report.PartBytes.
	maxPartBytes = 64 << 10
	minPartBytes = 4 << 10
	// maxBlobBytes bounds the decoded size of a blob.
	maxBlobBytes = 64 << 20
)

type (
	// Part is a section of the encoding of a document or a list.
	Part struct {
		// Name identifies the encoding.
		Name string `cbor:"name"`
		// Size is the size of the whole encoding, in bytes.
		Size   int    `cbor:"size"`
		Offset int    `cbor:"offset"`
		Bytes  []byte `cbor:"bytes"`
	}

	// Partial says how much of an encoding a host has received.
	Partial struct {
		Name     string `cbor:"name"`
		Received int    `cbor:"received"`
	}

	// blob is a compressed encoding that is sent to hosts in parts.
	blob struct {
		name string
		data []byte
	}

	// transfer assembles the parts of an encoding. Its zero value has none.
	transfer struct {
		name string
		size int
		data []byte
	}

	// TransferError says that the parts received from the leader are not a valid
	// encoding.
	TransferError struct {
		Name string
		Err  error
	}
)

// Error implements error.
func (e *TransferError) Error() string { return fmt.Sprintf("receive %q: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *TransferError) Unwrap() error { return e.Err }

var errBlobTooLarge = errors.Newf("the decoded size exceeds %d bytes", maxBlobBytes)

// newBlob encodes and compresses v. The name contains a digest, so that parts of
// different encodings are never joined.
func newBlob(kind string, v any) (*blob, error) {
	encoded, err := serializer.Marshal(v)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w := zlib.NewWriter(&out)
	// Writing to a bytes.Buffer does not fail.
	_, _ = w.Write(encoded)
	_ = w.Close()
	data := out.Bytes()
	return &blob{name: kind + "/" + strconv.FormatUint(xxhash.Sum64(data), 16), data: data}, nil
}

// part returns the part of at most limit bytes after the first received ones.
func (b *blob) part(received, limit int) *Part {
	received = min(max(received, 0), len(b.data))
	limit = min(max(limit, minPartBytes), maxPartBytes)
	end := min(received+limit, len(b.data))
	return &Part{Name: b.name, Size: len(b.data), Offset: received, Bytes: b.data[received:end]}
}

// isLast reports whether the part ends its encoding.
func (p *Part) isLast() bool { return p.Offset+len(p.Bytes) >= p.Size }

// add appends a part and reports whether the encoding is complete. A part of
// another encoding replaces what was received before; one that does not follow
// the last is ignored.
func (t *transfer) add(p *Part) bool {
	if p.Name != t.name {
		*t = transfer{name: p.Name, size: p.Size}
	}
	if p.Offset == len(t.data) {
		t.data = append(t.data, p.Bytes...)
	}
	return len(t.data) > 0 && len(t.data) >= t.size
}

// partial returns what has been received, nil if nothing has.
func (t *transfer) partial() *Partial {
	if len(t.data) == 0 {
		return nil
	}
	return &Partial{Name: t.name, Received: len(t.data)}
}

// decode decodes the complete encoding into v. Errors are a *TransferError.
func (t *transfer) decode(v any) error {
	r, err := zlib.NewReader(bytes.NewReader(t.data))
	if err != nil {
		return &TransferError{t.name, err}
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxBlobBytes+1))
	if err == nil && len(encoded) > maxBlobBytes {
		err = errBlobTooLarge
	}
	if err == nil {
		err = serializer.Unmarshal(encoded, v)
	}
	if err != nil {
		return &TransferError{t.name, err}
	}
	return nil
}
