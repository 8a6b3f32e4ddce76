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

It prints one line for each request whose record is still stored, sorted by
request ID, with the time, workspace, member, service or model versions, tokens,
cost and outcome; then one line for each member with the sums since the start of
the deployment. Records are stored for the retention of the configuration; the
totals still include them afterwards.

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
			client, err := operatorClient(c)
			if err != nil {
				return err
			}
			ledger, err := client.Export(ctx)
			if err != nil {
				return err
			}
			if c.Bool(flagJSON) {
				return json.NewEncoder(c.Root().Writer).Encode(ledger)
			}
			writeLedger(c.Root().Writer, ledger)
			return nil
		},
	}
}

func writeLedger(w io.Writer, ledger *messenger.LedgerExport) {
	for _, r := range ledger.Records {
		var in, out int64
		for _, s := range r.Steps {
			in += s.InputTokens
			out += s.OutputTokens
		}
		fmt.Fprintf(w, "%s %s %s/%s %s %d+%d tokens %s %s\n", r.ID, r.At.Format(time.RFC3339Nano),
			r.Workspace, r.Member, servedBy(r), in, out, formatMoney(r.CostNanos), r.Ending)
	}
	for _, t := range ledger.Totals {
		fmt.Fprintf(w, "total %s/%s %d requests %d+%d tokens %s\n", t.Workspace, t.Member,
			t.Requests, t.InputTokens, t.OutputTokens, formatMoney(t.CostNanos))
	}
	if ledger.Refused > 0 {
		fmt.Fprintf(w, "%d records were refused because they were older than the retention or had an invalid ID or time\n", ledger.Refused)
	}
}

// servedBy returns the service, or the model versions separated by commas, that
// ran the request.
func servedBy(r biller.Record) string {
	if r.Service != "" {
		return r.Service
	}
	names := make([]string, len(r.Steps))
	for i, s := range r.Steps {
		names[i] = s.Model + "/" + s.Version
	}
	return strings.Join(names, ",")
}
