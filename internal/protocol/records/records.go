// Package records defines the records that the system stores on streams of the
// log service. Every record carries its Writer, so that readers can remove the
// duplicates that arise if an append takes effect but its answer is lost.
package records

import "medlarslip/internal/protocol/signed"

// Writer identifies one record appended by one run of one process.
type Writer struct {
	Instance string `json:"instance"`
	// Incarnation is chosen anew at every start of the process.
	Incarnation string `json:"incarnation"`
	// Sequence counts the records of this incarnation on this stream.
	Sequence uint64 `json:"sequence"`
}

// Configuration is a record of the configuration stream.
type Configuration struct {
	Writer   Writer          `json:"writer"`
	Envelope signed.Envelope `json:"envelope"`
	// Snapshot marks a copy of an accepted document, which is appended before
	// retention removes the original record. Its envelope has number 0 if no
	// document was in force.
	Snapshot bool `json:"snapshot,omitempty"`
	// AsOf is the offset to which a snapshot refers: its document was in force
	// after all records below this offset and before the record at it.
	AsOf int64 `json:"as_of,omitempty"`
}

// Audit is a record of the audit stream: one automatic change.
type Audit struct {
	Writer Writer `json:"writer"`
	// Document is the number of the configuration document in force at the
	// writer. It orders the change relative to the configuration changes.
	Document int64 `json:"document"`
	// Time is the wall clock of the writer in RFC 3339. It is not used to order
	// records.
	Time string `json:"time"`
	// Actor names the instance or person that made the change.
	Actor string `json:"actor"`
	// Action names the change, such as halt or breaker_open.
	Action string `json:"action"`
	// Subject names what was changed.
	Subject string `json:"subject"`
	// Reason says why the change was made.
	Reason string `json:"reason"`
}

// ClaimStep says which step of a non-idempotent call a Claim records.
type ClaimStep string

const (
	// ClaimStart claims a key; the first claim in log order may run the call.
	ClaimStart ClaimStep = "start"
	// ClaimDone records the answer of the call.
	ClaimDone ClaimStep = "done"
	// ClaimReleased records that the claimed call was never sent.
	ClaimReleased ClaimStep = "released"
	// ClaimUnknown records that the call was sent and its answer was lost.
	ClaimUnknown ClaimStep = "unknown"
	// ClaimForgotten ends the deduplication window of a key.
	ClaimForgotten ClaimStep = "forgotten"
	// ClaimCheckpoint says that every claim in the window whose latest record
	// was below Through was appended again before this record.
	ClaimCheckpoint ClaimStep = "checkpoint"
)

// Claim is a record of the claims stream.
type Claim struct {
	Writer Writer    `json:"writer"`
	Step   ClaimStep `json:"step"`
	// Account and Key together identify the call.
	Account string `json:"account"`
	Key     string `json:"key"`
	// ClaimID is unique to one attempt to claim the key.
	ClaimID string `json:"claim_id"`
	// Fingerprint is the hash of service, method, path and body.
	Fingerprint string `json:"fingerprint"`
	// Seen is the offset up to which the writer had read the stream when the
	// request arrived; only with ClaimStart.
	Seen int64 `json:"seen,omitempty"`
	// Snapshot marks a copy of a claim, which is appended before retention
	// removes the original. Origin is the offset of the copied record.
	Snapshot bool  `json:"snapshot,omitempty"`
	Origin   int64 `json:"origin,omitempty"`
	// AgeSeconds is a lower bound of the time since the claim, summed by the
	// instances that appended the copies, each on its own monotonic clock.
	AgeSeconds int64 `json:"age_seconds,omitempty"`
	// Shard and Through are set only with ClaimCheckpoint.
	Shard   int   `json:"shard,omitempty"`
	Through int64 `json:"through,omitempty"`
	// Answer is the stored answer; only with ClaimDone.
	Answer *KeptAnswer `json:"answer,omitempty"`
}

// KeptAnswer is the answer of a plain service, stored to answer repeated calls.
type KeptAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// FromStatus marks the answer of a status request, which replaces the lost
	// answer of a call that took effect.
	FromStatus bool `json:"from_status,omitempty"`
	// TooLong marks an answer that was too long to store.
	TooLong bool `json:"too_long,omitempty"`
}

// Bill is a record of the billing stream: the cost of one request.
type Bill struct {
	Writer    Writer `json:"writer"`
	RequestID string `json:"request_id"`
	// Account is the client account that is billed.
	Account string `json:"account"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	// Steps lists the executed steps in order.
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

// Lease is a record of the leases stream. It makes its writer the only instance
// that grants slots on a cold backend server. Its offset is the fencing number of
// the slots granted under it. It takes effect only if Previous is the lease in
// force at its offset in the stream.
type Lease struct {
	Writer Writer `json:"writer"`
	Server string `json:"server"`
	// Previous is the offset of the lease in force as the writer had read it, or
	// NoLease.
	Previous int64 `json:"previous"`
	// ReadFrom is the lowest offset from which the writer has read the stream
	// without a gap.
	ReadFrom int64 `json:"read_from"`
	// Released releases the lease; no slot granted under it is in use.
	Released bool `json:"released,omitempty"`
}

// NoLease is the Previous of a Lease that replaces none.
const NoLease = -1

// BillCopy replicates bills to the instance that stores a copy of them until
// they are appended to the log.
type BillCopy struct {
	// Writer is the owner of the bills; its Sequence is not used.
	Writer Writer `json:"writer"`
	// Appended is the sequence number up to which the bills are in the log.
	Appended uint64 `json:"appended"`
	Bills    []Bill `json:"bills"`
}
