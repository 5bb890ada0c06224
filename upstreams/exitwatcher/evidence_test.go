package exitwatcher

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the end of a response that counts as that of a whole one without evidence that its process ran on.
func TestOnlyEvidenceShowsThatAProcessRanOn(t *testing.T) {
	recent, late := maxEndAge, maxEndAge+time.Millisecond
	for _, c := range []struct {
		evidence evidence
		want     bool
	}{
		{evidence{connOpen, dialAccepted, late}, true},
		// A process that shuts down may stop listening before it has sent its last response.
		{evidence{connOpen, dialRefused, late}, true},
		{evidence{connOpen, dialSilent, recent}, false},
		{evidence{connLost, dialAccepted, recent}, false},
		{evidence{connLost, dialRefused, recent}, false},
		{evidence{connLost, dialSilent, recent}, false},
		{evidence{connMissing, dialAccepted, recent}, true},
		// Another process may have taken the address since.
		{evidence{connMissing, dialAccepted, late}, false},
		{evidence{connMissing, dialRefused, recent}, false},
		{evidence{connMissing, dialSilent, recent}, false},
	} {
		t.Run(fmt.Sprintf("%+v", c.evidence), func(t *testing.T) {
			if got := c.evidence.showsProcessRan(); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
