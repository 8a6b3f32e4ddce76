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
configuration, read from the source of the declarations library, and the flags
and environment variables of every subcommand.

    foxtailwall reference > docs/configuration.md`

func referenceCommand() *cli.Command {
	return &cli.Command{
		Name:        "reference",
		Usage:       "print the configuration reference",
		Description: usageReference,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "source", Usage: "source of the declarations library", Value: "declarer/declarer.go", Sources: env("source")},
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

func writeFlags(w io.Writer, sub *cli.Command) {
	if sub.Name == "help" || len(sub.Flags) == 0 {
		return
	}
	fmt.Fprintf(w, "### foxtailwall %s\n\n%s.\n\n| flag | environment | default | meaning |\n|---|---|---|---|\n", sub.Name, sub.Usage)
	for _, f := range sub.Flags {
		d, ok := f.(cli.DocGenerationFlag)
		if !ok || f.Names()[0] == "help" {
			continue
		}
		value := ""
		if d.GetValue() != "" && d.TakesValue() {
			value = "`" + d.GetValue() + "`"
		}
		fmt.Fprintf(w, "| `--%s` | `%s` | %s | %s |\n", f.Names()[0], strings.Join(d.GetEnvVars(), "`, `"), value, d.GetUsage())
	}
	fmt.Fprintln(w)
}
