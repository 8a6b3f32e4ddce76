package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"foxtailwall/biller"
	"foxtailwall/messenger"
)

const usageLedger = `Ledger prints the billed requests and the totals by member.

It prints one line for each request whose record is still kept, sorted by
request ID, with the time, workspace, member, what ran, tokens, cost and
ending; then one line for each member with the sums since the deployment
began. Records are kept for the retention of the configuration; the totals
keep counting them afterwards.

    foxtailwall ledger
    foxtailwall ledger --json`

func ledgerCommand() *cli.Command {
	return &cli.Command{
		Name:        "ledger",
		Usage:       "print the billed requests and totals",
		Description: usageLedger,
		Flags: operatorFlags(
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON", Sources: cli.EnvVars("FOXTAILWALL_JSON")},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			op, err := operator(c)
			if err != nil {
				return err
			}
			got, err := op.Export(ctx)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return json.NewEncoder(c.Root().Writer).Encode(got)
			}
			writeLedger(c.Root().Writer, got)
			return nil
		},
	}
}

func writeLedger(w io.Writer, e *messenger.Exported) {
	for _, r := range e.Records {
		var in, out int64
		for _, s := range r.Steps {
			in += s.InputTokens
			out += s.OutputTokens
		}
		fmt.Fprintf(w, "%s %s %s/%s %s %d+%d tokens %s %s\n", r.ID, r.At.Format(time.RFC3339Nano),
			r.Workspace, r.Member, ran(r), in, out, money(r.CostNanos), r.Ending)
	}
	for _, t := range e.Totals {
		fmt.Fprintf(w, "total %s/%s %d requests %d+%d tokens %s\n", t.Workspace, t.Member,
			t.Requests, t.InputTokens, t.OutputTokens, money(t.CostNanos))
	}
	if e.Refused > 0 {
		fmt.Fprintf(w, "%d deliveries were refused, because they came after the retention or with a wrong clock\n", e.Refused)
	}
}

// ran names the service or the versions that a request ran on.
func ran(r biller.Record) string {
	if r.Service != "" {
		return r.Service
	}
	names := make([]string, len(r.Steps))
	for i, s := range r.Steps {
		names[i] = s.Model + "/" + s.Version
	}
	return strings.Join(names, ",")
}
