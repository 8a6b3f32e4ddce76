package biller

import (
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/serializer"
)

const (
	// WitnessDelay is the time after which a witness delivers a record that
	// its owner has not told it to drop. Owners do so within milliseconds, so
	// one second suffices. Until then the record is lost if the owner and a
	// witness without a disk both stop.
	WitnessDelay = time.Second
	// DefaultCapacity is the default maximum number of records in an outbox.
	// At about 400 bytes each they use less than 32 MB.
	DefaultCapacity = 1 << 16
	// minRewriteRecords is the number of records in the file of an outbox
	// below which the file is not rewritten.
	minRewriteRecords = 1024
)

type (
	// Outbox holds the records that the control group has not acknowledged:
	// those this host owns and those it holds as a witness. It is safe for
	// concurrent use. Create it with NewOutbox.
	Outbox struct {
		opts OutboxOptions
		// diskMu serializes the calls of Append and Rewrite and guards
		// fileRecords. It is locked before mu, which is never held during a
		// write, so that a disk sync does not delay the requests of this host.
		diskMu sync.Mutex
		// fileRecords is the number of records in the file.
		fileRecords int
		// pendingMu guards pending, the batch that is written next.
		pendingMu sync.Mutex
		pending   *diskBatch

		mu           sync.Mutex
		held         map[string]*heldRecord
		ownQueue     []queueItem
		witnessQueue []queueItem
		seq          uint64
		changed      chan struct{}
		closed       bool
	}

	// OutboxOptions are the settings of an Outbox. With the zero value, records
	// are held only in memory.
	OutboxOptions struct {
		// Capacity is the maximum number of records; zero means
		// DefaultCapacity.
		Capacity int
		// Append durably appends the bytes to the file; nil on a host without
		// a disk.
		Append func([]byte) error
		// Rewrite replaces the content of the file by the bytes. If it is nil,
		// the file grows until the host restarts.
		Rewrite func([]byte) error
	}

	// Mark acknowledges the revisions of a record up to Revision.
	Mark struct {
		ID       string `cbor:"id"`
		Revision uint32 `cbor:"revision"`
	}

	// FullError reports that an outbox has reached its capacity.
	FullError struct{ Capacity int }

	// ClosedError reports that an outbox accepts no more records of other hosts
	// because its host is shutting down.
	ClosedError struct{}

	// DiskError reports that records could not be written to disk.
	DiskError struct{ Err error }

	// heldRecord is a record in an outbox and the state of its delivery.
	heldRecord struct {
		record Record
		// owned is set for a record of this host, not held as a witness.
		owned bool
		// since is when a record held as a witness was added.
		since time.Time
		// durable is set once the record is on disk.
		durable bool
		// seq is the sequence number of its valid queue element.
		seq uint64
	}

	// queueItem is an element of a queue. It is stale if the record was removed
	// or has been queued again under another sequence number.
	queueItem struct {
		id  string
		seq uint64
	}

	// diskBatch collects concurrent writes that share one disk sync.
	diskBatch struct {
		entry   diskEntry
		written bool
		err     error
	}

	// diskEntry is the encoded form of the bytes passed to Append and Rewrite.
	diskEntry struct {
		Records []Record `cbor:"records,omitempty"`
		Owned   bool     `cbor:"owned,omitempty"`
	}
)

// NewOutbox returns an empty outbox.
func NewOutbox(opts OutboxOptions) *Outbox {
	if opts.Capacity < 1 {
		opts.Capacity = DefaultCapacity
	}
	return &Outbox{opts: opts, held: make(map[string]*heldRecord), changed: make(chan struct{})}
}

// AddOwned adds a record of this host, in memory only. It returns a *FullError
// if the outbox is full.
func (o *Outbox) AddOwned(r Record) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addOne(r, true, time.Time{})
}

// Persist writes records of this host to disk, because no witness holds
// them. Without a disk it does nothing. Errors are of type *DiskError.
func (o *Outbox) Persist(recs ...Record) error {
	return o.persist(recs, true)
}

// Hold adds records of another host as their witness and, on a host with a
// disk, writes them to it. After an error, some of the records may be held, and
// the owner must use another witness. Errors are a *FullError or a *DiskError.
func (o *Outbox) Hold(now time.Time, recs []Record) error {
	if err := o.addAll(recs, false, now); err != nil {
		return err
	}
	return o.persist(recs, false)
}

// Accept is like Hold, for calls received from other hosts. After Close it
// returns a *ClosedError and holds none of the records.
func (o *Outbox) Accept(now time.Time, recs []Record) error {
	if err := o.addUnlessClosed(recs, now); err != nil {
		return err
	}
	return o.persist(recs, false)
}

