// Package limitsetter tells the node and the Go runtime which limits the platform sets for the process.
package limitsetter

import (
	"math"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/kernel"
	"github.com/quetzalroad/quetzalroad/support/configloader"
)

func init() {
	kernel.Register(kernel.Plugin{
		Slot: kernel.SlotProcess, Name: "limits", Default: true,
		New: func() kernel.Component { return new(Setter) },
	})
}

// Setter is the component that sets the limits. The zero value sets none.
type Setter struct {
	memoryMB     string
	descriptors  string
	runtimeShare float64
}

// Declare implements kernel.Component. Limits are strings, as the platform leaves those empty that it doesn't set.
func (s *Setter) Declare(section *configloader.Section) {
	section.String("memory-mb", &s.memoryMB, "", "Memory limit of the process in MiB, beyond which the platform ends it; empty if there is none.")
	section.String("descriptors", &s.descriptors, "", "File descriptors that the process may open; empty for the limit that the operating system states.")
	section.Float("runtime-share", &s.runtimeShare, 0.7, 0.1, 1, "Share of the memory limit at which the Go runtime collects garbage more often. The rest is for the program itself and for memory that the runtime doesn't count.")
}

// Build implements kernel.Component.
func (s *Setter) Build(n *kernel.Node) error {
	megabytes, err := parseLimit("memory-mb", s.memoryMB)
	if err != nil {
		return err
	}
	descriptors, err := parseLimit("descriptors", s.descriptors)
	if err != nil {
		return err
	}
	if descriptors == 0 {
		descriptors = systemDescriptors()
	}
	n.Limits = quetzalroad.ProcessLimits{MemoryBytes: megabytes << 20, Descriptors: descriptors}
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(s.runtimeShare * float64(n.Limits.MemoryBytes)))
	}
	return nil
}

// parseLimit returns a limit; zero if there is none, for which templates have no text or JSON's null.
func parseLimit(key, text string) (int, error) {
	if text == "" || text == "null" {
		return 0, nil
	}
	limit, err := strconv.ParseUint(text, 10, 31)
	return int(limit), errors.Wrapf(err, "process.%s", key)
}

// systemDescriptors returns the limit that the operating system states; zero if there is none.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}
