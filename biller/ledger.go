package biller

import (
	"slices"
	"strings"
	"time"

	"foxtailwall/buffer"
)

const (
	// DefaultRetention is the time for which single records are kept when the
	// configuration names none. It covers the longest partition after which a
	// zone can still deliver its records.
	DefaultRetention = 24 * time.Hour
	// MaxRevisionGap is the longest time between the first and the last
	// revision of one record. A record is kept that much longer than the
	// retention, so that a revision of a record that was removed is always
	// too old to be counted again.
	MaxRevisionGap = time.Hour
	// maxAhead is how far the time of a record may lie in the future. A
	// larger one would keep its record for that much longer.
	maxAhead = time.Hour
	// minYear bounds the time of a record to what a snapshot can hold.
	minYear = 2000
)

// Reasons for which a ledger refuses a record.
const (
	// TooOld means that the record may have been counted and removed.
	TooOld Reason = "tooOld"
	// InFuture means that the clock of the host that made the record is
	// wrong by more than an hour.
	InFuture Reason = "inFuture"
	// NoID means that the record names no request.
	NoID Reason = "noId"
)

type (
	// Ledger counts every record once, whatever the number and order of its
	// deliveries. Its zero value is empty. It is not safe for use by several
	// goroutines.
	Ledger struct {
		// records are replaced when they change and never written to, so that
		// an export can go on while the ledger changes.
		records buffer.Dense[string, *entry]
		// byAge orders the records by the newest time seen for them. An
		// element may be older than its record; Prune then puts it back.
		byAge  *buffer.Heap[aged]
		totals map[account]*Total
		// floor is the newest time of a record that was removed, in Unix
		// nanoseconds.
		floor   int64
		refused int64
	}

	// Reason says why a record was refused.
	Reason string

	// Refused is a record that the ledger did not count.
	Refused struct {
		ID     string `cbor:"id" json:"id"`
		Reason Reason `cbor:"reason" json:"reason"`
	}

	// Total is the sum of the records of one member.
	Total struct {
		Workspace    string `cbor:"workspace" json:"workspace"`
		Member       string `cbor:"member" json:"member"`
		Requests     int64  `cbor:"requests" json:"requests"`
		InputTokens  int64  `cbor:"inputTokens" json:"inputTokens"`
		OutputTokens int64  `cbor:"outputTokens" json:"outputTokens"`
		CostNanos    int64  `cbor:"costNanos" json:"costNanos"`
	}

	// SavedRecord is one record in an export.
	SavedRecord struct {
		Record Record `cbor:"record"`
		// Newest is the newest time seen for the record, in Unix nanoseconds.
		Newest int64 `cbor:"newest"`
	}

	// Export is a Ledger as written to a snapshot.
	Export struct {
		Records []SavedRecord `cbor:"records"`
		Totals  []Total       `cbor:"totals"`
		Floor   int64         `cbor:"floor"`
		Refused int64         `cbor:"refused"`
	}

	entry struct {
		record Record
		newest int64
	}

	aged struct {
		at int64
		id string
	}

	account struct{ workspace, member string }
)

// Add merges the records at the time now and returns those it refused. Records
// older than retention are refused.
func (l *Ledger) Add(recs []Record, now time.Time, retention time.Duration) []Refused {
	var out []Refused
	for _, r := range recs {
		if reason := l.add(r, now, retention); reason != "" {
			l.refused++
			out = append(out, Refused{ID: r.ID, Reason: reason})
		}
	}
	return out
}

func (l *Ledger) add(r Record, now time.Time, retention time.Duration) Reason {
	r.At = r.At.UTC()
	at := r.At.UnixNano()
	switch {
	case r.ID == "":
		return NoID
	case r.At.After(now.Add(maxAhead)):
		return InFuture
	case r.At.Year() < minYear:
		return TooOld
	}
	if e := l.records.Get(r.ID); e != nil {
		next := &entry{record: Merge(e.record, r), newest: max(e.newest, at)}
		l.records.Put(r.ID, next)
		l.count(e.record, -1)
		l.count(next.record, 1)
		return ""
	}
	if r.At.Before(now.Add(-retention)) || at <= l.floor {
		return TooOld
	}
	l.init()
	l.records.Put(r.ID, &entry{record: r, newest: at})
	l.byAge.Push(aged{at: at, id: r.ID})
	l.count(r, 1)
	return ""
}

// Prune removes up to limit records that are older than the retention and
// MaxRevisionGap, oldest first, and returns their number. The totals keep
// counting them.
func (l *Ledger) Prune(now time.Time, retention time.Duration, limit int) int {
	if l.byAge == nil {
		return 0
	}
	oldest := now.Add(-retention - MaxRevisionGap).UnixNano()
	n := 0
	for range limit {
		top, ok := l.byAge.Peek()
		if !ok || top.at >= oldest {
			break
		}
		l.byAge.Pop()
		if e := l.records.Get(top.id); e.newest > top.at {
			l.byAge.Push(aged{at: e.newest, id: top.id})
			continue
		}
		l.records.Delete(top.id)
		l.floor = max(l.floor, top.at+int64(MaxRevisionGap))
		n++
	}
	return n
}

// Len returns the number of single records that are kept.
func (l *Ledger) Len() int { return l.records.Len() }

// Refusals returns the number of deliveries that were refused so far.
func (l *Ledger) Refusals() int64 { return l.refused }

// Totals returns the sums by workspace and member, sorted by these.
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

// Records returns a function that makes the list of the single records that
// are kept now, sorted by ID. It may run while the ledger changes.
func (l *Ledger) Records() func() []Record {
	each, n := l.records.Freeze(), l.records.Len()
	return func() []Record {
		out := make([]Record, 0, n)
		each(func(_ string, e *entry) { out = append(out, e.record) })
		slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
		return out
	}
}

// Export returns the content of the ledger, in an order that depends only on
// the calls that made it.
func (l *Ledger) Export() Export { return l.Freeze()() }

// Freeze returns a function that makes the export of the ledger as it is now.
// Freeze is fast; the function may run while the ledger changes.
func (l *Ledger) Freeze() func() Export {
	each, n := l.records.Freeze(), l.records.Len()
	e := Export{Totals: l.Totals(), Floor: l.floor, Refused: l.refused}
	return func() Export {
		e.Records = make([]SavedRecord, 0, n)
		each(func(_ string, r *entry) {
			e.Records = append(e.Records, SavedRecord{Record: r.record, Newest: r.newest})
		})
		return e
	}
}

// Import replaces the content of the ledger.
func (l *Ledger) Import(e Export) {
	*l = Ledger{floor: e.Floor, refused: e.Refused}
	l.init()
	for _, s := range e.Records {
		s.Record.At = s.Record.At.UTC()
		l.records.Put(s.Record.ID, &entry{record: s.Record, newest: s.Newest})
		l.byAge.Push(aged{at: s.Newest, id: s.Record.ID})
	}
	for _, t := range e.Totals {
		l.totals[account{t.Workspace, t.Member}] = &t
	}
}

func (l *Ledger) init() {
	if l.byAge != nil {
		return
	}
	l.totals = make(map[account]*Total)
	l.byAge = buffer.NewHeap(func(a, b aged) bool {
		return a.at < b.at || a.at == b.at && a.id < b.id
	})
}

// count adds the record to the sums of its member, or takes it out of them
// with a sign of -1.
func (l *Ledger) count(r Record, sign int64) {
	k := account{r.Workspace, r.Member}
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
