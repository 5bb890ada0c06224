// Package reporter sums up the answers of a load and draws them.
package reporter

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Answer is one answer of a load.
type Answer struct {
	// At is when it was sent, from the beginning.
	At    time.Duration
	Class string
	// First is the time to the first token, Took that to the end.
	First  time.Duration
	Took   time.Duration
	Tokens int
	Whole  bool
	// Code is the reason of a refusal or of a cut; empty for none.
	Code string
}

// InTarget tells that an answer came whole and began in time.
func (a Answer) InTarget(target time.Duration) bool {
	return a.Whole && a.First <= target
}

// Class is what came of one class.
type Class struct {
	Name  string
	Count int
	Whole int
	// InTarget counts those that came whole and began within the target.
	InTarget int
	// P50, P95 and P99 are of the first tokens.
	P50, P95, P99 time.Duration
}

// Figures sum a load up.
type Figures struct {
	Target  time.Duration
	Span    time.Duration
	Classes []Class
	// Goodput is the number of answers in target a second.
	Goodput float64
	// Tokens counts those received, Wasted those of answers that didn't come
	// whole.
	Tokens int
	Wasted int
	// Codes counts refusals and cuts by reason.
	Codes map[string]int
}

// Sum sums answers up.
func Sum(answers []Answer, span, target time.Duration) Figures {
	f := Figures{Target: target, Span: span, Codes: make(map[string]int)}
	byClass := make(map[string][]Answer)
	good := 0
	for _, a := range answers {
		byClass[a.Class] = append(byClass[a.Class], a)
		f.Tokens += a.Tokens
		if !a.Whole {
			f.Wasted += a.Tokens
		}
		if a.Code != "" {
			f.Codes[a.Code]++
		}
		if a.InTarget(target) {
			good++
		}
	}
	f.Goodput = float64(good) / span.Seconds()
	for name, some := range byClass {
		f.Classes = append(f.Classes, class(name, some, target))
	}
	sort.Slice(f.Classes, func(i, j int) bool { return f.Classes[i].Name < f.Classes[j].Name })
	return f
}

func class(name string, answers []Answer, target time.Duration) Class {
	const highest, figures = int64(time.Hour / time.Microsecond), 3
	h := hdrhistogram.New(1, highest, figures)
	c := Class{Name: name, Count: len(answers)}
	for _, a := range answers {
		if a.Whole {
			c.Whole++
		}
		if a.InTarget(target) {
			c.InTarget++
		}
		if a.First > 0 {
			// Values are within the histogram's range, so no error can come.
			_ = h.RecordValue(min(a.First.Microseconds(), highest))
		}
	}
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	c.P50, c.P95, c.P99 = at(50), at(95), at(99)
	return c
}

// Print writes the figures as a table.
func (f Figures) Print(w io.Writer) error {
	text := fmt.Sprintf("%-8s %7s %7s %9s %10s %10s %10s\n", "class", "sent", "whole", "in target", "p50", "p95", "p99")
	for _, c := range f.Classes {
		text += fmt.Sprintf("%-8s %7d %7d %8.1f%% %10s %10s %10s\n", c.Name, c.Count, c.Whole, share(c.InTarget, c.Count), c.P50.Round(time.Microsecond), c.P95.Round(time.Microsecond), c.P99.Round(time.Microsecond))
	}
	text += fmt.Sprintf("goodput %.1f answers in target a second; %d tokens, %.2f%% wasted\n", f.Goodput, f.Tokens, share(f.Wasted, f.Tokens))
	var codes []string
	for code := range f.Codes {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		text += fmt.Sprintf("%-28s %d\n", code, f.Codes[code])
	}
	_, err := io.WriteString(w, text)
	return err
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// Form is the JSON form of figures.
type Form struct {
	Target  string         `json:"target"`
	Span    string         `json:"span"`
	Classes []ClassForm    `json:"classes"`
	Goodput float64        `json:"goodput-per-second"`
	Tokens  int            `json:"tokens"`
	Wasted  int            `json:"tokens-wasted"`
	Codes   map[string]int `json:"refusals"`
}

// ClassForm is the JSON form of a class.
type ClassForm struct {
	Name     string `json:"name"`
	Count    int    `json:"sent"`
	Whole    int    `json:"whole"`
	InTarget int    `json:"in-target"`
	P50      string `json:"first-token-p50"`
	P95      string `json:"first-token-p95"`
	P99      string `json:"first-token-p99"`
}

// Form gives the JSON form.
func (f Figures) Form() Form {
	form := Form{Target: f.Target.String(), Span: f.Span.String(), Goodput: f.Goodput, Tokens: f.Tokens, Wasted: f.Wasted, Codes: f.Codes}
	for _, c := range f.Classes {
		form.Classes = append(form.Classes, ClassForm{
			Name: c.Name, Count: c.Count, Whole: c.Whole, InTarget: c.InTarget, P50: c.P50.String(), P95: c.P95.String(), P99: c.P99.String(),
		})
	}
	return form
}
