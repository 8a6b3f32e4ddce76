package controller

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"foxtailwall/declarer"
)

// changeIDBytes is the length of a generated change ID before hexadecimal
// encoding.
const changeIDBytes = 16

// NewApply returns a change that replaces the configuration with conf. An empty
// id is replaced with a hash of office, base and content, so that the same
// change sent again has the same ID.
func NewApply(office, id string, base uint64, conf declarer.Config) (Apply, error) {
	text, err := EncodeConfig(conf.Sorted())
	if err != nil {
		return Apply{}, err
	}
	a := Apply{Office: office, ChangeID: id, Base: base, Config: text, Digest: sha256.Sum256(text)}
	if id == "" {
		sum := sha256.Sum256(append(binary.BigEndian.AppendUint64(a.Digest[:], base), office...))
		a.ChangeID = hex.EncodeToString(sum[:changeIDBytes])
	}
	return a, nil
}
