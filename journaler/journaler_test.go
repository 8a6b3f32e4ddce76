package journaler_test

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/journaler"
)

func TestJournaler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "journaler")
}

// logModel is the content that a journal should have.
type logModel struct {
	meta    journaler.Meta
	snap    journaler.Snapshot
	entries []journaler.Entry
}

func (l logModel) write(m *journaler.Meta, es []journaler.Entry) logModel {
	if m != nil {
		l.meta = *m
	}
	if len(es) > 0 {
		keep := slices.DeleteFunc(slices.Clone(l.entries), func(e journaler.Entry) bool { return e.Index >= es[0].Index })
		l.entries = append(keep, es...)
	}
	return l
}

func (l logModel) save(s journaler.Snapshot) logModel {
	l.snap = s
	l.entries = slices.DeleteFunc(slices.Clone(l.entries), func(e journaler.Entry) bool { return e.Index <= s.Index })
	return l
}

func (l logModel) reset(s journaler.Snapshot) logModel {
	l.snap, l.entries = s, nil
	return l
}

func (l logModel) last() uint64 { return l.snap.Index + uint64(len(l.entries)) }

func (l logModel) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%v, snapshot %d %d %s %x\n", l.meta, l.snap.Index, l.snap.Term, l.snap.Config, sha256.Sum256(l.snap.Data))
	for _, e := range l.entries {
		fmt.Fprintf(&b, "%d %d %d %x\n", e.Index, e.Term, e.Kind, sha256.Sum256(e.Data))
	}
	return b.String()
}

func openJournal(fs journaler.FS) (*journaler.Journal, logModel) {
	j, st, err := journaler.Open(fs)
	Expect(err).NotTo(HaveOccurred())
	return j, logModel{st.Meta, st.Snapshot, st.Entries}
}

// randomOperation performs one operation and returns the expected content after
// it.
func randomOperation(rng *rand.Rand, j *journaler.Journal, model logModel, term uint64) (logModel, error) {
	snap := func(i uint64) journaler.Snapshot {
		return journaler.Snapshot{Index: i, Term: term, Config: []byte("conf"), Data: make([]byte, rng.IntN(3000))}
	}
	switch k := rng.IntN(10); {
	case k < 7:
		first := model.last() + 1
		if len(model.entries) > 0 && rng.IntN(4) == 0 {
			first -= rng.Uint64N(uint64(len(model.entries)))
		}
		es := make([]journaler.Entry, 1+rng.IntN(3))
		for i := range es {
			data := make([]byte, rng.IntN(1500))
			for k := range data {
				data[k] = byte(rng.Uint32())
			}
			es[i] = journaler.Entry{Index: first + uint64(i), Term: term, Data: data}
		}
		var m *journaler.Meta
		if rng.IntN(3) == 0 {
			m = &journaler.Meta{Term: term, Vote: "v", Member: "m"}
		}
		return model.write(m, es), j.Write(m, es)
	case k < 9 && len(model.entries) > 0:
		i := rng.IntN(len(model.entries))
		s := snap(model.entries[i].Index)
		s.Term = model.entries[i].Term
		return model.save(s), j.Save(s)
	default:
		s := snap(model.last() + rng.Uint64N(3))
		return model.reset(s), j.Reset(s)
	}
}

