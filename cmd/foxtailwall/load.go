package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"go.yaml.in/yaml/v3"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const usageLoad = `Load sends the load of one of the two example deployments to a running system of
entry hosts and stand-ins, and audits the results from outside:

   foxtailwall load --config cooperative.yaml --keys keys.txt --mix cooperative \
      --entry 127.0.0.1:8443 --entry 127.0.0.1:8444 --rate 50 --duration 1m

Workspaces, allowed versions, quality targets, prices and the addresses of the
stand-ins come from the configuration. The key file has one line for each
member: WORKSPACE/MEMBER KEY.

Arrivals are a Poisson process and open-loop: a slow answer delays no later
arrival, and latency is measured from the scheduled arrival. Most arrivals come
from the first two workspaces. The same --seed gives the same requests.

--fault AT NAME ADDRESS JSON injects a fault into the stand-in at ADDRESS when
AT has passed since the start; NAME labels the fault:

   --fault '10s bad-version 127.0.0.1:9001 {"kind":"bad","model":"m","version":"v2"}'

With --ledger, the exported ledger is read --settle after the end of the load,
and the bills are compared with the answers and with what the stand-ins ran. The
file may be a named pipe; the command then waits for the export.

The exit status is 1 if a promise of docs/design.md is broken.`

// violationsError holds the number of violations of promises that an audit found.
type violationsError struct{ violations int }

// Error implements error.
func (e *violationsError) Error() string {
	return fmt.Sprintf("the audit found %d violations of promises; see the table above", e.violations)
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send load to a running system and audit the results",
		Description: usageLoad,
		// The JSON in --fault contains commas, the default separator.
		SliceFlagSeparator: ";",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "address of an entry host", Sources: cli.EnvVars("FOXTAILWALL_LOAD_ENTRY")},
			&cli.StringFlag{Name: "config", Usage: "file with the active configuration", Sources: cli.EnvVars("FOXTAILWALL_LOAD_CONFIG")},
			&cli.StringFlag{Name: "keys", Usage: "file with the API keys", Sources: cli.EnvVars("FOXTAILWALL_LOAD_KEYS")},
			&cli.StringFlag{Name: "ca", Usage: "file with the CA certificates of the entry hosts; plain HTTP is used without it", Sources: cli.EnvVars("FOXTAILWALL_LOAD_CA")},
			&cli.StringFlag{Name: "mix", Value: "cooperative", Usage: "cooperative or festival", Sources: cli.EnvVars("FOXTAILWALL_LOAD_MIX")},
			&cli.StringFlag{Name: "model", Value: loader.Auto, Usage: "model name that callers send", Sources: cli.EnvVars("FOXTAILWALL_LOAD_MODEL")},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "mean number of arrivals per second", Sources: cli.EnvVars("FOXTAILWALL_LOAD_RATE")},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "duration of the arrivals", Sources: cli.EnvVars("FOXTAILWALL_LOAD_DURATION")},
			&cli.IntFlag{Name: "count", Usage: "maximum number of requests, 0 for no limit", Sources: cli.EnvVars("FOXTAILWALL_LOAD_COUNT")},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "timeout of a caller", Sources: cli.EnvVars("FOXTAILWALL_LOAD_TIMEOUT")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the requests", Sources: cli.EnvVars("FOXTAILWALL_LOAD_SEED")},
			&cli.StringSliceFlag{Name: "fault", Usage: "fault to inject, AT NAME ADDRESS JSON"},
			&cli.StringFlag{Name: "ledger", Usage: "file with the exported ledger", Sources: cli.EnvVars("FOXTAILWALL_LOAD_LEDGER")},
			&cli.DurationFlag{Name: "settle", Value: 7 * time.Second, Usage: "delay between the end of the load and reading the ledger", Sources: cli.EnvVars("FOXTAILWALL_LOAD_SETTLE")},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Sources: cli.EnvVars("FOXTAILWALL_LOAD_JSON")},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	conf, err := loaderConfig(c)
	if err != nil {
		return err
	}
	l := loader.New(conf)
	if err := l.Run(ctx); err != nil {
		return errors.Wrap(err, "send the load")
	}
	if path := c.String("ledger"); path != "" {
		if err := timekeeper.Sleep(ctx, timekeeper.System{}, c.Duration("settle")); err != nil {
			return err
		}
		if err := readLedger(path, l.Audit()); err != nil {
			return err
		}
	}
	if err := l.Collect(ctx); err != nil {
		return err
	}
	report := l.Report()
	if c.Bool("json") {
		e := json.NewEncoder(c.Root().Writer)
		e.SetIndent("", "  ")
		if err := e.Encode(report); err != nil {
			return errors.Wrap(err, "print the result")
		}
	} else {
		report.Print(c.Root().Writer)
	}
	if n := report.Verdict.Broken(); n > 0 {
		return &violationsError{n}
	}
	return nil
}

