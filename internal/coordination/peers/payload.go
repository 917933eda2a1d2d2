package peers

import (
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/coordination/suspicion"
	"medlarslip/internal/coordination/workload"
)

// Instance describes an instance to its peers.
type Instance struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Run identifies one run of the process.
	Run string `json:"run" cbor:"2,keyasint"`
	// FailureDomain is the failure domain in which the instance runs.
	FailureDomain string `json:"failure_domain" cbor:"3,keyasint"`
	// Address is the address to which clients connect.
	Address string `json:"address" cbor:"4,keyasint"`
	// PeerAddress is the address at which the instance receives datagrams.
	PeerAddress string `json:"peer_address" cbor:"5,keyasint"`
	// Weight ranks the candidates for leadership; higher weights come first.
	Weight int `json:"weight" cbor:"6,keyasint"`
	// Ready is true while the instance accepts new clients.
	Ready bool `json:"ready" cbor:"7,keyasint,omitempty"`
	// StoreLost is true while the store does not answer the instance.
	StoreLost bool `json:"store_lost,omitempty" cbor:"8,keyasint,omitempty"`
	// Leaving is true once the instance has begun a graceful shutdown.
	Leaving bool `json:"leaving" cbor:"9,keyasint,omitempty"`
	// Busy is true while the instance sends long prompts, behind which requests of
	// other instances should not queue.
	Busy bool `json:"-" cbor:"10,keyasint,omitempty"`
	// CutOff is true while the instance reaches no backend server.
	CutOff bool `json:"-" cbor:"11,keyasint,omitempty"`
	// StoreReached is true if the store has answered a peer since it last failed to answer
	// the instance. It qualifies StoreLost.
	StoreReached bool `json:"-" cbor:"12,keyasint,omitempty"`
	// RanksByWeight is true if the instance uses WeightedRank in a large fleet. It is false for
	// the previous build.
	RanksByWeight bool `json:"ranks_by_weight,omitempty" cbor:"13,keyasint,omitempty"`
}

// Payload is the state that a datagram carries in addition to the description of
// its sender. Receivers apply it at once.
type Payload struct {
	// Applied maps each topic that the sender follows in the present era of the store
	// to the offset up to which it has applied all records.
	Applied map[string]int64 `cbor:"1,keyasint,omitempty"`
	// Prefill is the result of Options.Prefill; nil if the datagram does not
	// carry it.
	Prefill map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Counts are the sender's counts for the open rollouts.
	Counts []rollout.ArmCounts `cbor:"3,keyasint,omitempty"`
	// ActiveSessions are the sessions that the sender recently observed on an old
	// version, for peers of the previous build. They are not set otherwise.
	ActiveSessions []staging.ActiveSession `cbor:"4,keyasint,omitempty"`
	// RelayedSessions are the active sessions that a leader received from others.
	RelayedSessions []staging.ActiveSession `cbor:"5,keyasint,omitempty"`
	// Limits are the rate limits that backend servers have stated.
	Limits []fleetlimit.Report `cbor:"6,keyasint,omitempty"`
	// Era is the era of the store to which the offsets belong; 0 if it is not known.
	Era int64 `cbor:"7,keyasint,omitempty"`
	// Revision is the highest version of the configuration that the sender knows.
	Revision int64 `cbor:"8,keyasint,omitempty"`
	// Quarantine is what the sender knows of prompt parts under which servers end; nil
	// if that is nothing.
	Quarantine *quarantine.Report `cbor:"9,keyasint,omitempty"`
	// Brittle lists the brittle servers that turned requests away recently.
	Brittle []brittle.Report `cbor:"10,keyasint,omitempty"`
	// Sessions states when sessions used which version of a service; nil in datagrams of
	// the previous build.
	Sessions *staging.SessionReport `cbor:"11,keyasint,omitempty"`
	// Accounts counts the requests of client accounts; nil if they are not counted.
	Accounts *admission.AccountsReport `cbor:"12,keyasint,omitempty"`
	// Learned is the result of Options.Learned; nil in most datagrams and in those of the
	// previous build.
	Learned *workload.Report `cbor:"13,keyasint,omitempty"`
	// BrittleServices lists the services whose servers are brittle; nil in datagrams of the
	// previous build.
	BrittleServices []brittle.Statement `cbor:"14,keyasint,omitempty"`
	// Restored states that the store was restored recently; nil if the sender does not know
	// of that, and in datagrams of the previous build.
	Restored *Restore `cbor:"15,keyasint,omitempty"`
	// Suspicions states which instances are suspected of failure; nil if the sender knows of
	// none, and in datagrams of the previous build. The table sets it.
	Suspicions *suspicion.Report `cbor:"16,keyasint,omitempty"`
}

// Restore states that an era of the store began with a restore from an older copy.
type Restore struct {
	Era int64 `cbor:"1,keyasint"`
	// Age is the time from the earliest known observation to the sending of the datagram.
	Age time.Duration `cbor:"2,keyasint"`
}

// ObservedAt returns the moment of the observation, at the latest, for a datagram that arrived
// at a moment; false if the age is invalid. A negative age would be an observation in the future,
// after which nothing is proven until then.
func (r *Restore) ObservedAt(arrived boottime.Instant) (at boottime.Instant, valid bool) {
	if r == nil || r.Era <= 0 || r.Age < 0 {
		return 0, false
	}
	return arrived - boottime.Instant(r.Age), true
}
