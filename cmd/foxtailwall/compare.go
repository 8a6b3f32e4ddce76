package main

import (
	"context"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"foxtailwall/comparer"
	"foxtailwall/validator"
)

const usageCompare = `Compare simulates a deployment in virtual time and runs several routing policies
with the same seed and arrivals. It prints the cost, the quality against the
targets and the latency of each:

   foxtailwall compare --scenario cooperative --repeats 3
   foxtailwall compare --scenario festival --plot plots --plot-format png

The engines follow the time model of package emulator: continuous batching with
a token budget, a limited prefix cache, and delayed load reports and cache
events. Requests, prefixes and sessions are those of the load subcommand. The
same seed gives the same result.

During the second third of the run, --fault bad lowers the quality of the large
model's version, and --fault unrated stops the rating service. The last columns
cover the requests of that time; "exposed" counts the answers of the bad version.

--plot writes the plots cost-SCENARIO, first-token-SCENARIO and
whole-answer-SCENARIO to a directory.`

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:        "compare",
		Usage:       "compare routing policies in virtual time",
		Description: usageCompare,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "scenario", Value: "cooperative", Usage: "cooperative or festival", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_SCENARIO")},
			&cli.StringFlag{Name: "fault", Usage: "bad (a version of low quality) or unrated (the rating service is down) for a third of the run; empty for none", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_FAULT")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_SEED")},
			&cli.IntFlag{Name: "repeats", Value: 1, Usage: "number of seeds whose results are pooled", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_REPEATS")},
			&cli.FloatFlag{Name: "rate", Usage: "arrivals per second, 0 for the scenario's", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_RATE")},
			&cli.DurationFlag{Name: "duration", Usage: "virtual duration of the arrivals, 0 for the scenario's", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_DURATION")},
			&cli.StringFlag{Name: "plot", Usage: "directory for the plots", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_PLOT")},
			&cli.StringFlag{Name: "plot-format", Value: "svg", Usage: "svg or png", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_PLOT_FORMAT")},
			&cli.BoolFlag{Name: "json", Usage: "print the results as JSON", Sources: cli.EnvVars("FOXTAILWALL_COMPARE_JSON")},
		},
		Action: runCompare,
	}
}

func runCompare(_ context.Context, c *cli.Command) error {
	scenario, ok := comparer.ScenarioByName(c.String("scenario"))
	if !ok {
		return validator.NewSettingError("scenario", c.String("scenario"), "cooperative, festival")
	}
	if scenario, ok = scenario.WithFault(c.String("fault")); !ok {
		return validator.NewSettingError("fault", c.String("fault"), "bad, unrated, or empty")
	}
	format := c.String("plot-format")
	if format != "svg" && format != "png" {
		return validator.NewSettingError("plot-format", format, "svg, png")
	}
	results := comparer.Run(scenario, comparePolicies(), comparer.Options{
		Seed: c.Uint64("seed"), Repeats: c.Int("repeats"), Rate: c.Float("rate"), Duration: c.Duration("duration"),
	})
	write := comparer.Print
	if c.Bool("json") {
		write = comparer.WriteJSON
	}
	if err := write(c.Root().Writer, results); err != nil {
		return err
	}
	dir := c.String("plot")
	if dir == "" {
		return nil
	}
	for name, plot := range map[string]func([]comparer.Result, string) error{
		"cost": comparer.PlotCost, "first-token": comparer.PlotLatency, "whole-answer": comparer.PlotTotal,
	} {
		if err := plot(results, filepath.Join(dir, name+"-"+scenario.Name+"."+format)); err != nil {
			return err
		}
	}
	return nil
}

// comparePolicies returns the policy of the router, followed by the baselines.
func comparePolicies() []comparer.Policy {
	return append([]comparer.Policy{comparer.RouterPolicy()}, comparer.Baselines()...)
}
