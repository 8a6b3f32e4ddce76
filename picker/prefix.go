package picker

import (
	"sync"
	"time"

	"foxtailwall/buffer"
)

const (
	// defaultMaxPrefixes prefixes occupy about 15 MB, since each entry has room
	// for maxHolders holders.
	defaultMaxPrefixes = 1 << 16
	defaultPrefixAge   = 10 * time.Minute
	// maxHolders is the number of replicas remembered for one prefix.
	maxHolders = 8
	// maxMatches is the number of holders that one pick compares.
	maxMatches = 24
	// maxMissed is the number of missed events after which an entry is ignored.
	// Each of them may be its removal, but a cache holds a thousand blocks or
	// more, and a wrong hit costs no more than the prefill it was to save. With
	// 0, losing a twentieth of the events kept the index empty.
	maxMissed = 64
)

type (
	// CacheEvent is a change of a replica's prefix cache.
	CacheEvent struct {
		// Seq numbers the events of one incarnation without gaps.
		Seq uint64
		// Add is true if the prefix was added and false if it was evicted.
		Add bool
		// Prefix is the chained hash of the prompt's leading blocks.
		Prefix uint64
	}

	// prefixIndex maps prefixes to the replicas that hold them. When it is
	// full, the prefix with the oldest event is dropped.
	prefixIndex struct {
		mu     sync.RWMutex
		maxAge time.Duration
		// maxMissed is the number of missed events up to which an entry is
		// valid.
		maxMissed uint32
		// start is the origin of expiresAt.
		start     time.Time
		holders   *buffer.LRU[uint64, holderList]
		sequences map[*Replica]*eventSequence
	}

	// holderList lists the replicas that hold a prefix.
	holderList struct {
		n    int
		list [maxHolders]holder
	}

	holder struct {
		replica *Replica
		// epoch is that of the replica's event sequence at the add event.
		epoch uint32
		// expiresAt is in seconds after the start of the index.
		expiresAt uint32
	}

	// eventSequence is the state of one replica's event sequence. Its epoch
	// grows by the number of missed events; an entry with an epoch too far
	// below it is invalid.
	eventSequence struct {
		incarnation uint64
		lastSeq     uint64
		epoch       uint32
	}

	// match is a replica that holds the first depth blocks of a prompt.
	match struct {
		replica *Replica
		depth   int
	}
)

func newPrefixIndex(size int, age time.Duration, now time.Time) *prefixIndex {
	return &prefixIndex{maxAge: age, maxMissed: maxMissed, start: now, holders: buffer.NewLRU[uint64, holderList](size), sequences: make(map[*Replica]*eventSequence)}
}

// sinceStart returns the whole seconds from the start of the index to t.
func (x *prefixIndex) sinceStart(t time.Time) uint32 { return uint32(t.Sub(x.start) / time.Second) }

// applyEvents applies events in sequence and skips repeated ones. Each missed
// event makes older entries of the replica less certain, because it may be
// their removal.
func (x *prefixIndex) applyEvents(r *Replica, incarnation uint64, events []CacheEvent, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	sequence := x.sequence(r, incarnation)
	if sequence == nil {
		return
	}
	for _, event := range events {
		if event.Seq <= sequence.lastSeq {
			continue
		}
		if event.Seq > sequence.lastSeq+1 {
			sequence.epoch += uint32(min(event.Seq-sequence.lastSeq-1, uint64(x.maxMissed)+1))
		}
		sequence.lastSeq = event.Seq
		list, _ := x.holders.Peek(event.Prefix)
		list.remove(r)
		if event.Add {
			list.add(holder{replica: r, epoch: sequence.epoch, expiresAt: x.sinceStart(now.Add(x.maxAge))})
		}
		if list.n == 0 {
			x.holders.Remove(event.Prefix)
			continue
		}
		x.holders.Put(event.Prefix, list)
	}
}

// invalidateOlder invalidates the entries of earlier incarnations of the
// replica.
func (x *prefixIndex) invalidateOlder(r *Replica, incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence(r, incarnation)
}

// sequence returns the state of the replica's event sequence, reset for a new
// incarnation, or nil if the incarnation is an old one.
func (x *prefixIndex) sequence(r *Replica, incarnation uint64) *eventSequence {
	sequence, ok := x.sequences[r]
	if !ok {
		sequence = &eventSequence{incarnation: incarnation}
		x.sequences[r] = sequence
	}
	if incarnation < sequence.incarnation {
		return nil
	}
	if incarnation > sequence.incarnation {
		*sequence = eventSequence{incarnation: incarnation, epoch: sequence.epoch + x.maxMissed + 1}
	}
	return sequence
}

// findHolders appends to out the replicas that hold a prefix of the prompt. A
// cache evicts long prefixes before the shorter ones they extend, so the
// longest held prefix is found by bisection; holders of shorter prefixes are
// sampled.
func (x *prefixIndex) findHolders(prefixes []uint64, now time.Time, out []match) []match {
	x.mu.RLock()
	defer x.mu.RUnlock()
	seconds := x.sinceStart(now)
	low, high := 0, len(prefixes)
	for low < high {
		mid := (low + high + 1) / 2
		if x.isHeld(prefixes[mid-1], seconds) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	for depth := low; depth > 0; depth = depth * 3 / 4 {
		out = x.appendHolders(prefixes[depth-1], depth, seconds, out)
	}
	return out
}

func (x *prefixIndex) isHeld(prefix uint64, seconds uint32) bool {
	list, ok := x.holders.Peek(prefix)
	if !ok {
		return false
	}
	for _, h := range list.list[:list.n] {
		if x.valid(h, seconds) {
			return true
		}
	}
	return false
}

func (x *prefixIndex) appendHolders(prefix uint64, depth int, seconds uint32, out []match) []match {
	list, _ := x.holders.Peek(prefix)
	for _, h := range list.list[:list.n] {
		if len(out) == cap(out) {
			return out
		}
		if x.valid(h, seconds) && !containsReplica(out, h.replica) {
			out = append(out, match{replica: h.replica, depth: depth})
		}
	}
	return out
}

// valid reports whether the entry is neither expired nor too uncertain.
func (x *prefixIndex) valid(h holder, seconds uint32) bool {
	sequence := x.sequences[h.replica]
	return sequence != nil && sequence.epoch-h.epoch <= x.maxMissed && h.expiresAt > seconds
}

// removeReplica drops the sequence state of a replica that left the
// configuration, which makes its entries invalid.
func (x *prefixIndex) removeReplica(r *Replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.sequences, r)
}

// add appends a holder. A full list drops its first holder.
func (l *holderList) add(h holder) {
	if l.n == maxHolders {
		copy(l.list[:], l.list[1:])
		l.n--
	}
	l.list[l.n] = h
	l.n++
}

func (l *holderList) remove(r *Replica) {
	for i := range l.n {
		if l.list[i].replica == r {
			copy(l.list[i:], l.list[i+1:l.n])
			l.n--
			l.list[l.n] = holder{}
			return
		}
	}
}

func containsReplica(found []match, r *Replica) bool {
	for _, m := range found {
		if m.replica == r {
			return true
		}
	}
	return false
}
