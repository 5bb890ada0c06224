// Package reporter summarizes and plots the results of a load run.
package reporter

import (
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of one request.
type Result struct {
	// SentAt is the send time since the start of the run.
	SentAt time.Duration
	Class  string
	// FirstTokenLatency is zero if no token was received.
	FirstTokenLatency time.Duration
	Duration          time.Duration
	Tokens            int
	Complete          bool
	// ErrorCode is the code of a refusal or of a failed response, or empty.
	ErrorCode string
}

// MeetsTarget reports whether the response is complete and its first token within the target.
func (r Result) MeetsTarget(target time.Duration) bool {
	return r.Complete && r.FirstTokenLatency <= target
}

// ClassSummary summarizes the results of one class.
type ClassSummary struct {
	Name     string
	Count    int
	Complete int
	// MetTarget counts complete responses with their first token within the target.
	MetTarget int
	// P50, P95 and P99 are percentiles of the first-token latency.
	P50, P95, P99 time.Duration
}

// Summary summarizes a load run.
type Summary struct {
	Target   time.Duration
	Duration time.Duration
	Classes  []ClassSummary
	// Goodput is the number of responses per second that met the target.
	Goodput float64
	// Tokens counts all tokens received, WastedTokens those of incomplete responses.
	Tokens       int
	WastedTokens int
	// ErrorCounts counts refusals and failed responses by error code.
	ErrorCounts map[string]int
}

// Summarize computes the summary of the results.
func Summarize(results []Result, duration, target time.Duration) Summary {
	summary := Summary{Target: target, Duration: duration, ErrorCounts: make(map[string]int)}
	byClass := make(map[string][]Result)
	metTarget := 0
	for _, r := range results {
		byClass[r.Class] = append(byClass[r.Class], r)
		summary.Tokens += r.Tokens
		if !r.Complete {
			summary.WastedTokens += r.Tokens
		}
		if r.ErrorCode != "" {
			summary.ErrorCounts[r.ErrorCode]++
		}
		if r.MeetsTarget(target) {
			metTarget++
		}
	}
	summary.Goodput = float64(metTarget) / duration.Seconds()
	for name, classResults := range byClass {
		summary.Classes = append(summary.Classes, summarizeClass(name, classResults, target))
	}
	sort.Slice(summary.Classes, func(i, j int) bool { return summary.Classes[i].Name < summary.Classes[j].Name })
	return summary
}

func summarizeClass(name string, results []Result, target time.Duration) ClassSummary {
	const maxValue, significantDigits = int64(time.Hour / time.Microsecond), 3
	histogram := hdrhistogram.New(1, maxValue, significantDigits)
	c := ClassSummary{Name: name, Count: len(results)}
	for _, r := range results {
		if r.Complete {
			c.Complete++
		}
		if r.MeetsTarget(target) {
			c.MetTarget++
		}
		if r.FirstTokenLatency > 0 {
			// The value is within the histogram's range, so this can't fail.
			_ = histogram.RecordValue(min(r.FirstTokenLatency.Microseconds(), maxValue))
		}
	}
	percentile := func(q float64) time.Duration { return time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond }
	c.P50, c.P95, c.P99 = percentile(50), percentile(95), percentile(99)
	return c
}

// Print writes the summary as a table.
func (s Summary) Print(w io.Writer) error {
	text := fmt.Sprintf("%-8s %7s %7s %9s %10s %10s %10s\n", "class", "sent", "whole", "on target", "p50", "p95", "p99")
	for _, c := range s.Classes {
		text += fmt.Sprintf("%-8s %7d %7d %8.1f%% %10s %10s %10s\n", c.Name, c.Count, c.Complete, percentage(c.MetTarget, c.Count), c.P50.Round(time.Microsecond), c.P95.Round(time.Microsecond), c.P99.Round(time.Microsecond))
	}
	text += fmt.Sprintf("goodput %.1f responses within target per second; %d tokens, %.2f%% wasted\n", s.Goodput, s.Tokens, percentage(s.WastedTokens, s.Tokens))
	var codes []string
	for code := range s.ErrorCounts {
		codes = append(codes, code)
	}
	sort.Strings(codes)
	for _, code := range codes {
		text += fmt.Sprintf("%-28s %d\n", code, s.ErrorCounts[code])
	}
	_, err := io.WriteString(w, text)
	return err
}

func percentage(part, total int) float64 {
	if total == 0 {
		return 0
	}
	return 100 * float64(part) / float64(total)
}

// SummaryJSON is the JSON form of a summary.
type SummaryJSON struct {
	Target       string             `json:"target"`
	Duration     string             `json:"span"`
	Classes      []ClassSummaryJSON `json:"classes"`
	Goodput      float64            `json:"goodput-per-second"`
	Tokens       int                `json:"tokens"`
	WastedTokens int                `json:"tokens-wasted"`
	ErrorCounts  map[string]int     `json:"refusals"`
}

// ClassSummaryJSON is the JSON form of a class summary.
type ClassSummaryJSON struct {
	Name      string `json:"name"`
	Count     int    `json:"sent"`
	Complete  int    `json:"whole"`
	MetTarget int    `json:"in-target"`
	P50       string `json:"first-token-p50"`
	P95       string `json:"first-token-p95"`
	P99       string `json:"first-token-p99"`
}

// JSON returns the JSON form of the summary.
func (s Summary) JSON() SummaryJSON {
	summary := SummaryJSON{Target: s.Target.String(), Duration: s.Duration.String(), Goodput: s.Goodput, Tokens: s.Tokens, WastedTokens: s.WastedTokens, ErrorCounts: s.ErrorCounts}
	for _, c := range s.Classes {
		summary.Classes = append(summary.Classes, ClassSummaryJSON{
			Name: c.Name, Count: c.Count, Complete: c.Complete, MetTarget: c.MetTarget, P50: c.P50.String(), P95: c.P95.String(), P99: c.P99.String(),
		})
	}
	return summary
}
