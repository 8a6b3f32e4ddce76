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
	// Guards against a ring that exceeds its capacity or loses an accepted
	// element.
	It("rejects elements when full and returns the others in order", func(ctx context.Context) {
		r := buffer.New[int](3)
		var accepted []int
		for i := range 5 {
			if r.Offer(i) {
				accepted = append(accepted, i)
			}
		}
		Expect(accepted).To(Equal([]int{0, 1, 2}))
		Expect(r.Take(ctx)).To(Equal(0))
		Expect(r.Put(ctx, 9)).To(Succeed())
		Expect(r.Drain(2)).To(Equal([]int{1, 2}))
		Expect(r.Drain(0)).To(Equal([]int{9}))
		Expect(r.Len()).To(BeZero())
	})

	It("stops blocking when the context ends", func(ctx context.Context) {
		r := buffer.New[int](1)
		cancelled, cancel := context.WithCancel(ctx)
		cancel()
		_, err := r.Take(cancelled)
		Expect(err).To(MatchError(context.Canceled))
		Expect(r.Offer(1)).To(BeTrue())
		Expect(r.Put(cancelled, 2)).To(MatchError(context.Canceled))
	})
})
