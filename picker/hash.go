package picker

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of the prompt blocks that prefixes consist of, fixed
// by the upstream protocol.
const BlockBytes = 256

// Prefixes returns the chained hashes of the leading whole blocks of a prompt,
// shortest prefix first. Engines use the same hashes in their cache events:
// each is the xxhash of the previous one (8 bytes, big endian, initially zero)
// followed by the block.
func Prefixes(prompt []byte) []uint64 {
	out := make([]uint64, 0, len(prompt)/BlockBytes)
	var buf [8 + BlockBytes]byte
	var h uint64
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		binary.BigEndian.PutUint64(buf[:8], h)
		copy(buf[8:], prompt[:BlockBytes])
		h = xxhash.Sum64(buf[:])
		out = append(out, h)
	}
	return out
}
