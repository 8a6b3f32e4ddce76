package buffer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"foxtailwall/buffer"
)

// TestLRUAgreesWithSlice guards against an entry that is forgotten too early
// or kept beyond the bound. The naive map is a slice ordered by last use.
func TestLRUAgreesWithSlice(t *testing.T) {
	const seed, size = 9, 8
	rng := rand.New(rand.NewPCG(seed, seed))
	l := buffer.NewLRU[int, int](size)
	type entry struct{ k, v int }
	var naive []entry
	for step := range 20_000 {
		k := rng.IntN(2 * size)
		i := slices.IndexFunc(naive, func(e entry) bool { return e.k == k })
		switch rng.IntN(4) {
		case 0:
			l.Put(k, step)
			if i >= 0 {
				naive = slices.Delete(naive, i, i+1)
			}
			naive = append(naive, entry{k, step})
			if len(naive) > size {
				naive = naive[1:]
			}
		case 1:
			v, ok := l.Get(k)
			if ok != (i >= 0) || ok && v != naive[i].v {
				t.Fatalf("step %d: Get(%d) = %d, %v", step, k, v, ok)
			}
			if ok {
				e := naive[i]
				naive = append(slices.Delete(naive, i, i+1), e)
			}
		case 2:
			if v, ok := l.Peek(k); ok != (i >= 0) || ok && v != naive[i].v {
				t.Fatalf("step %d: Peek(%d) = %d, %v", step, k, v, ok)
			}
		case 3:
			l.Remove(k)
			if i >= 0 {
				naive = slices.Delete(naive, i, i+1)
			}
		}
		if l.Len() != len(naive) {
			t.Fatalf("step %d: %d entries, want %d", step, l.Len(), len(naive))
		}
	}
}
