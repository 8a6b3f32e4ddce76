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

const usageDemo = `Demo runs the whole system in one process for a bounded time: three zones of
hosts, stand-in engines and services, a mixed load, a race of two offices, a
rollout of a version that turns bad, its withdrawal, an upstream that leaves, a
zone that is cut off and healed, and a host that is replaced.

It prints a line for each event and at the end a table with the count of every
promise. The exit status is 1 if any promise was broken. The counts come from
what callers received, what the stand-ins ran and the ledger.

    foxtailwall demo
    foxtailwall demo --duration 60s --seed 7 --json`

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "run the whole system in one process and check its promises",
		Description: usageDemo,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "time of load", Value: demonstrator.DefaultDuration, Sources: env("demo-duration")},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load and the stand-ins", Value: 1, Sources: env("demo-seed")},
			&cli.FloatFlag{Name: "rate", Usage: "requests in a second", Value: 40, Sources: env("demo-rate")},
			&cli.BoolFlag{Name: "json", Usage: "print the result as one JSON object", Sources: env("demo-json")},
			&cli.BoolFlag{Name: "verbose", Usage: "show the hosts' log lines", Sources: env("demo-verbose")},
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
	res, err := demonstrator.Run(ctx, conf)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		if err := json.NewEncoder(c.Root().Writer).Encode(res); err != nil {
			return err
		}
	} else {
		res.Print(c.Root().Writer)
	}
	if n := res.Broken(); n > 0 {
		return &brokenError{n}
	}
	return nil
}
