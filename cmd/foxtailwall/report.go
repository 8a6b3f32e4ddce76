package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"foxtailwall/reporter"
	"foxtailwall/validator"
)

const usageReport = `Report reads the counters that hosts have recorded and reports how fast each
workspace burns the error budget of its service levels:

   foxtailwall report counters-entry-1.jsonl counters-entry-2.jsonl

Name a rotated file before its successor (counters.jsonl.1 counters.jsonl). The
report shows the burn rates over 5 m, 1 h, 6 h and 3 d, the remaining budget, the
time until it is spent at the rate of the last hour, and the causes of failures
by refusal code and version. At a burn rate of 1 the budget lasts exactly its
period.

   fast burn   the burn rates over 5 m and 1 h both exceed 14.4
   slow burn   the burn rates over 6 h and 3 d both exceed 1
   spent       the budget of the period is used up

The report is made for the time of the newest line, or for --at. --format is
text, json or html; the HTML page needs no other file.`

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "report how fast service levels burn their error budget",
		Description: usageReport,
		ArgsUsage:   "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or html", Sources: cli.EnvVars("FOXTAILWALL_REPORT_FORMAT")},
			&cli.StringFlag{Name: "out", Usage: "file to write to instead of standard output", Sources: cli.EnvVars("FOXTAILWALL_REPORT_OUT")},
			&cli.StringFlag{Name: "at", Usage: "time of the report, such as 2006-01-02T15:04:05Z; empty for that of the newest line", Sources: cli.EnvVars("FOXTAILWALL_REPORT_AT")},
			&cli.DurationFlag{Name: "period", Value: 30 * 24 * time.Hour, Usage: "period of the error budget", Sources: cli.EnvVars("FOXTAILWALL_REPORT_PERIOD")},
			&cli.FloatFlag{Name: "answered", Usage: "target share of answered requests, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_ANSWERED")},
			&cli.FloatFlag{Name: "first-token", Usage: "target share of first tokens within their time limit, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_FIRST_TOKEN")},
			&cli.FloatFlag{Name: "tokens", Usage: "target share of later tokens within their time limit, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_TOKENS")},
			&cli.FloatFlag{Name: "quality", Usage: "target share of rated answers that pass, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_QUALITY")},
		},
		Action: runReport,
	}
}

func runReport(_ context.Context, c *cli.Command) error {
	objectives, err := reportObjectives(c)
	if err != nil {
		return err
	}
	series, err := readCounters(c.Args().Slice())
	if err != nil {
		return err
	}
	at := series.End()
	if text := c.String("at"); text != "" {
		if at, err = time.Parse(time.RFC3339, text); err != nil {
			return validator.NewSettingError("at", text, "a time such as 2006-01-02T15:04:05Z")
		}
	}
	report := reporter.NewReport(series, objectives, at)
	write := map[string]func(io.Writer) error{"text": report.Print, "json": report.JSON, "html": report.Page}[c.String("format")]
	if write == nil {
		return validator.NewSettingError("format", c.String("format"), "text, json, html")
	}
	path := c.String("out")
	if path == "" {
		return write(c.Root().Writer)
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the output file")
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write the output file")
}

// reportObjectives returns the default objectives with the targets and the period
// that the flags set.
func reportObjectives(c *cli.Command) ([]reporter.Objective, error) {
	objectives := reporter.Defaults()
	for i, name := range []string{"answered", "first-token", "tokens", "quality"} {
		target := c.Float(name)
		if target < 0 || target >= 1 {
			return nil, validator.NewSettingError(name, fmt.Sprint(target), "a share of at least 0 and below 1")
		}
		if target > 0 {
			objectives[i].Target = target
		}
		objectives[i].Period = c.Duration("period")
	}
	return objectives, nil
}

// readCounters reads the recorded counters of the files in order.
func readCounters(paths []string) (*reporter.Series, error) {
	if len(paths) == 0 {
		return nil, validator.NewSettingError("FILE", "", "at least one file with recorded counters")
	}
	series := &reporter.Series{}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, errors.Wrap(err, "open a file of recorded counters")
		}
		err = series.Read(f)
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return series, nil
}
