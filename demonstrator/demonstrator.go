// Package demonstrator runs the main job of the system in one process: three
// availability zones with hosts and stand-ins, a mixed load, an office that
// applies configurations, a version that turns bad, an upstream that leaves, a
// zone that is cut off and healed, and a host that is replaced. It then checks
// every promise of docs/design.md, section 2.
//
// # Usage
//
//	res, err := demonstrator.Run(ctx, demonstrator.Config{Duration: 20 * time.Second, Seed: 1})
//	if err != nil {
//		return err
//	}
//	res.Print(os.Stdout)
//	if res.Verdict.Broken() > 0 {
//		os.Exit(1)
//	}
//
// The counts come from what callers received, what the stand-ins ran and the
// exported ledger, never from the router's own counters.
package demonstrator

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/biller"
	"foxtailwall/declarer"
	"foxtailwall/loader"
	"foxtailwall/messenger"
	"foxtailwall/timekeeper"
	"foxtailwall/validator"
)

const (
	// DefaultDuration is the time of load, without start and end.
	DefaultDuration = 20 * time.Second
	// MinDuration leaves every event enough time for its effect.
	MinDuration = 8 * time.Second
	// defaultRate is the number of arrivals in a second.
	defaultRate = 40
	// startLimit and endLimit bound the start and the settling of bills.
	startLimit = 20 * time.Second
	endLimit   = 20 * time.Second
	// pollInterval is the time between two looks at a host.
	pollInterval = 50 * time.Millisecond
	// cutZone is the zone that is cut off.
	cutZone = "c"
)

type (
	// Config describes a run. Zero fields take defaults.
	Config struct {
		Clock    timekeeper.Clock
		Duration time.Duration
		Seed     uint64
		// Rate is the mean number of arrivals in a second.
		Rate float64
		// Progress gets a line for each event.
		Progress io.Writer
		Log      zerolog.Logger
	}

	// Result is the outcome of a run.
	Result struct {
		Seed    uint64         `json:"seed"`
		Verdict loader.Verdict `json:"verdict"`
		Report  loader.Report  `json:"report"`
		// Races counts the races of two offices on one base, and RacesWon
		// those that exactly one won.
		Races    int `json:"races"`
		RacesWon int `json:"racesWon"`
		// Failed lists the events that could not be carried out.
		Failed []string `json:"failed,omitempty"`
	}

	// demo is a run under way.
	demo struct {
		conf    Config
		clock   timekeeper.Clock
		network *network
		fleet   *fleet
		cluster *cluster
		audit   *loader.Audit
		op      *messenger.Operator
		load    *loader.Loader
		offices offices
		outage  outage
		start   time.Time
	}
)

// Run runs the demo. Its error means that the run could not be carried out;
// broken promises are in the result.
func Run(ctx context.Context, conf Config) (*Result, error) {
	if err := conf.complete(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "foxtailwall-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "create the data folder of the demo")
	}
	defer func() { _ = os.RemoveAll(folder) }() // What is left lies in the temporary folder.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{conf: conf, clock: conf.Clock, network: newNetwork(), audit: loader.NewAudit(loader.AuditConfig{})}
	if err := d.build(ctx, folder); err != nil {
		return nil, err
	}
	res, err := d.run(ctx)
	cancel()
	d.fleet.close()
	return res, err
}

func (c *Config) complete() error {
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Duration < MinDuration {
		return validator.Wrong("duration", c.Duration.String(), "at least "+MinDuration.String())
	}
	if c.Rate <= 0 {
		c.Rate = defaultRate
	}
	if c.Seed == 0 {
		c.Seed = 1
	}
	if c.Progress == nil {
		c.Progress = io.Discard
	}
	return nil
}

func (d *demo) build(ctx context.Context, folder string) error {
	var err error
	d.fleet, err = startFleet(ctx, d.clock, d.conf.Seed, []string{"a", "b", cutZone}, d.network)
	if err != nil {
		return err
	}
	d.cluster, err = newCluster(d.clock, d.network, d.fleet, folder, d.conf.Log)
	if err != nil {
		return err
	}
	d.op = d.cluster.operator()
	north, south := d.fleet.declare()
	d.offices = offices{north: north, south: south}
	return nil
}

func (d *demo) run(ctx context.Context) (*Result, error) {
	d.start = d.clock.Now()
	d.note("start %d hosts in 3 zones and %d stand-ins", len(d.cluster.hosts), len(d.fleet.engines)+len(d.fleet.services)+2)
	for _, n := range d.cluster.hosts {
		if err := d.cluster.start(context.WithoutCancel(ctx), n); err != nil {
			return nil, err
		}
	}
	res, err := d.serve(ctx)
	serr := d.cluster.stopAll()
	if err != nil {
		return nil, err
	}
	return res, serr
}

