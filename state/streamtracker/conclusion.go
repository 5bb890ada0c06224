package streamtracker

import (
	"github.com/cockroachdb/errors"

	"github.com/quetzalroad/quetzalroad"
)

// errNoCurrentView is returned if neither the log nor another node tells which versions are in use.
var errNoCurrentView = errors.New("neither the log nor other nodes tell which software versions are in use")

// conclude returns where a stream began that is resumed at a service, according to this node and to those of the asked
// nodes that responded.
//
// A stream of which nobody knows more began at the only version that the service has had lately. To know that
// there is only one takes a view that is more recent than the stream. What older views show beside it doesn't
// count: no stream begins at a version before the log states that it is open. If no node has such a view, most
// nodes have to say so: then the log responds to hardly any node, and nodes can't have learned of another
// version in the meantime. A node that finds only itself, or a minority, cut off from the log can't tell what
// the others know.
func conclude(s quetzalroad.ServiceName, own quetzalroad.OriginReport, others []quetzalroad.OriginReport, asked int) (quetzalroad.StreamOrigin, error) {
	versions, older := make(versionSet), make(versionSet)
	current, informed := false, 0
	for _, r := range append([]quetzalroad.OriginReport{own}, others...) {
		if r.Found {
			return r.Origin, nil
		}
		current = current || r.IsCurrent
		if len(r.Versions) > 0 {
			informed++
		}
		for _, v := range r.Versions {
			if r.IsCurrent {
				versions[v] = true
			} else {
				older[v] = true
			}
		}
	}
	if !current {
		versions = older
	}
	total := 1 + asked
	switch {
	case !current && 2*informed <= total:
		return quetzalroad.StreamOrigin{}, errNoCurrentView
	case current && len(older) > 0 && !older[versions.only()]:
		// The current view has none of the versions that were known before.
		return quetzalroad.StreamOrigin{}, quetzalroad.ErrOriginUnknown
	case len(versions) == 1:
		return quetzalroad.StreamOrigin{Service: s, Version: versions.only()}, nil
	case !current:
		return quetzalroad.StreamOrigin{}, errNoCurrentView
	}
	return quetzalroad.StreamOrigin{}, quetzalroad.ErrOriginUnknown
}

// settles reports whether no further report can change what follows from one.
func settles(r quetzalroad.OriginReport) bool {
	return r.Found || r.IsCurrent
}
