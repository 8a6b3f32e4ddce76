// Command foxtailwall routes requests to versions of language models and to
// plain services. Its subcommands serve a host, drive the configuration and
// measure a deployment; foxtailwall help lists them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"foxtailwall/declarer"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foxtailwall:", err)
		os.Exit(1)
	}
}

// root returns the command with all its subcommands, one file each.
func root() *cli.Command {
	return &cli.Command{
		Name:  "foxtailwall",
		Usage: "model-aware router for versions and cascades",
		Commands: []*cli.Command{
			demoCommand(),
			printCommand(),
			checkCommand(),
			diffCommand(),
			applyCommand(readConfig),
			showCommand(declarer.Print),
			statusCommand(),
			ledgerCommand(),
			serveCommand(),
			entryCommand(),
			controlCommand(),
			compareCommand(),
			loadCommand(),
			reportCommand(),
			explainCommand(),
			standinCommand(),
			referenceCommand(),
		},
	}
}
