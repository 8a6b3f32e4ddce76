package demonstrator

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailwall/controller"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
	"foxtailwall/timekeeper"
)

// Times of the events as fractions of the duration.
const (
	atRace       = 0.05
	atRollout    = 0.12
	atBadVersion = 0.25
	atWithdraw   = 0.40
	atLeave      = 0.48
	atPartition  = 0.55
	atBookings   = 0.58
	atHeal       = 0.72
	atReplace    = 0.80
)

// partitionBookings is the number of bookings sent to the partitioned zone.
const partitionBookings = 8

type (
	// offices holds the declarations of the two offices and the state of
	// their configuration.
	offices struct {
		north, south *declarer.Builder

		mu         sync.Mutex
		version    uint64
		rollout    bool
		withdrawn  bool
		races, won int
	}

	// outage is a period in which a host or the hosts of a zone need not have
	// the newest configuration, because they are stopped or cut off.
	outage struct {
		mu    sync.Mutex
		zone  string
		host  string
		until time.Time
	}

	// NotAcceptedError reports that the control group did not accept a change.
	NotAcceptedError struct {
		State  controller.ApplyState
		Faults []string
	}
)

// Error implements error.
func (e *NotAcceptedError) Error() string {
	return "configuration change not accepted: " + string(e.State)
}

// config returns the joined configuration of both offices.
func (o *offices) config() declarer.Config {
	o.mu.Lock()
	defer o.mu.Unlock()
	conf := declarer.Join(o.north, o.south)
	why := declarer.Intent{Owner: "north", Why: "better drafts"}
	if o.rollout && !o.withdrawn {
		conf.Rollouts = []declarer.Rollout{{
			Model: cheapModel, Version: secondVersion, Intent: why,
			Stages: []declarer.Stage{{Share: 0.2, Soak: time.Second, Budget: 200}, {Share: 0.5, Soak: time.Hour, Budget: 2000}},
			Guard:  declarer.Guard{MinQuality: 0.7, MaxErrors: 0.05},
		}}
	}
	if o.withdrawn {
		conf.Withdrawals = []declarer.Withdrawal{{
			Model: cheapModel, Version: secondVersion, Intent: declarer.Intent{Owner: "north", Why: "turned bad"},
		}}
	}
	return conf
}

// apply submits a configuration based on the newest accepted version. It returns
// the new version, or a *NotAcceptedError.
func (d *demo) apply(ctx context.Context, office string, conf declarer.Config) (uint64, error) {
	d.offices.mu.Lock()
	base := d.offices.version
	d.offices.mu.Unlock()
	change, err := controller.NewApply(office, "", base, conf)
	if err != nil {
		return 0, err
	}
	got, err := d.op.Apply(ctx, change)
	if err != nil {
		return 0, err
	}
	if got.State != controller.Accepted {
		return 0, &NotAcceptedError{State: got.State, Faults: got.Faults}
	}
	d.offices.mu.Lock()
	d.offices.version = got.Version
	d.offices.mu.Unlock()
	d.audit.AddAcceptedConfig(got.Version, d.clock.Now())
	return got.Version, nil
}

func (d *demo) events() []loader.Event {
	at := func(share float64) time.Duration { return time.Duration(share * float64(d.conf.Duration)) }
	return []loader.Event{
		{Name: "race of two offices", At: at(atRace), Do: d.raceOffices},
		{Name: "rollout", At: at(atRollout), Do: d.startRollout},
		{Name: "bad version", At: at(atBadVersion), Do: d.degradeVersion},
		{Name: "withdrawal", At: at(atWithdraw), Do: d.withdrawVersion},
		{Name: "leaving upstream", At: at(atLeave), Do: d.drainUpstream},
		{Name: "zone cut off", At: at(atPartition), Do: d.partitionZone},
		{Name: "bookings in the cut-off zone", At: at(atBookings), Do: d.sendPartitionBookings},
		{Name: "zone healed", At: at(atHeal), Do: d.healZone},
		{Name: "host replaced", At: at(atReplace), Do: d.replaceHost},
	}
}

// raceOffices submits a change from each office concurrently, both based on the
// same version; each change alone would be accepted.
func (d *demo) raceOffices(ctx context.Context) error {
	d.offices.mu.Lock()
	base := d.offices.version
	d.offices.mu.Unlock()
	conf := d.offices.config()
	type outcome struct {
		got *controller.ApplyResult
		err error
	}
	results := make(chan outcome, 2)
	for i, office := range []string{"north", "south"} {
		changed := conf
		changed.Retention.Pins = time.Duration(i+1) * time.Hour
		change, err := controller.NewApply(office, "", base, changed)
		if err != nil {
			return err
		}
		op := d.cluster.operator()
		go func() {
			got, err := op.Apply(ctx, change)
			results <- outcome{got, err}
		}()
	}
	won := 0
	for range 2 {
		r := <-results
		switch {
		case r.err != nil:
			return r.err
		case r.got.State == controller.Accepted:
			won++
			d.offices.mu.Lock()
			d.offices.version = r.got.Version
			d.offices.mu.Unlock()
			d.audit.AddAcceptedConfig(r.got.Version, d.clock.Now())
		}
	}
	d.offices.mu.Lock()
	defer d.offices.mu.Unlock()
	d.offices.races++
	if won == 1 {
		d.offices.won++
	}
	d.logProgress("two offices raced on configuration %d, %d won", base, won)
	return nil
}

