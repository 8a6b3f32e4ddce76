// Package demonstrator runs a demo of the whole system in one process: hosts and
// emulated upstreams in three availability zones under a mixed load. During the
// load, two offices (operators) change the configuration, a version degrades and
// is withdrawn, an upstream drains, a zone is partitioned and reconnected, and a
// host is restarted. The run then checks every promise of docs/design.md,
// section 2.
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
// The counts come from the responses that callers received, the runs that the
// stand-ins recorded and the exported ledger, never from the router's counters.
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
	// DefaultDuration is the duration of the load, without startup and shutdown.
	DefaultDuration = 20 * time.Second
	// MinDuration is the shortest load in which every event takes effect.
	MinDuration = 8 * time.Second
	// defaultRate is the mean number of requests per second.
	defaultRate = 40
	// startTimeout bounds the wait for the first configuration, settleTimeout
	// the wait for the last bills.
	startTimeout  = 20 * time.Second
	settleTimeout = 20 * time.Second
	// pollInterval is the time between two polls of a host or the ledger.
	pollInterval = 50 * time.Millisecond
	// partitionedZone is the zone that is cut off from the others.
	partitionedZone = "c"
)

type (
	// Config configures a run. Zero fields take defaults.
	Config struct {
		Clock    timekeeper.Clock
		Duration time.Duration
		Seed     uint64
		// Rate is the mean number of requests per second.
		Rate float64
		// Progress receives a line for each event; nil discards them.
		Progress io.Writer
		Log      zerolog.Logger
	}

	// Result is the outcome of a run.
	Result struct {
		Seed    uint64         `json:"seed"`
		Verdict loader.Verdict `json:"verdict"`
		Report  loader.Report  `json:"report"`
		// Races counts the concurrent changes of two offices to the same
		// configuration version, and RacesWon those of which exactly one
		// was accepted.
		Races    int `json:"races"`
		RacesWon int `json:"racesWon"`
		// Failed lists the events that returned an error.
		Failed []string `json:"failed,omitempty"`
	}

	// demo is the state of one run.
	demo struct {
		conf    Config
		clock   timekeeper.Clock
		network *network
		fleet   *fleet
		cluster *cluster
		audit   *loader.Audit
		op      *messenger.OperatorClient
		load    *loader.Loader
		offices offices
		outage  outage
		start   time.Time
	}
)

// Run runs the demo. It returns an error if the run could not be completed;
// broken promises are reported in the result.
func Run(ctx context.Context, conf Config) (*Result, error) {
	if err := conf.setDefaults(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "foxtailwall-demo-")
	if err != nil {
		return nil, errors.Wrap(err, "create the data folder of the demo")
	}
	defer func() { _ = os.RemoveAll(folder) }() // Leftover files are in the temporary folder.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{conf: conf, clock: conf.Clock, network: newNetwork(), audit: loader.NewAudit(loader.AuditConfig{})}
	if err := d.setUp(ctx, folder); err != nil {
		return nil, err
	}
	res, err := d.run(ctx)
	cancel()
	d.fleet.close()
	return res, err
}

