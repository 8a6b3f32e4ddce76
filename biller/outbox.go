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
	// its owner has not released. Until then the record is lost if the owner
	// and a witness without a disk both stop; an owner releases within
	// milliseconds, so that a second is long enough.
	WitnessDelay = time.Second
	// DefaultCapacity is the number of records an outbox holds at most. At
	// about 400 bytes each they stay below 32 MB.
	DefaultCapacity = 1 << 16
	// minRewrite is the number of appended records below which the file of
	// an outbox is not rewritten.
	minRewrite = 1024
)

type (
	// Outbox holds the records that the control group has not acknowledged:
	// those this host owns and those it holds as a witness. It is safe for
	// use by several goroutines. Make it with NewOutbox.
	Outbox struct {
		opts OutboxOptions
		// disk orders the calls of Append and Rewrite. It is taken before mu,
		// which is never held during a write: a sync must not delay the
		// requests of this host.
		disk     sync.Mutex
		appended int
		// gather guards pending, the batch that waits for the disk.
		gather  sync.Mutex
		pending *diskBatch

		mu      sync.Mutex
		held    map[string]*heldRecord
		own     []place
		witness []place
		seq     uint64
		changed chan struct{}
		closed  bool
	}

	// OutboxOptions are the settings of an Outbox. The zero value keeps the
	// records in memory only.
	OutboxOptions struct {
		// Capacity is the number of records held at most; zero takes
		// DefaultCapacity.
		Capacity int
		// Append makes the bytes durable, on a host with a disk.
		Append func([]byte) error
		// Rewrite replaces everything appended so far by these bytes. Without
		// it the file grows until the host restarts.
		Rewrite func([]byte) error
	}

	// Mark names the revision of a record that was acknowledged.
	Mark struct {
		ID       string `cbor:"id"`
		Revision uint32 `cbor:"revision"`
	}

	// FullError says that an outbox has no room for another record.
	FullError struct{ Capacity int }

	// ClosedError says that an outbox takes no more records of other hosts,
	// because its host shuts down.
	ClosedError struct{}

	// DiskError says that records could not be made durable.
	DiskError struct{ Err error }

	heldRecord struct {
		record  Record
		owned   bool
		since   time.Time
		durable bool
		// seq is the place of the record in its queue.
		seq uint64
	}

	// place is an element of a queue. It is stale when the record has gone or
	// has another place by now.
	place struct {
		id  string
		seq uint64
	}

	// diskBatch is a group of writes that share one sync.
	diskBatch struct {
		entry   diskEntry
		written bool
		err     error
	}

	// diskEntry is what Append and Rewrite are given.
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

// Own adds a record of this host in memory. It returns a *FullError if there
// is no room.
func (o *Outbox) Own(r Record) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.put(r, true, time.Time{})
}

// Persist makes records of this host durable that no witness holds. Without a
// disk it does nothing. It returns a *DiskError.
func (o *Outbox) Persist(recs ...Record) error {
	return o.write(recs, true)
}

// Hold adds the records of another host and makes them durable on a host with
// a disk. On an error none or some of them are held, and the owner must look
// for another witness. It returns a *FullError or a *DiskError.
func (o *Outbox) Hold(now time.Time, recs []Record) error {
	if err := o.putAll(recs, false, now); err != nil {
		return err
	}
	return o.write(recs, false)
}

// Accept is Hold for calls of other hosts. After Close it returns a
// *ClosedError and holds none of the records.
func (o *Outbox) Accept(now time.Time, recs []Record) error {
	if err := o.putOpen(recs, now); err != nil {
		return err
	}
	return o.write(recs, false)
}

// Close ends the calls of Accept. Every record that it took is among those
// that Due returns afterwards; all else goes on.
func (o *Outbox) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}

// Owned returns those of the named records that this host owns.
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

// Due returns up to limit records to deliver: all records of this host, and
// those held for others since WitnessDelay or longer.
func (o *Outbox) Due(now time.Time, limit int) []Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.own = o.compact(o.own)
	o.witness = o.compact(o.witness)
	var out []Record
	for _, p := range o.own[:min(limit, len(o.own))] {
		out = append(out, o.held[p.id].record)
	}
	for _, p := range o.witness {
		h := o.held[p.id]
		if len(out) >= limit || now.Sub(h.since) < WitnessDelay {
			break
		}
		out = append(out, h.record)
	}
	return out
}

// Next returns the time until the oldest record held for another host falls
// due; ok is false if there is none.
func (o *Outbox) Next(now time.Time) (d time.Duration, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.witness = o.compact(o.witness)
	if len(o.witness) == 0 {
		return 0, false
	}
	return max(0, WitnessDelay-now.Sub(o.held[o.witness[0].id].since)), true
}

// Acknowledge lets go of the records up to the marked revisions. It returns a
// *DiskError if the file could not be rewritten, after which the records are
// let go of all the same.
func (o *Outbox) Acknowledge(marks []Mark) error {
	left := o.drop(marks)
	if o.opts.Rewrite == nil {
		return nil
	}
	o.disk.Lock()
	defer o.disk.Unlock()
	if o.appended < minRewrite || o.appended < 2*left {
		return nil
	}
	return o.rewrite()
}

