package peers

import (
	"time"

	"medlarslip/internal/boottime"
)

// Proof says that at a moment some time ago the configuration up to an offset
// was the newest.
type Proof struct {
	// End is the offset that the log of the configuration had.
	End int64 `cbor:"1,keyasint"`
	// Age is how long ago that was, when the datagram was sent.
	Age time.Duration `cbor:"2,keyasint"`
}

// Echo lets the receiver of a datagram bound how long it was on its way. The
// clocks of two machines are never compared, and a datagram may wait for long
// in the buffer of a suspended machine: an age counts from the moment at which
// the receiver itself sent what is echoed.
type Echo struct {
	// Sent is the sender's own moment of sending, for the receiver to echo.
	Sent boottime.Instant `cbor:"1,keyasint"`
	// Echoed is the Sent of the latest datagram that was received from the
	// receiver; 0 if there is none.
	Echoed boottime.Instant `cbor:"2,keyasint"`
}

// datagram is what is sent to one peer.
type datagram struct {
	Instance Instance `cbor:"1,keyasint"`
	Payload  Payload  `cbor:"2,keyasint"`
	Echo     Echo     `cbor:"3,keyasint"`
	// Proof is nil where the sender has none of its own.
	Proof *Proof `cbor:"4,keyasint,omitempty"`
	// WantsReply is true where the receiver is to answer at once, with what its roster
	// has beyond Have.
	WantsReply bool    `cbor:"5,keyasint,omitempty"`
	Have       version `cbor:"6,keyasint"`
	// Roster is nil where the sender does not lead.
	Roster *rosterDelta `cbor:"7,keyasint,omitempty"`
}

// provenAt returns the latest moment, on the clock of the receiver, from which
// the proof certainly counts; false if nothing bounds it. The clock counts
// since the start of the machine, so that an echo of what an earlier process on
// this machine has sent bounds it as well.
func (d *datagram) provenAt() (boottime.Instant, bool) {
	if d.Proof == nil || d.Echo.Echoed == 0 || d.Proof.Age < 0 {
		return 0, false
	}
	return d.Echo.Echoed - boottime.Instant(d.Proof.Age), true
}
