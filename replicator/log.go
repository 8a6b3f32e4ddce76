package replicator

import "foxtailwall/journaler"

// raftLog is the part of the log that is kept in memory: the entries after
// base.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []journaler.Entry
	// stable is the last index that is synced.
	stable uint64
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// has reports whether the term at index is known.
func (l *raftLog) has(index uint64) bool { return index >= l.base && index <= l.last() }

// term returns the term of the entry, or zero if it is not known.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index == l.base:
		return l.baseTerm
	case !l.has(index):
		return 0
	}
	return l.entries[index-l.base-1].Term
}

// slice returns the entries from lo to hi, both included.
func (l *raftLog) slice(lo, hi uint64) []journaler.Entry {
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// limited returns the entries from lo on, at least one and at most limit
// bytes.
func (l *raftLog) limited(lo uint64, limit int) []journaler.Entry {
	if lo > l.last() {
		return nil
	}
	hi, size := lo, 0
	for ; hi <= l.last(); hi++ {
		size += len(l.entries[hi-l.base-1].Data)
		if size > limit && hi > lo {
			break
		}
	}
	return l.slice(lo, hi-1)
}

func (l *raftLog) unstable() []journaler.Entry {
	if l.stable >= l.last() {
		return nil
	}
	return l.slice(l.stable+1, l.last())
}

// replace drops the entries from the first given one on and appends these.
// Dropped entries stay in the old array, because messages may refer to it.
func (l *raftLog) replace(es []journaler.Entry) {
	at := es[0].Index - l.base - 1
	if at < uint64(len(l.entries)) {
		l.entries = l.entries[:at:at]
	}
	l.entries = append(l.entries, es...)
	l.stable = min(l.stable, es[0].Index-1)
}

// compact drops the entries up to index.
func (l *raftLog) compact(index uint64) {
	if index <= l.base {
		return
	}
	term := l.term(index)
	l.entries = append([]journaler.Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, term
}
