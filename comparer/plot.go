package comparer

import (
	"fmt"
	"image/color"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"foxtailwall/loader"
)

const (
	plotWidth    = 20 * vg.Centimeter
	plotHeight   = 12 * vg.Centimeter
	barWidth     = 8    // points
	markRadius   = 4    // points
	costRequests = 1000 // number of requests whose cost is shown
	groupMargin  = 0.5  // beside the first and the last group, in groups
)

// PlotLatency writes a bar chart of the percentiles of the time to the first token
// of streams. The extension of path sets the format: .svg or .png.
func PlotLatency(results []Result, path string) error {
	return plotBars("Time to the first token of streams", results, func(r Result) loader.Quantiles { return r.FirstToken }, path)
}

// PlotTotal writes a bar chart like that of PlotLatency for the time of answers
// that are not streamed.
func PlotTotal(results []Result, path string) error {
	return plotBars("Time of whole answers", results, func(r Result) loader.Quantiles { return r.Total }, path)
}

// plotBars writes a bar chart of the p50, p95 and p99 latencies of each policy.
func plotBars(title string, results []Result, quantilesOf func(Result) loader.Quantiles, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top = true
	series := []struct {
		name     string
		quantile func(loader.Quantiles) time.Duration
	}{
		{"p50", func(q loader.Quantiles) time.Duration { return q.P50 }},
		{"p95", func(q loader.Quantiles) time.Duration { return q.P95 }},
		{"p99", func(q loader.Quantiles) time.Duration { return q.P99 }},
	}
	for i, s := range series {
		values := make(plotter.Values, len(results))
		for j, r := range results {
			values[j] = inMilliseconds(s.quantile(quantilesOf(r)))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "draw the latency")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(series)-1)/2))
		p.Add(bars)
		p.Legend.Add(s.name, bars)
	}
	var names []string
	for i := range results {
		names = append(names, fmt.Sprint(i+1))
	}
	p.NominalX(names...)
	p.X.Label.Text = "policy, in the order of the table"
	p.X.Min, p.X.Max = p.X.Min-groupMargin, p.X.Max+groupMargin
	p.Y.Max *= 1 + groupMargin/2 // room for the legend
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write the plot of latency")
}

// PlotCost writes a scatter plot of the cost of the policies against the smallest
// margin by which a group of requests exceeds its quality target. Policies on or
// above the zero line meet all targets.
func PlotCost(results []Result, path string) error {
	p := plot.New()
	p.Title.Text = "Cost at the quality target"
	p.X.Label.Text = "cost of 1000 requests"
	p.X.Min = 0
	p.Y.Label.Text = "quality minus target, worst group (points)"
	line := plotter.NewFunction(func(float64) float64 { return 0 })
	line.Color = color.Gray{Y: 128}
	p.Add(plotter.NewGrid(), line)
	for i, r := range results {
		s, err := plotter.NewScatter(plotter.XYs{{X: costRequests * r.Cost, Y: 100 * r.worstMargin()}})
		if err != nil {
			return errors.Wrap(err, "draw the cost")
		}
		s.Color, s.Shape, s.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(markRadius)
		p.Add(s)
		p.Legend.Add(fmt.Sprintf("%d %s", i+1, r.Policy), s)
	}
	p.Legend.Left = true
	// The legend needs room below the marks.
	p.Y.Min, p.X.Max = min(p.Y.Min, 0)-float64(len(results)*2), p.X.Max*1.1
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write the plot of cost")
}

// worstMargin returns the smallest difference between the quality and the target
// of a group, negative if a target is missed.
func (r Result) worstMargin() float64 {
	w := 1.0
	for _, k := range r.Kinds {
		w = min(w, k.Quality-k.Target)
	}
	return w
}
