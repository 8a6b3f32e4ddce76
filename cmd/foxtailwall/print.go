package main

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"foxtailwall/declarer"
)

const usagePrint = `Print writes the canonical text of a configuration to standard output.

The canonical text is meant for version control: lists are sorted, keys have a
fixed order, and equal configurations give equal bytes. The argument names the
file to read; "-" reads standard input. Configurations that are declared in Go
print themselves; see the example folder.

    foxtailwall print messy.yaml > deployment.yaml`

func printCommand() *cli.Command {
	return &cli.Command{
		Name:        "print",
		Usage:       "write the canonical text of a configuration",
		ArgsUsage:   "FILE",
		Description: usagePrint,
		Action: func(_ context.Context, c *cli.Command) error {
			conf, err := readConfig(c.Args().First())
			if err != nil {
				return err
			}
			text, err := declarer.Print(conf)
			if err != nil {
				return err
			}
			_, err = c.Root().Writer.Write(text)
			return err
		},
	}
}

// readConfig parses the configuration in the named file; "-" and "" mean
// standard input.
func readConfig(name string) (declarer.Config, error) {
	text, err := readInput(name)
	if err != nil {
		return declarer.Config{}, err
	}
	conf, err := declarer.Parse(text)
	return conf, errors.Wrapf(err, "file %q", name)
}

func readInput(name string) ([]byte, error) {
	if name == "" || name == "-" {
		name = os.Stdin.Name()
	}
	return os.ReadFile(name)
}
