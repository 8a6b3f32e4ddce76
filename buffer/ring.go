// Package buffer provides the bounded rings that join goroutines.
//
// Each duty of a process runs in a goroutine of its own and hands its results
// to the next duty through a Ring. A full ring either refuses the new element
// (Offer) or makes the producer wait (Put), so that memory stays bounded and
// overload is visible where it starts.
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

// defaultCapacity is the capacity of a ring made with a size below one.
const defaultCapacity = 64

type (
	// Ring is a bounded first-in first-out queue for any number of producers
	// and consumers. Make it with New.
	Ring[T any] struct{ c chan T }

	// FullError says that a ring had no room for another element.
	FullError struct{ Capacity int }
)

// New returns an empty ring for n elements.
func New[T any](n int) *Ring[T] {
	if n < 1 {
		n = defaultCapacity
	}
	return &Ring[T]{c: make(chan T, n)}
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("ring of %d elements is full", e.Capacity)
}

// Offer adds v if there is room and reports whether it did.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Put adds v, waiting for room. It returns the error of ctx if that ends
// first.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest element, waiting for one. It returns the error of
// ctx if that ends first.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case v := <-r.c:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Drain removes up to limit elements without waiting, oldest first. A limit
// below one removes all.
func (r *Ring[T]) Drain(limit int) []T {
	var out []T
	for limit < 1 || len(out) < limit {
		select {
		case v := <-r.c:
			out = append(out, v)
		default:
			return out
		}
	}
	return out
}

// C returns the channel on which elements arrive, for use in a select.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns the number of elements waiting.
func (r *Ring[T]) Len() int { return len(r.c) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.c) }
