package sharer

import (
	"slices"
	"time"

	"foxtailwall/placer"
)

// maxLoggedPlacements is the number of placements that a leader remembers for
// hosts that start or missed answers.
const maxLoggedPlacements = 4096

// placementLog holds the newest placements of all hosts. Its zero value is ready
// to use. Positions in it start at the time of the first placement, in
// microseconds, so that a position in the log of an earlier leader is almost
// always older than all of this one's.
type placementLog struct {
	// next is the position of the next placement.
	next    uint64
	entries []placer.Placement
}

// add appends placements and drops the oldest ones beyond maxLoggedPlacements.
func (l *placementLog) add(placements []placer.Placement, now time.Time) {
	if l.next == 0 {
		l.next = uint64(now.UnixMicro())
	}
	l.entries = append(l.entries, placements...)
	l.next += uint64(len(placements))
	if extra := len(l.entries) - maxLoggedPlacements; extra > 0 {
		l.entries = append(l.entries[:0], l.entries[extra:]...)
	}
}

// since returns at most maxPlacements placements from the position known, and the
// position after them. A position that is not in the log stands for its start.
func (l *placementLog) since(known uint64) ([]placer.Placement, uint64) {
	first := l.next - uint64(len(l.entries))
	if known < first || known > l.next {
		known = first
	}
	entries := l.entries[known-first:]
	entries = entries[:min(len(entries), maxPlacements)]
	return slices.Clone(entries), known + uint64(len(entries))
}
