package buffer

import "slices"

// DenseMap is a map that stores its entries in one slice, so that copying it
// costs no more than copying a slice. The order of the entries depends only on
// the calls of Put and Delete. It is not safe for concurrent use. Its zero
// value is an empty map.
type DenseMap[K comparable, V any] struct {
	index map[K]int
	items []denseItem[K, V]
}

type denseItem[K comparable, V any] struct {
	key   K
	value V
}

// Get returns the value of k, or the zero value if k is absent.
func (d *DenseMap[K, V]) Get(k K) (v V) {
	if i, ok := d.index[k]; ok {
		return d.items[i].value
	}
	return v
}

// Put sets the value of k.
func (d *DenseMap[K, V]) Put(k K, v V) {
	if i, ok := d.index[k]; ok {
		d.items[i].value = v
		return
	}
	if d.index == nil {
		d.index = make(map[K]int)
	}
	d.index[k] = len(d.items)
	d.items = append(d.items, denseItem[K, V]{k, v})
}

// Delete removes k. The last entry of the slice takes its place.
func (d *DenseMap[K, V]) Delete(k K) {
	i, ok := d.index[k]
	if !ok {
		return
	}
	last := len(d.items) - 1
	d.items[i] = d.items[last]
	d.index[d.items[i].key] = i
	d.items[last] = denseItem[K, V]{}
	d.items = d.items[:last]
	delete(d.index, k)
}

// Len returns the number of entries.
func (d *DenseMap[K, V]) Len() int { return len(d.items) }

// Snapshot copies the entries and returns a function that calls fn for each key
// and value of the copy. The copy is shallow.
func (d *DenseMap[K, V]) Snapshot() (each func(fn func(K, V))) {
	items := slices.Clone(d.items)
	return func(fn func(K, V)) {
		for _, it := range items {
			fn(it.key, it.value)
		}
	}
}
