package limitsetter

import (
	"math"
	"runtime/debug"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
)

// A template whose platform states no limits made the node's settings invalid, or a wrong limit went unnoticed.
func TestLimitsAreThoseOfTheSettings(t *testing.T) {
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	for name, c := range map[string]struct {
		setter  Setter
		want    quetzalroad.ProcessLimits
		runtime int64
		invalid bool
	}{
		"both":           {setter: Setter{memoryMB: "112", descriptors: "4100", runtimeShare: 0.5}, want: quetzalroad.ProcessLimits{MemoryBytes: 112 << 20, Descriptors: 4100}, runtime: 56 << 20},
		"none":           {setter: Setter{runtimeShare: 0.5}, want: quetzalroad.ProcessLimits{Descriptors: systemDescriptors()}, runtime: math.MaxInt64},
		"null":           {setter: Setter{memoryMB: "null", descriptors: "null", runtimeShare: 0.5}, want: quetzalroad.ProcessLimits{Descriptors: systemDescriptors()}, runtime: math.MaxInt64},
		"not a number":   {setter: Setter{memoryMB: "much"}, invalid: true},
		"not a positive": {setter: Setter{descriptors: "-1"}, invalid: true},
	} {
		t.Run(name, func(t *testing.T) {
			debug.SetMemoryLimit(math.MaxInt64)
			n := new(kernel.Node)
			if err := c.setter.Build(n); (err != nil) != c.invalid {
				t.Fatal(err)
			}
			if c.invalid {
				return
			}
			if diff := cmp.Diff(c.want, n.Limits); diff != "" {
				t.Error(diff)
			}
			if got := debug.SetMemoryLimit(-1); got != c.runtime {
				t.Errorf("the runtime's limit is %d, want %d", got, c.runtime)
			}
		})
	}
}