var _ = Describe("Journal", func() {
	// Guards against an acknowledged write that a crash undoes, a batch that
	// survives in part, and a directory that cannot be opened after a crash.
	DescribeTable("keeps what was acknowledged through crashes and failing operations",
		func(seed uint64) {
			rng := rand.New(rand.NewPCG(seed, seed))
			fs := &journaler.Memory{}
			j, got := openJournal(fs)
			want := logModel{}
			for round := range 60 {
				Expect(got.String()).To(Equal(want.String()))
				calls := rng.IntN(40)
				fs.SetFault(func(op, name string) error {
					if calls--; calls == 0 {
						return errors.Newf("%s %s fails", op, name)
					}
					return nil
				})
				var err error
				next := want
				for step := 0; step < 8 && err == nil; step++ {
					want = next
					next, err = randomOperation(rng, j, want, uint64(round*10+step+1))
				}
				if err == nil {
					want = next
				} else {
					var fe *journaler.FailedError
					Expect(errors.As(err, &fe)).To(BeTrue())
					Expect(j.Write(nil, []journaler.Entry{{Index: want.last() + 1}})).To(MatchError(err.Error()))
				}
				fs.SetFault(nil)
				fs.Crash(rng)
				j, got = openJournal(fs)
				// The failed operation may or may not have become durable.
				if err != nil && got.String() == next.String() {
					want = next
				}
			}
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
		Entry("seed 4", uint64(4)), Entry("seed 5", uint64(5)), Entry("seed 6", uint64(6)),
	)

	// Guards against treating a damaged disk as an incomplete last frame, which
	// would silently drop acknowledged entries.
	It("refuses damage before the last frame and reports the file and the offset", func() {
		fs := &journaler.Memory{}
		j, _ := openJournal(fs)
		var offsets []int64
		for i := range 3 {
			offsets = append(offsets, fileSize(fs, "log-0000000000000001"))
			Expect(j.Write(nil, []journaler.Entry{{Index: uint64(i + 1), Data: []byte("data")}})).To(Succeed())
		}
		fs.FlipBit("log-0000000000000001", offsets[2]-1)
		_, _, err := journaler.Open(fs)
		var ce *journaler.CorruptError
		Expect(errors.As(err, &ce)).To(BeTrue())
		Expect(*ce).To(Equal(journaler.CorruptError{
			File: "log-0000000000000001", Offset: offsets[1], Reason: ce.Reason,
		}))
	})

	// Guards against recovery from a damaged snapshot.
	It("refuses a damaged snapshot", func() {
		fs := &journaler.Memory{}
		j, _ := openJournal(fs)
		Expect(j.Reset(journaler.Snapshot{Index: 7, Term: 1, Data: make([]byte, 100)})).To(Succeed())
		fs.FlipBit("snapshot", 50)
		_, _, err := journaler.Open(fs)
		var ce *journaler.CorruptError
		Expect(errors.As(err, &ce)).To(BeTrue())
		Expect(ce.File).To(Equal("snapshot"))
	})

	// Guards against a file that, after a crash, is older than the last completed
	// WriteFile or has neither the old nor the new content.
	It("replaces a file durably and atomically", func() {
		rng := rand.New(rand.NewPCG(11, 11))
		fs := &journaler.Memory{}
		want := ""
		for i := range 200 {
			calls := rng.IntN(12)
			fs.SetFault(func(op, name string) error {
				if calls--; calls == 0 {
					return errors.Newf("%s %s fails", op, name)
				}
				return nil
			})
			next := strings.Repeat(fmt.Sprint(i), 1+rng.IntN(400))
			err := journaler.WriteFile(fs, "view", []byte(next))
			fs.SetFault(nil)
			fs.Crash(rng)
			got, _, readErr := journaler.ReadFile(fs, "view")
			Expect(readErr).NotTo(HaveOccurred())
			if err == nil || string(got) == next {
				want = next
			}
			Expect(string(got)).To(Equal(want))
		}
	})

	// Guards against one sync per entry of a batch, which would limit the group's
	// throughput to the sync rate of the disk.
	It("syncs a batch once", func() {
		fs := &journaler.Memory{}
		j, _ := openJournal(fs)
		before := fs.FileSyncs()
		Expect(j.Write(&journaler.Meta{Term: 1}, make([]journaler.Entry, 100))).To(Succeed())
		Expect(fs.FileSyncs() - before).To(Equal(1))
	})

	// Guards against a leader that misses its heartbeats while a large snapshot
	// is stored, and against entries lost in that time.
	It("accepts writes while a snapshot is stored", func() {
		fs := blockingFS{&journaler.Memory{}, make(chan struct{}), make(chan struct{})}
		j, _ := openJournal(fs)
		Expect(j.Write(nil, []journaler.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}})).To(Succeed())
		done := make(chan error)
		go func() { done <- j.Save(journaler.Snapshot{Index: 1, Term: 1}) }()
		<-fs.entered
		Expect(j.Write(nil, []journaler.Entry{{Index: 3, Term: 1}})).To(Succeed())
		close(fs.release)
		Expect(<-done).To(Succeed())
		_, got := openJournal(fs)
		Expect(got.last()).To(Equal(uint64(3)))
	})

	// Guards against a member that refuses to start with "entries 11 to 100 are
	// missing", because a snapshot taken before a Reset was saved after it.
	DescribeTable("ignores a snapshot older than the newest one",
		func(reopen bool) {
			fs := &journaler.Memory{}
			j, _ := openJournal(fs)
			Expect(j.Reset(journaler.Snapshot{Index: 100, Term: 2})).To(Succeed())
			Expect(j.Write(nil, []journaler.Entry{{Index: 101, Term: 2}})).To(Succeed())
			if reopen {
				Expect(j.Close()).To(Succeed())
				j, _ = openJournal(fs)
			}
			Expect(j.Save(journaler.Snapshot{Index: 10, Term: 1})).To(Succeed())
			_, got := openJournal(fs)
			Expect(got.snap.Index).To(Equal(uint64(100)))
			Expect(got.last()).To(Equal(uint64(101)))
		},
		Entry("in the same process", false),
		Entry("after a restart", true),
	)

	// Guards against differences between Memory and a real file system.
	It("recovers several segments from real files", func() {
		fs, err := journaler.NewOS(GinkgoT().TempDir() + "/group")
		Expect(err).NotTo(HaveOccurred())
		j, _ := openJournal(fs)
		want := logModel{}
		rng := rand.New(rand.NewPCG(9, 9))
		for i := range 60 {
			want, err = randomOperation(rng, j, want, uint64(i+1))
			Expect(err).NotTo(HaveOccurred())
			if i%20 == 0 {
				big := []journaler.Entry{{Index: want.last() + 1, Term: uint64(i + 1), Data: make([]byte, 17<<20)}}
				want = want.write(nil, big)
				Expect(j.Write(nil, big)).To(Succeed())
			}
			if i%7 == 0 {
				Expect(j.Close()).To(Succeed())
				var got logModel
				j, got = openJournal(fs)
				Expect(got.String()).To(Equal(want.String()))
			}
		}
	})
})

type (
	// blockingFS blocks the sync of the snapshot file until release is closed.
	blockingFS struct {
		*journaler.Memory
		entered, release chan struct{}
	}

	blockingFile struct {
		journaler.File
		fs blockingFS
	}
)

func (g blockingFS) Create(name string) (journaler.File, error) {
	f, err := g.Memory.Create(name)
	if name == "snapshot.tmp" {
		f = blockingFile{f, g}
	}
	return f, err
}

func (f blockingFile) Sync() error {
	close(f.fs.entered)
	<-f.fs.release
	return f.File.Sync()
}

func fileSize(fs journaler.FS, name string) int64 {
	f, err := fs.Open(name)
	Expect(err).NotTo(HaveOccurred())
	b, err := f.ReadAll()
	Expect(err).NotTo(HaveOccurred())
	return int64(len(b))
}
