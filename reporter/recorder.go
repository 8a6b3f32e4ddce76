package reporter

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/counter"
	"foxtailwall/timekeeper"
)

const (
	defaultEvery = time.Minute
	// defaultMaxBytes holds three days of a few hundred changing counters.
	defaultMaxBytes = 64 << 20
	recordMode      = 0o644
)

type (
	// Recorder appends the counters of a host to a file, as JSON lines. Only
	// counters that changed since the line before are written; the first line
	// after a start has all.
	Recorder struct {
		Scope counter.Scope
		// Clock is the machine's clock if it is nil.
		Clock timekeeper.Clock
		Host  string
		Path  string
		// Every is the time between two lines; 0 means one minute.
		Every time.Duration
		// MaxBytes bounds the file; a full one replaces Path with ".1". 0
		// means 64 MiB.
		MaxBytes int64

		last map[string]float64
	}

	// line is one line of a record.
	line struct {
		At   time.Time `json:"at"`
		Host string    `json:"host"`
		// Start marks the first line of a process: its counters began at 0.
		Start   bool             `json:"start,omitempty"`
		Samples []counter.Sample `json:"samples"`
	}
)

// Run records until ctx ends, and once more at the end. It returns an error if
// the file cannot be written.
func (r *Recorder) Run(ctx context.Context) error {
	every := r.Every
	if every <= 0 {
		every = defaultEvery
	}
	for {
		end := timekeeper.Sleep(ctx, r.clock(), every) != nil
		if err := r.Record(); err != nil || end {
			return err
		}
	}
}

// Record appends one line.
func (r *Recorder) Record() error {
	l := line{At: r.clock().Now(), Host: r.Host, Start: r.last == nil, Samples: []counter.Sample{}}
	if r.last == nil {
		r.last = make(map[string]float64)
	}
	for _, s := range r.Scope.Snapshot() {
		k, v := seriesKey(r.Host, s), s.Value+float64(s.Count)
		if last, ok := r.last[k]; ok && last == v {
			continue
		}
		r.last[k] = v
		l.Samples = append(l.Samples, s)
	}
	b, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode the counters")
	}
	return r.append(append(b, '\n'))
}

func (r *Recorder) append(b []byte) error {
	limit := r.MaxBytes
	if limit <= 0 {
		limit = defaultMaxBytes
	}
	if info, err := os.Stat(r.Path); err == nil && info.Size()+int64(len(b)) > limit {
		if err := os.Rename(r.Path, r.Path+".1"); err != nil {
			return errors.Wrap(err, "rotate the record of counters")
		}
	}
	f, err := os.OpenFile(r.Path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, recordMode)
	if err != nil {
		return errors.Wrap(err, "open the record of counters")
	}
	defer f.Close()
	if _, err := f.Write(b); err != nil {
		return errors.Wrap(err, "append to the record of counters")
	}
	return errors.Wrap(f.Sync(), "sync the record of counters")
}

func (r *Recorder) clock() timekeeper.Clock {
	if r.Clock == nil {
		return timekeeper.System{}
	}
	return r.Clock
}
