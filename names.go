package quetzalroad

import (
	"crypto/sha256"
	"strconv"
	"strings"
	"time"
)

// TeamName names a customer team.
type TeamName string

// ProfileName names a published profile.
type ProfileName string

// ServiceName names a service, which upstreams provide.
type ServiceName string

// UpstreamName names one back end of a service. Where a back end registers itself, it names one incarnation.
type UpstreamName string

// incarnationSeparator separates a back end's key from its incarnation.
const incarnationSeparator = "@"

// IncarnationName returns a name that is unique to one incarnation of the upstream that registered under a key,
// so that what is known about an earlier one isn't applied to a later one.
func IncarnationName(key string, startedAt time.Time) UpstreamName {
	if startedAt.IsZero() {
		return UpstreamName(key)
	}
	return UpstreamName(key + incarnationSeparator + strconv.FormatInt(startedAt.UnixMilli(), 36))
}

// Key returns what all incarnations of an upstream have in common.
func (u UpstreamName) Key() string {
	key, _, _ := strings.Cut(string(u), incarnationSeparator)
	return key
}

// ModelName names a language model as callers request it.
type ModelName string

// DataCentre names a data centre in which VMs and upstreams run.
type DataCentre string

// Region names a group of data centres that are connected by fast links.
type Region string

// NodeName names one process of the router.
type NodeName string

// RequestID identifies one request of a caller across nodes and logs.
type RequestID string

// ChangeID identifies one change of the published state, so that an append whose response was
// lost is recognised when it is read back.
type ChangeID string

// Offset is the position of a record in a log stream. The first record has offset 0.
type Offset int64

// NoOffset is the position before the first record.
const NoOffset Offset = -1

// Revision identifies one accepted version of a published object. It is derived from the offset
// of the record that created it, or counted by each node if the log may give offsets out again. Zero
// means that the object does not exist.
type Revision int64

// RevisionAt returns the revision created by the record at offset o. Offsets start at 0, so
// revisions are one higher and zero means "does not exist".
func RevisionAt(o Offset) Revision {
	return Revision(o) + 1
}

// Tier is the priority of requests. Tier 0 is the most urgent.
type Tier int

// MaxTiers is the number of tiers a deployment may use.
const MaxTiers = 7

// LowestTier is the least urgent tier.
const LowestTier Tier = MaxTiers - 1

// Class labels the kind of work of a profile in reports.
type Class string

// KeyHash is the SHA-256 sum of a bearer or idempotency key. Keys themselves are neither stored
// nor published.
type KeyHash [sha256.Size]byte

// HashKey returns the hash under which a key is stored.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}
