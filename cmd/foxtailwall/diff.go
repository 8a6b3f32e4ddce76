package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"foxtailwall/declarer"
)

const usageDiff = `Diff compares two configurations declaration by declaration.

Each difference is printed with its place, its owner and the changed lines,
which include the reason. The order of declarations does not matter.

    foxtailwall diff deployed.yaml deployment.yaml`

// argumentError reports a subcommand that was called with the wrong arguments.
type argumentError struct{ command, want string }

// Error implements error.
func (e *argumentError) Error() string {
	return fmt.Sprintf("%s needs %s; see foxtailwall help %s", e.command, e.want, e.command)
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:        "diff",
		Usage:       "compare two configurations",
		ArgsUsage:   "OLD NEW",
		Description: usageDiff,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() != 2 {
				return &argumentError{command: "diff", want: "two files"}
			}
			before, err := readConfig(c.Args().Get(0))
			if err != nil {
				return err
			}
			after, err := readConfig(c.Args().Get(1))
			if err != nil {
				return err
			}
			for _, change := range declarer.Diff(before, after) {
				fmt.Fprintln(c.Root().Writer, change)
			}
			return nil
		},
	}
}
