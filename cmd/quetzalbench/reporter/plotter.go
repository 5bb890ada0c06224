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
	// bucketWidth is the time covered by one point of a plot.
	bucketWidth = time.Second
)

// bucketStats summarizes the requests sent in one time bucket.
type bucketStats struct {
	sent          int
	metTarget     int
	maxFirstToken time.Duration
}

// groupByTime groups the results of a class into buckets by send time.
func groupByTime(results []Result, class string, target time.Duration) []bucketStats {
	var buckets []bucketStats
	for _, r := range results {
		if r.Class != class {
			continue
		}
		i := int(r.SentAt / bucketWidth)
		for len(buckets) <= i {
			buckets = append(buckets, bucketStats{})
		}
		buckets[i].sent++
		buckets[i].maxFirstToken = max(buckets[i].maxFirstToken, r.FirstTokenLatency)
		if r.MeetsTarget(target) {
			buckets[i].metTarget++
		}
	}
	return buckets
}

// newLine returns a line of one value per bucket.
func newLine(buckets []bucketStats, value func(bucketStats) float64) (*plotter.Line, error) {
	xys := make(plotter.XYs, len(buckets))
	for i, bucket := range buckets {
		xys[i] = plotter.XY{X: float64(i) * bucketWidth.Seconds(), Y: value(bucket)}
	}
	return plotter.NewLine(xys)
}

// renderSVG returns a plot of the lines as SVG.
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

// WriteHTML writes a page with the summary table and, for each class, plots of
// demand against attainment and of the highest first-token latency.
func WriteHTML(path string, s Summary, results []Result) error {
	var table bytes.Buffer
	if err := s.Print(&table); err != nil {
		return err
	}
	var plots []template.HTML
	for _, c := range s.Classes {
		buckets := groupByTime(results, c.Name, s.Target)
		sent, err := newLine(buckets, func(bucket bucketStats) float64 { return float64(bucket.sent) })
		if err != nil {
			return err
		}
		metTarget, err := newLine(buckets, func(bucket bucketStats) float64 { return float64(bucket.metTarget) })
		if err != nil {
			return err
		}
		maxFirstToken, err := newLine(buckets, func(bucket bucketStats) float64 { return bucket.maxFirstToken.Seconds() })
		if err != nil {
			return err
		}
		demandPlot, err := renderSVG(c.Name+": demand and attainment", "requests per second", []string{"sent", "within target"}, []*plotter.Line{sent, metTarget})
		if err != nil {
			return err
		}
		latencyPlot, err := renderSVG(c.Name+": highest first-token latency", "seconds", []string{"worst"}, []*plotter.Line{maxFirstToken})
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
