package journaler

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	frameMagic       = 0x4c575846
	frameHeaderBytes = 16

	recordMeta  = 'M'
	recordReset = 'R'
	recordEntry = 'E'
)

var errMalformedRecord = errors.New("a record cannot be decoded")

// frameChecksum covers the segment and the offset too, so that a frame is valid
// only where it was written and not as part of an entry's data.
func frameChecksum(seq uint64, off int64, payload []byte) uint64 {
	var head [20]byte
	binary.LittleEndian.PutUint64(head[:], seq)
	binary.LittleEndian.PutUint64(head[8:], uint64(off))
	binary.LittleEndian.PutUint32(head[16:], uint32(len(payload)))
	d := xxhash.New()
	// A Digest never returns an error.
	_, _ = d.Write(head[:])
	_, _ = d.Write(payload)
	return d.Sum64()
}

func encodeFrame(seq uint64, off int64, payload []byte) []byte {
	b := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload))
	binary.LittleEndian.PutUint32(b, frameMagic)
	binary.LittleEndian.PutUint32(b[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[8:], frameChecksum(seq, off, payload))
	return append(b, payload...)
}

// decodeFrame returns the payload and the length of the frame at the start of
// b. off is the frame's offset in its segment.
func decodeFrame(seq uint64, off int64, b []byte) (payload []byte, n int64, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return nil, 0, false
	}
	size := int64(binary.LittleEndian.Uint32(b[4:]))
	if size > int64(len(b)-frameHeaderBytes) {
		return nil, 0, false
	}
	payload = b[frameHeaderBytes : frameHeaderBytes+size]
	if binary.LittleEndian.Uint64(b[8:]) != frameChecksum(seq, off, payload) {
		return nil, 0, false
	}
	return payload, frameHeaderBytes + size, true
}

// intactFrameFollows reports whether the segment's content b holds an intact
// frame after off. A write begins only once the previous one is synced, so such
// a frame proves that the bytes at off were durable.
func intactFrameFollows(seq uint64, off int64, b []byte) bool {
	for p := off + 1; p+frameHeaderBytes <= int64(len(b)); p++ {
		if _, _, ok := decodeFrame(seq, p, b[p:]); ok {
			return true
		}
	}
	return false
}

func encodePayload(m *Meta, reset *uint64, entries []Entry) []byte {
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + 32
	}
	b := make([]byte, 0, size+64)
	if reset != nil {
		b = append(b, recordReset)
		b = binary.AppendUvarint(b, *reset)
	}
	if m != nil {
		b = append(b, recordMeta)
		b = binary.AppendUvarint(b, m.Term)
		b = appendBytes(b, []byte(m.Vote))
		b = appendBytes(b, []byte(m.Member))
	}
	for i := range entries {
		e := &entries[i]
		b = append(b, recordEntry, e.Kind)
		b = binary.AppendUvarint(b, e.Index)
		b = binary.AppendUvarint(b, e.Term)
		b = appendBytes(b, e.Data)
	}
	return b
}

func decodePayload(b []byte) (m *Meta, reset *uint64, entries []Entry, err error) {
	d := decoder{b: b}
	for len(d.b) > 0 && !d.malformed {
		switch d.byte() {
		case recordMeta:
			m = &Meta{Term: d.uint(), Vote: string(d.bytes()), Member: string(d.bytes())}
		case recordReset:
			next := d.uint()
			reset = &next
		case recordEntry:
			entries = append(entries, Entry{Kind: d.byte(), Index: d.uint(), Term: d.uint(), Data: d.bytes()})
		default:
			d.malformed = true
		}
	}
	if d.malformed {
		return nil, nil, nil, errMalformedRecord
	}
	return m, reset, entries, nil
}

func encodeSnapshot(s Snapshot) []byte {
	b := make([]byte, 0, len(s.Data)+len(s.Config)+32)
	b = binary.AppendUvarint(b, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = appendBytes(b, s.Config)
	return appendBytes(b, s.Data)
}

// readSnapshot reads the stored snapshot. It returns the zero Snapshot if there
// is none.
func readSnapshot(fs FS) (Snapshot, error) {
	b, ok, err := ReadFile(fs, snapshotName)
	if err != nil || !ok {
		return Snapshot{}, err
	}
	d := decoder{b: b}
	s := Snapshot{Index: d.uint(), Term: d.uint(), Config: d.bytes(), Data: d.bytes()}
	if d.malformed || len(d.b) > 0 {
		return Snapshot{}, &CorruptError{File: snapshotName, Reason: errMalformedRecord.Error()}
	}
	return s, nil
}

func appendBytes(b, v []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	return append(b, v...)
}

// decoder reads the values of a payload. malformed is set once a value cannot
// be decoded.
type decoder struct {
	b         []byte
	malformed bool
}

func (d *decoder) byte() byte {
	if len(d.b) == 0 {
		d.malformed = true
		return 0
	}
	v := d.b[0]
	d.b = d.b[1:]
	return v
}

func (d *decoder) uint() uint64 {
	v, n := binary.Uvarint(d.b)
	if n <= 0 {
		d.malformed = true
		return 0
	}
	d.b = d.b[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uint()
	if n > uint64(len(d.b)) {
		d.malformed = true
		return nil
	}
	v := d.b[:n:n]
	d.b = d.b[n:]
	return v
}
