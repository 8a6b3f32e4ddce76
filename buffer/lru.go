package buffer

import "iter"

type (
	// LRU is a map of bounded size that evicts the least recently used entry.
	// Get and Put use an entry; All and Peek do not. It is not safe for
	// concurrent use. Create it with NewLRU.
	LRU[K comparable, V any] struct {
		capacity int
		entries  map[K]*node[K, V]
		// root is the sentinel of a circular list: root.next is the most
		// recently used entry, root.prev the least recently used.
		root node[K, V]
	}

	node[K comparable, V any] struct {
		key        K
		value      V
		prev, next *node[K, V]
	}
)

// NewLRU returns an empty map with a capacity of n entries.
func NewLRU[K comparable, V any](n int) *LRU[K, V] {
	if n < 1 {
		n = defaultCapacity
	}
	l := &LRU[K, V]{capacity: n, entries: make(map[K]*node[K, V])}
	l.root.prev, l.root.next = &l.root, &l.root
	return l
}

// All iterates over the entries, most recently used first. The map must not be
// changed during the iteration, which includes calls of Get.
func (l *LRU[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for n := l.root.next; n != &l.root; n = n.next {
			if !yield(n.key, n.value) {
				return
			}
		}
	}
}

// Len returns the number of entries.
func (l *LRU[K, V]) Len() int { return len(l.entries) }

// Peek returns the value of k without marking its entry as used.
func (l *LRU[K, V]) Peek(k K) (V, bool) {
	if n, ok := l.entries[k]; ok {
		return n.value, true
	}
	var zero V
	return zero, false
}

// Get returns the value of k and marks its entry as the most recently used.
func (l *LRU[K, V]) Get(k K) (V, bool) {
	n, ok := l.entries[k]
	if !ok {
		var zero V
		return zero, false
	}
	n.unlink()
	l.pushFront(n)
	return n.value, true
}

// Put sets the value of k and marks its entry as the most recently used. If the
// map is full, a new key evicts the least recently used entry.
func (l *LRU[K, V]) Put(k K, v V) {
	n, ok := l.entries[k]
	switch {
	case ok:
		n.unlink()
	case len(l.entries) >= l.capacity:
		// Reuses the evicted node, so a full map does not allocate.
		n = l.root.prev
		n.unlink()
		delete(l.entries, n.key)
	default:
		n = &node[K, V]{}
	}
	n.key, n.value = k, v
	l.entries[k] = n
	l.pushFront(n)
}

// Remove deletes the entry of k.
func (l *LRU[K, V]) Remove(k K) {
	if n, ok := l.entries[k]; ok {
		n.unlink()
		delete(l.entries, k)
	}
}

func (l *LRU[K, V]) pushFront(n *node[K, V]) {
	n.prev, n.next = &l.root, l.root.next
	n.prev.next, n.next.prev = n, n
}

func (n *node[K, V]) unlink() { n.prev.next, n.next.prev = n.next, n.prev }
