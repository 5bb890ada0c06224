// Package plotter draws what callers got over the timeline of a soak's faults.
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

	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/judge"
	"github.com/quetzalroad/quetzalroad/cmd/quetzalsoak/scheduler"
)

const (
	width  = 10 * vg.Inch
	height = 4 * vg.Inch
	// bucket is the span that a point stands for.
	bucket = time.Second
)

// point counts the requests sent in a bucket by what became of them.
type point struct{ sent, served, refused, other int }

func count(began time.Time, sent []judge.Sent) []point {
	var points []point
	for _, s := range sent {
		i := int(s.Response.SentAt.Sub(began) / bucket)
		if i < 0 {
			continue
		}
		for len(points) <= i {
			points = append(points, point{})
		}
		p := &points[i]
		p.sent++
		switch {
		case s.Complete && s.Status == http.StatusOK:
			p.served++
		case s.Complete && s.Status == http.StatusServiceUnavailable:
			p.refused++
		default:
			p.other++
		}
	}
	return points
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Soak</title></head><body>
<h1>Soak, seed {{.Seed}}</h1><div>{{.Plot}}</div>
<h2>Faults</h2><pre>{{range .Faults}}{{.}}
{{end}}</pre>
<h2>Broken promises</h2><pre>{{range .Findings}}{{.}}
{{else}}none{{end}}</pre>
</body></html>
`))

// Run is what is drawn.
type Run struct {
	Seed     uint64
	Began    time.Time
	Sent     []judge.Sent
	Faults   []scheduler.Fault
	Findings []judge.Finding
}

// Write writes a page with a run's plot.
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
	p.Title.Text = "requests by what became of them; faults begin at the grey lines"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests a second"
	points := count(r.Began, r.Sent)
	most := 0
	for _, one := range points {
		most = max(most, one.sent)
	}
	for _, f := range r.Faults {
		at := f.At.Seconds()
		l, err := plotter.NewLine(plotter.XYs{{X: at}, {X: at, Y: float64(most)}})
		if err != nil {
			return "", err
		}
		l.Color = color.Gray{Y: 200}
		p.Add(l)
	}
	for _, series := range []struct {
		name  string
		color color.Color
		value func(point) int
	}{
		{"served", color.RGBA{G: 128, A: 255}, func(p point) int { return p.served }},
		{"refused", color.RGBA{B: 255, A: 255}, func(p point) int { return p.refused }},
		{"failed or cut", color.RGBA{R: 255, A: 255}, func(p point) int { return p.other }},
	} {
		xys := make(plotter.XYs, len(points))
		for i, one := range points {
			xys[i] = plotter.XY{X: float64(i), Y: float64(series.value(one))}
		}
		l, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		l.Color = series.color
		p.Add(l)
		p.Legend.Add(series.name, l)
	}
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil
}
