package replicator

import "foxtailwall/journaler"

// raftLog is the part of the log kept in memory: the entries after baseIndex.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []journaler.Entry
	// syncedIndex is the last index that is durable.
	syncedIndex uint64
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// hasTerm reports whether the term at index is known.
func (l *raftLog) hasTerm(index uint64) bool { return index >= l.baseIndex && index <= l.lastIndex() }

// term returns the term of the entry, or zero if it is not known.
func (l *raftLog) term(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case !l.hasTerm(index):
		return 0
	}
	return l.entries[index-l.baseIndex-1].Term
}

// entriesBetween returns the entries from lo to hi, inclusive.
func (l *raftLog) entriesBetween(lo, hi uint64) []journaler.Entry {
	return l.entries[lo-l.baseIndex-1 : hi-l.baseIndex : hi-l.baseIndex]
}

// entriesFrom returns entries from lo on, up to limit bytes but at least one.
func (l *raftLog) entriesFrom(lo uint64, limit int) []journaler.Entry {
	if lo > l.lastIndex() {
		return nil
	}
	hi, size := lo, 0
	for ; hi <= l.lastIndex(); hi++ {
		size += len(l.entries[hi-l.baseIndex-1].Data)
		if size > limit && hi > lo {
			break
		}
	}
	return l.entriesBetween(lo, hi-1)
}

func (l *raftLog) unsynced() []journaler.Entry {
	if l.syncedIndex >= l.lastIndex() {
		return nil
	}
	return l.entriesBetween(l.syncedIndex+1, l.lastIndex())
}

// truncateAndAppend replaces the entries from es[0].Index on by es. It does not
// overwrite the dropped entries, because messages may refer to them.
func (l *raftLog) truncateAndAppend(es []journaler.Entry) {
	at := es[0].Index - l.baseIndex - 1
	if at < uint64(len(l.entries)) {
		l.entries = l.entries[:at:at]
	}
	l.entries = append(l.entries, es...)
	l.syncedIndex = min(l.syncedIndex, es[0].Index-1)
}

// compact drops the entries up to and including index.
func (l *raftLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	term := l.term(index)
	l.entries = append([]journaler.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}
