package buffer_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/buffer"
)

func TestBuffer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "buffer")
}

var _ = Describe("Ring", func() {
	// Guards against a ring that grows past its bound or loses an element
	// that it accepted.
	It("refuses what does not fit and keeps the order of the rest", func(ctx context.Context) {
		r := buffer.New[int](3)
		var kept []int
		for i := range 5 {
			if r.Offer(i) {
				kept = append(kept, i)
			}
		}
		Expect(kept).To(Equal([]int{0, 1, 2}))
		Expect(r.Take(ctx)).To(Equal(0))
		Expect(r.Put(ctx, 9)).To(Succeed())
		Expect(r.Drain(2)).To(Equal([]int{1, 2}))
		Expect(r.Drain(0)).To(Equal([]int{9}))
		Expect(r.Len()).To(BeZero())
	})

	It("gives up waiting when the context ends", func(ctx context.Context) {
		r := buffer.New[int](1)
		done, cancel := context.WithCancel(ctx)
		cancel()
		_, err := r.Take(done)
		Expect(err).To(MatchError(context.Canceled))
		Expect(r.Offer(1)).To(BeTrue())
		Expect(r.Put(done, 2)).To(MatchError(context.Canceled))
	})
})
