package peers

import (
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/fleetlimit"
)

// Proof states that the configuration up to an offset was the newest at a moment
// in the past.
type Proof struct {
	// End is the end offset of the configuration's log at that moment.
	End int64 `cbor:"1,keyasint"`
	// Age is the time from that moment to the sending of the datagram.
	Age time.Duration `cbor:"2,keyasint"`
	// Era is the era of the store to which End belongs; 0 if it is not known.
	Era int64 `cbor:"3,keyasint,omitempty"`
	// Settled is true if the sender knows that Era began recently with a restore of the store.
	// The proof is then from after the records were complete, although the receiver's lower
	// bound of its moment may be before that.
	Settled bool `cbor:"4,keyasint,omitempty"`
}

// Echo lets the receiver of a datagram bound how long it was in transit. The
// clocks of two machines are never compared, and a datagram may stay in the
// buffer of a suspended machine for long. Ages are therefore counted from the
// moment at which the receiver itself sent the echoed timestamp.
type Echo struct {
	// Sent is the sender's timestamp, which the receiver echoes.
	Sent boottime.Instant `cbor:"1,keyasint"`
	// Echoed is Sent of the latest datagram received from the peer to which this
	// one is sent; 0 if there is none.
	Echoed boottime.Instant `cbor:"2,keyasint"`
}

// datagram is the message between two instances.
type datagram struct {
	Instance Instance `cbor:"1,keyasint"`
	Payload  Payload  `cbor:"2,keyasint"`
	Echo     Echo     `cbor:"3,keyasint"`
	// Proof is nil if the sender has none of its own.
	Proof *Proof `cbor:"4,keyasint,omitempty"`
	// WantsReply requests an immediate reply, with the changes of the receiver's
	// roster since version Have.
	WantsReply bool    `cbor:"5,keyasint,omitempty"`
	Have       version `cbor:"6,keyasint"`
	// Roster is set only in replies.
	Roster *rosterDelta `cbor:"7,keyasint,omitempty"`
	// Permit is a message about a permit. A datagram with one carries nothing else
	// but the name and the address of its sender.
	Permit *fleetlimit.Message `cbor:"8,keyasint,omitempty"`
	// Peers is the number of other instances that the sender knows; 0 if it does not
	// say.
	Peers int `cbor:"9,keyasint,omitempty"`
	// Probe is set only in datagrams that carry nothing else.
	Probe *probe `cbor:"10,keyasint,omitempty"`
}

// provenAt returns a lower bound, on the receiver's clock, of the moment to which
// the proof applies; false if there is none. The clock counts from the boot of the
// machine, so that the echo of a timestamp which an earlier process on this
// machine sent is a valid bound too.
func (d *datagram) provenAt() (boottime.Instant, bool) {
	if d.Proof == nil || d.Echo.Echoed == 0 || d.Proof.Age < 0 {
		return 0, false
	}
	return d.Echo.Echoed - boottime.Instant(d.Proof.Age), true
}
