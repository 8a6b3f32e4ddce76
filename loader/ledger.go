package loader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"foxtailwall/biller"
)

// ReadLedger reads an exported ledger: a JSON array of billing records, or one
// JSON record per line. An empty ledger returns no records and no error.
func ReadLedger(r io.Reader) ([]biller.Record, error) {
	in := bufio.NewReader(r)
	start, err := in.Peek(1)
	if errors.Is(err, io.EOF) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read the ledger")
	}
	d := json.NewDecoder(in)
	var out []biller.Record
	if bytes.Equal(start, []byte("[")) {
		return out, errors.Wrap(d.Decode(&out), "decode the ledger")
	}
	for {
		var rec biller.Record
		if err := d.Decode(&rec); errors.Is(err, io.EOF) {
			return out, nil
		} else if err != nil {
			return nil, errors.Wrapf(err, "decode record %d of the ledger", len(out)+1)
		}
		out = append(out, rec)
	}
}
