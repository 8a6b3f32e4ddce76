package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const usageStandin = `Standin emulates, on one address, a system that the router works with:

   engine    a model engine with continuous batching and a prefix cache
   service   a plain service: GET is idempotent, POST makes a booking
   rater     the rating service, which reads the grade hidden in an answer
   weights   the weight store, limited to a rate
   platform  the platform's list of hosts, given with --host

The first line of the output is the listen address. The versions of an engine are
given as MODEL/VERSION=QUALITY, where QUALITY is the share of answers that pass:

   foxtailwall standin --kind engine --name engine-1 --listen 127.0.0.1:9001 \
      --version engraver/v1=0.82 --loadable engraver/v2=0.9

Engines of one deployment must share --seed, so that a prompt gets the same
grade on each of them. POST /faults injects a fault:

   curl -d '{"kind":"bad","model":"engraver","version":"v1","quality":0.2}' \
      http://127.0.0.1:9001/faults
   curl -d '{"kind":"leave"}' http://127.0.0.1:9001/faults
   curl -d '{"kind":"late","count":3,"delay":2000000000}' http://127.0.0.1:9001/faults

The kinds are bad, good, leave, return, silent, late, cross, stray, cut, error,
stall, slow, restart, crash and down. GET /ran?after=N lists what an engine or a
service ran, for audits. See package emulator for the time model.`

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:        "standin",
		Usage:       "serve a stand-in for an engine, a service or the platform",
		Description: usageStandin,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Value: "engine", Usage: "engine, service, rater, weights or platform", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_KIND")},
			&cli.StringFlag{Name: "name", Value: "standin", Usage: "name in the list of runs", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_NAME")},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address to listen on", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_LISTEN")},
			&cli.StringFlag{Name: "cert", Usage: "certificate file; together with --key it enables TLS", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_CERT")},
			&cli.StringFlag{Name: "key", Usage: "key file", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_KEY")},
			&cli.StringFlag{Name: "client-ca", Usage: "file with the CA certificates of clients; clients then need a certificate", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_CLIENT_CA")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_SEED")},
			&cli.StringSliceFlag{Name: "version", Usage: "version loaded at startup, MODEL/VERSION=QUALITY", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_VERSION")},
			&cli.StringSliceFlag{Name: "loadable", Usage: "version that can be loaded later, MODEL/VERSION=QUALITY", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_LOADABLE")},
			&cli.StringFlag{Name: "weights", Usage: "address of the weight store from which versions are loaded", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_WEIGHTS")},
			&cli.IntFlag{Name: "slots", Usage: "maximum number of requests in a batch, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_SLOTS")},
			&cli.FloatFlag{Name: "prefill", Usage: "prompt tokens processed per second, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_PREFILL")},
			&cli.DurationFlag{Name: "step", Usage: "duration of a step of the batch or of a call of the service, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_STEP")},
			&cli.IntFlag{Name: "cache", Usage: "size of the prefix cache in blocks of 256 bytes, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_CACHE")},
			&cli.FloatFlag{Name: "gap", Usage: "share of cache events that are lost, 0 to 1", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_GAP")},
			&cli.DurationFlag{Name: "lag", Usage: "age of load reports, ratings or the host list, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_LAG")},
			&cli.FloatFlag{Name: "cold-rate", Usage: "requests within a second above which an engine or a service crashes while it is cold, 0 for one that never is", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_COLD_RATE")},
			&cli.DurationFlag{Name: "cold", Usage: "time for which an engine or a service is cold after each start", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_COLD")},
			&cli.DurationFlag{Name: "restart", Usage: "time from a crash until an engine or a service runs again", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_RESTART")},
			&cli.BoolFlag{Name: "ignore-fencing", Usage: "accept orders with an old fencing token", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_IGNORE_FENCING")},
			&cli.FloatFlag{Name: "missing", Usage: "share of ratings that never arrive, 0 to 1", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_MISSING")},
			&cli.FloatFlag{Name: "rate", Usage: "fetches of weights per second, 0 for the default", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_RATE")},
			&cli.StringSliceFlag{Name: "host", Usage: "host in the platform's list, IP:PORT", Sources: cli.EnvVars("FOXTAILWALL_STANDIN_HOST")},
		},
		Action: runStandin,
	}
}

func runStandin(ctx context.Context, c *cli.Command) error {
	conf, err := standinTLS(c)
	if err != nil {
		return err
	}
	if _, err := parseAddress("listen", c.String("listen")); err != nil {
		return err
	}
	handler, stop, err := newStandin(c)
	if err != nil {
		return err
	}
	defer stop()
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", c.String("listen"))
	}
	fmt.Fprintln(c.Root().Writer, listener.Addr())
	return emulator.Serve(ctx, listener, handler, conf)
}

// newStandin returns the stand-in that the flags describe and the function that
// stops it.
func newStandin(c *cli.Command) (handler emulator.Handler, stop func(), err error) {
	stop = func() {}
	cold, err := coldConfig(c)
	if err != nil {
		return nil, nil, err
	}
	switch kind := c.String("kind"); kind {
	case "engine":
		conf, err := engineConfig(c)
		if err != nil {
			return nil, nil, err
		}
		conf.Cold = cold
		engine := emulator.NewEngine(conf)
		return engine, engine.Close, nil
	case "service":
		handler = emulator.NewService(emulator.ServiceConfig{Name: c.String("name"), Time: c.Duration("step"), Concurrent: c.Int("slots"), Cold: cold})
	case "rater":
		handler = emulator.NewRater(emulator.RaterConfig{Seed: c.Uint64("seed"), Delay: c.Duration("lag"), Missing: c.Float("missing")})
	case "weights":
		handler = emulator.NewWeightStore(emulator.WeightConfig{Rate: c.Float("rate")})
	case "platform":
		platform := emulator.NewPlatform(emulator.PlatformConfig{Lag: c.Duration("lag")})
		for _, s := range c.StringSlice("host") {
			addr, err := parseAddress("host", s)
			if err != nil {
				return nil, nil, err
			}
			platform.Set(emulator.Host{Address: addr, State: emulator.HostLive})
		}
		handler = platform
	default:
		return nil, nil, validator.NewSettingError("kind", kind, "engine, service, rater, weights, platform")
	}
	return handler, stop, nil
}

// coldConfig returns the validated settings of cold and crashing stand-ins.
func coldConfig(c *cli.Command) (emulator.ColdConfig, error) {
	conf := emulator.ColdConfig{Duration: c.Duration("cold"), PerSecond: c.Float("cold-rate"), Restart: c.Duration("restart")}
	switch {
	case math.IsNaN(conf.PerSecond) || conf.PerSecond < 0:
		return conf, validator.NewSettingError("cold-rate", fmt.Sprint(conf.PerSecond), "a number of zero or more")
	case conf.Duration < 0 || (conf.PerSecond > 0) != (conf.Duration > 0):
		return conf, validator.NewSettingError("cold", conf.Duration.String(), "a positive duration if cold-rate is set, otherwise zero")
	case conf.Restart < 0:
		return conf, validator.NewSettingError("restart", conf.Restart.String(), "a duration of zero or more")
	}
	return conf, nil
}

func engineConfig(c *cli.Command) (emulator.EngineConfig, error) {
	conf := emulator.EngineConfig{
		Name: c.String("name"), Seed: c.Uint64("seed"),
		Timing:      emulator.Timing{Slots: c.Int("slots"), Prefill: c.Float("prefill"), Step: c.Duration("step")},
		CacheBlocks: c.Int("cache"), EventGap: c.Float("gap"), LoadLag: c.Duration("lag"),
		IgnoresFencing: c.Bool("ignore-fencing"), LoadTime: time.Second,
	}
	var err error
	if conf.Versions, err = parseVersions("version", c.StringSlice("version")); err != nil {
		return conf, err
	}
	if conf.Loadable, err = parseVersions("loadable", c.StringSlice("loadable")); err != nil {
		return conf, err
	}
	if s := c.String("weights"); s != "" {
		addr, err := parseAddress("weights", s)
		if err != nil {
			return conf, err
		}
		conf.Weights = emulator.FetchWeights(http.DefaultClient, timekeeper.System{}, addr)
	}
	return conf, nil
}

// parseVersions parses values of the form MODEL/VERSION=QUALITY.
func parseVersions(name string, values []string) ([]emulator.Version, error) {
	out := make([]emulator.Version, 0, len(values))
	for _, s := range values {
		ref, quality, _ := strings.Cut(s, "=")
		model, version, ok := strings.Cut(ref, "/")
		q, err := strconv.ParseFloat(quality, 64)
		if !ok || err != nil || q < 0 || q > 1 {
			return nil, validator.NewSettingError(name, s, "MODEL/VERSION=QUALITY with a quality from 0 to 1")
		}
		out = append(out, emulator.Version{Model: model, Version: version, Quality: q})
	}
	return out, nil
}

// standinTLS returns the TLS configuration of the server, or nil for plain HTTP.
func standinTLS(c *cli.Command) (*tls.Config, error) {
	if c.String("cert") == "" && c.String("key") == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(c.String("cert"), c.String("key"))
	if err != nil {
		return nil, errors.Wrap(err, "load --cert and --key")
	}
	conf := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13}
	if path := c.String("client-ca"); path != "" {
		if conf.ClientCAs, err = readCertificates("client-ca", path); err != nil {
			return nil, err
		}
		conf.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return conf, nil
}
