package buffer_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"foxtailwall/buffer"
)

// TestLRUMatchesModel guards against an entry that is evicted too early or kept
// beyond the capacity. The reference model is a slice ordered by last use.
func TestLRUMatchesModel(t *testing.T) {
	const seed, capacity = 9, 8
	rng := rand.New(rand.NewPCG(seed, seed))
	l := buffer.NewLRU[int, int](capacity)
	type entry struct{ k, v int }
	var model []entry
	for step := range 20_000 {
		k := rng.IntN(2 * capacity)
		i := slices.IndexFunc(model, func(e entry) bool { return e.k == k })
		switch rng.IntN(4) {
		case 0:
			l.Put(k, step)
			if i >= 0 {
				model = slices.Delete(model, i, i+1)
			}
			model = append(model, entry{k, step})
			if len(model) > capacity {
				model = model[1:]
			}
		case 1:
			v, ok := l.Get(k)
			if ok != (i >= 0) || ok && v != model[i].v {
				t.Fatalf("step %d: Get(%d) = %d, %v", step, k, v, ok)
			}
			if ok {
				e := model[i]
				model = append(slices.Delete(model, i, i+1), e)
			}
		case 2:
			if v, ok := l.Peek(k); ok != (i >= 0) || ok && v != model[i].v {
				t.Fatalf("step %d: Peek(%d) = %d, %v", step, k, v, ok)
			}
		case 3:
			l.Remove(k)
			if i >= 0 {
				model = slices.Delete(model, i, i+1)
			}
		}
		if l.Len() != len(model) {
			t.Fatalf("step %d: %d entries, want %d", step, l.Len(), len(model))
		}
	}
}
