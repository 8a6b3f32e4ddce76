package journaler

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	segmentPrefix = "log-"
	segmentDigits = 16
)

// replay rebuilds the metadata and the log from frames.
type replay struct {
	meta    Meta
	entries []Entry
}

func segmentName(seq uint64) string {
	return fmt.Sprintf("%s%0*x", segmentPrefix, segmentDigits, seq)
}

// recover reads the snapshot and the segments, truncates an incomplete last
// frame and leaves a segment open for writes. It syncs what it has read: a process
// that failed or was killed between a write and its sync leaves content that a loss
// of power would take back.
func (j *Journal) recover() (State, error) {
	seqs, err := j.listSegments()
	if err != nil {
		return State{}, err
	}
	var st State
	if st.Snapshot, err = readSnapshot(j.fs); err != nil {
		return State{}, err
	}
	var r replay
	for i, seq := range seqs {
		if i > 0 && seq != seqs[i-1]+1 {
			return State{}, &CorruptError{File: segmentName(seqs[i-1] + 1), Reason: "the segment is missing"}
		}
		if err := j.replaySegment(&r, seq, i == len(seqs)-1); err != nil {
			return State{}, err
		}
	}
	if err := j.fs.Sync(); err != nil {
		return State{}, errors.Wrap(err, "sync directory")
	}
	st.Meta = r.meta
	j.meta = r.meta
	return st, j.joinSnapshot(&st, &r)
}

// listSegments returns the sequence numbers of the segments in order. It
// removes files left by an interrupted WriteFile.
func (j *Journal) listSegments() ([]uint64, error) {
	names, err := j.fs.List()
	if err != nil {
		return nil, errors.Wrap(err, "list directory")
	}
	var seqs []uint64
	for _, n := range names {
		if strings.HasSuffix(n, tempSuffix) {
			if err := j.fs.Remove(n); err != nil {
				return nil, errors.Wrapf(err, "remove %q", n)
			}
			continue
		}
		digits, ok := strings.CutPrefix(n, segmentPrefix)
		if !ok {
			continue
		}
		seq, err := strconv.ParseUint(digits, 16, 64)
		if err != nil || len(digits) != segmentDigits {
			return nil, &CorruptError{File: n, Reason: "the file name is not a valid segment name"}
		}
		seqs = append(seqs, seq)
	}
	slices.Sort(seqs)
	return seqs, nil
}

// replaySegment replays one segment. Only the newest one may end in an
// incomplete frame.
func (j *Journal) replaySegment(r *replay, seq uint64, newest bool) error {
	name := segmentName(seq)
	f, err := j.fs.Open(name)
	if err != nil {
		return errors.Wrapf(err, "open %q", name)
	}
	seg, size, err := replayFile(r, f, seq, newest)
	switch {
	case err != nil:
		return errors.CombineErrors(err, f.Close())
	case size == 0:
		// The creation of the segment was interrupted.
		if err := f.Close(); err != nil {
			return errors.Wrapf(err, "close %q", name)
		}
		return errors.Wrapf(j.fs.Remove(name), "remove %q", name)
	}
	j.segments = append(j.segments, seg)
	if newest {
		j.file, j.size = f, size
		return nil
	}
	return errors.Wrapf(f.Close(), "close %q", name)
}

// replayFile replays the frames of a segment's file and makes them durable. It
// truncates an incomplete last frame and returns the size of the others.
func replayFile(r *replay, f File, seq uint64, newest bool) (segment, int64, error) {
	name, seg := segmentName(seq), segment{seq: seq}
	b, err := f.ReadAll()
	if err != nil {
		return seg, 0, errors.Wrapf(err, "read %q", name)
	}
	off := int64(0)
	for off < int64(len(b)) {
		p, n, ok := decodeFrame(seq, off, b[off:])
		if !ok {
			break
		}
		if err := r.applyFrame(p, &seg); err != nil {
			return seg, 0, &CorruptError{File: name, Offset: off, Reason: err.Error()}
		}
		off += n
	}
	torn := off < int64(len(b))
	if (torn || off == 0) && !newest {
		return seg, 0, &CorruptError{File: name, Offset: off, Reason: "a frame is damaged and a newer segment exists"}
	}
	if torn && intactFrameFollows(seq, off, b) {
		return seg, 0, &CorruptError{File: name, Offset: off, Reason: "a frame is damaged and an intact one follows"}
	}
	if torn {
		if err := f.Truncate(off); err != nil {
			return seg, 0, errors.Wrapf(err, "truncate %q", name)
		}
	}
	if newest {
		// Older segments were durable before this one was begun.
		if err := f.Sync(); err != nil {
			return seg, 0, errors.Wrapf(err, "sync %q", name)
		}
	}
	return seg, off, nil
}

// joinSnapshot sets the entries that follow the snapshot and opens a segment if
// none is open.
func (j *Journal) joinSnapshot(st *State, r *replay) error {
	s := st.Snapshot
	if j.file == nil {
		if err := j.startSegment(nil); err != nil {
			return err
		}
	}
	if len(r.entries) == 0 {
		return nil
	}
	first := r.entries[0].Index
	if first > s.Index+1 {
		return &CorruptError{File: segmentName(j.segments[0].seq), Reason: fmt.Sprintf(
			"entries %d to %d are missing", s.Index+1, first-1)}
	}
	if first == s.Index+1 {
		st.Entries = r.entries
		return nil
	}
	at := s.Index - first
	if at < uint64(len(r.entries)) && r.entries[at].Term == s.Term {
		st.Entries = r.entries[at+1:]
		return nil
	}
	// The log does not contain the snapshot's last entry: a crash interrupted
	// Reset after it stored another member's snapshot and before it discarded the
	// log.
	next := s.Index + 1
	return j.startSegment(&next)
}

// applyFrame adds the records of one frame.
func (r *replay) applyFrame(p []byte, seg *segment) error {
	m, reset, entries, err := decodePayload(p)
	if err != nil {
		return err
	}
	if m != nil {
		r.meta = *m
	}
	if reset != nil {
		r.entries = nil
	}
	for _, e := range entries {
		seg.lastIndex = max(seg.lastIndex, e.Index)
		if err := r.addEntry(e); err != nil {
			return err
		}
	}
	return nil
}

// addEntry appends e, or replaces the entries from its index on.
func (r *replay) addEntry(e Entry) error {
	if len(r.entries) == 0 {
		r.entries = append(r.entries, e)
		return nil
	}
	first := r.entries[0].Index
	last := first + uint64(len(r.entries)) - 1
	switch {
	case e.Index > last+1:
		return errors.Newf("entry %d follows entry %d", e.Index, last)
	case e.Index < first:
		r.entries = append(r.entries[:0:0], e)
	default:
		r.entries = append(r.entries[:e.Index-first], e)
	}
	return nil
}
