package biller

import (
	"slices"
	"strings"
	"time"

	"foxtailwall/buffer"
)

const (
	// DefaultRetention is how long individual records are kept if the
	// configuration sets no retention. Records that a zone delivers after a
	// partition of up to this length are still counted.
	DefaultRetention = 24 * time.Hour
	// MaxRevisionGap is the maximum time between the first and the last
	// revision of a record. Records are kept for the retention plus this gap,
	// so that a late revision of a removed record is always refused as too
	// old instead of being counted again.
	MaxRevisionGap = time.Hour
	// maxClockLead is how far the time of a record may lie in the future. Such
	// a record is kept longer by the same amount.
	maxClockLead = time.Hour
	// minRecordYear is the earliest year of a record's time. It keeps the time
	// within the range that a snapshot can store.
	minRecordYear = 2000
)

// Reasons for which a ledger refuses a record.
const (
	// TooOld means that the record may have been counted and removed.
	TooOld Reason = "tooOld"
	// InFuture means that the record's time is more than an hour ahead, so the
	// clock of the host that created it is wrong.
	InFuture Reason = "inFuture"
	// NoID means that the record has no request ID.
	NoID Reason = "noId"
)

type (
	// Ledger counts each record exactly once, regardless of how often and in
	// which order records are delivered. The zero value is an empty ledger.
	// It is not safe for concurrent use.
	Ledger struct {
		// records holds immutable entries by request ID. A change replaces
		// the entry, so that an export can run while the ledger changes.
		records buffer.DenseMap[string, *ledgerEntry]
		// byAge orders the records by the newest time of their revisions. An
		// element may have the time of an older revision; Prune then reinserts
		// it.
		byAge  *buffer.Heap[ageItem]
		totals map[accountKey]*Total
		// floor is the time, in Unix nanoseconds, up to which new records are
		// refused because they may be revisions of removed ones: the newest
		// time of a removed record plus MaxRevisionGap.
		floor    int64
		refusals int64
	}

	// Reason says why a record was refused.
	Reason string

	// RefusedRecord identifies a record that the ledger did not count.
	RefusedRecord struct {
		ID     string `cbor:"id" json:"id"`
		Reason Reason `cbor:"reason" json:"reason"`
	}

	// Total is the sum of the records of one member of a workspace.
	Total struct {
		Workspace    string `cbor:"workspace" json:"workspace"`
		Member       string `cbor:"member" json:"member"`
		Requests     int64  `cbor:"requests" json:"requests"`
		InputTokens  int64  `cbor:"inputTokens" json:"inputTokens"`
		OutputTokens int64  `cbor:"outputTokens" json:"outputTokens"`
		CostNanos    int64  `cbor:"costNanos" json:"costNanos"`
	}

	// SavedRecord is a record as stored in an Export.
	SavedRecord struct {
		Record Record `cbor:"record"`
		// Newest is the newest time of all its revisions, in Unix nanoseconds.
		Newest int64 `cbor:"newest"`
	}

	// Export is the content of a Ledger as stored in a snapshot.
	Export struct {
		Records []SavedRecord `cbor:"records"`
		Totals  []Total       `cbor:"totals"`
		Floor   int64         `cbor:"floor"`
		Refused int64         `cbor:"refused"`
	}

	ledgerEntry struct {
		record Record
		newest int64 // As SavedRecord.Newest.
	}

	ageItem struct {
		at int64
		id string
	}

	accountKey struct{ workspace, member string }
)

// Add merges the records into the ledger and returns those it refused. Unknown
// records that are older than retention at the time now are refused.
func (l *Ledger) Add(recs []Record, now time.Time, retention time.Duration) []RefusedRecord {
	var out []RefusedRecord
	for _, r := range recs {
		if reason := l.add(r, now, retention); reason != "" {
			l.refusals++
			out = append(out, RefusedRecord{ID: r.ID, Reason: reason})
		}
	}
	return out
}

// add merges one record and returns the reason if it refuses the record, "" if
// it does not.
func (l *Ledger) add(r Record, now time.Time, retention time.Duration) Reason {
	r.At = r.At.UTC()
	at := r.At.UnixNano()
	switch {
	case r.ID == "":
		return NoID
	case r.At.After(now.Add(maxClockLead)):
		return InFuture
	case r.At.Year() < minRecordYear:
		return TooOld
	}
	if e := l.records.Get(r.ID); e != nil {
		next := &ledgerEntry{record: Merge(e.record, r), newest: max(e.newest, at)}
		l.records.Put(r.ID, next)
		l.addToTotals(e.record, -1)
		l.addToTotals(next.record, 1)
		return ""
	}
	if r.At.Before(now.Add(-retention)) || at <= l.floor {
		return TooOld
	}
	l.initialize()
	l.records.Put(r.ID, &ledgerEntry{record: r, newest: at})
	l.byAge.Push(ageItem{at: at, id: r.ID})
	l.addToTotals(r, 1)
	return ""
}