// Close makes later calls of Accept fail. Records accepted before stay in the
// outbox until they are acknowledged; all other methods still work.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// Owned returns the records with these IDs that this host owns.
func (o *Outbox) Owned(ids []string) []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Record
	for _, id := range ids {
		if h := o.held[id]; h != nil && h.owned {
			out = append(out, h.record)
		}
	}
	return out
}

// Due returns up to limit records to deliver: the records of this host first,
// then those held as a witness for at least WitnessDelay.
func (o *Outbox) Due(now time.Time, limit int) []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ownQueue = o.compact(o.ownQueue)
	o.witnessQueue = o.compact(o.witnessQueue)
	var out []Record
	for _, p := range o.ownQueue[:min(limit, len(o.ownQueue))] {
		out = append(out, o.held[p.id].record)
	}
	for _, p := range o.witnessQueue {
		h := o.held[p.id]
		if len(out) >= limit || now.Sub(h.since) < WitnessDelay {
			break
		}
		out = append(out, h.record)
	}
	return out
}

// UntilDue returns the time until the oldest record held as a witness becomes
// due; ok is false if there is none.
func (o *Outbox) UntilDue(now time.Time) (d time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.witnessQueue = o.compact(o.witnessQueue)
	if len(o.witnessQueue) == 0 {
		return 0, false
	}
	return max(0, WitnessDelay-now.Sub(o.held[o.witnessQueue[0].id].since)), true
}

// Acknowledge removes the records whose revision is not newer than their mark.
// It returns a *DiskError if the file could not be rewritten; the records are
// removed nevertheless.
func (o *Outbox) Acknowledge(marks []Mark) error {
	remaining := o.removeAcknowledged(marks)
	if o.opts.Rewrite == nil {
		return nil
	}
	o.diskMu.Lock()
	defer o.diskMu.Unlock()
	if o.fileRecords < minRewriteRecords || o.fileRecords < 2*remaining {
		return nil
	}
	return o.rewriteFile()
}

// Load adds records that an earlier process wrote. It is called once for each
// byte slice passed to Append or Rewrite, in the order of the file. The records
// count as held since now. The capacity does not apply, since the file still
// contains acknowledged records until it is rewritten, and a host must be able
// to start with all of them. Errors are of type *serializer.DecodeError.
func (o *Outbox) Load(b []byte, now time.Time) error {
	var e diskEntry
	if err := serializer.UnmarshalState(b, &e); err != nil {
		return err
	}
	o.mergeAll(e.Records, e.Owned, now)
	o.diskMu.Lock()
	defer o.diskMu.Unlock()
	o.markDurable(e.Records)
	return nil
}

// Len returns the number of records in the outbox.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.held)
}

// Changed returns a channel that is closed when the next record is added or
// merged.
func (o *Outbox) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

// Marks returns the marks that acknowledge the records.
func Marks(recs []Record) []Mark {
	out := make([]Mark, len(recs))
	for i, r := range recs {
		out[i] = Mark{ID: r.ID, Revision: r.Revision}
	}
	return out
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("outbox of %d billing records is full; restore the connection to the control group", e.Capacity)
}

// Error implements error.
func (e *ClosedError) Error() string {
	return "this host is shutting down and accepts no more billing records; use another witness"
}

// Error implements error.
func (e *DiskError) Error() string { return fmt.Sprintf("write billing records: %v", e.Err) }

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// addAll is addAllLocked for callers that do not hold mu.
func (o *Outbox) addAll(recs []Record, owned bool, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addAllLocked(recs, owned, now)
}

// addUnlessClosed adds the records unless the outbox is closed. It checks and
// adds under one lock, so that no record is added after Close has returned.
func (o *Outbox) addUnlessClosed(recs []Record, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return &ClosedError{}
	}
	return o.addAllLocked(recs, false, now)
}

// addAllLocked adds the records until one does not fit. The caller holds mu.
func (o *Outbox) addAllLocked(recs []Record, owned bool, now time.Time) error {
	for _, r := range recs {
		if err := o.addOne(r, owned, now); err != nil {
			return err
		}
	}
	return nil
}

// mergeAll adds the records regardless of the capacity.
func (o *Outbox) mergeAll(recs []Record, owned bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range recs {
		o.mergeOne(r, owned, now)
	}
}

