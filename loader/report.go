package loader

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foxtailwall/declarer"
	"foxtailwall/emulator"
	"foxtailwall/refuser"
)

const (
	// maxLatency is the highest latency that histograms record; longer ones
	// count as maxLatency.
	maxLatency = 10 * time.Minute
	// significantDigits is the precision of histograms in decimal digits.
	significantDigits = 3
	nanosPerUnit      = 1e9
)

type (
	// Report is the machine-readable result of a run.
	Report struct {
		Mix      string  `json:"mix"`
		Seed     uint64  `json:"seed"`
		Rate     float64 `json:"rate"`
		Requests int     `json:"requests"`
		Answered int     `json:"answered"`
		// Skipped counts requests not sent because Config.InFlight was reached.
		Skipped int           `json:"skipped"`
		Classes []ClassReport `json:"classes"`
		// Refusals counts unanswered requests by the "code/outcome" of their
		// last attempt.
		Refusals map[string]int `json:"refusals"`
		Verdict  Verdict        `json:"verdict"`
		// Failed lists the errors of faults and events.
		Failed []string `json:"failed,omitempty"`
	}

	// ClassReport holds the costs, quality and latencies of one request class.
	ClassReport struct {
		Class    string        `json:"class"`
		Kind     declarer.Kind `json:"kind,omitempty"`
		Requests int           `json:"requests"`
		Answered int           `json:"answered"`
		// Cost is the mean cost of a request in units of the currency, computed
		// from engine runs of answered and unanswered requests.
		Cost float64 `json:"cost"`
		// Runs is the mean number of engine runs per request.
		Runs float64 `json:"runs"`
		// Quality is the share of answers that pass, Target the mean quality
		// target of their workspaces.
		Quality float64 `json:"quality"`
		Target  float64 `json:"target"`
		// FirstToken and Total are measured from the intended start, Token is
		// the time between two tokens of a stream.
		FirstToken Quantiles `json:"firstToken"`
		Token      Quantiles `json:"token"`
		Total      Quantiles `json:"total"`
	}

	// Quantiles holds latency percentiles, in nanoseconds in JSON.
	Quantiles struct {
		Count int64         `json:"count"`
		P50   time.Duration `json:"p50"`
		P95   time.Duration `json:"p95"`
		P99   time.Duration `json:"p99"`
	}

	// Histogram collects latencies. Make it with NewHistogram.
	Histogram struct{ h *hdrhistogram.Histogram }

	// classTotals accumulates the results of one class.
	classTotals struct {
		ClassReport
		first, token, total Histogram
		cost                int64
		runs, passed        int
		targets             float64
	}
)

// NewHistogram returns an empty histogram.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Record adds d, limited to the range from 1 µs to 10 min.
func (h Histogram) Record(d time.Duration) {
	// The value is within the histogram's range, so recording cannot fail.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// Quantiles returns the count and percentiles of the recorded latencies.
func (h Histogram) Quantiles() Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{Count: h.h.TotalCount(), P50: at(50), P95: at(95), P99: at(99)}
}

// Report returns the results and the verdict of the run so far.
func (l *Loader) Report() Report {
	r := l.audit.Report(l.conf.Prices)
	r.Mix, r.Seed, r.Rate, r.Failed = l.conf.Mix.Name, l.conf.Seed, l.conf.Rate, l.Failures()
	return r
}

// Report aggregates the data of the audit. Costs are computed with the given
// prices.
func (a *Audit) Report(prices map[declarer.VersionRef]declarer.Price) Report {
	rep := Report{Refusals: make(map[string]int), Verdict: a.Verdict()}
	runs := make(map[string][]emulator.Run)
	for _, r := range a.Runs() {
		runs[r.Digest] = append(runs[r.Digest], r)
	}
	classes := make(map[string]*classTotals)
	for _, r := range a.Results() {
		if r.Skipped {
			rep.Skipped++
			continue
		}
		rep.Requests++
		if r.Answered {
			rep.Answered++
		} else {
			rep.Refusals[string(r.lastAttempt().Code)+"/"+string(r.lastAttempt().Outcome)]++
		}
		c := classes[r.Class.Name]
		if c == nil {
			c = &classTotals{first: NewHistogram(), token: NewHistogram(), total: NewHistogram()}
			c.Class, c.Kind = r.Class.Name, r.Class.Kind
			classes[c.Class] = c
		}
		c.add(&r, runs[r.Digest], prices)
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		rep.Classes = append(rep.Classes, classes[name].report())
	}
	slices.SortStableFunc(rep.Classes, func(a, b ClassReport) int { return cmp.Compare(b.Kind, a.Kind) })
	return rep
}

