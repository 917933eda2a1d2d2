package peers

import (
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/coordination/suspicion"
	"medlarslip/internal/coordination/workload"
)

// Options configures a Table. All fields but UrgentPayload, Learned, Relayed, Listed,
// Watches and OnSuspicion are required.
type Options struct {
	// Name is the name of this instance.
	Name string
	// Self returns the description of this instance.
	Self func() Instance
	// Payload returns the payload of the next datagrams, without Prefill.
	Payload func() Payload
	// UrgentPayload returns the payload of datagrams that AnnounceUrgent sends. It is
	// required only for that.
	UrgentPayload func() Payload
	// Prefill returns the time in milliseconds that backend servers need for the
	// prompts that this instance has sent them, by server ID.
	Prefill func() map[string]int64
	// Learned returns what to tell a receiver of what this instance has learned of servers and
	// requests; nil for nothing. leads is true if the receiver is a leader.
	Learned func(receiver string, leads bool) *workload.Report
	// Relayed returns the uses of sessions to be relayed that are later than the one with a
	// number, and the number of the latest one. It replaces those of Payload in replies to a
	// peer that has received the earlier ones; it may be nil.
	Relayed func(after uint64) (uses []staging.SessionUses, last uint64)
	// Proof returns a proof from this instance's own reads; nil if it has none.
	Proof func() *Proof
	// OnPayload is called with the payload of each received datagram, which was
	// sent at sentAfter or later, on Clock; 0 means unknown.
	OnPayload func(peer *Instance, payload *Payload, sentAfter boottime.Instant)
	// OnPermit is called with each received message about a permit, and returns
	// the reply; nil for none.
	OnPermit func(m *fleetlimit.Message) *fleetlimit.Message
	// OnProof is called with each usable proof of a peer, which applies to a moment
	// not before at.
	OnProof func(proof *Proof, at boottime.Instant)
	// Listed returns the names of the instances that the directory lists for clients, of the
	// running ones, if these are too many to list all; otherwise none. The instances that it
	// returns watch each other. It may be nil; no instance is suspected then.
	Listed func(running []Instance) []string
	// Watches reports whether this instance watches others. It is required with Listed.
	Watches func() bool
	// OnSuspicion is called when a suspicion begins or ends. It is required with Listed.
	OnSuspicion func(change suspicion.Change)
	// Now is the clock of all timeouts.
	Now func() time.Time
	// Clock is the clock of Echo. It includes the time during which the machine
	// was suspended.
	Clock func() boottime.Instant
}
