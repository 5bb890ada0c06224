package exitwatcher

import (
	"testing"
	"time"
)

// Guards against the end of a response that counts as that of a whole one without evidence that its process ran on.
func TestOnlyEvidenceShowsThatAProcessRanOn(t *testing.T) {
	lastData := time.Now()
	soon, late := lastData.Add(replacementTime), lastData.Add(replacementTime+time.Millisecond)
	for _, c := range []struct {
		name     string
		evidence evidence
		readAt   time.Time
		want     bool
	}{
		{"open", evidence{connOpen, lastData, dialAccepted}, late, true},
		{"open, opened soon after the last data", evidence{connOpen, soon, dialAccepted}, late, true},
		// A process that shuts down may stop listening before it has sent its last response.
		{"open, and the address refuses", evidence{connOpen, lastData, dialRefused}, late, true},
		{"open, and the address is silent", evidence{connOpen, lastData, dialSilent}, lastData, false},
		// Another process may have taken the address since.
		{"opened long after the last data", evidence{connOpen, late, dialAccepted}, late, false},
		{"lost, and the address accepts", evidence{connLost, time.Time{}, dialAccepted}, lastData, false},
		{"lost, and the address refuses", evidence{connLost, time.Time{}, dialRefused}, lastData, false},
		{"missing, and the address accepts", evidence{connMissing, time.Time{}, dialAccepted}, soon, true},
		{"missing, and the end was read late", evidence{connMissing, time.Time{}, dialAccepted}, late, false},
		{"missing, and the address refuses", evidence{connMissing, time.Time{}, dialRefused}, lastData, false},
		{"missing, and the address is silent", evidence{connMissing, time.Time{}, dialSilent}, lastData, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := question{readAt: c.readAt, dataAge: c.readAt.Sub(lastData)}
			if got := c.evidence.showsProcessRan(q); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
