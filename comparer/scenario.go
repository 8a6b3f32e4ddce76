package comparer

import (
	"fmt"
	"net/netip"
	"time"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
)

const (
	zones          = 3
	hostsPerZone   = 2
	workspaceCount = 10
	largeCount     = 2
	largeShare     = 2.0 / 3
	basePort       = 9000
)

type (
	// Scenario is a deployment and its load.
	Scenario struct {
		Name string
		Mix  loader.Mix
		// Config declares workspaces, models and upstreams. Each upstream
		// serves one version.
		Config declarer.Config
		// Versions hold the true quality, Timings the time model of the
		// replicas of each version.
		Versions map[declarer.VersionRef]emulator.Version
		Timings  map[declarer.VersionRef]emulator.Timing
		// CacheBlocks is the size of each replica's prefix cache.
		CacheBlocks int
		// Hosts lists the zones of the entry hosts.
		Hosts    []string
		Rate     float64
		Duration time.Duration
		// CrossZone is the time to a replica of another zone and back.
		CrossZone time.Duration
		// ReportEvery is the time between two load reports of a replica to a
		// host, ReportLag the age of a report and of cache events.
		ReportEvery, ReportLag time.Duration
		// EventGap is the share of cache events lost.
		EventGap float64
		// RatingDelay is the time of the rating of a cascade step.
		RatingDelay time.Duration
		// RatingMissing is the share of these ratings that do not come.
		RatingMissing float64
		// Sampled is the share of other answers that are rated, after
		// SampledDelay.
		Sampled      float64
		SampledDelay time.Duration
		// Fault is a failure during the run; nil means none.
		Fault *Fault
	}

	// size is one model of a scenario.
	size struct {
		model    string
		price    declarer.Price
		declared float64
		quality  map[declarer.Kind]float64
		timing   emulator.Timing
		replicas int
	}
)

// Cooperative returns the engravers' cooperative: 18 replicas of a small and a
// large model, weighed by cost.
func Cooperative() Scenario {
	s := scenario("cooperative", loader.Cooperative(), declarer.WeighCost, []size{
		{"engraver-small", declarer.Price{InputNanos: 20, OutputNanos: 80}, 0.75, qualities(0.55, 0.84, 0.82), smallTiming(), 8},
		{"engraver-large", declarer.Price{InputNanos: 150, OutputNanos: 600}, 0.93, qualities(0.90, 0.96, 0.95), largeTiming(), 10},
	})
	s.Rate = 60
	return s
}

// Festival returns the chalk festival's desk: 9 replicas of a small and a large
// model, weighed by latency.
func Festival() Scenario {
	s := scenario("festival", loader.Festival(), declarer.WeighLatency, []size{
		{"helper-small", declarer.Price{InputNanos: 25, OutputNanos: 100}, 0.78, qualities(0.60, 0.86, 0.85), smallTiming(), 4},
		{"helper-large", declarer.Price{InputNanos: 140, OutputNanos: 560}, 0.93, qualities(0.90, 0.95, 0.95), largeTiming(), 5},
	})
	s.Rate = 28
	return s
}

// ScenarioByName returns the scenario with that name.
func ScenarioByName(name string) (Scenario, bool) {
	for _, s := range []Scenario{Cooperative(), Festival()} {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

func qualities(long, short, chat float64) map[declarer.Kind]float64 {
	return map[declarer.Kind]float64{declarer.KindLong: long, declarer.KindShort: short, declarer.KindChat: chat}
}

func smallTiming() emulator.Timing {
	return emulator.Timing{Slots: 16, Budget: 512, Memory: 48 << 10, Prefill: 24000, Step: 8 * time.Millisecond, PerSequence: 150 * time.Microsecond}
}

func largeTiming() emulator.Timing {
	return emulator.Timing{Slots: 16, Budget: 512, Memory: 48 << 10, Prefill: 9000, Step: 16 * time.Millisecond, PerSequence: 300 * time.Microsecond}
}

// scenario builds a deployment. The quality targets differ by workspace: the
// odd ones want what only the large model, or a cascade, reaches.
func scenario(name string, mix loader.Mix, weigh declarer.Weigh, sizes []size) Scenario {
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
			Versions: []declarer.Version{{Name: "v1", Price: m.price, Quality: m.declared}},
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
