// Package journaler keeps a durable log and its snapshots in one directory.
//
// The log is a sequence of segments. Each Write appends one frame that holds
// all its records under one checksum and returns once the frame is synced, so
// a batch of entries costs one sync. A frame that a crash left incomplete at
// the end of the newest segment is cut off by Open: nobody was told that it is
// durable. A damaged frame that is followed by an intact one was durable once,
// and Open refuses it with a *CorruptError, as it does any other damage.
//
// After a failed write or sync nothing is known about what the disk holds, so
// the Journal refuses all further writes with a *FailedError until it is
// opened again.
//
// # Usage
//
//	fs, err := journaler.NewOS(filepath.Join(dataDir, "group"))
//	j, state, err := journaler.Open(fs)
//	err = j.Write(&journaler.Meta{Term: 3}, entries)
//	err = j.Save(journaler.Snapshot{Index: 900, Term: 3, Data: b})
//
// Small files that are replaced as a whole are kept with WriteFile and
// ReadFile. Tests use Memory, a file system that can lose unsynced writes,
// tear writes and fail.
package journaler

import (
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// segmentSize is the size in bytes after which a new segment begins.
	// Recovery reads one segment at a time into memory.
	segmentSize = 16 << 20

	// maxFrame is the size in bytes after which a batch is split. The length
	// of a frame is stored in 32 bits.
	maxFrame = 64 << 20

	snapshotName = "snapshot"
)

type (
	// Meta is the small durable state beside the log.
	Meta struct {
		// Term is the newest term the member has seen.
		Term uint64
		// Vote is the member voted for in that term, or empty.
		Vote string
		// Member is the identity of this member. A directory that was
		// wiped gets a new one.
		Member string
	}

	// Entry is one entry of the log.
	Entry struct {
		Index uint64
		Term  uint64
		Kind  uint8
		Data  []byte
	}

	// Snapshot stands for all entries up to Index.
	Snapshot struct {
		Index uint64
		Term  uint64
		// Config is the group membership at Index, opaque to this package.
		Config []byte
		Data   []byte
	}

	// State is what Open found on the disk. The entries follow the snapshot
	// without a gap.
	State struct {
		Meta     Meta
		Snapshot Snapshot
		Entries  []Entry
	}

	// Journal is an open log. It is safe for use by several goroutines.
	Journal struct {
		// saving is held while the snapshot file is written, so that an older
		// snapshot cannot replace a newer one. It is taken before mu.
		saving sync.Mutex
		// newest is the index of the newest snapshot, guarded by saving.
		newest uint64

		mu       sync.Mutex
		fs       FS
		meta     Meta
		file     File
		size     int64
		segments []segment
		err      error
	}

	// segment is one file of the log.
	segment struct {
		seq uint64
		// last is the highest index in the segment.
		last uint64
	}

	// CorruptError says that a file holds damage that no crash explains.
	CorruptError struct {
		File   string
		Offset int64
		Reason string
	}

	// FailedError says that an earlier operation on the disk failed, after
	// which the journal accepts no more writes.
	FailedError struct{ Err error }
)

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("file %q is corrupt at offset %d: %s; restore the directory or wipe it and rejoin",
		e.File, e.Offset, e.Reason)
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("journal stopped after a disk failure: %v", e.Err)
}

// Unwrap returns the failure.
func (e *FailedError) Unwrap() error { return e.Err }

// Open reads the directory and returns the journal, ready for writes, and its
// state. It returns a *CorruptError when the directory is damaged.
func Open(fs FS) (*Journal, State, error) {
	j := &Journal{fs: fs}
	st, err := j.recover()
	if err != nil {
		return nil, State{}, err
	}
	j.meta = st.Meta
	j.newest = st.Snapshot.Index
	return j, st, nil
}

// Write appends the entries, and m if it is not nil, and returns once they are
// durable. They share one frame and one sync unless they exceed 64 MiB, when a
// crash may keep the first of them only. An entry whose index is not above the last one
// replaces that entry and all after it.
func (j *Journal) Write(m *Meta, entries []Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if m == nil && len(entries) == 0 {
		return nil
	}
	if err := j.failed(); err != nil {
		return err
	}
	if m != nil {
		j.meta = *m
	}
	if j.size >= segmentSize {
		if err := j.roll(nil); err != nil {
			return j.fail(err)
		}
	}
	for {
		n := fitting(entries)
		if err := j.append(m, entries[:n]); err != nil {
			return j.fail(err)
		}
		if entries, m = entries[n:], nil; len(entries) == 0 {
			return nil
		}
	}
}