// setDefaults sets zero fields and rejects a duration below MinDuration.
func (c *Config) setDefaults() error {
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Duration < MinDuration {
		return validator.NewSettingError("duration", c.Duration.String(), "at least "+MinDuration.String())
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

func (d *demo) setUp(ctx context.Context, folder string) error {
	var err error
	d.fleet, err = startFleet(ctx, d.clock, d.conf.Seed, []string{"a", "b", partitionedZone}, d.network)
	if err != nil {
		return err
	}
	d.cluster, err = newCluster(d.clock, d.network, d.fleet, folder, d.conf.Log)
	if err != nil {
		return err
	}
	d.op = d.cluster.operator()
	north, south := d.fleet.declarations()
	d.offices = offices{north: north, south: south}
	return nil
}

func (d *demo) run(ctx context.Context) (*Result, error) {
	d.start = d.clock.Now()
	d.logProgress("start %d hosts in 3 zones and %d stand-ins", len(d.cluster.hosts), len(d.fleet.engines)+len(d.fleet.services)+2)
	for _, n := range d.cluster.hosts {
		if err := d.cluster.start(context.WithoutCancel(ctx), n); err != nil {
			return nil, err
		}
	}
	res, err := d.runLoad(ctx)
	stopErr := d.cluster.stopAll()
	if err != nil {
		return nil, err
	}
	return res, stopErr
}

// runLoad sends the load to the running hosts and collects the result.
func (d *demo) runLoad(ctx context.Context) (*Result, error) {
	if err := d.applyFirstConfig(ctx); err != nil {
		return nil, err
	}
	conf := d.offices.config()
	d.load = loader.New(loader.Config{
		Clock: d.clock, Seed: d.conf.Seed, Entries: d.cluster.entries(), Mix: loader.Cooperative(),
		Workspaces: loader.WorkspacesFromConfig(conf, apiKeys(conf)), Rate: d.conf.Rate, Duration: d.conf.Duration,
		Timeout: d.conf.Duration, Prices: versionPrices(conf), Audit: d.audit, Events: d.events(),
	})
	d.logProgress("load of %g requests/s for %s", d.conf.Rate, d.conf.Duration)
	watched, stopWatch := context.WithCancel(ctx)
	watch := pool.New()
	watch.Go(func() { d.watchConfig(watched) })
	err := d.load.Run(ctx)
	stopWatch()
	watch.Wait()
	if err != nil {
		return nil, errors.Wrap(err, "load")
	}
	return d.collectResult(ctx)
}

// applyFirstConfig applies the first configuration and waits until it is in
// force on every host.
func (d *demo) applyFirstConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	version, err := d.apply(ctx, "north", d.offices.config())
	if err != nil {
		return errors.Wrap(err, "apply the first configuration")
	}
	d.logProgress("configuration %d accepted", version)
	return d.awaitEverywhere(ctx, version)
}

// collectResult adds the runs of the stand-ins and the complete ledger to the
// audit and returns its verdict.
func (d *demo) collectResult(ctx context.Context) (*Result, error) {
	d.logProgress("load ended; settle bills")
	for _, e := range d.fleet.engines {
		d.audit.AddEngineRuns(e.standin.Ran(), e.standin.RefusedArrivals())
	}
	d.audit.AddServiceRuns(d.fleet.bookings.Runs(), nil)
	for _, s := range d.fleet.services {
		d.audit.AddServiceRuns(nil, s.standin.RefusedArrivals())
	}
	if err := d.awaitLedger(ctx); err != nil {
		return nil, err
	}
	return &Result{
		Seed: d.conf.Seed, Verdict: d.audit.Verdict(), Report: d.load.Report(),
		Races: d.offices.races, RacesWon: d.offices.won, Failed: d.load.Failures(),
	}, nil
}

// awaitLedger waits until the ledger has stopped growing, and adds it to the
// audit. The quiet period exceeds the time that a witness waits for an owner.
func (d *demo) awaitLedger(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	const quietPeriod = 3 * biller.WitnessDelay
	count, since := -1, d.clock.Now()
	for {
		out, err := d.op.Export(ctx)
		if err != nil {
			return errors.Wrap(err, "export the ledger")
		}
		if len(out.Records) != count {
			count, since = len(out.Records), d.clock.Now()
		}
		if d.clock.Since(since) > quietPeriod {
			d.audit.AddLedger(out.Records)
			return nil
		}
		if err := timekeeper.Sleep(ctx, d.clock, pollInterval); err != nil {
			return errors.Wrap(err, "wait for the ledger")
		}
	}
}

// watchConfig polls the configuration version in force on every host and audits
// it, except on hosts that are cut off or restarting.
func (d *demo) watchConfig(ctx context.Context) {
	for {
		for _, n := range d.cluster.hosts {
			at := d.clock.Now()
			if v, ok := d.cluster.inForce(ctx, n); ok && !d.isExempt(n, at) {
				d.audit.AddConfigObservation(n.set.Name, v, at)
			}
		}
		if timekeeper.Sleep(ctx, d.clock, pollInterval) != nil {
			return
		}
	}
}

func (d *demo) logProgress(format string, args ...any) {
	fmt.Fprintf(d.conf.Progress, "%6.1fs  %s\n", d.clock.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

// Print writes the report of the load and the outcome of the races.
func (r *Result) Print(w io.Writer) {
	r.Report.Print(w)
	fmt.Fprintf(w, "\nraces of two offices: %d, with exactly one winner: %d\n", r.Races, r.RacesWon)
}

// Broken returns the number of broken promises, of races without exactly one
// winner, and of failed events.
func (r *Result) Broken() int {
	return r.Verdict.Broken() + r.Races - r.RacesWon + len(r.Failed)
}

func versionPrices(c declarer.Config) map[declarer.VersionRef]declarer.Price {
	out := make(map[declarer.VersionRef]declarer.Price)
	for _, m := range c.Models {
		for _, v := range m.Versions {
			out[declarer.VersionRef{Model: m.Name, Version: v.Name}] = v.Price
		}
	}
	return out
}
