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

The configuration is written to standard output in canonical form, as it was
declared; foxtailwall status shows the progress of rollouts. The version, which
is the base of the next change, is written to standard error.

--history lists the newest changes instead. --local reads the state of the first
reachable control host without a quorum; the state may be outdated.

    foxtailwall show > deployed.yaml
    foxtailwall show --history 20`
)

// showCommand returns the subcommand show, which formats the configuration with
// format.
func showCommand(format func(declarer.Config) ([]byte, error)) *cli.Command {
	return &cli.Command{
		Name:        "show",
		Usage:       "print the configuration of the control group",
		Description: usageShow,
		Flags: operatorFlags(
			&cli.IntFlag{Name: flagHistory, Usage: "list the newest `N` changes instead of the configuration", Sources: cli.EnvVars("FOXTAILWALL_HISTORY")},
			&cli.BoolFlag{Name: flagLocal, Usage: "read from one control host without a quorum", Sources: cli.EnvVars("FOXTAILWALL_LOCAL")},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := operatorClient(c)
			if err != nil {
				return err
			}
			shown, err := client.Show(ctx, c.Int(flagHistory), c.Bool(flagLocal))
			if err != nil {
				return err
			}
			if c.Int(flagHistory) > 0 {
				for _, change := range shown.History {
					writeChange(c.Root().Writer, change)
				}
				return nil
			}
			text, err := format(shown.Config)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.Root().ErrWriter, "version %d\n", shown.Version)
			_, err = c.Root().Writer.Write(text)
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
