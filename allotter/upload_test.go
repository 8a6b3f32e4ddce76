package allotter_test

import (
	"bytes"
	"io"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
)

// unfinished is a body that stops after some bytes until it is cancelled.
type unfinished struct {
	rest      int
	stopped   chan struct{}
	cancelled chan struct{}
	once      sync.Once
}

func newUnfinished(size int) *unfinished {
	return &unfinished{rest: size, stopped: make(chan struct{}), cancelled: make(chan struct{})}
}

func (u *unfinished) Read(b []byte) (int, error) {
	if u.rest == 0 {
		close(u.stopped)
		<-u.cancelled
		return 0, io.ErrClosedPipe
	}
	n := min(u.rest, len(b))
	u.rest -= n
	return n, nil
}

func (u *unfinished) cancel() { u.once.Do(func() { close(u.cancelled) }) }

// upload reads the body in a goroutine of its own and delivers the error, after which
// the memory is released.
func (u *unfinished) upload(m *allotter.Memory, h allotter.Holder) chan error {
	ended := make(chan error, 1)
	go func() {
		up := m.NewUpload(h, u.cancel)
		defer up.Release()
		_, err := up.ReadAll(u, allotter.Limits{Length: -1, MaxBytes: 1 << 20})
		ended <- err
	}()
	return ended
}

var _ = Describe("Upload", func() {
	const (
		total = 3 << 20
		// stalled is the size at which an unfinished body stops; it holds three times as much.
		stalled = 129 << 10
	)
	crowd := allotter.Holder{Address: netip.MustParseAddr("192.0.2.1")}
	other := allotter.Holder{Workspace: "w"}
	var cancelledErr *allotter.CancelledError
	var exhaustedErr *allotter.ExhaustedError

	// Guards against uploads that never end and together take the memory of a host, or
	// keep later ones, also those of the same address, from being received.
	It("bounds unfinished uploads together and cancels the oldest for a new one", func() {
		m := &allotter.Memory{Total: total}
		var ended []chan error
		var bodies []*unfinished
		for range 40 {
			u := newUnfinished(stalled)
			bodies = append(bodies, u)
			ended = append(ended, u.upload(m, crowd))
			Eventually(u.stopped).Should(BeClosed())
			Expect(m.Uploaded()).To(BeNumerically("<=", total*2/3))
		}
		for _, holder := range []allotter.Holder{crowd, other} {
			up := m.NewUpload(holder, func() {})
			body := make([]byte, 512<<10)
			Expect(up.ReadAll(bytes.NewReader(body), allotter.Limits{Length: int64(len(body)), MaxBytes: 1 << 20})).To(HaveLen(len(body)))
			Expect(up.Complete()).To(BeTrue())
			up.Release()
		}
		Expect(errors.As(<-ended[0], &cancelledErr)).To(BeTrue())
		Consistently(ended[39], "1ms").ShouldNot(Receive())
		for i := range bodies {
			bodies[i].cancel()
		}
		Eventually(m.Used).Should(BeZero())
	})

	// Guards against a holder that takes the memory of others with complete requests,
	// and against complete requests that are cancelled although they run.
	It("leaves memory to other holders and never cancels what is complete", func() {
		m := &allotter.Memory{Total: total}
		var err error
		var held []*allotter.Upload
		for err == nil {
			up := m.NewUpload(crowd, func() { Fail("a complete upload was cancelled") })
			if err = up.Grow(100 << 10); err == nil {
				Expect(up.Complete()).To(BeTrue())
				held = append(held, up)
			}
		}
		Expect(errors.As(err, &exhaustedErr)).To(BeTrue())
		Expect(m.Uploaded()).To(BeNumerically("<=", total*2/3*3/4))
		up := m.NewUpload(other, func() {})
		Expect(up.Grow(200 << 10)).To(Succeed())
		up.Release()
		for _, u := range held {
			u.Release()
		}
		Expect(m.Uploaded()).To(BeZero())
	})

	// Guards against responses that are cut because uploads hold the memory.
	It("leaves a third of the memory to responses", func() {
		m := &allotter.Memory{Total: total}
		for i := byte(0); i < 8; i++ {
			up := m.NewUpload(allotter.Holder{Address: netip.AddrFrom4([4]byte{192, 0, 2, i})}, func() {})
			if up.Grow(256<<10) == nil {
				Expect(up.Complete()).To(BeTrue())
			}
		}
		share := m.NewShare()
		Expect(share.Grow(total / 3)).To(BeTrue())
	})

	// Guards against uploads that wait for each other and never go on.
	It("ends with many that grow at once", func() {
		m := &allotter.Memory{Total: total}
		var wg sync.WaitGroup
		for i := range 64 {
			wg.Go(func() {
				defer GinkgoRecover()
				cancelled := make(chan struct{})
				var once sync.Once
				up := m.NewUpload(allotter.Holder{Address: netip.AddrFrom4([4]byte{192, 0, 2, byte(i % 5)})}, func() { once.Do(func() { close(cancelled) }) })
				defer up.Release()
				for size := int64(1 << 10); size <= 512<<10; size *= 2 {
					if err := up.Grow(size); err != nil {
						return
					}
				}
				up.Complete()
			})
		}
		wg.Wait()
		Expect(m.Used()).To(BeZero())
	})
})
