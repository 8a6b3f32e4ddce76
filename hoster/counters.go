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

// counterFile is the file of the recorded counters in the data folder.
const counterFile = "counters.jsonl"

// counterLog records the counters of a host with a disk, from which the report on
// the error budgets is made.
type counterLog struct {
	recorder *reporter.Recorder
	path     string
}

// openCounterLog prepares the recording on hosts with a disk.
func (h *Host) openCounterLog() error {
	if h.settings.DataFolder == "" {
		return nil
	}
	path := filepath.Join(h.settings.DataFolder, counterFile)
	h.counterLog = &counterLog{
		path:     path,
		recorder: &reporter.Recorder{Scope: h.scope, Clock: h.clock, Host: h.settings.Name, Path: path},
	}
	return nil
}

func (l *counterLog) run(ctx context.Context) error { return l.recorder.Run(ctx) }

// writeReport writes how fast the error budgets burn according to the counters
// that this host has recorded. The format is "json" or "html", else text.
func (l *counterLog) writeReport(w io.Writer, format string) error {
	f, err := os.Open(l.path)
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
	burnReport := reporter.NewReport(series, reporter.Defaults(), series.End())
	switch format {
	case "json":
		return burnReport.JSON(w)
	case "html":
		return burnReport.Page(w)
	}
	return burnReport.Print(w)
}
