package main

import (
	"bytes"
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"foxtailwall/declarer"
)

const usageCheck = `Check reads configurations and lists every fault by its place.

It exits with status 1 if any file has a fault or is not in canonical form, so
that it can guard a branch in version control. No host is asked.

    foxtailwall check deployment.yaml`

// unsortedError says that a file is valid but not canonical.
type unsortedError struct{ name string }

// Error implements error.
func (e *unsortedError) Error() string {
	return fmt.Sprintf("file %q is not in canonical form; replace it by the output of foxtailwall print", e.name)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "list the faults of configurations",
		ArgsUsage:   "FILE...",
		Description: usageCheck,
		Action: func(_ context.Context, c *cli.Command) error {
			for _, name := range c.Args().Slice() {
				if err := checkFile(name); err != nil {
					return err
				}
				fmt.Fprintf(c.Root().Writer, "%s: valid\n", name)
			}
			return nil
		},
	}
}

func checkFile(name string) error {
	text, err := readInput(name)
	if err != nil {
		return err
	}
	conf, err := declarer.Parse(text)
	if err != nil {
		return err
	}
	if faults := declarer.Check(conf); len(faults) > 0 {
		return &declarer.InvalidError{Faults: faults}
	}
	canonical, err := declarer.Print(conf)
	if err != nil {
		return err
	}
	if !bytes.Equal(canonical, text) {
		return &unsortedError{name: name}
	}
	return nil
}
