package bench

import (
	"bytes"
	"fmt"
	"html/template"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	fileMode   = 0o600
	dirMode    = 0o700
)

// quantiles are the points of a plotted distribution, in percent.
var quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5}

type figure struct {
	Title string
	SVG   template.HTML
}

var page = template.Must(template.New("report").Parse(`<!doctype html>
<meta charset="utf-8">
<title>gypsumvale: decisions beside baselines</title>
<style>body{font-family:sans-serif;margin:2em;max-width:60em}pre{overflow-x:auto;font-size:80%}</style>
<h1>Decisions beside baselines and an oracle</h1>
<p>Virtual time, fixed seed: every run gives the same figures. Times to first token of short work, in milliseconds.</p>
{{range .Figures}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>All measures</h2><pre>{{.Text}}</pre>
`))

// WriteHTML writes the report as one page with a plot for each scenario.
func (r *Report) WriteHTML(path string) error {
	var figures []figure
	for start := 0; start < len(r.Results); start += len(Policies) {
		f, err := plotScenario(r.Results[start : start+len(Policies)])
		if err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		figures = append(figures, f)
	}
	var text, out bytes.Buffer
	r.Print(&text)
	if err := page.Execute(&out, struct {
		Figures []figure
		Text    string
	}{figures, text.String()}); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := os.WriteFile(path, out.Bytes(), fileMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// plotScenario draws the distribution of the first token's time under each policy.
func plotScenario(measures []*Result) (figure, error) {
	p := plot.New()
	p.X.Label.Text = "requests, percent"
	p.Y.Label.Text = "first token, ms"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, m := range measures {
		points := make(plotter.XYs, len(quantiles))
		for i, quantile := range quantiles {
			points[i] = plotter.XY{X: quantile, Y: ms(m.FirstToken, quantile)}
		}
		lines = append(lines, string(m.Policy), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return figure{}, fmt.Errorf("plot %s: %w", measures[0].Scenario, err)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return figure{}, fmt.Errorf("plot %s: %w", measures[0].Scenario, err)
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return figure{}, fmt.Errorf("plot %s: %w", measures[0].Scenario, err)
	}
	// The library's own output holds nothing from outside.
	_, drawing, _ := bytes.Cut(svg.Bytes(), []byte("<svg"))
	return figure{Title: measures[0].Scenario, SVG: template.HTML("<svg" + string(drawing))}, nil
}
