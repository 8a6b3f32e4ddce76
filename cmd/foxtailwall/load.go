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

const loadUsage = `Sends the load of one of the first two deployments to a running system of entry
hosts and stand-ins, and audits it from outside:

   foxtailwall load --config cooperative.yaml --keys keys.txt --mix cooperative \
      --entry 127.0.0.1:8443 --entry 127.0.0.1:8444 --rate 50 --duration 1m

Workspaces, allowed versions, quality targets, prices and the addresses of the
stand-ins come from the configuration. The key file has one line for each
member: WORKSPACE/MEMBER KEY.

Arrivals are Poisson and open-loop: a slow answer delays no later arrival, and
latency counts from the intended start. Most arrivals come from the first two
workspaces. The same --seed gives the same requests.

--fault sets a fault on a stand-in at a time, AT NAME ADDRESS JSON:

   --fault '10s bad-version 127.0.0.1:9001 {"kind":"bad","model":"m","version":"v2"}'

With --ledger the exported ledger is read --settle after the load has ended,
and bills are compared with answers and runs. The file may be a named pipe; the
command then waits until the export is written to it.

The exit status is 1 if a promise is broken.`

// brokenError says that the audit found broken promises.
type brokenError struct{ broken int }

// Error implements error.
func (e *brokenError) Error() string {
	return fmt.Sprintf("the audit found %d cases of broken promises; see the table above", e.broken)
}

// loadCommand returns the subcommand load.
func loadCommand() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send load to a running system and audit it from outside",
		Description: loadUsage,
		// Faults contain commas.
		SliceFlagSeparator: ";",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "address of an entry host", Sources: cli.EnvVars("FOXTAILWALL_LOAD_ENTRY")},
			&cli.StringFlag{Name: "config", Usage: "file with the configuration in force", Sources: cli.EnvVars("FOXTAILWALL_LOAD_CONFIG")},
			&cli.StringFlag{Name: "keys", Usage: "file with the API keys", Sources: cli.EnvVars("FOXTAILWALL_LOAD_KEYS")},
			&cli.StringFlag{Name: "ca", Usage: "file with the certificates that entries are checked by; without it plain HTTP is used", Sources: cli.EnvVars("FOXTAILWALL_LOAD_CA")},
			&cli.StringFlag{Name: "mix", Value: "cooperative", Usage: "cooperative or festival", Sources: cli.EnvVars("FOXTAILWALL_LOAD_MIX")},
			&cli.StringFlag{Name: "model", Value: loader.Auto, Usage: "model name that callers send", Sources: cli.EnvVars("FOXTAILWALL_LOAD_MODEL")},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "mean arrivals in a second", Sources: cli.EnvVars("FOXTAILWALL_LOAD_RATE")},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "time of the arrivals", Sources: cli.EnvVars("FOXTAILWALL_LOAD_DURATION")},
			&cli.IntFlag{Name: "count", Usage: "bound on the number of requests, 0 for none", Sources: cli.EnvVars("FOXTAILWALL_LOAD_COUNT")},
			&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "time a caller waits", Sources: cli.EnvVars("FOXTAILWALL_LOAD_TIMEOUT")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the requests", Sources: cli.EnvVars("FOXTAILWALL_LOAD_SEED")},
			&cli.StringSliceFlag{Name: "fault", Usage: "AT NAME ADDRESS JSON"},
			&cli.StringFlag{Name: "ledger", Usage: "file with the exported ledger", Sources: cli.EnvVars("FOXTAILWALL_LOAD_LEDGER")},
			&cli.DurationFlag{Name: "settle", Value: 7 * time.Second, Usage: "time from the end of the load to the reading of the ledger", Sources: cli.EnvVars("FOXTAILWALL_LOAD_SETTLE")},
			&cli.BoolFlag{Name: "json", Usage: "print the result as JSON", Sources: cli.EnvVars("FOXTAILWALL_LOAD_JSON")},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	conf, err := loadConfig(c)
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
	rep := l.Report()
	if c.Bool("json") {
		e := json.NewEncoder(c.Root().Writer)
		e.SetIndent("", "  ")
		if err := e.Encode(rep); err != nil {
			return errors.Wrap(err, "print the result")
		}
	} else {
		rep.Print(c.Root().Writer)
	}
	if n := rep.Verdict.Broken(); n > 0 {
		return &brokenError{n}
	}
	return nil
}

