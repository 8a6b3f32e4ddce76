package allotter_test

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
)

var _ = Describe("Await", func() {
	const total = 1 << 20

	// grow returns a share with the bytes.
	grow := func(m *allotter.Memory, bytes int64) *allotter.Share {
		s := m.NewShare()
		ExpectWithOffset(1, s.Grow(bytes)).To(BeTrue())
		return &s
	}
	// await lets a share of r wait for the bytes and delivers the result.
	await := func(ctx context.Context, m *allotter.Memory, r *allotter.Shares, bytes int64) chan error {
		ended := make(chan error, 1)
		go func() { ended <- r.NewShare(m).Await(ctx, bytes) }()
		EventuallyWithOffset(1, func() bool { return r.Waiting() || len(ended) > 0 }).Should(BeTrue())
		return ended
	}

	// Guards against responses that are lost although memory becomes free, and against
	// waits that go on once the request has ended.
	It("ends when another response releases its memory, or with the context", func(ctx context.Context) {
		m := &allotter.Memory{Total: total}
		other := grow(m, total/2+1)
		var first, second allotter.Shares
		cancelled, cancel := context.WithCancel(ctx)
		ended, left := await(ctx, m, &first, total/2), await(cancelled, m, &second, total/2)
		cancel()
		Expect(<-left).To(BeAssignableToTypeOf(&allotter.ExhaustedError{}))
		Expect(ended).NotTo(Receive())
		other.Release()
		Expect(<-ended).To(Succeed())
		Expect(m.Used()).To(Equal(int64(total / 2)))
		first.Release()
		Expect(m.Used()).To(BeZero())
	}, NodeTimeout(20*time.Second))

	// Guards against responses that each hold a part and wait for the rest until their
	// deadlines, so that none is ever written.
	It("fails the newest responses if all that hold memory wait", func(ctx context.Context) {
		m := &allotter.Memory{Total: total}
		var whole atomic.Int64
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				s := m.NewShare()
				defer s.Release()
				body, err := s.ReadAll(bytes.NewReader(make([]byte, total/2+1)), allotter.Limits{
					Length: total / 2, MaxBytes: total, Wait: func(bytes int64) error { return s.Await(ctx, bytes) },
				})
				if err == nil && len(body) == total/2+1 {
					whole.Add(1)
				}
			})
		}
		wg.Wait()
		Expect(whole.Load()).To(BeNumerically(">", 0))
		Expect(m.Used()).To(BeZero())
	}, NodeTimeout(20*time.Second))

	// Guards against a wait without end of a response that never fits, and against waiting
	// responses that take all places of a host.
	It("refuses what never fits, and the newest beyond the maximum", func(ctx context.Context) {
		m := &allotter.Memory{Total: total, MaxWaiting: 1}
		other := grow(m, total/2+1)
		var shares, more allotter.Shares
		Expect(<-await(ctx, m, &more, total)).To(HaveOccurred())
		first := await(ctx, m, &shares, total/2)
		Expect(<-await(ctx, m, &more, total/2)).To(HaveOccurred())
		other.Release()
		Expect(<-first).To(Succeed())
	}, NodeTimeout(20*time.Second))

	// Guards against callers that don't read their responses and so keep all requests
	// with bodies out.
	It("leaves an eighth of the memory to uploads", func() {
		m := &allotter.Memory{Total: total}
		for range 2 {
			grow(m, total*7/16)
		}
		s := m.NewShare()
		Expect(s.Grow(allotter.FreeBytes + 1)).To(BeFalse())
		up := m.NewUpload(allotter.Holder{Address: netip.MustParseAddr("192.0.2.1")}, func() {})
		Expect(up.Grow(total / 8)).To(Succeed())
	})
})
