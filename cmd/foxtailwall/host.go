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
platform's settings file and finds the control hosts through its seeds. On
SIGTERM it reports itself as not ready, and exits when the running requests have
been answered or the grace period has passed. On SIGHUP it reloads the settings.

    foxtailwall entry --settings /etc/foxtailwall/boot.toml`

	usageControl = `Control runs a host of the control group on the users' platform. The group
stores the configuration and the rollouts that operators have ordered on the
disks of a majority of its hosts. A host with an empty disk joins through its
seeds; it forms a new group only if the settings say that the deployment starts
for the first time.

    foxtailwall control --settings /etc/foxtailwall/boot.toml`

	// logBufferLines bounds the log lines that wait to be written; lines beyond
	// it are dropped and counted.
	logBufferLines = 2048
)

func entryCommand() *cli.Command {
	return hostCommand("entry", "run a host that serves callers on the users' platform", usageEntry, starter.RunEntry)
}

func controlCommand() *cli.Command {
	return hostCommand("control", "run a host of the control group on the users' platform", usageControl, starter.RunControl)
}

// runFunc runs a host until ctx ends.
type runFunc func(context.Context, starter.Settings, starter.Options) error

func hostCommand(name, usage, description string, run runFunc) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "path of the platform's settings file", Required: true,
				Sources: cli.EnvVars(translator.SettingsVariable),
			},
			&cli.Uint16Flag{
				Name: "metrics-port", Usage: "port that serves metrics under /metrics; 0 for none",
				Sources: env("metrics-port"),
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runHost(ctx, c.String("settings"), c.Uint16("metrics-port"), run)
		},
	}
}

// runHost reads the settings file at path and runs a host with run until ctx ends.
func runHost(ctx context.Context, path string, metricsPort uint16, run runFunc) error {
	readSettings := func() (starter.Settings, error) { return translator.ReadSettings(path) }
	settings, err := readSettings()
	if err != nil {
		return err
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out, closeLog := nonBlockingWriter(os.Stdout)
	defer closeLog()
	log := zerolog.New(out).With().Timestamp().Str("host", settings.Name).Logger()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	scope := counter.New("foxtailwall")
	defer func() {
		if err := scope.Close(); err != nil {
			log.Warn().Err(err).Msg("the final metrics were not reported")
		}
	}()
	return run(ctx, settings, starter.Options{
		Protocol: starter.Protocol{
			Codec:  translator.Headers{},
			Config: translator.DecodeConfig,
			List:   translator.NewLister(settings.Platform, settings.ListRate).List,
			Operators: func(c *coordinator.Coordinator) http.Handler {
				return translator.NewOperatorHandler(c, settings.Zones, log)
			},
			ReadyPath: translator.ReadyPath,
			Settings:  readSettings,
		},
		Clock: timekeeper.System{}, Scope: scope, Log: log, Hangup: hangup, MetricsPort: metricsPort,
	})
}

// nonBlockingWriter returns a buffered writer that drops lines while its buffer
// is full, so that a slow w never blocks a host, and a function that closes it.
func nonBlockingWriter(w io.Writer) (io.Writer, func()) {
	direct := zerolog.New(w)
	buffered := diode.NewWriter(w, logBufferLines, 0, func(missed int) {
		direct.Warn().Int("lines", missed).Msg("log lines were dropped")
	})
	return buffered, func() {
		if err := buffered.Close(); err != nil {
			direct.Warn().Err(err).Msg("the remaining log lines were not written")
		}
	}
}
