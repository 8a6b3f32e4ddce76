package journaler_test

import (
	"math/rand/v2"
	"syscall"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/journaler"
)

// operations are the operations of a disk that can fail.
var operations = []string{"create", "open", "rename", "remove", "list", "syncDir", "read", "write", "sync", "truncate"}

var _ = Describe("A journal that is opened again", func() {
	// Guards against a host that counts on content which is not durable: after a failed
	// sync, or a kill between write and sync, the content was read back and not synced.
	// A later loss of power then took it back, or left a damaged frame before an intact
	// one, with which the journal could not be opened any more.
	DescribeTable("keeps what it has returned",
		func(seed uint64) {
			rng := rand.New(rand.NewPCG(seed, seed))
			fs := &journaler.Memory{}
			j, want := openJournal(fs)
			for round := range 80 {
				if rng.IntN(2) == 0 {
					fs.Fill(rng.IntN(6000))
				} else {
					calls := rng.IntN(20)
					fs.SetFault(func(op, name string) error {
						if calls--; calls == 0 {
							return errors.Newf("%s %s fails", op, name)
						}
						return nil
					})
				}
				var err error
				next := want
				for step := 0; step < 6 && err == nil; step++ {
					want = next
					next, err = randomOperation(rng, j, want, uint64(round*10+step+1))
				}
				if err == nil {
					want = next
				}
				fs.SetFault(nil)
				fs.Empty()
				crashed := rng.IntN(2) == 0
				if crashed {
					fs.Crash(rng)
				} else {
					Expect(j.Close()).To(Or(Succeed(), MatchError(ContainSubstring("closed"))))
				}
				var got logModel
				j, got = openJournal(fs)
				Expect(got.String()).To(Or(Equal(want.String()), Equal(next.String())), "round %d, crashed: %t, %v", round, crashed, err)
				want = got
			}
		},
		Entry(nil, uint64(1)), Entry(nil, uint64(2)), Entry(nil, uint64(3)), Entry(nil, uint64(4)),
		Entry(nil, uint64(5)), Entry(nil, uint64(6)), Entry(nil, uint64(7)), Entry(nil, uint64(8)),
	)

	// Guards against a host that runs out of descriptors because each attempt to open
	// the journal on a disk that fails leaves files open.
	It("leaves no file open if it fails", func() {
		for _, failing := range operations {
			fs := &journaler.Memory{}
			j, _ := openJournal(fs)
			Expect(j.Write(&journaler.Meta{Member: "m"}, []journaler.Entry{{Index: 1, Data: make([]byte, 100)}})).To(Succeed())
			fs.Fill(50)
			Expect(j.Write(nil, []journaler.Entry{{Index: 2, Data: make([]byte, 100)}})).To(MatchError(syscall.ENOSPC))
			Expect(j.Close()).To(Succeed())
			Expect(fs.OpenFiles()).To(BeZero(), failing)
			fs.SetFault(func(op, _ string) error {
				if op == failing {
					return syscall.EIO
				}
				return nil
			})
			for range 3 {
				j, _, err := journaler.Open(fs)
				if err == nil {
					Expect(j.Close()).To(Succeed())
				}
				Expect(fs.OpenFiles()).To(BeZero(), failing)
			}
		}
	})

	// Guards against files that stay open when a new segment cannot be begun.
	It("leaves no file open if a segment cannot be begun", func() {
		for _, failing := range operations {
			fs := &journaler.Memory{}
			j, _ := openJournal(fs)
			Expect(j.Write(nil, []journaler.Entry{{Index: 1}})).To(Succeed())
			fs.SetFault(func(op, _ string) error {
				if op == failing {
					return syscall.EIO
				}
				return nil
			})
			_ = j.Save(journaler.Snapshot{Index: 1}) // Some faults do not concern it.
			_ = j.Reset(journaler.Snapshot{Index: 9})
			Expect(j.Close()).To(Succeed())
			Expect(fs.OpenFiles()).To(BeZero(), failing)
		}
	})
})
