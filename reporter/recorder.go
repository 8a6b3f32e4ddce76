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
	defaultInterval = time.Minute
	// defaultMaxBytes suffices for three days of a few hundred changing
	// counters.
	defaultMaxBytes = 64 << 20
	fileMode        = 0o644
)

type (
	// Recorder appends the counters of a host to a file as JSON lines. A line
	// contains only the counters that changed since the previous line, and the
	// first line of a process contains all.
	Recorder struct {
		Scope counter.Scope
		// Clock defaults to the system clock.
		Clock timekeeper.Clock
		Host  string
		Path  string
		// Every is the interval between two lines; 0 means one minute.
		Every time.Duration
		// MaxBytes is the maximum size of the file. A full file is renamed to
		// Path with the suffix ".1", replacing the one before. 0 means 64 MiB.
		MaxBytes int64

		// last holds the last written value of each series.
		last map[string]float64
	}

	// counterLine is a line of a counter file.
	counterLine struct {
		At   time.Time `json:"at"`
		Host string    `json:"host"`
		// Start marks the first line of a process, whose counters started at 0.
		Start   bool             `json:"start,omitempty"`
		Samples []counter.Sample `json:"samples"`
	}
)

// Run appends a line at each interval until ctx ends, and a last one then. It
// returns an error if the file cannot be written.
func (r *Recorder) Run(ctx context.Context) error {
	every := r.Every
	if every <= 0 {
		every = defaultInterval
	}
	for {
		end := timekeeper.Sleep(ctx, r.clock(), every) != nil
		if err := r.Record(); err != nil || end {
			return err
		}
	}
}

// Record appends one line with the counters that have changed.
func (r *Recorder) Record() error {
	l := counterLine{At: r.clock().Now(), Host: r.Host, Start: r.last == nil, Samples: []counter.Sample{}}
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

// append writes a line to the file and syncs it, after rotating a full file.
func (r *Recorder) append(b []byte) error {
	limit := r.MaxBytes
	if limit <= 0 {
		limit = defaultMaxBytes
	}
	if info, err := os.Stat(r.Path); err == nil && info.Size()+int64(len(b)) > limit {
		if err := os.Rename(r.Path, r.Path+".1"); err != nil {
			return errors.Wrap(err, "rotate the counter file")
		}
	}
	f, err := os.OpenFile(r.Path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, fileMode)
	if err != nil {
		return errors.Wrap(err, "open the counter file")
	}
	defer f.Close()
	if _, err := f.Write(b); err != nil {
		return errors.Wrap(err, "append to the counter file")
	}
	return errors.Wrap(f.Sync(), "sync the counter file")
}

// clock returns Clock or its default.
func (r *Recorder) clock() timekeeper.Clock {
	if r.Clock == nil {
		return timekeeper.System{}
	}
	return r.Clock
}
