package reporter

import (
	"bytes"
	"html/template"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

type (
	// pageData is the data of pageTemplate.
	pageData struct {
		Report
		Plots []figure
	}

	// figure is a plot with its title.
	figure struct {
		Title string
		SVG   template.HTML
	}
)

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": func(f float64) float64 { return 100 * f },
	"causes":  Burn.causeText,
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>foxtailwall burn report</title>
<style>
body{font:14px/1.5 sans-serif;margin:2em auto;max-width:75em;color:#222}
table{border-collapse:collapse}td,th{padding:.25em .7em;border-bottom:1px solid #ccc;text-align:right}
td:nth-child(-n+2),th:nth-child(-n+2),td:last-child,th:last-child{text-align:left}
tr.burning td:nth-child(4){color:#b00020;font-weight:bold}
svg{max-width:100%;height:auto}
</style></head><body>
<h1>Burn report</h1>
<p>At {{.At.UTC.Format "2006-01-02 15:04:05 UTC"}}. A burn rate of 1 spends the budget exactly in its period.</p>
<table><tr><th>workspace</th><th>objective</th><th>target</th><th>state</th><th>5 m</th><th>1 h</th><th>6 h</th><th>3 d</th><th>budget left</th><th>spent in</th><th>causes (3 d)</th></tr>
{{range .Burns}}<tr{{if ne .State "ok"}} class="burning"{{end}}><td>{{.Workspace}}</td><td>{{.Objective}}</td><td>{{percent .Target | printf "%.4g%%"}}</td><td>{{.State}}</td>{{range .Windows}}<td>{{printf "%.2f" .Rate}}</td>{{end}}<td>{{percent .BudgetLeft | printf "%.1f%%"}}</td><td>{{.Spent}}</td><td>{{causes .}}</td></tr>
{{end}}</table>
{{range .Plots}}<h2>{{.Title}}</h2>
{{.SVG}}
{{end}}</body></html>
`))

// Page writes the report as a self-contained HTML page with the plots embedded
// as SVG.
func (r Report) Page(w io.Writer) error {
	p := pageData{Report: r}
	var names []string
	byName := make(map[string][]Burn)
	for _, b := range r.Burns {
		if _, ok := byName[b.Objective]; !ok {
			names = append(names, b.Objective)
		}
		byName[b.Objective] = append(byName[b.Objective], b)
	}
	for _, name := range names {
		svg, err := drawBurns(byName[name], r.At)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, figure{Title: "Burn rate over 1 h: " + name, SVG: svg})
	}
	return errors.Wrap(pageTemplate.Execute(w, p), "write the page")
}

// drawBurns plots the burn rates of one objective, one line per workspace.
func drawBurns(burns []Burn, at time.Time) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, b := range burns {
		xy := make(plotter.XYs, len(b.curve))
		for j, c := range b.curve {
			xy[j] = plotter.XY{X: c.at.Sub(at).Hours(), Y: c.rate}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return "", errors.Wrap(err, "draw the burn rate")
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(b.Workspace, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "write the plot")
	}
	// HTML does not allow the XML declaration before the svg element.
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	return template.HTML(svg), nil
}
