package comparer

import (
	"fmt"
	"net/netip"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
)

// The deployments have three zones with two entry hosts each. The large
// workspaces together send largeShare of the requests.
const (
	zones           = 3
	hostsPerZone    = 2
	workspaceCount  = 10
	largeWorkspaces = 2
	largeShare      = 2.0 / 3
	basePort        = 9000
)

type (
	// Scenario is a simulated deployment with its load.
	Scenario struct {
		Name string
		Mix  loader.Mix
		// Config declares workspaces, models and upstreams. Each upstream must
		// serve exactly one version.
		Config declarer.Config
		// Versions holds the true quality of each version, Timings the time model
		// of its replicas.
		Versions map[declarer.VersionRef]emulator.Version
		Timings  map[declarer.VersionRef]emulator.Timing
		// CacheBlocks is the size of the prefix cache of each replica, in blocks.
		CacheBlocks int
		// Hosts lists the zone of each entry host.
		Hosts    []string
		Rate     float64
		Duration time.Duration
		// CrossZone is the network round-trip time to a replica in another zone.
		CrossZone time.Duration
		// ReportEvery is the interval at which a host polls the load reports and
		// cache events of the replicas. They arrive ReportLag later.
		ReportEvery, ReportLag time.Duration
		// EventGap is the share of cache events that get lost.
		EventGap float64
		// RatingDelay is how long the rating of a cascade step takes.
		RatingDelay time.Duration
		// RatingMissing is the share of these ratings that never arrive.
		RatingMissing float64
		// Sampled is the share of answers of last steps that are rated,
		// SampledDelay after the answer.
		Sampled      float64
		SampledDelay time.Duration
		// Fault is a failure during the run; nil means none.
		Fault *Fault
	}

	// modelSpec describes a model of a scenario. declaredQuality is the value in
	// the configuration, quality the true one.
	modelSpec struct {
		model           string
		price           declarer.Price
		declaredQuality float64
		quality         map[declarer.Kind]float64
		timing          emulator.Timing
		replicas        int
	}
)

// Cooperative returns the deployment of the engravers' cooperative: 18 replicas of
// a small and a large model. Its workspaces prefer low cost.
func Cooperative() Scenario {
	s := newScenario("cooperative", loader.Cooperative(), declarer.WeighCost, []modelSpec{
		{"engraver-small", declarer.Price{InputNanos: 20, OutputNanos: 80}, 0.75, qualities(0.55, 0.84, 0.82), smallTiming(), 8},
		{"engraver-large", declarer.Price{InputNanos: 150, OutputNanos: 600}, 0.93, qualities(0.90, 0.96, 0.95), largeTiming(), 10},
	})
	s.Rate = 60
	return s
}

// Festival returns the deployment of the chalk festival: 9 replicas of a small and
// a large model. Its workspaces prefer low latency.
func Festival() Scenario {
	s := newScenario("festival", loader.Festival(), declarer.WeighLatency, []modelSpec{
		{"helper-small", declarer.Price{InputNanos: 25, OutputNanos: 100}, 0.78, qualities(0.60, 0.86, 0.85), smallTiming(), 4},
		{"helper-large", declarer.Price{InputNanos: 140, OutputNanos: 560}, 0.93, qualities(0.90, 0.95, 0.95), largeTiming(), 5},
	})
	s.Rate = 28
	return s
}

// ScenarioByName returns the scenario with that name and whether it exists.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range []Scenario{Cooperative(), Festival()} {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// qualities returns a map of quality by kind.
func qualities(long, short, chat float64) map[declarer.Kind]float64 {
	return map[declarer.Kind]float64{declarer.KindLong: long, declarer.KindShort: short, declarer.KindChat: chat}
}

func smallTiming() emulator.Timing {
	return emulator.Timing{Slots: 16, Budget: 512, Memory: 48 << 10, Prefill: 24000, Step: 8 * time.Millisecond, PerSequence: 150 * time.Microsecond}
}

func largeTiming() emulator.Timing {
	return emulator.Timing{Slots: 16, Budget: 512, Memory: 48 << 10, Prefill: 9000, Step: 16 * time.Millisecond, PerSequence: 300 * time.Microsecond}
}

// newScenario builds a deployment from its models. Odd workspaces get quality
// targets that only the large model or a cascade meets.
func newScenario(name string, mix loader.Mix, weigh declarer.Weigh, sizes []modelSpec) Scenario {
	s := Scenario{
		Name: name, Mix: mix, CacheBlocks: 1024, Duration: 5 * time.Minute, CrossZone: time.Millisecond,
		ReportEvery: 500 * time.Millisecond, ReportLag: 300 * time.Millisecond, EventGap: 0.05,
		RatingDelay: 60 * time.Millisecond, RatingMissing: 0.05, Sampled: 0.3, SampledDelay: 2 * time.Second,
		Versions: make(map[declarer.VersionRef]emulator.Version), Timings: make(map[declarer.VersionRef]emulator.Timing),
	}
	intent := declarer.Intent{Owner: name, Why: "comparison of policies"}
	port := basePort
	for _, m := range sizes {
		ref := declarer.VersionRef{Model: m.model, Version: "v1"}
		s.Versions[ref] = emulator.Version{Model: m.model, Version: "v1", ByKind: m.quality}
		s.Timings[ref] = m.timing
		s.Config.Models = append(s.Config.Models, declarer.Model{
			Name: m.model, Intent: intent, Stable: "v1",
			Versions: []declarer.Version{{Name: "v1", Price: m.price, Quality: m.declaredQuality}},
		})
		for i := range m.replicas {
			s.Config.Upstreams = append(s.Config.Upstreams, declarer.Upstream{
				Name: fmt.Sprintf("%s-%d", m.model, i), Intent: intent, Zone: zoneName(i % zones),
				Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(port)),
				Serves:  []declarer.VersionRef{ref}, Slots: m.timing.Slots,
			})
			port++
		}
	}
	for i := range workspaceCount {
		w := declarer.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), Intent: intent, Weigh: weigh, Explore: 0.02,
			Members: []declarer.Member{{Name: "member"}}, Quality: qualities(0.55, 0.80, 0.78),
		}
		if i%2 == 1 {
			w.Quality = qualities(0.88, 0.94, 0.92)
		}
		for _, m := range sizes {
			w.Models = append(w.Models, declarer.Allowed{Model: m.model})
		}
		s.Config.Workspaces = append(s.Config.Workspaces, w)
	}
	for z := range zones {
		for range hostsPerZone {
			s.Hosts = append(s.Hosts, zoneName(z))
		}
	}
	return s
}

func zoneName(i int) string { return string(rune('a' + i)) }
