// Command foxtailwall routes requests to versions of language models and to
// plain services. Its subcommands run hosts, manage the configuration and test a
// deployment; foxtailwall help lists them.
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
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "foxtailwall:", err)
		os.Exit(1)
	}
}

// rootCommand returns the command foxtailwall with all its subcommands.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "foxtailwall",
		Usage: "model-aware router for versions and cascades",
		Commands: []*cli.Command{
			demoCommand(),
			printCommand(),
			checkCommand(),
			diffCommand(),
			applyCommand(readConfig),
			evacuateCommand(),
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
