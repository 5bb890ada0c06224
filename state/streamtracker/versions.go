package streamtracker

import (
	"maps"

	"github.com/quetzalroad/quetzalroad"
)

// versionSet holds the software versions of a service.
type versionSet map[quetzalroad.SoftwareVersion]bool

// versionSets holds the software versions of services. A stored one is never modified.
type versionSets map[quetzalroad.ServiceName]versionSet

func (v versionSets) add(o quetzalroad.StreamOrigin) {
	if v[o.Service] == nil {
		v[o.Service] = make(versionSet)
	}
	v[o.Service][o.Version] = true
}

func (v versionSets) contains(o quetzalroad.StreamOrigin) bool {
	return v[o.Service][o.Version]
}

func (v versionSets) clone() versionSets {
	clone := make(versionSets, len(v))
	for service, versions := range v {
		clone[service] = maps.Clone(versions)
	}
	return clone
}

// list returns all versions.
func (v versionSets) list() []quetzalroad.StreamOrigin {
	var list []quetzalroad.StreamOrigin
	for service, versions := range v {
		for version := range versions {
			list = append(list, quetzalroad.StreamOrigin{Service: service, Version: version})
		}
	}
	return list
}

// only returns the version of a set of one.
func (v versionSet) only() quetzalroad.SoftwareVersion {
	for version := range v {
		return version
	}
	return ""
}

// isMixed reports whether a service has several versions.
func (v versionSets) isMixed(s quetzalroad.ServiceName) bool {
	return len(v[s]) > 1
}

// registeredVersions returns the versions of all registered upstreams, draining ones included.
func (t *Tracker) registeredVersions() versionSets {
	versions := make(versionSets)
	for _, s := range t.node.Directory.Services() {
		for _, u := range t.node.Directory.UpstreamsOf(s.Name) {
			versions.add(quetzalroad.StreamOrigin{Service: s.Name, Version: u.Version})
		}
	}
	return versions
}

// versionsInUse returns the versions of which streams may go on: those of registered upstreams, and those that
// were in use lately according to the records.
func (t *Tracker) versionsInUse() versionSets {
	versions := t.registeredVersions()
	t.records.addTo(versions)
	return versions
}

// recordedOpenVersions returns the versions at which the streams of a service may have begun lately, according
// to the records. It returns false if these may lack one: an earlier build of the router began streams at any
// version, and a restored log may lack the records of versions that were opened before.
func (t *Tracker) recordedOpenVersions(s quetzalroad.ServiceName) (versionSet, bool) {
	if t.records.wasRestoredWithin(t.retention) {
		return nil, false
	}
	open, epoch := make(versionSet), t.records.epoch()
	for _, version := range t.records.versionsOf(s) {
		if version.Epoch != epoch {
			return nil, false
		}
		if !version.Announced {
			open[version.Origin.Version] = true
		}
	}
	return open, len(open) > 0
}
