package main

import (
	"bytes"
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"foxtailwall/declarer"
)

const usageCheck = `Check reads configurations and lists every error with its place in the file.

It exits with status 1 if a file has an error or is not in canonical form, so
that it can protect a branch in version control. It contacts no host.

    foxtailwall check deployment.yaml`

// notCanonicalError reports a valid file that is not in canonical form.
type notCanonicalError struct{ name string }

// Error implements error.
func (e *notCanonicalError) Error() string {
	return fmt.Sprintf("file %q is not in canonical form; replace it with the output of foxtailwall print", e.name)
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "list the errors of configurations",
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

// checkFile returns an error unless the file is valid and in canonical form.
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
		return &notCanonicalError{name: name}
	}
	return nil
}