// serve puts the load on the running hosts and audits it.
func (d *demo) serve(ctx context.Context) (*Result, error) {
	if err := d.begin(ctx); err != nil {
		return nil, err
	}
	conf := d.offices.config()
	d.load = loader.New(loader.Config{
		Clock: d.clock, Seed: d.conf.Seed, Entries: d.cluster.entries(), Mix: loader.Cooperative(),
		Workspaces: loader.FromConfig(conf, secrets(conf)), Rate: d.conf.Rate, Duration: d.conf.Duration,
		Timeout: d.conf.Duration, Prices: prices(conf), Audit: d.audit, Events: d.events(),
	})
	d.note("load of %g requests/s for %s", d.conf.Rate, d.conf.Duration)
	watched, stopWatch := context.WithCancel(ctx)
	watch := pool.New()
	watch.Go(func() { d.watchConfig(watched) })
	err := d.load.Run(ctx)
	stopWatch()
	watch.Wait()
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	return d.end(ctx)
}

// begin applies the first configuration and waits until every host has it.
func (d *demo) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	version, err := d.apply(ctx, "north", d.offices.config())
	if err != nil {
		return errors.Wrap(err, "apply the first configuration")
	}
	d.note("configuration %d accepted", version)
	return d.awaitEverywhere(ctx, version)
}

// end waits until the ledger is complete, then collects and judges.
func (d *demo) end(ctx context.Context) (*Result, error) {
	d.note("load ended; settle bills")
	for _, e := range d.fleet.engines {
		d.audit.Engine(e.standin.Ran(), e.standin.LateWork())
	}
	d.audit.Service(d.fleet.bookings.Runs(), nil)
	for _, s := range d.fleet.services {
		d.audit.Service(nil, s.standin.LateWork())
	}
	if err := d.settle(ctx); err != nil {
		return nil, err
	}
	return &Result{
		Seed: d.conf.Seed, Verdict: d.audit.Verdict(), Report: d.load.Report(),
		Races: d.offices.races, RacesWon: d.offices.won, Failed: d.load.Failed(),
	}, nil
}

// settle waits until the ledger has stopped growing for longer than a witness
// waits for an owner, and adds it to the audit.
func (d *demo) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, endLimit)
	defer cancel()
	const quiet = 3 * biller.WitnessDelay
	count, since := -1, d.clock.Now()
	for {
		out, err := d.op.Export(ctx)
		if err != nil {
			return errors.Wrap(err, "export the ledger")
		}
		if len(out.Records) != count {
			count, since = len(out.Records), d.clock.Now()
		}
		if d.clock.Since(since) > quiet {
			d.audit.Ledger(out.Records)
			return nil
		}
		if err := timekeeper.Sleep(ctx, d.clock, pollInterval); err != nil {
			return errors.Wrap(err, "wait for the ledger")
		}
	}
}

// watchConfig observes the version in force on every host that is not cut off
// or stopped.
func (d *demo) watchConfig(ctx context.Context) {
	for {
		for _, n := range d.cluster.hosts {
			at := d.clock.Now()
			if v, ok := d.cluster.inForce(ctx, n); ok && !d.excused(n, at) {
				d.audit.InForce(n.set.Name, v, at)
			}
		}
		if timekeeper.Sleep(ctx, d.clock, pollInterval) != nil {
			return
		}
	}
}

func (d *demo) note(format string, args ...any) {
	fmt.Fprintf(d.conf.Progress, "%6.1fs  %s\n", d.clock.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// Print writes the load's figures and the table of promises.
func (r *Result) Print(w io.Writer) {
	r.Report.Print(w)
	fmt.Fprintf(w, "\nraces of two offices: %d, with exactly one winner: %d\n", r.Races, r.RacesWon)
}

// Broken returns the number of promises that did not hold, races with no or
// two winners and events that failed included.
func (r *Result) Broken() int {
	return r.Verdict.Broken() + r.Races - r.RacesWon + len(r.Failed)
}

func prices(c declarer.Config) map[declarer.VersionRef]declarer.Price {
	out := make(map[declarer.VersionRef]declarer.Price)
	for _, m := range c.Models {
		for _, v := range m.Versions {
			out[declarer.VersionRef{Model: m.Name, Version: v.Name}] = v.Price
		}
	}
	return out
}
