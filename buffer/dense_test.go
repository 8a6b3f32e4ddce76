package buffer_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/buffer"
)

var _ = Describe("DenseMap and Heap", func() {
	// Guards against an entry that is lost or misplaced when another one is
	// deleted, and against a copy that changes with the original.
	It("behave like a map and a sorted list", func() {
		const seed = 9
		rng := rand.New(rand.NewPCG(seed, seed))
		var dense buffer.DenseMap[int, int]
		heap := buffer.NewHeap(func(a, b int) bool { return a < b })
		want := map[int]int{}
		for step := range 3000 {
			k := rng.IntN(100)
			if rng.IntN(3) == 0 {
				dense.Delete(k)
				delete(want, k)
			} else {
				dense.Put(k, step)
				want[k] = step
			}
			heap.Push(k)
			Expect(dense.Get(k)).To(Equal(want[k]))
			Expect(dense.Len()).To(Equal(len(want)))
		}
		each := dense.Snapshot()
		for k := range want {
			dense.Delete(k)
		}
		copied := map[int]int{}
		each(func(k, v int) { copied[k] = v })
		Expect(copied).To(Equal(want), "seed %d", seed)
		for last := 0; heap.Len() > 0; {
			k, _ := heap.Pop()
			Expect(k).To(BeNumerically(">=", last), "seed %d", seed)
			last = k
		}
	})
})
