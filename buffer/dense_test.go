package buffer_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/buffer"
)

var _ = Describe("Dense and Heap", func() {
	// Guards against a value that is lost or misplaced when another one is
	// deleted, and against a copy that changes with its original.
	It("agree with a map and a sorted list", func() {
		const seed = 9
		rng := rand.New(rand.NewPCG(seed, seed))
		var d buffer.Dense[int, int]
		h := buffer.NewHeap(func(a, b int) bool { return a < b })
		want := map[int]int{}
		for step := range 3000 {
			k := rng.IntN(100)
			if rng.IntN(3) == 0 {
				d.Delete(k)
				delete(want, k)
			} else {
				d.Put(k, step)
				want[k] = step
			}
			h.Push(k)
			Expect(d.Get(k)).To(Equal(want[k]))
			Expect(d.Len()).To(Equal(len(want)))
		}
		each := d.Freeze()
		for k := range want {
			d.Delete(k)
		}
		got := map[int]int{}
		each(func(k, v int) { got[k] = v })
		Expect(got).To(Equal(want), "seed %d", seed)
		for last := 0; h.Len() > 0; {
			k, _ := h.Pop()
			Expect(k).To(BeNumerically(">=", last), "seed %d", seed)
			last = k
		}
	})
})
