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
	// curvePoints is the number of points of a plotted curve.
	curvePoints = 120
	// curveSpan is the time that a plot shows.
	curveSpan = 24 * time.Hour
	// maxCauses bounds the causes listed for one objective.
	maxCauses = 6
)

type (
	// Report is the burn of all objectives at one time.
	Report struct {
		At    time.Time `json:"at"`
		Burns []Burn    `json:"burns"`
		// Torn counts lines of the record that could not be read.
		Torn int `json:"torn,omitempty"`
	}

	// Burn is how one workspace stands with one objective.
	Burn struct {
		Workspace string   `json:"workspace"`
		Objective string   `json:"objective"`
		Target    float64  `json:"target"`
		State     State    `json:"state"`
		Windows   []Window `json:"windows"`
		// BudgetLeft is the share of the period's budget that is left, below 0
		// if it is overspent. It is measured against the requests recorded in
		// the period.
		BudgetLeft float64 `json:"budgetLeft"`
		// Exhausted is the time until the budget is spent at the burn rate of
		// the 1 h window, in nanoseconds; below 0 means never.
		Exhausted time.Duration `json:"exhausted"`
		// Causes list what was bad in the longest window, most frequent first.
		Causes []Cause `json:"causes,omitempty"`

		curve []curvePoint
	}

	// Window is the burn in one window.
	Window struct {
		Span  time.Duration `json:"span"`
		Total float64       `json:"total"`
		Bad   float64       `json:"bad"`
		// Rate is the burn rate.
		Rate float64 `json:"rate"`
	}

	// Cause is a share of the bad requests.
	Cause struct {
		Code    string  `json:"code,omitempty"`
		Version string  `json:"version,omitempty"`
		Bad     float64 `json:"bad"`
	}

	curvePoint struct {
		at   time.Time
		rate float64
	}
)

// never stands for a budget that is not spent at the current rate.
const never = time.Duration(-1)

// Make reports the burn at that time. Objectives without requests in the
// longest window are left out.
func Make(s *Series, objectives []Objective, at time.Time) Report {
	rep := Report{At: at, Torn: s.Torn, Burns: []Burn{}}
	for _, o := range objectives {
		for _, w := range s.workspaces() {
			total, bad := s.find(o.Total, w, nil), s.find(o.Bad, w, o.Ignore)
			if sumAll(total, at.Add(-windows[threeDays]), at) > 0 {
				rep.Burns = append(rep.Burns, burn(o, w, total, bad, at))
			}
		}
	}
	return rep
}

func burn(o Objective, workspace string, total, bad []*growth, at time.Time) Burn {
	b := Burn{Workspace: workspace, Objective: o.Name, Target: o.Target, State: OK, Exhausted: never}
	for _, span := range windows {
		b.Windows = append(b.Windows, window(o, total, bad, at, span))
	}
	period := o.Period
	if period <= 0 {
		period = defaultPeriod
	}
	b.BudgetLeft = 1 - window(o, total, bad, at, period).Rate
	if rate := b.Windows[oneHour].Rate; b.BudgetLeft <= 0 {
		b.Exhausted = 0
	} else if rate > 0 {
		// Beyond the range of a Duration the budget counts as lasting.
		if d := b.BudgetLeft * float64(period) / rate; d < math.MaxInt64 {
			b.Exhausted = time.Duration(d)
		}
	}
	switch {
	case b.Windows[fiveMinutes].Rate > fastBurn && b.Windows[oneHour].Rate > fastBurn:
		b.State = Fast
	case b.BudgetLeft <= 0:
		b.State = Spent
	case b.Windows[sixHours].Rate > slowBurn && b.Windows[threeDays].Rate > slowBurn:
		b.State = Slow
	}
	b.Causes = causes(bad, at)
	for i := range curvePoints + 1 {
		t := at.Add(-curveSpan + curveSpan/curvePoints*time.Duration(i))
		b.curve = append(b.curve, curvePoint{t, window(o, total, bad, t, windows[oneHour]).Rate})
	}
	return b
}

func window(o Objective, total, bad []*growth, at time.Time, span time.Duration) Window {
	w := Window{Span: span, Total: sumAll(total, at.Add(-span), at), Bad: sumAll(bad, at.Add(-span), at)}
	if w.Total > 0 && o.Target < 1 {
		w.Rate = w.Bad / w.Total / (1 - o.Target)
	}
	return w
}

func causes(bad []*growth, at time.Time) []Cause {
	sums := make(map[Cause]float64)
	for _, g := range bad {
		if n := g.sum(at.Add(-windows[threeDays]), at); n > 0 {
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

// JSON writes the report as JSON.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "write the report")
}

// Print writes the report as text.
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
		fmt.Fprintf(w, "\n%d lines of the record could not be read\n", r.Torn)
	}
	return nil
}

// Spent returns the time until the budget is spent as text.
func (b Burn) Spent() string {
	if b.Exhausted < 0 {
		return "never"
	}
	return b.Exhausted.Round(time.Minute).String()
}

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
