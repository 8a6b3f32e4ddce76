package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"foxtailwall/documenter"
)

const usageReference = `Reference prints the configuration reference in Markdown: the keys of the
configuration, taken from the source of package declarer, and the flags and
environment variables of every subcommand.

    foxtailwall reference > docs/configuration.md`

func referenceCommand() *cli.Command {
	return &cli.Command{
		Name:        "reference",
		Usage:       "print the configuration reference",
		Description: usageReference,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "source", Usage: "path of the source file of package declarer", Value: "declarer/declarer.go", Sources: env("source")},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			text, err := documenter.Reference(c.String("source"))
			if err != nil {
				return err
			}
			w := c.Root().Writer
			fmt.Fprint(w, "# Configuration reference\n\nMade by `foxtailwall reference`; CI compares it with the code.\n\n")
			fmt.Fprintf(w, "## Declarations\n\n%s## Settings\n\n", text)
			for _, sub := range c.Root().Commands {
				writeFlags(w, sub)
			}
			return nil
		},
	}
}

// writeFlags writes the section of a subcommand with a table of its flags.
func writeFlags(w io.Writer, sub *cli.Command) {
	if sub.Name == "help" || len(sub.Flags) == 0 {
		return
	}
	fmt.Fprintf(w, "### foxtailwall %s\n\n%s.\n\n| flag | environment | default | meaning |\n|---|---|---|---|\n", sub.Name, sub.Usage)
	for _, flag := range sub.Flags {
		documented, ok := flag.(cli.DocGenerationFlag)
		if !ok || flag.Names()[0] == "help" {
			continue
		}
		value := ""
		if documented.GetValue() != "" && documented.TakesValue() {
			value = "`" + documented.GetValue() + "`"
		}
		fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s |\n", flag.Names()[0], strings.Join(documented.GetEnvVars(), "`, `"), value, documented.GetUsage())
	}
	fmt.Fprintln(w)
}
