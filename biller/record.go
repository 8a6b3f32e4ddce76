// Package biller manages billing records: exactly one for each request,
// regardless of retries, cascade steps, repeated deliveries and crashes.
//
// Records are merged by request ID. Merging is commutative, associative and
// idempotent, so that any number of hosts may deliver the same record in any
// order and the ledger counts it once.
//
// # Usage
//
//	merged := biller.Merge(old, incoming)
//
// The control group keeps the records in a Ledger, which takes the time as a
// parameter so that its state is the same on every host:
//
//	var l biller.Ledger
//	refused := l.Add(records, now, retention)
//	l.Prune(now, retention, limit)
//	totals := l.Totals()
//
// A host keeps unacknowledged records in an Outbox: its own, and those it holds
// as a witness, that is, as a second copy for another host:
//
//	box := biller.NewOutbox(biller.OutboxOptions{})
//	err := box.AddOwned(rec)
//	err := box.Hold(now, records)
//	batch := box.Due(now, limit)
//	box.Acknowledge(biller.Marks(batch))
package biller

import (
	"bytes"
	"encoding/binary"
	"time"
)

// Endings of a billed request.
const (
	// Complete means that the whole answer was produced.
	Complete Ending = "complete"
	// Cut means that the upstream ended the answer early; the output up to then
	// is billed.
	Cut Ending = "cut"
	// Cancelled means that the caller disconnected; the output up to then is
	// billed.
	Cancelled Ending = "cancelled"
)

type (
	// Ending says how a billed request ended.
	Ending string

	// Record is the billing record of one request.
	Record struct {
		// ID is the request ID.
		ID string `cbor:"id" json:"id"`
		// Revision increases each time the host that serves the request
		// replaces the record.
		Revision  uint32    `cbor:"revision" json:"revision"`
		Workspace string    `cbor:"workspace" json:"workspace"`
		Member    string    `cbor:"member" json:"member"`
		Service   string    `cbor:"service,omitempty" json:"service,omitempty"`
		Steps     []Step    `cbor:"steps,omitempty" json:"steps,omitempty"`
		CostNanos int64     `cbor:"costNanos" json:"costNanos"`
		Ending    Ending    `cbor:"ending" json:"ending"`
		At        time.Time `cbor:"at" json:"at"`
	}

	// Step is the usage of one model run; a cascade has several.
	Step struct {
		Model        string `cbor:"model" json:"model"`
		Version      string `cbor:"version" json:"version"`
		InputTokens  int64  `cbor:"inputTokens" json:"inputTokens"`
		OutputTokens int64  `cbor:"outputTokens" json:"outputTokens"`
		CostNanos    int64  `cbor:"costNanos" json:"costNanos"`
	}
)

// Merge returns the winner of two records with the same ID: the one with the
// higher revision or, if the revisions are equal, the one with the greater sort
// key, so that the order of arrival does not matter.
func Merge(a, b Record) Record {
	if a.Revision != b.Revision {
		if a.Revision > b.Revision {
			return a
		}
		return b
	}
	if bytes.Compare(sortKey(a), sortKey(b)) >= 0 {
		return a
	}
	return b
}

// sortKey encodes all fields except ID and Revision in a comparable form.
func sortKey(r Record) []byte {
	k := binary.BigEndian.AppendUint64(nil, uint64(r.CostNanos))
	k = append(k, r.Ending...)
	k = append(k, 0)
	k = append(k, r.Workspace...)
	k = append(k, 0)
	k = append(k, r.Member...)
	k = append(k, 0)
	k = append(k, r.Service...)
	k = binary.BigEndian.AppendUint64(k, uint64(r.At.UnixNano()))
	for _, s := range r.Steps {
		k = append(k, s.Model...)
		k = append(k, 0)
		k = append(k, s.Version...)
		k = append(k, 0)
		k = binary.BigEndian.AppendUint64(k, uint64(s.InputTokens))
		k = binary.BigEndian.AppendUint64(k, uint64(s.OutputTokens))
		k = binary.BigEndian.AppendUint64(k, uint64(s.CostNanos))
	}
	return k
}
