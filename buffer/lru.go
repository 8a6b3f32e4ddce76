package buffer

import "iter"

type (
	// LRU is a map of bounded size that forgets the entry put or touched
	// least recently. It is not safe for concurrent use. Make it with NewLRU.
	LRU[K comparable, V any] struct {
		size    int
		entries map[K]*node[K, V]
		// root joins the list: root.next is the newest, root.prev the oldest.
		root node[K, V]
	}

	node[K comparable, V any] struct {
		key        K
		value      V
		prev, next *node[K, V]
	}
)

// NewLRU returns an empty map for n entries.
func NewLRU[K comparable, V any](n int) *LRU[K, V] {
	if n < 1 {
		n = defaultCapacity
	}
	l := &LRU[K, V]{size: n, entries: make(map[K]*node[K, V])}
	l.root.prev, l.root.next = &l.root, &l.root
	return l
}

// All goes through the entries, the newest first, without touching them. The
// map must not be changed meanwhile.
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

// Peek returns the value of k without touching its entry.
func (l *LRU[K, V]) Peek(k K) (V, bool) {
	if n, ok := l.entries[k]; ok {
		return n.value, true
	}
	var zero V
	return zero, false
}

// Get returns the value of k and makes its entry the newest.
func (l *LRU[K, V]) Get(k K) (V, bool) {
	n, ok := l.entries[k]
	if !ok {
		var zero V
		return zero, false
	}
	n.unlink()
	l.link(n)
	return n.value, true
}

// Put sets the value of k and makes its entry the newest; the oldest entry is
// forgotten when the map is full.
func (l *LRU[K, V]) Put(k K, v V) {
	n, ok := l.entries[k]
	switch {
	case ok:
		n.unlink()
	case len(l.entries) >= l.size:
		// The oldest node is reused, so a full map does not allocate.
		n = l.root.prev
		n.unlink()
		delete(l.entries, n.key)
	default:
		n = &node[K, V]{}
	}
	n.key, n.value = k, v
	l.entries[k] = n
	l.link(n)
}

// Remove forgets k.
func (l *LRU[K, V]) Remove(k K) {
	if n, ok := l.entries[k]; ok {
		n.unlink()
		delete(l.entries, k)
	}
}

func (l *LRU[K, V]) link(n *node[K, V]) {
	n.prev, n.next = &l.root, l.root.next
	n.prev.next, n.next.prev = n, n
}

func (n *node[K, V]) unlink() { n.prev.next, n.next.prev = n.next, n.prev }
