package picker

import (
	"sync"
	"time"

	"foxtailwall/buffer"
)

const (
	// defaultPrefixes takes about 15 MB, since each entry has room for the
	// most holders.
	defaultPrefixes  = 1 << 16
	defaultPrefixAge = 10 * time.Minute
	// maxHolders bounds the replicas remembered for one prefix.
	maxHolders = 8
	// maxMatches bounds the holders that one pick compares.
	maxMatches = 24
	// maxMissed is the number of missed events beyond which an entry is
	// uncertain. Each of them may be its removal, but a cache holds a thousand
	// blocks or more, and a wrong hit costs no more than the prefill it was to
	// save. With 0, the loss of a twentieth of the events kept the index empty.
	maxMissed = 64
)

type (
	// CacheEvent is a change of a replica's prefix cache.
	CacheEvent struct {
		// Seq numbers the events of one incarnation without gaps.
		Seq uint64
		// Add says that the prefix was added; otherwise it was dropped.
		Add bool
		// Prefix is the chained hash of the prompt's leading blocks.
		Prefix uint64
	}

	// prefixIndex knows which replicas hold a prefix. Its memory is bounded;
	// the prefixes whose last event is oldest are forgotten first.
	prefixIndex struct {
		mu  sync.RWMutex
		age time.Duration
		// missed is the number of missed events that an entry outlives.
		missed uint32
		// start is the origin of the holders' expiry times.
		start   time.Time
		holders *buffer.LRU[uint64, holderList]
		feeds   map[*Replica]*feed
	}

	holderList struct {
		n    int
		list [maxHolders]holder
	}

	holder struct {
		replica *Replica
		epoch   uint32
		// until is in seconds after the start of the index.
		until uint32
	}

	// feed is the state of one replica's event sequence. Its epoch grows by
	// the missed events; entries made too long before it are invalid.
	feed struct {
		incarnation uint64
		last        uint64
		epoch       uint32
	}

	match struct {
		replica *Replica
		depth   int
	}
)

func newPrefixIndex(size int, age time.Duration, now time.Time) *prefixIndex {
	return &prefixIndex{age: age, missed: maxMissed, start: now, holders: buffer.NewLRU[uint64, holderList](size), feeds: make(map[*Replica]*feed)}
}

func (x *prefixIndex) seconds(t time.Time) uint32 { return uint32(t.Sub(x.start) / time.Second) }

// apply takes events in sequence. With each missed event the older entries of
// the replica become less certain, because it may be their removal.
func (x *prefixIndex) apply(r *Replica, incarnation uint64, events []CacheEvent, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f := x.feed(r, incarnation)
	if f == nil {
		return
	}
	for _, e := range events {
		if e.Seq <= f.last {
			continue
		}
		if e.Seq > f.last+1 {
			f.epoch += uint32(min(e.Seq-f.last-1, uint64(x.missed)+1))
		}
		f.last = e.Seq
		list, _ := x.holders.Peek(e.Prefix)
		list.remove(r)
		if e.Add {
			list.add(holder{replica: r, epoch: f.epoch, until: x.seconds(now.Add(x.age))})
		}
		if list.n == 0 {
			x.holders.Remove(e.Prefix)
			continue
		}
		x.holders.Put(e.Prefix, list)
	}
}

// invalidate forgets what earlier incarnations of the replica held.
func (x *prefixIndex) invalidate(r *Replica, incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.feed(r, incarnation)
}

// feed returns the state of the replica's sequence, started anew for a new
// incarnation, or nil when the incarnation is an old one.
func (x *prefixIndex) feed(r *Replica, incarnation uint64) *feed {
	f, ok := x.feeds[r]
	if !ok {
		f = &feed{incarnation: incarnation}
		x.feeds[r] = f
	}
	if incarnation < f.incarnation {
		return nil
	}
	if incarnation > f.incarnation {
		*f = feed{incarnation: incarnation, epoch: f.epoch + x.missed + 1}
	}
	return f
}

// find appends to out the replicas that hold a prefix of the prompt. A cache
// drops long prefixes before the shorter ones they extend, so the deepest held
// prefix is found by bisection; shallower holders are sampled below it.
func (x *prefixIndex) find(prefixes []uint64, now time.Time, out []match) []match {
	x.mu.RLock()
	defer x.mu.RUnlock()
	at := x.seconds(now)
	low, high := 0, len(prefixes)
	for low < high {
		mid := (low + high + 1) / 2
		if x.held(prefixes[mid-1], at) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	for depth := low; depth > 0; depth = depth * 3 / 4 {
		out = x.matches(prefixes[depth-1], depth, at, out)
	}
	return out
}

func (x *prefixIndex) held(prefix uint64, at uint32) bool {
	list, ok := x.holders.Peek(prefix)
	if !ok {
		return false
	}
	for _, h := range list.list[:list.n] {
		if x.valid(h, at) {
			return true
		}
	}
	return false
}

func (x *prefixIndex) matches(prefix uint64, depth int, at uint32, out []match) []match {
	list, _ := x.holders.Peek(prefix)
	for _, h := range list.list[:list.n] {
		if len(out) == cap(out) {
			return out
		}
		if x.valid(h, at) && !matched(out, h.replica) {
			out = append(out, match{replica: h.replica, depth: depth})
		}
	}
	return out
}

func (x *prefixIndex) valid(h holder, at uint32) bool {
	f := x.feeds[h.replica]
	return f != nil && f.epoch-h.epoch <= x.missed && h.until > at
}

// forget drops the sequence state of a replica that left the configuration,
// which makes its entries invalid.
func (x *prefixIndex) forget(r *Replica) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.feeds, r)
}

// add appends a holder, replacing the one noted first when the list is full.
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

func matched(found []match, r *Replica) bool {
	for _, m := range found {
		if m.replica == r {
			return true
		}
	}
	return false
}
