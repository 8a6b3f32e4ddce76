// Package journaler keeps a durable log and its snapshots in one directory.
//
// The log is a sequence of segments. Each Write appends one frame, which holds
// all its records under one checksum, and returns once the frame is synced, so
// a batch of entries costs one sync. Open truncates a frame that a crash left
// incomplete at the end of the newest segment, because its write was never
// acknowledged. A damaged frame that is followed by an intact one was durable,
// and Open refuses it with a *CorruptError, as it does any other damage.
//
// After a failed write or sync the content of the disk is unknown, so the
// Journal refuses all further writes with a *FailedError until it is opened
// again.
//
// # Usage
//
//	fs, err := journaler.NewOS(filepath.Join(dataDir, "group"))
//	j, state, err := journaler.Open(fs)
//	err = j.Write(&journaler.Meta{Term: 3}, entries)
//	err = j.Save(journaler.Snapshot{Index: 900, Term: 3, Data: b})
//
// WriteFile and ReadFile keep small files that are replaced as a whole. Tests
// use Memory, a file system that can lose unsynced writes, tear writes and
// fail.
package journaler

import (
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// segmentBytes is the size after which a new segment begins. Recovery reads
	// one segment at a time into memory.
	segmentBytes = 16 << 20

	// maxFrameBytes is the size of the entries after which a batch is split into
	// several frames. The length of a frame is stored in 32 bits.
	maxFrameBytes = 64 << 20

	snapshotName = "snapshot"
)

type (
	// Meta is the durable state of a member other than its log and snapshot.
	Meta struct {
		// Term is the newest term known to the member.
		Term uint64
		// Vote is the member voted for in that term, or empty.
		Vote string
		// Member is the identity of this member. A wiped directory gets a new one.
		Member string
	}

	// Entry is one entry of the log.
	Entry struct {
		Index uint64
		Term  uint64
		Kind  uint8
		Data  []byte
	}

	// Snapshot replaces all entries up to and including Index.
	Snapshot struct {
		Index uint64
		Term  uint64
		// Config is the group membership at Index, opaque to this package.
		Config []byte
		Data   []byte
	}

	// State is what Open recovered. The entries follow the snapshot without a
	// gap.
	State struct {
		Meta     Meta
		Snapshot Snapshot
		Entries  []Entry
	}

	// Journal is an open log and its snapshot. It is safe for concurrent use.
	Journal struct {
		// snapshotMu is held while the snapshot file is written, so that an older
		// snapshot cannot replace a newer one. It is locked before mu.
		snapshotMu sync.Mutex
		// newestSnapshot is the index of the newest snapshot, guarded by
		// snapshotMu.
		newestSnapshot uint64

		mu       sync.Mutex
		fs       FS
		meta     Meta
		file     File
		size     int64
		segments []segment
		failure  error
	}

	// segment is one file of the log.
	segment struct {
		seq uint64
		// lastIndex is the highest index of an entry in the segment.
		lastIndex uint64
	}

	// CorruptError reports damage to a file that a crash cannot explain.
	CorruptError struct {
		File   string
		Offset int64
		Reason string
	}

	// FailedError reports that the journal accepts no more writes because an
	// earlier disk operation failed.
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

// Unwrap returns the error of the failed operation.
func (e *FailedError) Unwrap() error { return e.Err }

// Open recovers the state from the directory and returns it, once all of it is
// durable, with a journal that is ready for writes. It returns a *CorruptError if the
// directory is damaged.
func Open(fs FS) (*Journal, State, error) {
	j := &Journal{fs: fs}
	st, err := j.recover()
	if err != nil {
		return nil, State{}, errors.CombineErrors(err, j.closeFile())
	}
	j.meta = st.Meta
	j.newestSnapshot = st.Snapshot.Index
	return j, st, nil
}

// Write appends the entries, and m unless it is nil, and returns once they are
// durable. They share one frame and one sync unless they exceed 64 MiB; then a
// crash may keep only the first of them. An entry whose index is not above the
// last one replaces that entry and all after it.
func (j *Journal) Write(m *Meta, entries []Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if m == nil && len(entries) == 0 {
		return nil
	}
	if err := j.failedError(); err != nil {
		return err
	}
	if m != nil {
		j.meta = *m
	}
	if j.size >= segmentBytes {
		if err := j.startSegment(nil); err != nil {
			return j.recordFailure(err)
		}
	}
	for {
		n := frameCapacity(entries)
		if err := j.append(m, entries[:n]); err != nil {
			return j.recordFailure(err)
		}
		if entries, m = entries[n:], nil; len(entries) == 0 {
			return nil
		}
	}
}

// frameCapacity returns how many of the entries go into one frame: at least
// one, if there is any.
func frameCapacity(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data)
		if size > maxFrameBytes && i > 0 {
			return i
		}
	}
	return len(entries)
}