// fitting returns how many of the entries go into one frame, at least one of
// any.
func fitting(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxFrame && i > 0 {
			return i
		}
	}
	return len(entries)
}

// Save stores s durably and removes the segments that it makes obsolete. The
// entries after s.Index remain. Writes go on while the snapshot is stored. An s
// older than the newest snapshot is left out: the entries between the two may be
// gone since a Reset.
func (j *Journal) Save(s Snapshot) error {
	j.saving.Lock()
	defer j.saving.Unlock()
	if err := j.check(); err != nil || s.Index < j.newest {
		return err
	}
	err := WriteFile(j.fs, snapshotName, encodeSnapshot(s))
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		return j.fail(err)
	}
	j.newest = s.Index
	if err := j.failed(); err != nil {
		return err
	}
	if err := j.roll(nil); err != nil {
		return j.fail(err)
	}
	return j.fail(j.drop(s.Index))
}

// Reset stores s durably and discards the whole log, so that the next entry
// has the index s.Index+1.
func (j *Journal) Reset(s Snapshot) error {
	j.saving.Lock()
	defer j.saving.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.failed(); err != nil {
		return err
	}
	if err := WriteFile(j.fs, snapshotName, encodeSnapshot(s)); err != nil {
		return j.fail(err)
	}
	j.newest = s.Index
	next := s.Index + 1
	if err := j.roll(&next); err != nil {
		return j.fail(err)
	}
	for i := range j.segments[:len(j.segments)-1] {
		j.segments[i].last = 0
	}
	return j.fail(j.drop(s.Index))
}

// Close waits for a Save under way and closes the current segment.
func (j *Journal) Close() error {
	j.saving.Lock()
	defer j.saving.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.err == nil {
		j.err = errors.New("the journal is closed")
	}
	if j.file == nil {
		return nil
	}
	return j.file.Close()
}

func (j *Journal) check() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed()
}

func (j *Journal) failed() error {
	if j.err != nil {
		return &FailedError{Err: j.err}
	}
	return nil
}

func (j *Journal) fail(err error) error {
	if err == nil {
		return nil
	}
	j.err = err
	return &FailedError{Err: err}
}

// append writes one frame and syncs it.
func (j *Journal) append(m *Meta, entries []Entry) error {
	cur := &j.segments[len(j.segments)-1]
	b := encodeFrame(cur.seq, j.size, payload(m, nil, entries))
	if _, err := j.file.Write(b); err != nil {
		return errors.Wrapf(err, "append to %q", segmentName(cur.seq))
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync %q", segmentName(cur.seq))
	}
	j.size += int64(len(b))
	for _, e := range entries {
		cur.last = max(cur.last, e.Index)
	}
	return nil
}

// roll begins a new segment. Its first frame repeats the metadata, so that
// older segments can be removed; with reset it also discards all entries
// before.
func (j *Journal) roll(reset *uint64) error {
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return errors.Wrap(err, "close segment")
		}
		j.file = nil
	}
	seq := uint64(1)
	if n := len(j.segments); n > 0 {
		seq = j.segments[n-1].seq + 1
	}
	f, err := j.fs.Create(segmentName(seq))
	if err != nil {
		return errors.Wrapf(err, "create %q", segmentName(seq))
	}
	b := encodeFrame(seq, 0, payload(&j.meta, reset, nil))
	if _, err := f.Write(b); err != nil {
		return errors.Wrapf(err, "write %q", segmentName(seq))
	}
	if err := f.Sync(); err != nil {
		return errors.Wrapf(err, "sync %q", segmentName(seq))
	}
	if err := j.fs.Sync(); err != nil {
		return errors.Wrap(err, "sync directory")
	}
	j.file, j.size = f, int64(len(b))
	j.segments = append(j.segments, segment{seq: seq})
	return nil
}

// drop removes the leading segments that hold no entry above index. Each
// removal is synced before the next, because a crash that kept an older
// segment and lost a newer one would leave a gap.
func (j *Journal) drop(index uint64) error {
	for len(j.segments) > 1 && j.segments[0].last <= index {
		name := segmentName(j.segments[0].seq)
		if err := j.fs.Remove(name); err != nil {
			return errors.Wrapf(err, "remove %q", name)
		}
		if err := j.fs.Sync(); err != nil {
			return errors.Wrap(err, "sync directory")
		}
		j.segments = j.segments[1:]
	}
	return nil
}
