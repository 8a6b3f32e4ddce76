package buffer

// Heap is a priority queue: Pop returns the smallest element in the order given
// to NewHeap. It is not safe for concurrent use.
type Heap[T any] struct {
	less  func(a, b T) bool
	items []T
}

// NewHeap returns an empty heap ordered by less.
func NewHeap[T any](less func(a, b T) bool) *Heap[T] { return &Heap[T]{less: less} }

// Len returns the number of elements.
func (h *Heap[T]) Len() int { return len(h.items) }

// Peek returns the smallest element without removing it; ok is false if the
// heap is empty.
func (h *Heap[T]) Peek() (v T, ok bool) {
	if len(h.items) == 0 {
		return v, false
	}
	return h.items[0], true
}

// Push adds v.
func (h *Heap[T]) Push(v T) {
	h.items = append(h.items, v)
	i := len(h.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.items[i], h.items[parent] = h.items[parent], h.items[i]
		i = parent
	}
}

// Pop removes and returns the smallest element; ok is false if the heap is
// empty.
func (h *Heap[T]) Pop() (v T, ok bool) {
	n := len(h.items) - 1
	if n < 0 {
		return v, false
	}
	v = h.items[0]
	var zero T
	h.items[0], h.items[n] = h.items[n], zero
	h.items = h.items[:n]
	h.siftDown(0)
	return v, true
}

// siftDown moves the element at i down until no child is smaller.
func (h *Heap[T]) siftDown(i int) {
	for {
		smallest := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.items); c++ {
			if h.less(h.items[c], h.items[smallest]) {
				smallest = c
			}
		}
		if smallest == i {
			return
		}
		h.items[i], h.items[smallest] = h.items[smallest], h.items[i]
		i = smallest
	}
}