// Save stores s durably and removes the segments that it makes obsolete. The
// entries after s.Index remain, and writes continue while the snapshot is
// stored. A snapshot older than the newest one is ignored, because a Reset may
// have removed the entries between the two.
func (j *Journal) Save(s Snapshot) error {
	j.snapshotMu.Lock()
	defer j.snapshotMu.Unlock()
	if err := j.checkFailure(); err != nil || s.Index < j.newestSnapshot {
		return err
	}
	err := WriteFile(j.fs, snapshotName, encodeSnapshot(s))
	j.mu.Lock()
	defer j.mu.Unlock()
	if err != nil {
		return j.recordFailure(err)
	}
	j.newestSnapshot = s.Index
	if err := j.failedError(); err != nil {
		return err
	}
	if err := j.startSegment(nil); err != nil {
		return j.recordFailure(err)
	}
	return j.recordFailure(j.removeSegments(s.Index))
}

// Reset stores s durably and discards the whole log, so that the next entry
// has the index s.Index+1.
func (j *Journal) Reset(s Snapshot) error {
	j.snapshotMu.Lock()
	defer j.snapshotMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if err := j.failedError(); err != nil {
		return err
	}
	if err := WriteFile(j.fs, snapshotName, encodeSnapshot(s)); err != nil {
		return j.recordFailure(err)
	}
	j.newestSnapshot = s.Index
	next := s.Index + 1
	if err := j.startSegment(&next); err != nil {
		return j.recordFailure(err)
	}
	for i := range j.segments[:len(j.segments)-1] {
		j.segments[i].lastIndex = 0
	}
	return j.recordFailure(j.removeSegments(s.Index))
}

// Close waits for a running Save and closes the current segment.
func (j *Journal) Close() error {
	j.snapshotMu.Lock()
	defer j.snapshotMu.Unlock()
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure == nil {
		j.failure = errors.New("the journal is closed")
	}
	return j.closeFile()
}

// closeFile closes the current segment, if one is open. The caller holds mu.
func (j *Journal) closeFile() error {
	if j.file == nil {
		return nil
	}
	f := j.file
	j.file = nil
	return errors.Wrap(f.Close(), "close segment")
}

// checkFailure is failedError for callers that do not hold mu.
func (j *Journal) checkFailure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failedError()
}

// failedError returns a *FailedError if an operation failed or the journal is
// closed. The caller holds mu.
func (j *Journal) failedError() error {
	if j.failure != nil {
		return &FailedError{Err: j.failure}
	}
	return nil
}

// recordFailure makes err, unless it is nil, stop the journal, and returns it
// as a *FailedError.
func (j *Journal) recordFailure(err error) error {
	if err == nil {
		return nil
	}
	j.failure = err
	return &FailedError{Err: err}
}

// append writes one frame and syncs it.
func (j *Journal) append(m *Meta, entries []Entry) error {
	current := &j.segments[len(j.segments)-1]
	b := encodeFrame(current.seq, j.size, encodePayload(m, nil, entries))
	if _, err := j.file.Write(b); err != nil {
		return errors.Wrapf(err, "append to %q", segmentName(current.seq))
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrapf(err, "sync %q", segmentName(current.seq))
	}
	j.size += int64(len(b))
	for _, e := range entries {
		current.lastIndex = max(current.lastIndex, e.Index)
	}
	return nil
}

// startSegment begins a new segment. Its first frame repeats the metadata, so
// that older segments can be removed. If reset is not nil, the frame also
// discards all earlier entries.
func (j *Journal) startSegment(reset *uint64) error {
	if err := j.closeFile(); err != nil {
		return err
	}
	seq := uint64(1)
	if n := len(j.segments); n > 0 {
		seq = j.segments[n-1].seq + 1
	}
	f, err := j.fs.Create(segmentName(seq))
	if err != nil {
		return errors.Wrapf(err, "create %q", segmentName(seq))
	}
	b := encodeFrame(seq, 0, encodePayload(&j.meta, reset, nil))
	if err := j.writeFirstFrame(f, seq, b); err != nil {
		return errors.CombineErrors(err, f.Close())
	}
	j.file, j.size = f, int64(len(b))
	j.segments = append(j.segments, segment{seq: seq})
	return nil
}

// writeFirstFrame makes a new segment with the frame b durable.
func (j *Journal) writeFirstFrame(f File, seq uint64, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return errors.Wrapf(err, "write %q", segmentName(seq))
	}
	if err := f.Sync(); err != nil {
		return errors.Wrapf(err, "sync %q", segmentName(seq))
	}
	return errors.Wrap(j.fs.Sync(), "sync directory")
}

// removeSegments removes the oldest segments that hold no entry above index.
// Each removal is synced before the next, because a crash that kept an older
// segment and lost a newer one would leave a gap.
func (j *Journal) removeSegments(index uint64) error {
	for len(j.segments) > 1 && j.segments[0].lastIndex <= index {
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
