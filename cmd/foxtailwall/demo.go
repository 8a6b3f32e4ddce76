package main

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"foxtailwall/demonstrator"
)

const usageDemo = `Demo runs the whole system in one process for a limited time: hosts in three
zones, stand-ins for engines and services, and a mixed load. During the load two
offices change the configuration at the same time, a version in rollout loses
quality and is withdrawn, an upstream shuts down, a zone is cut off from the
network and connected again, and a host is replaced.

It prints a line for each event, and at the end a table of the promises of
docs/design.md with the number of checks and violations of each. The exit status
is 1 if a promise was broken. The counts come from the answers that callers
received, the requests that the stand-ins ran, and the ledger.

    foxtailwall demo
    foxtailwall demo --duration 60s --seed 7 --json`

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the whole system in one process and check its promises",
		Description: usageDemo,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "duration of the load", Value: demonstrator.DefaultDuration, Sources: env("demo-duration")},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and the stand-ins", Value: 1, Sources: env("demo-seed")},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second", Value: 40, Sources: env("demo-rate")},
			&cli.BoolFlag{Name: "json", Usage: "print the result as one JSON object", Sources: env("demo-json")},
			&cli.BoolFlag{Name: "verbose", Usage: "print the log lines of the hosts", Sources: env("demo-verbose")},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	conf := demonstrator.Config{
		Duration: c.Duration("duration"), Seed: c.Uint64("seed"), Rate: c.Float("rate"),
		Progress: c.Root().Writer, Log: zerolog.Nop(),
	}
	if c.Bool("json") {
		conf.Progress = io.Discard
	}
	if c.Bool("verbose") {
		conf.Log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	result, err := demonstrator.Run(ctx, conf)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(c.Root().Writer).Encode(result); err != nil {
			return err
		}
	} else {
		result.Print(c.Root().Writer)
	}
	if n := result.Broken(); n > 0 {
		return &violationsError{n}
	}
	return nil
}
