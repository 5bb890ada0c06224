package quetzalroad

import (
	"time"
)

// Recorder records metrics of the router's decisions.
type Recorder interface {
	CountRefusal(r RefusalReason)
	CountRetry(r RetryReason)
	CountAttempt()
	// CountFailure counts an attempt that failed, whether or not it is retried.
	CountFailure(r RetryReason)
	// CountTokens counts generated tokens, and those of them that were discarded or belong to a
	// failed response as wasted.
	CountTokens(generated, wasted int)
	ObserveQueueWait(c Class, wait time.Duration)
	ObserveFirstToken(c Class, latency time.Duration, withinTarget bool)
	CountOutcome(c Class, o Outcome)
	CountSent(kind ControlKind, bytes int)
	CountReceived(kind ControlKind, bytes int)
	// CountCrossDataCentre counts bytes sent between data centres by purpose.
	CountCrossDataCentre(purpose CrossDataCentrePurpose, bytes int)
	// RetainClasses releases what is kept for all classes but some.
	RetainClasses(classes map[Class]bool)
	// RecordViolation counts and logs the violation of an invariant.
	RecordViolation(invariant string, observed string)
}

// ControlKind classifies control traffic.
type ControlKind string

// The kinds of control traffic.
const (
	ControlHeartbeat ControlKind = "heartbeat"
	ControlRecords   ControlKind = "records"
	ControlSnapshot  ControlKind = "snapshot"
	ControlLog       ControlKind = "log"
	ControlReports   ControlKind = "reports"
	ControlVMs       ControlKind = "vms"
)

// CrossDataCentrePurpose is why bytes are sent between data centres.
type CrossDataCentrePurpose string

// The purposes of traffic between data centres.
const (
	CrossDataCentreHeartbeat CrossDataCentrePurpose = "heartbeat"
	CrossDataCentreSpill     CrossDataCentrePurpose = "spill"
)
