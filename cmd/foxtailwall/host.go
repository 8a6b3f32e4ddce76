package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/urfave/cli/v3"

	"foxtailwall/coordinator"
	"foxtailwall/counter"
	"foxtailwall/platform/translator"
	"foxtailwall/starter"
	"foxtailwall/timekeeper"
)

const (
	usageEntry = `Entry runs a host that serves callers on the users' platform. It reads the
platform's settings file, finds the control hosts through its seeds, and runs
until SIGTERM: it then turns its readiness off and ends once the running
requests have their answers or the grace period is over. SIGHUP reads the
settings again.

    foxtailwall entry --settings /etc/foxtailwall/boot.toml`

	usageControl = `Control runs a host of the control group on the users' platform: it keeps the
configuration and the rollouts that operators have ordered, on disk and on a
majority of the group. A host with an empty disk joins through its seeds; a new
group is formed only where the settings say that the deployment starts for the
first time.

    foxtailwall control --settings /etc/foxtailwall/boot.toml`

	// logLines is the number of log lines that wait for the output; further
	// ones are dropped and counted.
	logLines = 2048
)

func entryCommand() *cli.Command {
	return hostCommand("entry", "run a host that serves callers on the users' platform", usageEntry, starter.RunEntry)
}

func controlCommand() *cli.Command {
	return hostCommand("control", "run a host of the control group on the users' platform", usageControl, starter.RunControl)
}

type runHost func(context.Context, starter.Settings, starter.Options) error

func hostCommand(name, usage, description string, run runHost) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "path of the platform's settings file", Required: true,
				Sources: cli.EnvVars(translator.SettingsVariable),
			},
			&cli.Uint16Flag{
				Name: "metrics-port", Usage: "port on which metrics are served under /metrics; 0 serves none",
				Sources: env("metrics-port"),
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return startHost(ctx, c.String("settings"), c.Uint16("metrics-port"), run)
		},
	}
}

func startHost(ctx context.Context, path string, metricsPort uint16, run runHost) error {
	read := func() (starter.Settings, error) { return translator.ReadSettings(path) }
	set, err := read()
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out, closeLog := boundedLog(os.Stdout)
	defer closeLog()
	log := zerolog.New(out).With().Timestamp().Str("host", set.Name).Logger()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	scope := counter.New("foxtailwall")
	defer func() {
		if err := scope.Close(); err != nil {
			log.Warn().Err(err).Msg("the last metrics were not reported")
		}
	}()
	return run(ctx, set, starter.Options{
		Protocol: starter.Protocol{
			Codec:     translator.Headers{},
			Config:    translator.DecodeConfig,
			List:      translator.NewLister(set.Platform, set.ListRate).List,
			Operators: func(c *coordinator.Coordinator) http.Handler { return translator.NewOperators(c, log) },
			ReadyPath: translator.ReadyPath,
			Settings:  read,
		},
		Clock: timekeeper.System{}, Scope: scope, Log: log, Hangup: hangup, MetricsPort: metricsPort,
	})
}

// boundedLog returns a writer that never blocks; it drops lines that the
// output does not take in time.
func boundedLog(w io.Writer) (io.Writer, func()) {
	direct := zerolog.New(w)
	d := diode.NewWriter(w, logLines, 0, func(missed int) {
		direct.Warn().Int("lines", missed).Msg("log lines were dropped")
	})
	return d, func() {
		if err := d.Close(); err != nil {
			direct.Warn().Err(err).Msg("the last log lines were not written")
		}
	}
}
