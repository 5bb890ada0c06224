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
	// bucket is the span that a point of a plot stands for.
	bucket = time.Second
)

// point is what happened in one bucket.
type point struct {
	sent     int
	inTarget int
	worst    time.Duration
}

// buckets sorts the answers of a class by the time they were sent.
func buckets(answers []Answer, class string, target time.Duration) []point {
	var points []point
	for _, a := range answers {
		if a.Class != class {
			continue
		}
		i := int(a.At / bucket)
		for len(points) <= i {
			points = append(points, point{})
		}
		points[i].sent++
		points[i].worst = max(points[i].worst, a.First)
		if a.InTarget(target) {
			points[i].inTarget++
		}
	}
	return points
}

// line draws a value of each bucket.
func line(points []point, value func(point) float64) (*plotter.Line, error) {
	xys := make(plotter.XYs, len(points))
	for i, p := range points {
		xys[i] = plotter.XY{X: float64(i) * bucket.Seconds(), Y: value(p)}
	}
	return plotter.NewLine(xys)
}

// draw gives a plot of some lines as SVG.
func draw(title, unit string, names []string, lines []*plotter.Line) (template.HTML, error) {
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

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Load</title></head><body>
<h1>Load</h1><pre>{{.Table}}</pre>{{range .Plots}}<div>{{.}}</div>{{end}}
</body></html>
`))

// WriteHTML writes a page with the figures, demand against attainment and the
// worst first tokens of each class.
func WriteHTML(file string, f Figures, answers []Answer) error {
	var table bytes.Buffer
	if err := f.Print(&table); err != nil {
		return err
	}
	var plots []template.HTML
	for _, c := range f.Classes {
		points := buckets(answers, c.Name, f.Target)
		sent, err := line(points, func(p point) float64 { return float64(p.sent) })
		if err != nil {
			return err
		}
		good, err := line(points, func(p point) float64 { return float64(p.inTarget) })
		if err != nil {
			return err
		}
		worst, err := line(points, func(p point) float64 { return p.worst.Seconds() })
		if err != nil {
			return err
		}
		demand, err := draw(c.Name+": demand and attainment", "requests a second", []string{"sent", "in target"}, []*plotter.Line{sent, good})
		if err != nil {
			return err
		}
		waits, err := draw(c.Name+": worst first token", "seconds", []string{"worst"}, []*plotter.Line{worst})
		if err != nil {
			return err
		}
		plots = append(plots, demand, waits)
	}
	var b bytes.Buffer
	if err := page.Execute(&b, struct {
		Table string
		Plots []template.HTML
	}{table.String(), plots}); err != nil {
		return err
	}
	return os.WriteFile(file, b.Bytes(), 0o644)
}
