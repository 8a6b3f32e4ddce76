package hoster

import (
	"context"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"foxtailwall/refuser"
	"foxtailwall/reporter"
)

// counterFile holds the recorded counters below the data folder.
const counterFile = "counters.jsonl"

// record keeps the counters of a host with a disk for the burn report.
type record struct {
	recorder *reporter.Recorder
	path     string
}

// openRecord prepares the recording, on a host with a disk.
func (h *Host) openRecord() error {
	if h.set.DataFolder == "" {
		return nil
	}
	path := filepath.Join(h.set.DataFolder, counterFile)
	h.record = &record{
		path:     path,
		recorder: &reporter.Recorder{Scope: h.scope, Clock: h.clock, Host: h.set.Name, Path: path},
	}
	return nil
}

func (r *record) run(ctx context.Context) error { return r.recorder.Run(ctx) }

// report writes the burn of what this host has recorded. The format is text,
// json or html.
func (r *record) report(w io.Writer, format string) error {
	f, err := os.Open(r.path)
	if errors.Is(err, fs.ErrNotExist) {
		return refuser.New(refuser.NotConfigured, refuser.NotRun, "this host has recorded no counters yet; it does so once a minute")
	}
	if err != nil {
		return errors.Wrap(err, "open the recorded counters")
	}
	defer f.Close()
	series := &reporter.Series{}
	if err := series.Read(f); err != nil {
		return err
	}
	rep := reporter.Make(series, reporter.Defaults(), series.End())
	switch format {
	case "json":
		return rep.JSON(w)
	case "html":
		return rep.Page(w)
	}
	return rep.Print(w)
}
