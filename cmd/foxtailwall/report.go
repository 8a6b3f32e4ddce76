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

const reportUsage = `Reports from the counters that hosts have recorded how fast each workspace burns
the error budget of its service levels:

   foxtailwall report counters-entry-1.jsonl counters-entry-2.jsonl

A rotated record is named before its successor (counters.jsonl.1 counters.jsonl).
The report shows the burn rates over 5 m, 1 h, 6 h and 3 d, the budget left, the
time until it is spent at the rate of the last hour, and what was bad by refusal
code and version. At a burn rate of 1 the budget lasts exactly its period.

   fast burn   the 5 m and the 1 h window burn faster than 14.4
   slow burn   the 6 h and the 3 d window burn faster than 1
   spent       the budget of the period is gone

The report is made for the time of the newest line, or for --at. --format is
text, json or html; the page needs no other file.`

// reportCommand returns the subcommand report.
func reportCommand() *cli.Command {
	return &cli.Command{
		Name:        "report",
		Usage:       "report how fast service levels burn their error budget",
		Description: reportUsage,
		ArgsUsage:   "FILE...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text, json or html", Sources: cli.EnvVars("FOXTAILWALL_REPORT_FORMAT")},
			&cli.StringFlag{Name: "out", Usage: "file to write to instead of standard output", Sources: cli.EnvVars("FOXTAILWALL_REPORT_OUT")},
			&cli.StringFlag{Name: "at", Usage: "time of the report, as 2006-01-02T15:04:05Z", Sources: cli.EnvVars("FOXTAILWALL_REPORT_AT")},
			&cli.DurationFlag{Name: "period", Value: 30 * 24 * time.Hour, Usage: "period of the error budget", Sources: cli.EnvVars("FOXTAILWALL_REPORT_PERIOD")},
			&cli.FloatFlag{Name: "answered", Usage: "target share of answered requests, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_ANSWERED")},
			&cli.FloatFlag{Name: "first-token", Usage: "target share of first tokens in time, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_FIRST_TOKEN")},
			&cli.FloatFlag{Name: "tokens", Usage: "target share of tokens in time, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_REPORT_TOKENS")},
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
	series, err := reportSeries(c.Args().Slice())
	if err != nil {
		return err
	}
	at := series.End()
	if s := c.String("at"); s != "" {
		if at, err = time.Parse(time.RFC3339, s); err != nil {
			return validator.Wrong("at", s, "a time as 2006-01-02T15:04:05Z")
		}
	}
	rep := reporter.Make(series, objectives, at)
	write := map[string]func(io.Writer) error{"text": rep.Print, "json": rep.JSON, "html": rep.Page}[c.String("format")]
	if write == nil {
		return validator.Wrong("format", c.String("format"), "text, json, html")
	}
	path := c.String("out")
	if path == "" {
		return write(c.Root().Writer)
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the file of --out")
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write the file of --out")
}

// reportObjectives returns the default objectives with the targets of the
// flags.
func reportObjectives(c *cli.Command) ([]reporter.Objective, error) {
	objectives := reporter.Defaults()
	for i, name := range []string{"answered", "first-token", "tokens", "quality"} {
		target := c.Float(name)
		if target < 0 || target >= 1 {
			return nil, validator.Wrong(name, fmt.Sprint(target), "a share from 0 to below 1")
		}
		if target > 0 {
			objectives[i].Target = target
		}
		objectives[i].Period = c.Duration("period")
	}
	return objectives, nil
}

func reportSeries(paths []string) (*reporter.Series, error) {
	if len(paths) == 0 {
		return nil, validator.Wrong("FILE", "", "at least one file with recorded counters")
	}
	s := &reporter.Series{}
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, errors.Wrap(err, "open a record of counters")
		}
		err = s.Read(f)
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return s, nil
}
