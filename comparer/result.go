package comparer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"foxtailwall/declarer"
	"foxtailwall/loader"
)

const (
	nanosPerUnit = 1e9
	// confidenceQuantile is the one-sided 95% quantile of the normal distribution.
	confidenceQuantile = 1.645
	// maxParallel limits the policies simulated concurrently.
	maxParallel = 3
)

type (
	// Result holds the cost, quality and latencies of one policy.
	Result struct {
		Policy   string `json:"policy"`
		Scenario string `json:"scenario"`
		Seeds    int    `json:"seeds"`
		Requests int    `json:"requests"`
		// Refused counts requests refused because the queue of an engine was full.
		Refused int `json:"refused"`
		// Cost is the mean cost of a request in units of the currency.
		Cost float64 `json:"cost"`
		// Kinds holds one entry per group of requests of the same kind and target.
		Kinds []KindResult `json:"kinds"`
		// Meets means that no group is below its target with 95% confidence.
		Meets bool `json:"meets"`
		// Steps is the mean number of engine runs per request.
		Steps float64 `json:"steps"`
		// Cached is the share of prompt tokens found in a prefix cache.
		Cached float64 `json:"cached"`
		// FirstToken is the time to the first token of streams, Token the time
		// between their tokens, Total the time of answers that are not streamed.
		FirstToken loader.Quantiles `json:"firstToken"`
		Token      loader.Quantiles `json:"token"`
		Total      loader.Quantiles `json:"total"`
		// During summarizes the answers during the fault; nil if there are none.
		During *FaultResult `json:"during,omitempty"`
	}

	// KindResult is the quality of requests of one kind with one target.
	KindResult struct {
		Kind     declarer.Kind `json:"kind"`
		Target   float64       `json:"target"`
		Requests int           `json:"requests"`
		Quality  float64       `json:"quality"`
		Meets    bool          `json:"meets"`
		// Cost is the mean cost of a request in units of the currency.
		Cost float64 `json:"cost"`
	}

	// group identifies the requests of one kind with one quality target.
	group struct {
		kind   declarer.Kind
		target float64
	}

	// groupTotals accumulates the answers of one group.
	groupTotals struct {
		requests, passed int
		cost             int64
	}

	// policyTotals accumulates the results of one policy over all seeds.
	policyTotals struct {
		requests, ended, refused    int
		answered                    int
		cost                        int64
		steps                       int
		prompt, cached              int
		groups                      map[group]*groupTotals
		firstToken, tokenGap, total loader.Histogram
		during                      faultTotals
	}
)

// Run simulates the policies on the same seeds and arrivals and returns their
// results in the same order.
func Run(s Scenario, policies []Policy, o Options) []Result {
	if o.Rate <= 0 {
		o.Rate = s.Rate
	}
	if o.Duration <= 0 {
		o.Duration = s.Duration
	}
	o.Repeats = max(o.Repeats, 1)
	out := make([]Result, len(policies))
	p := pool.New().WithMaxGoroutines(maxParallel)
	for i, policy := range policies {
		p.Go(func() { out[i] = runPolicy(s, policy, o) })
	}
	p.Wait()
	return out
}

// runPolicy simulates one policy on each seed.
func runPolicy(s Scenario, p Policy, o Options) Result {
	t := &policyTotals{groups: make(map[group]*groupTotals), firstToken: loader.NewHistogram(), tokenGap: loader.NewHistogram(), total: loader.NewHistogram()}
	for i := range o.Repeats {
		newSimulation(s, p, o.Seed+uint64(i), t).run(o.Rate, o.Duration)
	}
	r := t.result()
	r.Policy, r.Scenario, r.Seeds = p.Name, s.Name, o.Repeats
	return r
}

// addAnswer counts the accepted answer of a request.
func (t *policyTotals) addAnswer(c *simulatedRequest, pass bool, now time.Time) {
	t.ended++
	t.answered++
	t.cost += c.cost
	t.steps += c.steps
	t.prompt += c.query.Prompt * c.steps
	t.cached += c.cached
	g := group{c.query.Kind, c.query.Workspace.Quality[c.query.Kind]}
	if t.groups[g] == nil {
		t.groups[g] = &groupTotals{}
	}
	t.groups[g].requests++
	t.groups[g].cost += c.cost
	if pass {
		t.groups[g].passed++
	}
	if c.query.Kind == declarer.KindChat {
		t.firstToken.Record(c.firstToken.Sub(c.arrived))
	} else {
		t.total.Record(now.Sub(c.arrived))
	}
}