func (d *demo) startRollout(ctx context.Context) error {
	d.offices.mu.Lock()
	d.offices.rollout = true
	d.offices.mu.Unlock()
	v, err := d.apply(ctx, "north", d.offices.config())
	d.logProgress("rollout of %s/%s begins with configuration %d", cheapModel, secondVersion, v)
	return err
}

func (d *demo) degradeVersion(context.Context) error {
	d.logProgress("%s/%s turns bad", cheapModel, secondVersion)
	var err error
	for _, e := range d.fleet.engines {
		if e.models[0].Model != cheapModel {
			continue
		}
		err = errors.CombineErrors(err, e.standin.SetFault(emulator.Fault{
			Kind: emulator.FaultBad, Model: cheapModel, Version: secondVersion, Quality: 0.1,
		}))
	}
	return err
}

// withdrawVersion withdraws the bad version. Once the withdrawal is in force on
// every host, it is recorded in the audit.
func (d *demo) withdrawVersion(ctx context.Context) error {
	d.offices.mu.Lock()
	d.offices.withdrawn = true
	d.offices.mu.Unlock()
	v, err := d.apply(ctx, "north", d.offices.config())
	if err != nil {
		return err
	}
	ref := declarer.VersionRef{Model: cheapModel, Version: secondVersion}
	d.logProgress("withdrawal of %s accepted as configuration %d", ref, v)
	if err := d.awaitEverywhere(ctx, v); err != nil {
		return err
	}
	d.audit.AddWithdrawal(ref, d.clock.Now())
	d.logProgress("withdrawal of %s in force on every host", ref)
	return nil
}

// awaitEverywhere waits until every host has the version or a newer one in force.
func (d *demo) awaitEverywhere(ctx context.Context, version uint64) error {
	for _, n := range d.cluster.hosts {
		for {
			if v, ok := d.cluster.inForce(ctx, n); ok && v >= version {
				break
			}
			if err := timekeeper.Sleep(ctx, d.clock, pollInterval); err != nil {
				return errors.Wrapf(err, "wait for configuration %d on host %s", version, n.set.Name)
			}
		}
	}
	return nil
}

// configBound is the time within which a new configuration must be in force on
// every connected host.
const configBound = 4 * time.Second

func (d *demo) drainUpstream(context.Context) error {
	e := d.fleet.engines[0]
	d.logProgress("upstream %s leaves", e.name)
	d.audit.AddLeave()
	d.fleet.platform.standin.Set(emulator.Host{Address: e.addr, State: emulator.HostLeaving})
	return e.standin.SetFault(emulator.Fault{Kind: emulator.FaultLeave})
}

func (d *demo) partitionZone(context.Context) error {
	d.logProgress("zone %s is cut off", partitionedZone)
	d.outage.set(partitionedZone, "", d.clock.Now().Add(d.conf.Duration))
	d.network.setPartitioned(partitionedZone, true)
	return nil
}

// sendPartitionBookings sends bookings to the hosts of the partitioned zone.
// They must be refused as not run, while the zone keeps serving other requests.
func (d *demo) sendPartitionBookings(ctx context.Context) error {
	conf := d.offices.config()
	var entries []netip.AddrPort
	for _, n := range d.cluster.hosts {
		if n.set.Zone == partitionedZone {
			entries = append(entries, n.set.Callers)
		}
	}
	mix := loader.Cooperative()
	mix.Classes = slices.DeleteFunc(mix.Classes, func(c loader.Class) bool { return c.Method != http.MethodPost })
	l := loader.New(loader.Config{
		Clock: d.clock, Seed: d.conf.Seed + 1, Entries: entries, Mix: mix, Workspaces: loader.WorkspacesFromConfig(conf, apiKeys(conf)),
		Rate: partitionBookings, Duration: time.Second, Count: partitionBookings, Timeout: d.conf.Duration, Audit: d.audit,
	})
	if err := l.Run(ctx); err != nil {
		return err
	}
	d.logProgress("%d bookings were sent to zone %s", partitionBookings, partitionedZone)
	return nil
}

func (d *demo) healZone(context.Context) error {
	d.logProgress("zone %s is back", partitionedZone)
	d.network.setPartitioned(partitionedZone, false)
	// Hosts get time to detect and replace silent connections.
	d.outage.set(partitionedZone, "", d.clock.Now().Add(configBound))
	return nil
}

// replaceHost restarts one host under load.
func (d *demo) replaceHost(ctx context.Context) error {
	const index = 1 // The second host of the first zone, which has no disk.
	n := d.cluster.hosts[index]
	d.logProgress("host %s is replaced", n.set.Name)
	from := d.clock.Now()
	if err := d.cluster.stop(n); err != nil {
		return err
	}
	d.audit.AddShutdown(index, from, d.clock.Now())
	if err := timekeeper.Sleep(ctx, d.clock, pollInterval); err != nil {
		return err
	}
	return d.cluster.start(context.WithoutCancel(ctx), n)
}

// isExempt reports whether an outage covers the host at that time.
func (d *demo) isExempt(n *demoHost, at time.Time) bool {
	d.outage.mu.Lock()
	defer d.outage.mu.Unlock()
	return at.Before(d.outage.until) && (n.set.Zone == d.outage.zone || n.set.Name == d.outage.host)
}

func (o *outage) set(zone, host string, until time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zone, o.host, o.until = zone, host, until
}
