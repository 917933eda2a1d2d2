// Package records defines the records that the system keeps on streams of the
// log service. Every record carries its Writer, so that readers can drop the
// repeats which arise when an append takes effect and its answer is lost.
package records

import "medlarslip/internal/protocol/signed"

// Writer identifies one append by one run of one process.
type Writer struct {
	Instance string `json:"instance"`
	// Incarnation is chosen afresh at every start.
	Incarnation string `json:"incarnation"`
	// Sequence counts the records of this incarnation on this stream.
	Sequence uint64 `json:"sequence"`
}

// Configuration is a record of the configuration stream.
type Configuration struct {
	Writer   Writer          `json:"writer"`
	Envelope signed.Envelope `json:"envelope"`
	// Snapshot marks the repeat of an accepted document, which is appended
	// before retention removes the record that it repeats. Its envelope has
	// number 0 where no document was in force.
	Snapshot bool `json:"snapshot,omitempty"`
	// AsOf says of a snapshot that its document was in force after all
	// records below this offset, and before the one at it.
	AsOf int64 `json:"as_of,omitempty"`
}

// Audit is a record of the audit stream: one automatic change.
type Audit struct {
	Writer Writer `json:"writer"`
	// Document is the number of the configuration document in force at the
	// writer; it places the change among those of the configuration.
	Document int64 `json:"document"`
	// Time is the wall clock of the writer in RFC 3339; it orders nothing.
	Time string `json:"time"`
	// Actor names the instance or person that made the change.
	Actor string `json:"actor"`
	// Action names the change, such as halt or breaker_open.
	Action string `json:"action"`
	// Subject names what was changed.
	Subject string `json:"subject"`
	// Reason says why.
	Reason string `json:"reason"`
}

// ClaimStep says which step of a non-idempotent call a Claim records.
type ClaimStep string

const (
	// ClaimStart claims a key; the first in log order may run the call.
	ClaimStart ClaimStep = "start"
	// ClaimDone records the answer of the call.
	ClaimDone ClaimStep = "done"
	// ClaimReleased records that the claimed call was never sent.
	ClaimReleased ClaimStep = "released"
	// ClaimUnknown records that the call was sent and its answer lost.
	ClaimUnknown ClaimStep = "unknown"
	// ClaimForgotten ends the window of a key.
	ClaimForgotten ClaimStep = "forgotten"
	// ClaimCheckpoint says that every claim of the window whose latest record
	// lay below Through was appended again before this record.
	ClaimCheckpoint ClaimStep = "checkpoint"
)

// Claim is a record of the claims stream.
type Claim struct {
	Writer Writer    `json:"writer"`
	Step   ClaimStep `json:"step"`
	// Account and Key name the call together.
	Account string `json:"account"`
	Key     string `json:"key"`
	// ClaimID is unique to one attempt to claim the key.
	ClaimID string `json:"claim_id"`
	// Fingerprint is the hash of service, method, path and body.
	Fingerprint string `json:"fingerprint"`
	// Seen is the offset up to which the writer had read the stream when the
	// request arrived; only with ClaimStart.
	Seen int64 `json:"seen,omitempty"`
	// Snapshot marks a claim appended again before retention removes it, and
	// Origin is the offset of the record that it repeats.
	Snapshot bool  `json:"snapshot,omitempty"`
	Origin   int64 `json:"origin,omitempty"`
	// AgeSeconds is the time since the claim at least, as measured by those
	// who appended it again, each on its own monotonic clock.
	AgeSeconds int64 `json:"age_seconds,omitempty"`
	// Shard and Through belong to ClaimCheckpoint.
	Shard   int   `json:"shard,omitempty"`
	Through int64 `json:"through,omitempty"`
	// Answer is the kept answer; only with ClaimDone.
	Answer *KeptAnswer `json:"answer,omitempty"`
}

// KeptAnswer is the answer of a plain service kept for repeats of the call.
type KeptAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// FromStatus marks the answer of the status read, which stands in for the
	// lost answer of a call that took effect.
	FromStatus bool `json:"from_status,omitempty"`
	// TooLong marks an answer that was too long to keep.
	TooLong bool `json:"too_long,omitempty"`
}

// Bill is a record of the billing stream: the cost of one request.
type Bill struct {
	Writer    Writer `json:"writer"`
	RequestID string `json:"request_id"`
	// Account is the client account that pays.
	Account string `json:"account"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	// Steps lists what was run, in order.
	Steps []BillStep `json:"steps"`
}

// BillStep is the cost of one step of a request.
type BillStep struct {
	// VersionID names the version, or the plain service.
	VersionID string `json:"version_id"`
	Tokens    int64  `json:"tokens"`
	// Micros is the cost in millionths of the billing currency.
	Micros int64 `json:"micros"`
	// Result says how the step ended, such as accepted or below_target.
	Result string `json:"result"`
}

// Lease is a record of the leases stream. It makes its writer the one instance
// that grants slots on a cold backend server. Its offset is the fencing number
// of what is granted under it. It takes effect only if it is based on the
// lease in force at its place in the stream.
type Lease struct {
	Writer Writer `json:"writer"`
	Server string `json:"server"`
	// Previous is the offset of the lease that the writer saw in force, or
	// NoLease.
	Previous int64 `json:"previous"`
	// ReadFrom is the lowest offset from which the writer has read the stream
	// without a gap.
	ReadFrom int64 `json:"read_from"`
	// Released gives the lease up; no slot granted under it is in use.
	Released bool `json:"released,omitempty"`
}

// NoLease is the Previous of a Lease that replaces none.
const NoLease = -1

// BillCopy carries bills to the instance that keeps a copy of them until the
// log has them.
type BillCopy struct {
	// Writer is the owner of the bills; its Sequence is not used.
	Writer Writer `json:"writer"`
	// Appended is the sequence number up to which the log has the bills.
	Appended uint64 `json:"appended"`
	Bills    []Bill `json:"bills"`
}