// addRefusal counts a request refused by an engine.
func (t *policyTotals) addRefusal() {
	t.ended++
	t.refused++
}

// result computes means, shares and percentiles from the totals.
func (t *policyTotals) result() Result {
	n := float64(max(t.answered, 1))
	r := Result{
		Requests: t.requests, Refused: t.refused, Meets: true,
		Cost: float64(t.cost) / nanosPerUnit / n, Steps: float64(t.steps) / n, Cached: float64(t.cached) / float64(max(t.prompt, 1)),
		During:     t.during.result(),
		FirstToken: t.firstToken.Quantiles(), Token: t.tokenGap.Quantiles(), Total: t.total.Quantiles(),
	}
	for _, g := range t.sortedGroups() {
		c := t.groups[g]
		q := float64(c.passed) / float64(c.requests)
		deviation := math.Sqrt(g.target * (1 - g.target) / float64(c.requests))
		k := KindResult{Kind: g.kind, Target: g.target, Requests: c.requests, Quality: q, Meets: q >= g.target-confidenceQuantile*deviation,
			Cost: float64(c.cost) / nanosPerUnit / float64(c.requests)}
		r.Meets = r.Meets && k.Meets
		r.Kinds = append(r.Kinds, k)
	}
	return r
}

// sortedGroups returns the groups ordered by kind and target.
func (t *policyTotals) sortedGroups() []group {
	return slices.SortedFunc(maps.Keys(t.groups), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.target, b.target))
	})
}

// WriteJSON writes the results as an indented JSON array.
func WriteJSON(w io.Writer, results []Result) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(results), "write the results")
}

// Print writes the results as a text table.
func Print(w io.Writer, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	fmt.Fprintf(w, "%s: %d requests over %d seeds\n\n", results[0].Scenario, results[0].Requests, results[0].Seeds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := "policy\tcost/1000\tmeets\t"
	for _, k := range results[0].Kinds {
		head += fmt.Sprintf("%s >=%.0f%%\t", k.Kind, 100*k.Target)
	}
	fmt.Fprintln(t, head+"runs\tcached\tfirst p50\tp95\tp99\ttoken p50\tp95\tp99\twhole p50\tp95\tp99\trefused\t"+faultHeader(results[0]))
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.4f\t%t\t", r.Policy, costRequests*r.Cost, r.Meets)
		for _, k := range r.Kinds {
			mark := ""
			if !k.Meets {
				mark = "!"
			}
			fmt.Fprintf(t, "%s%.1f%%\t", mark, 100*k.Quality)
		}
		fmt.Fprintf(t, "%.2f\t%.0f%%\t", r.Steps, 100*r.Cached)
		for _, q := range []loader.Quantiles{r.FirstToken, r.Token, r.Total} {
			fmt.Fprintf(t, "%s\t%s\t%s\t", formatMillis(q.P50), formatMillis(q.P95), formatMillis(q.P99))
		}
		fmt.Fprintf(t, "%d\t%s\n", r.Refused, r.During)
	}
	fmt.Fprintln(t)
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write the results")
	}
	_, err := fmt.Fprintln(w, "times in ms; ! marks a quality below its target with 95% confidence")
	return errors.Wrap(err, "write the results")
}

// faultHeader returns the column headers for the answers during a fault, or an
// empty string if there are none.
func faultHeader(r Result) string {
	if r.During == nil {
		return ""
	}
	return "in fault: cost/1000\tquality\texposed\t"
}

// String returns the table columns under faultHeader.
func (d *FaultResult) String() string {
	if d == nil {
		return ""
	}
	return fmt.Sprintf("%.4f\t%.1f%%\t%d\t", costRequests*d.Cost, 100*d.Quality, d.Exposed)
}

func formatMillis(d time.Duration) string { return strconv.FormatFloat(inMilliseconds(d), 'f', 1, 64) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