// loaderConfig builds the configuration of the loader from the flags and the
// files that they name.
func loaderConfig(c *cli.Command) (loader.Config, error) {
	mix, ok := loader.MixByName(c.String("mix"))
	if !ok {
		return loader.Config{}, validator.NewSettingError("mix", c.String("mix"), "cooperative, festival")
	}
	if c.Float("rate") <= 0 {
		return loader.Config{}, validator.NewSettingError("rate", fmt.Sprint(c.Float("rate")), "a number above 0")
	}
	conf := loader.Config{
		Seed: c.Uint64("seed"), Mix: mix, Model: c.String("model"), Rate: c.Float("rate"),
		Duration: c.Duration("duration"), Count: c.Int("count"), Timeout: c.Duration("timeout"),
		Prices: make(map[declarer.VersionRef]declarer.Price),
	}
	var err error
	if conf.Entries, err = parseAddresses("entry", c.StringSlice("entry")); err != nil {
		return conf, err
	}
	if conf.TLS, err = entryTLS(c.String("ca")); err != nil {
		return conf, err
	}
	if conf.Faults, err = parseFaults(c.StringSlice("fault")); err != nil {
		return conf, err
	}
	return conf, readDeployment(c, &conf)
}

// readDeployment reads the files of --config and --keys and sets the workspaces,
// prices and stand-in addresses of conf.
func readDeployment(c *cli.Command, conf *loader.Config) error {
	text, err := os.ReadFile(c.String("config"))
	if err != nil {
		return validator.NewSettingError("config", c.String("config"), "a readable file with the configuration")
	}
	var declared declarer.Config
	if err := yaml.Unmarshal(text, &declared); err != nil {
		return errors.Wrapf(err, "read --config %s", c.String("config"))
	}
	keys, err := readKeys(c.String("keys"))
	if err != nil {
		return err
	}
	conf.Workspaces = loader.WorkspacesFromConfig(declared, keys)
	if len(conf.Workspaces) == 0 {
		return validator.NewSettingError("keys", c.String("keys"), "a file with the key of at least one member of the configuration")
	}
	for _, m := range declared.Models {
		for _, v := range m.Versions {
			conf.Prices[declarer.VersionRef{Model: m.Name, Version: v.Name}] = v.Price
		}
	}
	for _, u := range declared.Upstreams {
		if u.Service != "" {
			conf.Services = append(conf.Services, u.Address)
		} else {
			conf.Engines = append(conf.Engines, u.Address)
		}
	}
	return nil
}

// readKeys reads lines of the form WORKSPACE/MEMBER KEY into a map from
// WORKSPACE/MEMBER to KEY.
func readKeys(path string) (map[string]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, validator.NewSettingError("keys", path, "a readable file with lines WORKSPACE/MEMBER KEY")
	}
	defer f.Close()
	keys := make(map[string]string)
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		if name, key, ok := strings.Cut(strings.TrimSpace(lines.Text()), " "); ok {
			keys[name] = strings.TrimSpace(key)
		}
	}
	return keys, errors.Wrapf(lines.Err(), "read --keys %s", path)
}

// readLedger adds the exported ledger at path to the audit.
func readLedger(path string, audit *loader.Audit) error {
	f, err := os.Open(path)
	if err != nil {
		return validator.NewSettingError("ledger", path, "a readable file or named pipe with the exported ledger")
	}
	defer f.Close()
	records, err := loader.ReadLedger(f)
	if err != nil {
		return err
	}
	audit.AddLedger(records)
	return nil
}

// entryTLS returns the TLS configuration that trusts the CA certificates at
// path, or nil for plain HTTP if path is empty.
func entryTLS(path string) (*tls.Config, error) {
	if path == "" {
		return nil, nil
	}
	pool, err := readCertificates("ca", path)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// parseFaults parses values of the form AT NAME ADDRESS JSON.
func parseFaults(values []string) ([]loader.TimedFault, error) {
	const fieldCount = 4
	var faults []loader.TimedFault
	for _, s := range values {
		invalid := validator.NewSettingError("fault", s, `AT NAME ADDRESS JSON, for example 10s leave 127.0.0.1:9001 {"kind":"leave"}`)
		fields := strings.SplitN(s, " ", fieldCount)
		if len(fields) != fieldCount {
			return nil, invalid
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			return nil, invalid
		}
		target, err := netip.ParseAddrPort(fields[2])
		if err != nil {
			return nil, invalid
		}
		var fault emulator.Fault
		if json.Unmarshal([]byte(fields[3]), &fault) != nil {
			return nil, invalid
		}
		faults = append(faults, loader.TimedFault{Name: fields[1], At: at, Target: target, Fault: fault})
	}
	return faults, nil
}
