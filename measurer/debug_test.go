package measurer

import (
	"runtime"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	u := users[0]
	o := run(t, u.burst(), ours)
	late, slow, ref := 0, 0, map[string]int{}
	hist := map[int]int{}
	for _, a := range o.of("chat") {
		switch {
		case a.err != nil:
			ref[a.err.Error()]++
		case a.first > u.chatTarget:
			late++
		case a.pace > tokenTarget:
			slow++
			hist[int(a.pace/time.Millisecond)]++
		}
	}
	t.Log(len(o.of("chat")), "late", late, "slow", slow, "refused", ref, hist)
	byPlace := map[int]int{}
	for _, a := range o.of("chat") {
		if !inTarget(a, u.chatTarget) {
			byPlace[a.place]++
		}
	}
	t.Log(byPlace)
}
