// Package buffer provides bounded queues between goroutines, and a heap, an LRU
// map and a map that is cheap to copy.
//
// Each task of a process runs in its own goroutine and passes its results to
// the next one through a Ring. A full ring either rejects the new element
// (Offer) or blocks the producer (Put), so that memory stays bounded and
// overload shows where it starts.
//
// # Usage
//
//	ring := buffer.New[Record](1024)
//	if !ring.Offer(rec) {
//		dropped.Inc(1)
//	}
//	rec, err := ring.Take(ctx)
package buffer

import (
	"context"
	"fmt"
)

// defaultCapacity is the capacity, in elements, of a Ring or LRU created with a
// capacity below one.
const defaultCapacity = 64

type (
	// Ring is a bounded first-in first-out queue for any number of producers
	// and consumers. Create it with New.
	Ring[T any] struct{ elements chan T }

	// FullError is the error for an element that a full ring rejected.
	FullError struct{ Capacity int }
)

// New returns an empty ring with a capacity of n elements.
func New[T any](n int) *Ring[T] {
	if n < 1 {
		n = defaultCapacity
	}
	return &Ring[T]{elements: make(chan T, n)}
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring of %d elements is full", e.Capacity)
}

// Offer adds v unless the ring is full, and reports whether it did.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.elements <- v:
		return true
	default:
		return false
	}
}

// Put adds v, and blocks while the ring is full. It returns the error of ctx if
// that ends first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.elements <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest element, and blocks while the ring is
// empty. It returns the error of ctx if that ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.elements:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Drain removes and returns up to limit elements, oldest first, without
// blocking. A limit below one removes all.
func (r *Ring[T]) Drain(limit int) []T {
	var out []T
	for limit < 1 || len(out) < limit {
		select {
		case v := <-r.elements:
			out = append(out, v)
		default:
			return out
		}
	}
	return out
}

// C returns the channel of the elements, for receiving in a select.
func (r *Ring[T]) C() <-chan T { return r.elements }

// Len returns the number of elements in the ring.
func (r *Ring[T]) Len() int { return len(r.elements) }

// Cap returns the capacity in elements.
func (r *Ring[T]) Cap() int { return cap(r.elements) }
