package checker

import "time"

// beginning is the run of a request that generated the first event of a stream.
type beginning struct {
	at      time.Time
	version string
}

// checkVersions checks that no server goes on with a stream that another software version began.
func (c *Checker) checkVersions(report reportFunc) {
	began := make(map[string]beginning)
	for _, a := range c.arrivals {
		// Of the runs from the beginning, only the last one can have brought an event.
		if b := began[a.RequestID]; a.Executed && a.ResumeAfter == 0 && a.ReceivedAt.After(b.at) {
			began[a.RequestID] = beginning{at: a.ReceivedAt, version: a.Version}
		}
	}
	for _, a := range c.arrivals {
		if !a.Executed || a.ResumeAfter == 0 {
			continue
		}
		id := a.RequestID
		if resumed := c.exchanges[id].Resumes; resumed != "" {
			id = resumed
		}
		if b, ok := began[id]; ok && b.version != a.Version {
			report("version", a.RequestID, "node %d had %s of version %s go on after event %d with a stream that version %s began", c.exchanges[a.RequestID].Node, a.Server, a.Version, a.ResumeAfter, b.version)
		}
	}
}
