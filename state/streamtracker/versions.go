package streamtracker

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
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
	for _, o := range t.records.inUse() {
		versions.add(o)
	}
	return versions
}

// versionSightings notes when upstreams of each version were last registered.
type versionSightings map[quetzalroad.StreamOrigin]boottimer.Instant

// update notes the registered versions.
func (s versionSightings) update(registered versionSets) {
	now := boottimer.Now()
	for service, versions := range registered {
		for version := range versions {
			s[quetzalroad.StreamOrigin{Service: service, Version: version}] = now
		}
	}
}

// hasLeft reports whether no upstream of a version has been registered for a time. A version that this node never
// saw counts from the first time that it is asked for.
func (s versionSightings) hasLeft(o quetzalroad.StreamOrigin, retention time.Duration) bool {
	seen, ok := s[o]
	if !ok {
		s[o] = boottimer.Now()
		return false
	}
	return seen.Age() > retention
}
