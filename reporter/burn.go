package reporter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// curvePoints is the number of intervals of a plotted curve.
	curvePoints = 120
	// curveSpan is the time range of a plot.
	curveSpan = 24 * time.Hour
	// maxCauses is the maximum number of causes listed for a workspace and
	// objective.
	maxCauses = 6
)

type (
	// Report holds the error budget burn of all workspaces and objectives at
	// one time.
	Report struct {
		At    time.Time `json:"at"`
		Burns []Burn    `json:"burns"`
		// Torn is the number of input lines that could not be decoded.
		Torn int `json:"torn,omitempty"`
	}

	// Burn is the error budget burn of one workspace for one objective.
	Burn struct {
		Workspace string   `json:"workspace"`
		Objective string   `json:"objective"`
		Target    float64  `json:"target"`
		State     State    `json:"state"`
		Windows   []Window `json:"windows"`
		// BudgetLeft is the remaining share of the period's budget, negative if
		// it is overspent. The budget is computed from the requests recorded
		// in the period.
		BudgetLeft float64 `json:"budgetLeft"`
		// TimeLeft is the time, in nanoseconds, until the budget is spent at
		// the burn rate of the 1 h window; negative means never.
		TimeLeft time.Duration `json:"exhausted"`
		// Causes breaks down the bad events of the longest window, most
		// frequent first.
		Causes []Cause `json:"causes,omitempty"`

		curve []curvePoint
	}

	// Window is the burn in one time window.
	Window struct {
		Span  time.Duration `json:"span"`
		Total float64       `json:"total"`
		Bad   float64       `json:"bad"`
		// Rate is the burn rate: Bad/Total divided by the error budget.
		Rate float64 `json:"rate"`
	}

	// Cause is the number of bad events with the same code and version.
	Cause struct {
		Code    string  `json:"code,omitempty"`
		Version string  `json:"version,omitempty"`
		Bad     float64 `json:"bad"`
	}

	// curvePoint is the burn rate of the 1 h window that ends at a time.
	curvePoint struct {
		at   time.Time
		rate float64
	}
)

// neverSpent is the value of Burn.TimeLeft if the budget lasts at the current
// rate.
const neverSpent = time.Duration(-1)

// NewReport returns the burn at a time. It omits objectives of workspaces
// without requests in the longest window.
func NewReport(s *Series, objectives []Objective, at time.Time) Report {
	rep := Report{At: at, Torn: s.Torn, Burns: []Burn{}}
	for _, o := range objectives {
		for _, w := range s.workspaces() {
			total, bad := s.counters(o.Total, w, nil), s.counters(o.Bad, w, o.Ignore)
			if sumBetween(total, at.Add(-windows[threeDays]), at) > 0 {
				rep.Burns = append(rep.Burns, computeBurn(o, w, total, bad, at))
			}
		}
	}
	return rep
}

// computeBurn computes the burn of one workspace from the growth of its total
// and bad counters.
func computeBurn(o Objective, workspace string, total, bad []*growth, at time.Time) Burn {
	b := Burn{Workspace: workspace, Objective: o.Name, Target: o.Target, State: OK, TimeLeft: neverSpent}
	for _, span := range windows {
		b.Windows = append(b.Windows, computeWindow(o, total, bad, at, span))
	}
	period := o.Period
	if period <= 0 {
		period = defaultPeriod
	}
	b.BudgetLeft = 1 - computeWindow(o, total, bad, at, period).Rate
	if rate := b.Windows[oneHour].Rate; b.BudgetLeft <= 0 {
		b.TimeLeft = 0
	} else if rate > 0 {
		// If the time exceeds the range of a Duration, it is reported as
		// never.
		if d := b.BudgetLeft * float64(period) / rate; d < math.MaxInt64 {
			b.TimeLeft = time.Duration(d)
		}
	}
	switch {
	case b.Windows[fiveMinutes].Rate > fastBurnRate && b.Windows[oneHour].Rate > fastBurnRate:
		b.State = FastBurn
	case b.BudgetLeft <= 0:
		b.State = BudgetSpent
	case b.Windows[sixHours].Rate > slowBurnRate && b.Windows[threeDays].Rate > slowBurnRate:
		b.State = SlowBurn
	}
	b.Causes = topCauses(bad, at)
	for i := range curvePoints + 1 {
		t := at.Add(-curveSpan + curveSpan/curvePoints*time.Duration(i))
		b.curve = append(b.curve, curvePoint{t, computeWindow(o, total, bad, t, windows[oneHour]).Rate})
	}
	return b
}

// computeWindow computes the burn of the window of length span that ends at a
// time.
func computeWindow(o Objective, total, bad []*growth, at time.Time, span time.Duration) Window {
	w := Window{Span: span, Total: sumBetween(total, at.Add(-span), at), Bad: sumBetween(bad, at.Add(-span), at)}
	if w.Total > 0 && o.Target < 1 {
		w.Rate = w.Bad / w.Total / (1 - o.Target)
	}
	return w
}

// topCauses sums the bad counters by code and version over the longest window.
func topCauses(bad []*growth, at time.Time) []Cause {
	sums := make(map[Cause]float64)
	for _, g := range bad {
		if n := g.between(at.Add(-windows[threeDays]), at); n > 0 {
			sums[Cause{Code: g.tags[tagCode], Version: g.tags[tagVersion]}] += n
		}
	}
	var out []Cause
	for c, n := range sums {
		c.Bad = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Code, b.Code), cmp.Compare(a.Version, b.Version))
	})
	return out[:min(len(out), maxCauses)]
}

// JSON writes the report as indented JSON.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "write the report")
}

// Print writes the report as a text table.
func (r Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "burn at %s\n\n", r.At.UTC().Format(time.RFC3339))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "workspace\tobjective\ttarget\tstate\t5m\t1h\t6h\t3d\tbudget left\tspent in\tcauses (3d)")
	for _, b := range r.Burns {
		fmt.Fprintf(t, "%s\t%s\t%.4g%%\t%s", b.Workspace, b.Objective, 100*b.Target, b.State)
		for _, win := range b.Windows {
			fmt.Fprintf(t, "\t%.2f", win.Rate)
		}
		fmt.Fprintf(t, "\t%.1f%%\t%s\t%s\n", 100*b.BudgetLeft, b.Spent(), b.causeText())
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write the report")
	}
	if r.Torn > 0 {
		fmt.Fprintf(w, "\n%d lines of the counter files could not be decoded\n", r.Torn)
	}
	return nil
}

// Spent formats TimeLeft, rounded to minutes.
func (b Burn) Spent() string {
	if b.TimeLeft < 0 {
		return "never"
	}
	return b.TimeLeft.Round(time.Minute).String()
}

// causeText formats the causes on one line.
func (b Burn) causeText() string {
	var parts []string
	for _, c := range b.Causes {
		name := strings.Trim(c.Code+" "+c.Version, " ")
		if name == "" {
			name = "untagged"
		}
		parts = append(parts, fmt.Sprintf("%s %.0f", name, c.Bad))
	}
	return strings.Join(parts, ", ")
}
