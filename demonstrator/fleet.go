package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/timekeeper"
)

const (
	enginesPerZone = 3
	serviceName    = "shop"
	cheapModel     = "draft"
	strongModel    = "proof"
	firstVersion   = "v1"
	secondVersion  = "v2"
	// cheapQuality, secondQuality and strongQuality are the fractions of
	// answers that pass, for the two cheap versions and the strong model.
	cheapQuality  = 0.80
	secondQuality = 0.84
	strongQuality = 0.96
	// platformLag is the age of the platform's host list, loadLag that of the
	// engines' load reports.
	platformLag = time.Second
	loadLag     = 200 * time.Millisecond
)

type (
	// fleet runs the stand-ins of all zones.
	fleet struct {
		clock    timekeeper.Clock
		seed     uint64
		zones    []string
		network  *network
		ctx      context.Context
		wg       conc.WaitGroup
		bookings emulator.BookingLog
		engines  []*replica[*emulator.Engine]
		services []*replica[*emulator.Service]
		rater    *replica[*emulator.Rater]
		platform *replica[*emulator.Platform]
	}

	// replica is one stand-in that is served on addr.
	replica[T emulator.Handler] struct {
		name, zone string
		addr       netip.AddrPort
		standin    T
		models     []declarer.VersionRef
	}
)

// startFleet serves the stand-ins on free loopback ports until ctx ends.
func startFleet(ctx context.Context, clock timekeeper.Clock, seed uint64, zones []string, n *network) (*fleet, error) {
	f := &fleet{clock: clock, seed: seed, zones: zones, network: n, ctx: ctx}
	var err error
	f.rater, err = serveReplica(f, "rater", "", emulator.NewRater(emulator.RaterConfig{Clock: clock, Seed: seed}))
	if err != nil {
		return nil, err
	}
	f.platform, err = serveReplica(f, "platform", "", emulator.NewPlatform(emulator.PlatformConfig{Clock: clock, Lag: platformLag}))
	if err != nil {
		return nil, err
	}
	for _, z := range zones {
		if err := f.startZone(z); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// startZone starts the engines and the service of one zone; the last engine
// serves the strong model.
func (f *fleet) startZone(zone string) error {
	for i := range enginesPerZone {
		versions := []emulator.Version{
			{Model: cheapModel, Version: firstVersion, Quality: cheapQuality},
			{Model: cheapModel, Version: secondVersion, Quality: secondQuality},
		}
		if i == enginesPerZone-1 {
			versions = []emulator.Version{{Model: strongModel, Version: firstVersion, Quality: strongQuality}}
		}
		name := fmt.Sprintf("engine-%s-%d", zone, i+1)
		r, err := serveReplica(f, name, zone, emulator.NewEngine(emulator.EngineConfig{
			Name: name, Clock: f.clock, Seed: f.seed, Versions: versions, LoadLag: loadLag,
		}))
		if err != nil {
			return err
		}
		for _, v := range versions {
			r.models = append(r.models, declarer.VersionRef{Model: v.Model, Version: v.Version})
		}
		f.engines = append(f.engines, r)
	}
	name := "shop-" + zone
	r, err := serveReplica(f, name, zone, emulator.NewService(emulator.ServiceConfig{Name: name, Clock: f.clock, BookingLog: &f.bookings}))
	if err != nil {
		return err
	}
	f.services = append(f.services, r)
	return nil
}

// serveReplica serves one stand-in on a free port.
func serveReplica[T emulator.Handler](f *fleet, name, zone string, standin T) (*replica[T], error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrapf(err, "listen for stand-in %s", name)
	}
	addr, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, errors.Wrapf(err, "parse the address of stand-in %s", name)
	}
	f.network.assignZone(addr, zone)
	f.wg.Go(func() {
		// Serve returns when f.ctx ends.
		_ = emulator.Serve(f.ctx, l, standin, nil)
	})
	return &replica[T]{name: name, zone: zone, addr: addr, standin: standin}, nil
}

// close stops the engines and waits for the servers. The context of the fleet
// must have ended.
func (f *fleet) close() {
	for _, e := range f.engines {
		e.standin.Close()
	}
	f.wg.Wait()
}

// declarations returns the declarations of the two offices.
func (f *fleet) declarations() (north, south *declarer.Builder) {
	north, south = declarer.New("north"), declarer.New("south")
	north.Model(cheapModel, "drafts and lettering at low cost", firstVersion).
		Version(firstVersion, declarer.Price{InputNanos: 60, OutputNanos: 240}, cheapQuality).
		Version(secondVersion, declarer.Price{InputNanos: 60, OutputNanos: 240}, secondQuality)
	north.Model(strongModel, "full proofs", firstVersion).
		Version(firstVersion, declarer.Price{InputNanos: 900, OutputNanos: 3600}, strongQuality)
	north.Service(serviceName, "bookings and orders").
		Once("POST", "/bookings", 5*time.Second).
		Idempotent("GET", "/bookings", 2*time.Second).
		Idempotent("GET", "/orders", 2*time.Second)
	for _, e := range f.engines {
		u := north.Upstream(e.name, "model replica", e.zone, e.addr).Slots(16).Resumes()
		for _, r := range e.models {
			u.Serves(r.Model, r.Version)
		}
	}
	for _, s := range f.services {
		north.Upstream(s.name, "shop replica", s.zone, s.addr).Service(serviceName)
	}
	for i, name := range []string{"counter", "proofs", "inscriptions", "gifts"} {
		w := south.Workspace(name, "member shops, "+name).
			Weigh(declarer.WeighCost).Allow(cheapModel).Call(serviceName).
			Quality(declarer.KindShort, 0.75).Quality(declarer.KindChat, 0.75).Quality(declarer.KindLong, 0.75).
			Explore(0.02)
		if i < 2 {
			// The audit checks that the other workspaces do not use the strong
			// model.
			w.Allow(strongModel).Quality(declarer.KindLong, 0.9)
		}
		for m := range 2 {
			member := fmt.Sprintf("%s-%d", name, m+1)
			w.Member(member, declarer.KeyDigest(apiKey(member)))
		}
	}
	return north, south
}

// apiKeys returns the API keys of the configuration by "workspace/member".
func apiKeys(c declarer.Config) map[string]string {
	out := make(map[string]string)
	for _, w := range c.Workspaces {
		for _, m := range w.Members {
			out[w.Name+"/"+m.Name] = apiKey(m.Name)
		}
	}
	return out
}

func apiKey(member string) string { return "demo-key-" + member }
