package reporter

import (
	"bytes"
	"html/template"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 3 * vg.Inch
	// bucketWidth is the span that a point of a plot stands for.
	bucketWidth = time.Second
)

// bucketStats is what happened in one bucket.
type bucketStats struct {
	sent          int
	metTarget     int
	maxFirstToken time.Duration
}

// groupByTime sorts the answers of a class by the time they were sent.
func groupByTime(results []Result, class string, target time.Duration) []bucketStats {
	var stats []bucketStats
	for _, a := range results {
		if a.Class != class {
			continue
		}
		i := int(a.SentAt / bucketWidth)
		for len(stats) <= i {
			stats = append(stats, bucketStats{})
		}
		stats[i].sent++
		stats[i].maxFirstToken = max(stats[i].maxFirstToken, a.FirstTokenLatency)
		if a.MeetsTarget(target) {
			stats[i].metTarget++
		}
	}
	return stats
}

// newLine draws a value of each bucket.
func newLine(stats []bucketStats, value func(bucketStats) float64) (*plotter.Line, error) {
	xys := make(plotter.XYs, len(stats))
	for i, p := range stats {
		xys[i] = plotter.XY{X: float64(i) * bucketWidth.Seconds(), Y: value(p)}
	}
	return plotter.NewLine(xys)
}

// renderSVG gives a plot of some lines as SVG.
func renderSVG(title, unit string, names []string, lines []*plotter.Line) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	for i, l := range lines {
		if i == 1 {
			l.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(l)
		p.Legend.Add(names[i], l)
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Load</title></head><body>
<h1>Load</h1><pre>{{.Table}}</pre>{{range .Plots}}<div>{{.}}</div>{{end}}
</body></html>
`))

// WriteHTML writes a page with the figures, demand against attainment and the
// worst first tokens of each class.
func WriteHTML(path string, s Summary, results []Result) error {
	var table bytes.Buffer
	if err := s.Print(&table); err != nil {
		return err
	}
	var plots []template.HTML
	for _, c := range s.Classes {
		stats := groupByTime(results, c.Name, s.Target)
		sent, err := newLine(stats, func(p bucketStats) float64 { return float64(p.sent) })
		if err != nil {
			return err
		}
		metTarget, err := newLine(stats, func(p bucketStats) float64 { return float64(p.metTarget) })
		if err != nil {
			return err
		}
		maxFirstToken, err := newLine(stats, func(p bucketStats) float64 { return p.maxFirstToken.Seconds() })
		if err != nil {
			return err
		}
		demandPlot, err := renderSVG(c.Name+": demand and attainment", "requests a second", []string{"sent", "in target"}, []*plotter.Line{sent, metTarget})
		if err != nil {
			return err
		}
		latencyPlot, err := renderSVG(c.Name+": worst first token", "seconds", []string{"worst"}, []*plotter.Line{maxFirstToken})
		if err != nil {
			return err
		}
		plots = append(plots, demandPlot, latencyPlot)
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, struct {
		Table string
		Plots []template.HTML
	}{table.String(), plots}); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}
