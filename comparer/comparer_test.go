package comparer_test

import (
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"foxtailwall/comparer"
	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/loader"
)

func TestComparer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "comparer")
}

// delayProbe is a picker that records the minimum age of load reports.
type delayProbe struct {
	comparer.Picker
	setup         comparer.Setup
	youngest      *time.Duration
	reports, sent *int
}

func (p delayProbe) AddLoadReport(u *declarer.Upstream, l comparer.Load) {
	*p.youngest = min(*p.youngest, p.setup.Clock.Since(l.At))
	*p.reports++
	p.Picker.AddLoadReport(u, l)
}

func (p delayProbe) RequestSent(q *comparer.Query, u *declarer.Upstream) {
	*p.sent++
	p.Picker.RequestSent(q, u)
}

// queueQuantiles returns the latency quantiles of one engine with one slot, computed
// by the recursion for a first-come, first-served queue.
func queueQuantiles(s comparer.Scenario, seed uint64) loader.Quantiles {
	var ws []loader.Workspace
	for _, w := range s.Config.Workspaces {
		ws = append(ws, loader.Workspace{Name: w.Name, Quality: w.Quality})
	}
	loader.SetWeights(ws, 2, 2.0/3)
	t := s.Timings[s.Config.Upstreams[0].Serves[0]]
	h, free := loader.NewHistogram(), time.Duration(0)
	for r := range loader.Plan(loader.Config{
		Seed: seed, Mix: s.Mix, Rate: s.Rate, Duration: s.Duration, Workspaces: ws, Entries: make([]netip.AddrPort, 1),
	}) {
		prefill := time.Duration(float64(emulator.CountTokens(r.Prompt)) / t.Prefill * float64(time.Second))
		free = max(free, r.At) + prefill + time.Duration(r.MaxTokens-1)*(t.Step+t.PerSequence)
		h.Record(free - r.At)
	}
	return h.Quantiles()
}

var _ = Describe("Run", func() {
	// Guards against a simulation whose queueing differs from theory, which would
	// make all compared latencies meaningless.
	It("matches the latencies of a single-server queue", func() {
		const seed = 9
		s := comparer.Cooperative()
		s.Mix.Classes = s.Mix.Classes[1:2] // drafts
		s.Config.Models, s.Config.Upstreams = s.Config.Models[:1], s.Config.Upstreams[:1]
		s.Hosts, s.CacheBlocks, s.Rate, s.Duration = []string{"a"}, 0, 2, 20*time.Minute
		for ref, t := range s.Timings {
			t.Slots, t.Budget = 1, 1<<20
			s.Timings[ref] = t
		}
		r := comparer.Run(s, []comparer.Policy{{Name: "one", NewChooser: comparer.AlwaysCheapest, NewPicker: comparer.RoundRobin}},
			comparer.Options{Seed: seed})[0]
		Expect(r.Requests).To(BeNumerically(">", 2000))
		Expect(r.Total).To(Equal(queueQuantiles(s, seed)))
	})

	// Guards against results that depend on the machine or on the order of the
	// policies, and against policies that get different arrivals.
	It("gives the same result for the same seed", func() {
		o := comparer.Options{Seed: 5, Duration: 10 * time.Second, Repeats: 2}
		a := comparer.Run(comparer.Festival(), comparer.Baselines(), o)
		policies := comparer.Baselines()
		for i, j := 0, len(policies)-1; i < j; i, j = i+1, j-1 {
			policies[i], policies[j] = policies[j], policies[i]
		}
		b := comparer.Run(comparer.Festival(), policies, o)
		for i := range a {
			Expect(a[i]).To(Equal(b[len(b)-1-i]))
			Expect(a[i].Requests).To(Equal(a[0].Requests))
		}
	})

	// Guards against wrong cost or quality of a cascade: it must cost the cheap
	// step, plus the strong step for each failed or unrated answer, and pass if
	// the accepted answer passes.
	It("computes cost and quality of a cascade from its steps", func() {
		s := comparer.Cooperative()
		s.Mix.Classes = s.Mix.Classes[1:2] // drafts
		s.Duration = 3 * time.Minute
		r := comparer.Run(s, comparer.Baselines()[:3], comparer.Options{Seed: 2})
		best, cheap, cascade := r[0], r[1], r[2]
		again := 1 - cheap.Kinds[0].Quality*(1-s.RatingMissing)
		const tolerance = 0.03
		Expect(cascade.Steps).To(BeNumerically("~", 1+again, tolerance))
		Expect(cascade.Cost / (cheap.Cost + again*best.Cost)).To(BeNumerically("~", 1, tolerance))
		for i, k := range cascade.Kinds {
			// A passing answer of the cheap step without a rating is replaced too.
			p, q := cheap.Kinds[i].Quality, best.Kinds[i].Quality
			want := p*(1-s.RatingMissing) + (1-p*(1-s.RatingMissing))*q
			Expect(k.Quality).To(BeNumerically("~", want, 3*math.Sqrt(want*(1-want)/float64(k.Requests))+0.01))
		}
	})

	// Guards against policies that get fresher load reports than the router could.
	It("delays load reports by the configured lag", func() {
		s := comparer.Festival()
		youngest, reports, sent := time.Hour, 0, 0
		r := comparer.Run(s, []comparer.Policy{{Name: "probe", NewChooser: comparer.AlwaysBest, NewPicker: func(setup comparer.Setup) comparer.Picker {
			return delayProbe{comparer.LeastRequests(setup), setup, &youngest, &reports, &sent}
		}}}, comparer.Options{Seed: 1, Duration: 10 * time.Second})
		Expect(youngest).To(Equal(s.ReportLag))
		Expect(reports).To(BeNumerically(">", 9*20))
		Expect(sent).To(Equal(r[0].Requests))
	})
})

var _ = Describe("Plot", func() {
	// Guards against plots that cannot be written or are empty in either format.
	It("writes SVG and PNG", func() {
		r := comparer.Run(comparer.Festival(), comparer.Baselines(), comparer.Options{Seed: 1, Duration: 2 * time.Second})
		dir := GinkgoT().TempDir()
		for _, name := range []string{"a.svg", "a.png"} {
			for _, plot := range []func([]comparer.Result, string) error{comparer.PlotCost, comparer.PlotLatency, comparer.PlotTotal} {
				path := filepath.Join(dir, name)
				Expect(plot(r, path)).To(Succeed())
				info, err := os.Stat(path)
				Expect(err).NotTo(HaveOccurred())
				Expect(info.Size()).To(BeNumerically(">", 2000))
			}
		}
	})
})
