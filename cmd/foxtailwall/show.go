package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"foxtailwall/controller"
	"foxtailwall/declarer"
)

const (
	flagHistory = "history"

	usageShow = `Show prints the configuration that the control group holds.

The text goes to standard output in canonical form, as it was declared: the
outcome of a rollout appears in foxtailwall status, not here. The version,
which is the base for the next change, goes to standard error.

--history lists the newest changes in place of the text. --local takes what
the first reachable control host has, without a quorum; it may be old.

    foxtailwall show > deployed.yaml
    foxtailwall show --history 20`
)

// showCommand returns the subcommand; text prints a configuration in canonical form.
func showCommand(text func(declarer.Config) ([]byte, error)) *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print the configuration of the control group",
		Description: usageShow,
		Flags: operatorFlags(
			&cli.IntFlag{Name: flagHistory, Usage: "list the newest `N` changes in place of the text", Sources: cli.EnvVars("FOXTAILWALL_HISTORY")},
			&cli.BoolFlag{Name: flagLocal, Usage: "do without a quorum", Sources: cli.EnvVars("FOXTAILWALL_LOCAL")},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			op, err := operator(c)
			if err != nil {
				return err
			}
			got, err := op.Show(ctx, c.Int(flagHistory), c.Bool(flagLocal))
			if err != nil {
				return err
			}
			if c.Int(flagHistory) > 0 {
				for _, change := range got.History {
					writeChange(c.Root().Writer, change)
				}
				return nil
			}
			out, err := text(got.Config)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().ErrWriter, "version %d\n", got.Version)
			_, err = c.Root().Writer.Write(out)
			return err
		},
	}
}

func writeChange(w io.Writer, c controller.Change) {
	fmt.Fprintf(w, "version %d by %s at %s (change %s)\n", c.Version, c.Office, c.At.Format(time.RFC3339), c.ChangeID)
	for _, d := range c.Declarations {
		fmt.Fprintf(w, "  %s\n", d)
	}
}