// addOne adds or merges a record; it returns a *FullError if the outbox is
// full. The caller holds mu.
func (o *Outbox) addOne(r Record, owned bool, now time.Time) error {
	if o.held[r.ID] == nil && len(o.held) >= o.opts.Capacity {
		return &FullError{Capacity: o.opts.Capacity}
	}
	o.mergeOne(r, owned, now)
	return nil
}

// mergeOne adds or merges a record and signals Changed. A record held as a
// witness becomes owned if owned is set. The caller holds mu.
func (o *Outbox) mergeOne(r Record, owned bool, now time.Time) {
	h := o.held[r.ID]
	if h == nil {
		h = &heldRecord{record: r, owned: owned, since: now}
		o.held[r.ID] = h
		o.enqueue(r.ID, h)
	} else if owned && !h.owned {
		h.owned = true
		o.enqueue(r.ID, h)
	}
	h.record = Merge(h.record, r)
	close(o.changed)
	o.changed = make(chan struct{})
}

// enqueue appends the record to ownQueue or witnessQueue. The caller holds mu.
func (o *Outbox) enqueue(id string, h *heldRecord) {
	o.seq++
	h.seq = o.seq
	p := queueItem{id: id, seq: h.seq}
	if h.owned {
		o.ownQueue = append(o.ownQueue, p)
		return
	}
	o.witnessQueue = append(o.witnessQueue, p)
}

// compact removes the stale elements from a queue.
func (o *Outbox) compact(queue []queueItem) []queueItem {
	out := queue[:0]
	for _, p := range queue {
		if h := o.held[p.id]; h != nil && h.seq == p.seq {
			out = append(out, p)
		}
	}
	clear(queue[len(out):])
	return out
}

// removeAcknowledged removes the acknowledged records and returns the number of
// those left.
func (o *Outbox) removeAcknowledged(marks []Mark) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range marks {
		if h := o.held[m.ID]; h != nil && h.record.Revision <= m.Revision {
			delete(o.held, m.ID)
		}
	}
	return len(o.held)
}

// persist writes the records to disk, together with those of concurrent calls.
func (o *Outbox) persist(recs []Record, owned bool) error {
	if o.opts.Append == nil || len(recs) == 0 {
		return nil
	}
	b := o.joinBatch(recs, owned)
	o.diskMu.Lock()
	defer o.diskMu.Unlock()
	if !b.written {
		o.sealBatch(b)
		b.written, b.err = true, o.append(b.entry)
	}
	return b.err
}

// joinBatch adds the records to the batch that is written next. If some records
// of a batch are held for other hosts, the whole batch is stored as not owned,
// which only delays their delivery by WitnessDelay after a restart.
func (o *Outbox) joinBatch(recs []Record, owned bool) *diskBatch {
	o.pendingMu.Lock()
	defer o.pendingMu.Unlock()
	if o.pending == nil {
		o.pending = &diskBatch{entry: diskEntry{Owned: true}}
	}
	b := o.pending
	b.entry.Records = append(b.entry.Records, recs...)
	b.entry.Owned = b.entry.Owned && owned
	return b
}

// sealBatch closes the batch to further records.
func (o *Outbox) sealBatch(b *diskBatch) {
	o.pendingMu.Lock()
	defer o.pendingMu.Unlock()
	if o.pending == b {
		o.pending = nil
	}
}

// append encodes the entry and appends it to the file. The caller holds diskMu.
func (o *Outbox) append(e diskEntry) error {
	b, err := serializer.Marshal(e)
	if err != nil {
		return &DiskError{Err: err}
	}
	if err := o.opts.Append(b); err != nil {
		return &DiskError{Err: err}
	}
	o.markDurable(e.Records)
	return nil
}

// markDurable marks the records as durable and adds their number to fileRecords.
// The caller holds diskMu.
func (o *Outbox) markDurable(recs []Record) {
	o.fileRecords += len(recs)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range recs {
		if h := o.held[r.ID]; h != nil {
			h.durable = true
		}
	}
}

// rewriteFile replaces the content of the file by the durable records that are
// still in the outbox. The caller holds diskMu.
func (o *Outbox) rewriteFile() error {
	e := diskEntry{Records: o.durableRecords()}
	b, err := serializer.Marshal(e)
	if err != nil {
		return &DiskError{Err: err}
	}
	if err := o.opts.Rewrite(b); err != nil {
		return &DiskError{Err: errors.Wrap(err, "rewrite")}
	}
	o.fileRecords = len(e.Records)
	return nil
}

// durableRecords returns the records of the outbox that are on disk.
func (o *Outbox) durableRecords() []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Record
	for _, h := range o.held {
		if h.durable {
			out = append(out, h.record)
		}
	}
	return out
}