// Prune removes up to limit records that are older than the retention plus
// MaxRevisionGap, oldest first, and returns their number. The totals still
// include them.
func (l *Ledger) Prune(now time.Time, retention time.Duration, limit int) int {
	if l.byAge == nil {
		return 0
	}
	pruneBefore := now.Add(-retention - MaxRevisionGap).UnixNano()
	removed := 0
	for range limit {
		top, ok := l.byAge.Peek()
		if !ok || top.at >= pruneBefore {
			break
		}
		l.byAge.Pop()
		if e := l.records.Get(top.id); e.newest > top.at {
			l.byAge.Push(ageItem{at: e.newest, id: top.id})
			continue
		}
		l.records.Delete(top.id)
		l.floor = max(l.floor, top.at+int64(MaxRevisionGap))
		removed++
	}
	return removed
}

// Len returns the number of individual records in the ledger.
func (l *Ledger) Len() int { return l.records.Len() }

// Refusals returns the number of refused deliveries.
func (l *Ledger) Refusals() int64 { return l.refusals }

// Totals returns the totals, sorted by workspace and member.
func (l *Ledger) Totals() []Total {
	out := make([]Total, 0, len(l.totals))
	for _, t := range l.totals {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Total) int {
		if c := strings.Compare(a.Workspace, b.Workspace); c != 0 {
			return c
		}
		return strings.Compare(a.Member, b.Member)
	})
	return out
}

// Records captures the current records and returns a function that lists them,
// sorted by ID. The function may run while the ledger changes.
func (l *Ledger) Records() func() []Record {
	forEach, count := l.records.Snapshot(), l.records.Len()
	return func() []Record {
		out := make([]Record, 0, count)
		forEach(func(_ string, e *ledgerEntry) { out = append(out, e.record) })
		slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
		return out
	}
}

// Export returns the content of the ledger, in an order determined by the
// previous calls alone, so that all hosts export the same bytes.
func (l *Ledger) Export() Export { return l.Freeze()() }

// Freeze captures the current content and returns a function that builds its
// Export. Freeze is fast; the function may run while the ledger changes.
func (l *Ledger) Freeze() func() Export {
	forEach, count := l.records.Snapshot(), l.records.Len()
	e := Export{Totals: l.Totals(), Floor: l.floor, Refused: l.refusals}
	return func() Export {
		e.Records = make([]SavedRecord, 0, count)
		forEach(func(_ string, r *ledgerEntry) {
			e.Records = append(e.Records, SavedRecord{Record: r.record, Newest: r.newest})
		})
		return e
	}
}

// Import replaces the content of the ledger.
func (l *Ledger) Import(e Export) {
	*l = Ledger{floor: e.Floor, refusals: e.Refused}
	l.initialize()
	for _, s := range e.Records {
		s.Record.At = s.Record.At.UTC()
		l.records.Put(s.Record.ID, &ledgerEntry{record: s.Record, newest: s.Newest})
		l.byAge.Push(ageItem{at: s.Newest, id: s.Record.ID})
	}
	for _, t := range e.Totals {
		l.totals[accountKey{t.Workspace, t.Member}] = &t
	}
}

// initialize creates the heap and the totals of a zero Ledger.
func (l *Ledger) initialize() {
	if l.byAge != nil {
		return
	}
	l.totals = make(map[accountKey]*Total)
	l.byAge = buffer.NewHeap(func(a, b ageItem) bool {
		return a.at < b.at || a.at == b.at && a.id < b.id
	})
}

// addToTotals adds the record to the totals of its member if sign is 1 and
// subtracts it if sign is -1.
func (l *Ledger) addToTotals(r Record, sign int64) {
	k := accountKey{r.Workspace, r.Member}
	t := l.totals[k]
	if t == nil {
		t = &Total{Workspace: r.Workspace, Member: r.Member}
		l.totals[k] = t
	}
	t.Requests += sign
	t.CostNanos += sign * r.CostNanos
	for _, s := range r.Steps {
		t.InputTokens += sign * s.InputTokens
		t.OutputTokens += sign * s.OutputTokens
	}
	if t.Requests == 0 {
		delete(l.totals, k)
	}
}
