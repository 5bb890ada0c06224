// Package plotter plots the outcomes of a run's requests over the timeline of its faults.
package plotter

import (
	"bytes"
	"html/template"
	"image/color"
	"net/http"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/checker"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
)

const (
	width  = 10 * vg.Inch
	height = 4 * vg.Inch
	// bucketWidth is the time that a point of a curve covers.
	bucketWidth = time.Second
)

// bucketCounts counts the requests sent in a bucket by outcome: status 200 is served, 503 refused, all else failed.
type bucketCounts struct{ sent, served, refused, failed int }

func countByBucket(start time.Time, exchanges []checker.Exchange) []bucketCounts {
	var buckets []bucketCounts
	for _, e := range exchanges {
		i := int(e.Response.SentAt.Sub(start) / bucketWidth)
		if i < 0 {
			continue
		}
		for len(buckets) <= i {
			buckets = append(buckets, bucketCounts{})
		}
		counts := &buckets[i]
		counts.sent++
		switch {
		case e.Complete && e.Status == http.StatusOK:
			counts.served++
		case e.Complete && e.Status == http.StatusServiceUnavailable:
			counts.refused++
		default:
			counts.failed++
		}
	}
	return buckets
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Soak</title></head><body>
<h1>Soak, seed {{.Seed}}</h1><div>{{.Plot}}</div>
<h2>Faults</h2><pre>{{range .Faults}}{{.}}
{{end}}</pre>
<h2>Violations</h2><pre>{{range .Violations}}{{.}}
{{else}}none{{end}}</pre>
</body></html>
`))

// Run is the record of a run.
type Run struct {
	Seed       uint64
	Start      time.Time
	Exchanges  []checker.Exchange
	Faults     []scheduler.Fault
	Violations []checker.Violation
}

// Write writes an HTML page with a run's plot, faults and violations.
func Write(file string, r Run) error {
	svg, err := draw(r)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := page.Execute(&b, struct {
		Run
		Plot template.HTML
	}{r, svg}); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o644)
}

func draw(r Run) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "requests by outcome; grey lines mark the start of faults"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests per second"
	buckets := countByBucket(r.Start, r.Exchanges)
	maxSent := 0
	for _, counts := range buckets {
		maxSent = max(maxSent, counts.sent)
	}
	for _, f := range r.Faults {
		seconds := f.Start.Seconds()
		line, err := plotter.NewLine(plotter.XYs{{X: seconds}, {X: seconds, Y: float64(maxSent)}})
		if err != nil {
			return "", err
		}
		line.Color = color.Gray{Y: 200}
		p.Add(line)
	}
	for _, curve := range []struct {
		name  string
		color color.Color
		count func(bucketCounts) int
	}{
		{"served", color.RGBA{G: 128, A: 255}, func(counts bucketCounts) int { return counts.served }},
		{"refused", color.RGBA{B: 255, A: 255}, func(counts bucketCounts) int { return counts.refused }},
		{"failed or interrupted", color.RGBA{R: 255, A: 255}, func(counts bucketCounts) int { return counts.failed }},
	} {
		xys := make(plotter.XYs, len(buckets))
		for i, counts := range buckets {
			xys[i] = plotter.XY{X: float64(i), Y: float64(curve.count(counts))}
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		line.Color = curve.color
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	svg, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := svg.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}