// loadConfig checks the settings and reads the files they name.
func loadConfig(c *cli.Command) (loader.Config, error) {
	mix, ok := loader.MixByName(c.String("mix"))
	if !ok {
		return loader.Config{}, validator.Wrong("mix", c.String("mix"), "cooperative, festival")
	}
	if c.Float("rate") <= 0 {
		return loader.Config{}, validator.Wrong("rate", fmt.Sprint(c.Float("rate")), "a number above 0")
	}
	conf := loader.Config{
		Seed: c.Uint64("seed"), Mix: mix, Model: c.String("model"), Rate: c.Float("rate"),
		Duration: c.Duration("duration"), Count: c.Int("count"), Timeout: c.Duration("timeout"),
		Prices: make(map[declarer.VersionRef]declarer.Price),
	}
	var err error
	if conf.Entries, err = addressSettings("entry", c.StringSlice("entry")); err != nil {
		return conf, err
	}
	if conf.TLS, err = loadTLS(c.String("ca")); err != nil {
		return conf, err
	}
	if conf.Faults, err = faultSettings(c.StringSlice("fault")); err != nil {
		return conf, err
	}
	return conf, loadDeclared(c, &conf)
}

// loadDeclared takes from the declared configuration what the load needs.
func loadDeclared(c *cli.Command, conf *loader.Config) error {
	b, err := os.ReadFile(c.String("config"))
	if err != nil {
		return validator.Wrong("config", c.String("config"), "a readable file with the configuration")
	}
	var declared declarer.Config
	if err := yaml.Unmarshal(b, &declared); err != nil {
		return errors.Wrapf(err, "read --config %s", c.String("config"))
	}
	keys, err := readKeys(c.String("keys"))
	if err != nil {
		return err
	}
	conf.Workspaces = loader.FromConfig(declared, keys)
	if len(conf.Workspaces) == 0 {
		return validator.Wrong("keys", c.String("keys"), "a file with the key of at least one member of the configuration")
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

// readKeys reads lines of the form WORKSPACE/MEMBER KEY.
func readKeys(path string) (map[string]string, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, validator.Wrong("keys", path, "a readable file with lines WORKSPACE/MEMBER KEY")
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

func readLedger(path string, a *loader.Audit) error {
	f, err := os.Open(path)
	if err != nil {
		return validator.Wrong("ledger", path, "a readable file or named pipe with the exported ledger")
	}
	defer f.Close()
	records, err := loader.ReadLedger(f)
	if err != nil {
		return err
	}
	a.Ledger(records)
	return nil
}

func loadTLS(path string) (*tls.Config, error) {
	if path == "" {
		return nil, nil
	}
	pool, err := certificatesSetting("ca", path)
	if err != nil {
		return nil, err
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// faultSettings parses values of the form AT NAME ADDRESS JSON.
func faultSettings(values []string) ([]loader.TimedFault, error) {
	const parts = 4
	var out []loader.TimedFault
	for _, s := range values {
		bad := validator.Wrong("fault", s, `AT NAME ADDRESS JSON, for example 10s leave 127.0.0.1:9001 {"kind":"leave"}`)
		f := strings.SplitN(s, " ", parts)
		if len(f) != parts {
			return nil, bad
		}
		at, err := time.ParseDuration(f[0])
		if err != nil {
			return nil, bad
		}
		target, err := netip.ParseAddrPort(f[2])
		if err != nil {
			return nil, bad
		}
		var fault emulator.Fault
		if json.Unmarshal([]byte(f[3]), &fault) != nil {
			return nil, bad
		}
		out = append(out, loader.TimedFault{Name: f[1], At: at, Target: target, Fault: fault})
	}
	return out, nil
}
