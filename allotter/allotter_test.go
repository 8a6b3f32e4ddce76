package allotter_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/allotter"
)

func TestAllotter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "allotter")
}

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

var _ = Describe("Memory", func() {
	// Guards against responses without end that together take the memory of a host, and
	// against small ones that are refused because of them.
	It("bounds all large bodies together and none of the small ones", func() {
		const total = 1 << 20
		m := &allotter.Memory{Total: total}
		shares := make([]allotter.Share, 50)
		for i := range shares {
			shares[i] = m.NewShare()
			_, err := shares[i].ReadAll(endless{}, allotter.Limits{Length: -1, MaxBytes: 16 << 20})
			var exhausted *allotter.ExhaustedError
			Expect(errors.As(err, &exhausted)).To(BeTrue())
			Expect(m.Used()).To(BeNumerically("<=", total))
			small := m.NewShare()
			Expect(small.ReadAll(bytes.NewReader(make([]byte, allotter.FreeBytes/2)), allotter.Limits{Length: -1, MaxBytes: total})).
				To(HaveLen(allotter.FreeBytes / 2))
		}
		for i := range shares {
			shares[i].Release()
		}
		Expect(m.Used()).To(BeZero())
		one := m.NewShare()
		Expect(one.ReadAll(bytes.NewReader(make([]byte, total/2)), allotter.Limits{Length: -1, MaxBytes: total})).To(HaveLen(total / 2))
	})

	// Guards against a body that changes on the way, at the sizes at which memory grows.
	It("reads bodies of any size unchanged", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		var m allotter.Memory
		for _, size := range []int{0, 1, 2047, 2048, 2049, 4096, 65535, 65536, 65537, 131072, 1 << 20} {
			body := make([]byte, size)
			for i := range body {
				body[i] = byte(rng.Uint32())
			}
			for _, length := range []int64{-1, int64(size)} {
				s := m.NewShare()
				got, err := s.ReadAll(iotest.HalfReader(bytes.NewReader(body)), allotter.Limits{Length: length, MaxBytes: 1 << 20})
				Expect(err).NotTo(HaveOccurred())
				Expect(bytes.Equal(got, body)).To(BeTrue(), "%d bytes, announced %d", size, length)
				s.Release()
			}
		}
		Expect(m.Used()).To(BeZero())
	})

	It("refuses a body that is longer than allowed", func() {
		var m allotter.Memory
		for _, limits := range []allotter.Limits{{Length: 101, MaxBytes: 100}, {Length: -1, MaxBytes: 100}} {
			s := m.NewShare()
			_, err := s.ReadAll(io.LimitReader(endless{}, 101), limits)
			var tooLong *allotter.TooLongError
			Expect(errors.As(err, &tooLong)).To(BeTrue())
			// The read that delivers the last bytes may also report the end.
			_, err = s.ReadAll(iotest.DataErrReader(io.LimitReader(endless{}, 101)), limits)
			Expect(errors.As(err, &tooLong)).To(BeTrue())
		}
	})
})
