// Package recorder records metrics of a node's decisions, for /debug/vars.
package recorder

import (
	"expvar"
	"log/slog"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotRecorder, Name: "expvar", Default: true,
		New: func() kernel.Component { return new(Recorder) },
	})
}

// Recorder is the component that records metrics. The zero value is ready for use;
// its maps are its own and are not published before Build.
type Recorder struct {
	logger           *slog.Logger
	metricsAddresses []netip.AddrPort

	refusals        expvar.Map
	retries         expvar.Map
	failures        expvar.Map
	outcomes        expvar.Map
	violations      expvar.Map
	sent            expvar.Map
	received        expvar.Map
	crossDataCentre expvar.Map
	attempts        expvar.Int
	tokensGenerated expvar.Int
	tokensWasted    expvar.Int
	queueWaits      histograms
	firstTokens     histograms
	inTarget        expvar.Map
}

// Declare implements kernel.Component.
func (r *Recorder) Declare(s *configloader.Section) {
	s.Addresses("metrics-addresses", &r.metricsAddresses, "Addresses at which to serve all counters and histograms as text.")
}

// Build implements kernel.Component.
func (r *Recorder) Build(n *kernel.Node) error {
	r.logger = n.Logger
	n.Recorder = r
	n.Vars.Set("refusals", &r.refusals)
	n.Vars.Set("retries", &r.retries)
	n.Vars.Set("failed-attempts", &r.failures)
	n.Vars.Set("outcomes", &r.outcomes)
	n.Vars.Set("invariant-breaches", &r.violations)
	n.Vars.Set("control-bytes-sent", &r.sent)
	n.Vars.Set("control-bytes-received", &r.received)
	n.Vars.Set("far-bytes", &r.crossDataCentre)
	n.Vars.Set("attempts", &r.attempts)
	n.Vars.Set("tokens-generated", &r.tokensGenerated)
	n.Vars.Set("tokens-wasted", &r.tokensWasted)
	n.Vars.Set("queue-waits", &r.queueWaits)
	n.Vars.Set("first-tokens", &r.firstTokens)
	n.Vars.Set("first-tokens-in-target", &r.inTarget)
	n.Vars.Set("process-cpu-seconds", expvar.Func(cpuSeconds))
	for _, a := range r.metricsAddresses {
		if err := serveMetrics(n, a); err != nil {
			return err
		}
	}
	return nil
}

// cpuSeconds returns the CPU time of the process, in seconds.
func cpuSeconds() any {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0.0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	return total.Seconds()
}

// CountRefusal implements quetzalroad.Recorder.
func (r *Recorder) CountRefusal(reason quetzalroad.RefusalReason) {
	r.refusals.Add(string(reason), 1)
}

// CountRetry implements quetzalroad.Recorder.
func (r *Recorder) CountRetry(reason quetzalroad.RetryReason) {
	r.retries.Add(string(reason), 1)
}

// CountAttempt implements quetzalroad.Recorder.
func (r *Recorder) CountAttempt() {
	r.attempts.Add(1)
}

// CountFailure implements quetzalroad.Recorder.
func (r *Recorder) CountFailure(reason quetzalroad.RetryReason) {
	r.failures.Add(string(reason), 1)
}

// CountTokens implements quetzalroad.Recorder.
func (r *Recorder) CountTokens(generated, wasted int) {
	r.tokensGenerated.Add(int64(generated))
	r.tokensWasted.Add(int64(wasted))
}

// ObserveQueueWait implements quetzalroad.Recorder.
func (r *Recorder) ObserveQueueWait(class quetzalroad.Class, wait time.Duration) {
	r.queueWaits.observe(class, wait)
}

// ObserveFirstToken implements quetzalroad.Recorder.
func (r *Recorder) ObserveFirstToken(class quetzalroad.Class, latency time.Duration, withinTarget bool) {
	r.firstTokens.observe(class, latency)
	if withinTarget {
		r.inTarget.Add(string(class), 1)
	}
}

// CountOutcome implements quetzalroad.Recorder.
func (r *Recorder) CountOutcome(class quetzalroad.Class, o quetzalroad.Outcome) {
	r.outcomes.Add(string(class)+"/"+string(o), 1)
}

// CountSent implements quetzalroad.Recorder.
func (r *Recorder) CountSent(kind quetzalroad.ControlKind, bytes int) {
	r.sent.Add(string(kind), int64(bytes))
}

// CountReceived implements quetzalroad.Recorder.
func (r *Recorder) CountReceived(kind quetzalroad.ControlKind, bytes int) {
	r.received.Add(string(kind), int64(bytes))
}

// CountCrossDataCentre implements quetzalroad.Recorder.
func (r *Recorder) CountCrossDataCentre(purpose quetzalroad.CrossDataCentrePurpose, bytes int) {
	r.crossDataCentre.Add(string(purpose), int64(bytes))
}

// RecordViolation implements quetzalroad.Recorder.
func (r *Recorder) RecordViolation(invariant, observed string) {
	r.violations.Add(invariant, 1)
	if r.logger != nil {
		r.logger.Error("invariant broken", "invariant", invariant, "seen", observed)
	}
}

// RetainClasses implements quetzalroad.Recorder.
func (r *Recorder) RetainClasses(classes map[quetzalroad.Class]bool) {
	r.queueWaits.retain(classes)
	r.firstTokens.retain(classes)
	for _, counts := range []*expvar.Map{&r.outcomes, &r.inTarget} {
		var gone []string
		counts.Do(func(v expvar.KeyValue) {
			class, _, _ := strings.Cut(v.Key, "/")
			if !classes[quetzalroad.Class(class)] {
				gone = append(gone, v.Key)
			}
		})
		// The map can't be changed within Do.
		for _, key := range gone {
			counts.Delete(key)
		}
	}
}
