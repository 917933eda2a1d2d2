package gossip

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is the kind of error of a message that can't be decoded.
var ErrMalformed = merry.Sentinel("gossip message can't be decoded; check that all entry instances run compatible versions")

const (
	// maxMessageBytes bounds the entries of one message.
	maxMessageBytes = 128 << 10
	// entryOverhead is the size of an entry besides key and value, in bytes.
	entryOverhead = 16
	maxEntries    = 16384
)

// message is one direction of an exchange.
type message struct {
	_ struct{} `cbor:",toarray"`
	// From is the ID of the sender and Run the run of its process.
	From string
	Run  string
	// Sequence is the sender's sequence up to which entries are included.
	Sequence uint64
	// AckRun and Ack name the run and sequence of the receiver that the
	// sender has seen.
	AckRun string
	Ack    uint64
	// Probe, if not empty, asks the receiver to probe this address.
	Probe   string
	Entries []Entry
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxEntries, MaxNestedLevels: 4, MaxMapPairs: 16}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

func encode(m *message) ([]byte, error) { return cbor.Marshal(m) }

// decode returns an error of the kind ErrMalformed for anything but a message.
func decode(raw []byte) (*message, error) {
	var m message
	if err := decoding.Unmarshal(raw, &m); err != nil {
		return nil, merry.Prepend(ErrMalformed, err.Error())
	}
	if m.From == "" || m.Run == "" {
		return nil, merry.Prepend(ErrMalformed, "sender is missing")
	}
	return &m, nil
}
