package coldstart

import (
	"github.com/fxamacker/cbor/v2"

	"medlarslip/internal/state/backends"
)

// warmthValue is the spread value about the warmth of a server. Of two marks of the
// same version the cold one supersedes, because its first field is greater.
type warmthValue struct {
	_           struct{} `cbor:",toarray"`
	Cold        uint8
	Incarnation string
	Started     uint16
}

func encodeWarmth(w backends.Warmth) []byte {
	m := warmthValue{Incarnation: w.Incarnation, Started: w.Started}
	if !w.Warm {
		m.Cold = 1
	}
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // the type always encodes
	}
	return raw
}

// decodeWarmth returns a cold mark for what can't be decoded.
func decodeWarmth(raw []byte) backends.Warmth {
	var m warmthValue
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return backends.Warmth{}
	}
	return backends.Warmth{Warm: m.Cold == 0, Incarnation: m.Incarnation, Started: m.Started}
}