func (c *classTotals) add(r *Result, runs []emulator.Run, prices map[declarer.VersionRef]declarer.Price) {
	c.Requests++
	if r.isModelRequest() {
		c.runs += len(runs)
		c.cost += runsCost(runs, prices)
	}
	if !r.Answered {
		return
	}
	c.Answered++
	c.targets += r.Workspace.Quality[c.Kind]
	if r.isModelRequest() && r.Judgement.Pass && r.Judgement.Intact && r.Judgement.Digest == r.Digest {
		c.passed++
	}
	c.first.Record(r.FirstToken)
	c.total.Record(r.Total)
	for _, g := range r.Gaps {
		c.token.Record(g)
	}
}

func (c *classTotals) report() ClassReport {
	out := c.ClassReport
	out.Cost = float64(c.cost) / nanosPerUnit / float64(max(c.Requests, 1))
	out.Runs = float64(c.runs) / float64(max(c.Requests, 1))
	if c.Answered > 0 {
		out.Quality = float64(c.passed) / float64(c.Answered)
		out.Target = c.targets / float64(c.Answered)
	}
	out.FirstToken, out.Token, out.Total = c.first.Quantiles(), c.token.Quantiles(), c.total.Quantiles()
	return out
}

// runsCost returns the cost of runs in billionths of a currency unit. A truncated
// run is charged for the tokens it generated, without those resumed from an
// earlier run.
func runsCost(runs []emulator.Run, prices map[declarer.VersionRef]declarer.Price) int64 {
	var sum int64
	for _, r := range runs {
		p := prices[declarer.VersionRef{Model: r.Model, Version: r.Version}]
		sum += int64(r.Input)*p.InputNanos + int64(r.Output-r.Resumed)*p.OutputNanos
	}
	return sum
}

// Print writes the report as text tables.
func (r Report) Print(w io.Writer) {
	fmt.Fprintf(w, "mix %s, seed %d, %.4g requests/s: %d requests, %d answered, %d skipped by the loader\n\n",
		r.Mix, r.Seed, r.Rate, r.Requests, r.Answered, r.Skipped)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "class\trequests\tanswered\tcost/request\truns\tquality\ttarget\tfirst p50\tp95\tp99\ttoken p50\tp95\tp99\t")
	for _, c := range r.Classes {
		quality, target := "-", "-"
		if c.Kind != "" {
			quality, target = formatPercent(c.Quality), formatPercent(c.Target)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\n", c.Class, c.Requests, c.Answered,
			strconv.FormatFloat(c.Cost, 'g', 4, 64), c.Runs, quality, target,
			formatLatency(c.FirstToken.P50), formatLatency(c.FirstToken.P95), formatLatency(c.FirstToken.P99),
			formatLatency(c.Token.P50), formatLatency(c.Token.P95), formatLatency(c.Token.P99))
	}
	_ = t.Flush()
	if len(r.Refusals) > 0 {
		fmt.Fprintln(w, "\nunanswered requests by code and outcome:")
		for _, k := range slices.Sorted(maps.Keys(r.Refusals)) {
			fmt.Fprintf(w, "  %-36s %d\n", k, r.Refusals[k])
		}
	}
	fmt.Fprintln(w)
	r.Verdict.Print(w)
	for _, f := range r.Failed {
		fmt.Fprintln(w, "fault or event failed:", f)
	}
}

// Print writes one line per promise and examples of violations.
func (v Verdict) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "promise\t\tchecked\tbroken")
	for _, c := range v.Promises {
		checked := strconv.Itoa(c.Checked)
		if c.Checked == 0 {
			checked = "not exercised"
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\n", c.Promise, c.Name, checked, c.Broken)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "exposed to a bad version: %d; doubled runs: %d; bills missing %d, doubled %d, wrong %d; answers partial %d, foreign %d\n",
		v.Exposed, v.DoubledRuns, v.BillsMissing, v.BillsDoubled, v.BillsWrong, v.AnswersPartial, v.AnswersForeign)
	for _, c := range v.Promises {
		for _, e := range c.Examples {
			fmt.Fprintf(w, "  promise %d: %s\n", c.Promise, e)
		}
	}
}

// RefusedCount returns the number of unanswered requests with that refusal code,
// whatever the outcome.
func (r Report) RefusedCount(code refuser.Code) int {
	n := 0
	for _, o := range []refuser.Outcome{refuser.NotRun, refuser.Ran, refuser.Unknown} {
		n += r.Refusals[string(code)+"/"+string(o)]
	}
	return n
}

func formatPercent(f float64) string { return strconv.FormatFloat(100*f, 'f', 1, 64) + "%" }

func formatLatency(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(10 * time.Microsecond).String()
}
