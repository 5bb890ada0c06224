package streamtracker

import (
	"time"

	"github.com/quetzalroad/quetzalroad"
	"github.com/quetzalroad/quetzalroad/support/boottimer"
)

// versionSightings notes when upstreams of each version were registered, as far as this node knows.
type versionSightings map[quetzalroad.StreamOrigin]versionSighting

// versionSighting is when this node saw upstreams of a version registered.
type versionSighting struct {
	// since is when the version was first seen after its last long absence; zero if it was never registered.
	since boottimer.Instant
	// last is when it was last seen.
	last boottimer.Instant
}

// update notes the versions that are registered as of a time. An absence is long if it exceeds maxAbsence.
func (s versionSightings) update(registered versionSets, at boottimer.Instant, maxAbsence time.Duration) {
	for _, o := range registered.list() {
		seen := s[o]
		if seen.since.IsZero() || seen.last.Age() > maxAbsence {
			seen.since = at
		}
		seen.last = at
		s[o] = seen
	}
}

// hasLeft reports whether no upstream of a version has been registered for a time. A version that this node never
// saw counts from the first time that it is asked for.
func (s versionSightings) hasLeft(o quetzalroad.StreamOrigin, retention time.Duration) bool {
	seen, ok := s[o]
	if !ok {
		s[o] = versionSighting{last: boottimer.Now()}
		return false
	}
	return seen.last.Age() > retention
}

// seenWithin returns the versions that were seen within a time.
func (s versionSightings) seenWithin(d time.Duration) []quetzalroad.StreamOrigin {
	var list []quetzalroad.StreamOrigin
	for o, seen := range s {
		if seen.last.Age() <= d {
			list = append(list, o)
		}
	}
	return list
}