// Load reads what Append and Rewrite were given by an earlier process, in
// that order. The records count as held since now. The capacity does not apply:
// the file also has acknowledged records that were not yet rewritten away, and
// a host must start with all of them. It returns a *serializer.DecodeError.
func (o *Outbox) Load(b []byte, now time.Time) error {
	var e diskEntry
	if err := serializer.UnmarshalState(b, &e); err != nil {
		return err
	}
	o.merge(e.Records, e.Owned, now)
	o.disk.Lock()
	defer o.disk.Unlock()
	o.written(e.Records)
	return nil
}

// Len returns the number of records that are held.
func (o *Outbox) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.held)
}

// Changed returns a channel that is closed when a record is added.
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
	return "this host shuts down and holds no more billing records; use another witness"
}

// Error implements error.
func (e *DiskError) Error() string { return fmt.Sprintf("write billing records: %v", e.Err) }

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

func (o *Outbox) putAll(recs []Record, owned bool, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.putEach(recs, owned, now)
}

// putOpen checks for Close and adds the records under one lock, so that no
// record is added after Close has returned.
func (o *Outbox) putOpen(recs []Record, now time.Time) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return &ClosedError{}
	}
	return o.putEach(recs, false, now)
}

func (o *Outbox) putEach(recs []Record, owned bool, now time.Time) error {
	for _, r := range recs {
		if err := o.put(r, owned, now); err != nil {
			return err
		}
	}
	return nil
}

// merge adds the records whatever the capacity.
func (o *Outbox) merge(recs []Record, owned bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range recs {
		o.set(r, owned, now)
	}
}

func (o *Outbox) put(r Record, owned bool, now time.Time) error {
	if o.held[r.ID] == nil && len(o.held) >= o.opts.Capacity {
		return &FullError{Capacity: o.opts.Capacity}
	}
	o.set(r, owned, now)
	return nil
}

func (o *Outbox) set(r Record, owned bool, now time.Time) {
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

func (o *Outbox) enqueue(id string, h *heldRecord) {
	o.seq++
	h.seq = o.seq
	p := place{id: id, seq: h.seq}
	if h.owned {
		o.own = append(o.own, p)
		return
	}
	o.witness = append(o.witness, p)
}

// compact removes the stale places from a queue.
func (o *Outbox) compact(places []place) []place {
	out := places[:0]
	for _, p := range places {
		if h := o.held[p.id]; h != nil && h.seq == p.seq {
			out = append(out, p)
		}
	}
	clear(places[len(out):])
	return out
}

// drop lets go of the marked records and returns the number that is left.
func (o *Outbox) drop(marks []Mark) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range marks {
		if h := o.held[m.ID]; h != nil && h.record.Revision <= m.Revision {
			delete(o.held, m.ID)
		}
	}
	return len(o.held)
}

func (o *Outbox) write(recs []Record, owned bool) error {
	if o.opts.Append == nil || len(recs) == 0 {
		return nil
	}
	b := o.join(recs, owned)
	o.disk.Lock()
	defer o.disk.Unlock()
	if !b.written {
		o.seal(b)
		b.written, b.err = true, o.append(b.entry)
	}
	return b.err
}

// join adds the records to the batch that is written next. A batch of which
// some records are held for others counts as held: they are delivered later,
// not never.
func (o *Outbox) join(recs []Record, owned bool) *diskBatch {
	o.gather.Lock()
	defer o.gather.Unlock()
	if o.pending == nil {
		o.pending = &diskBatch{entry: diskEntry{Owned: true}}
	}
	b := o.pending
	b.entry.Records = append(b.entry.Records, recs...)
	b.entry.Owned = b.entry.Owned && owned
	return b
}

// seal ends the gathering of a batch.
func (o *Outbox) seal(b *diskBatch) {
	o.gather.Lock()
	defer o.gather.Unlock()
	if o.pending == b {
		o.pending = nil
	}
}

func (o *Outbox) append(e diskEntry) error {
	b, err := serializer.Marshal(e)
	if err != nil {
		return &DiskError{Err: err}
	}
	if err := o.opts.Append(b); err != nil {
		return &DiskError{Err: err}
	}
	o.written(e.Records)
	return nil
}

// written notes that the records are in the file.
func (o *Outbox) written(recs []Record) {
	o.appended += len(recs)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range recs {
		if h := o.held[r.ID]; h != nil {
			h.durable = true
		}
	}
}

// rewrite replaces the file by the durable records that are still held.
func (o *Outbox) rewrite() error {
	e := diskEntry{Records: o.durable()}
	b, err := serializer.Marshal(e)
	if err != nil {
		return &DiskError{Err: err}
	}
	if err := o.opts.Rewrite(b); err != nil {
		return &DiskError{Err: errors.Wrap(err, "rewrite")}
	}
	o.appended = len(e.Records)
	return nil
}

func (o *Outbox) durable() []Record {
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
