package gossip

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed is the kind of error of a message that can't be decoded.
var ErrMalformed = merry.Sentinel("gossip message can't be decoded; check that all entry instances run compatible versions")

const (
	// maxMessageBytes is the maximum size of the entries of one message, unless a
	// single entry is larger.
	maxMessageBytes = 128 << 10
	// entryOverhead is the approximate size of an entry without its key and value,
	// in bytes.
	entryOverhead = 16
	// maxEntries is the maximum length of an array in a received message.
	maxEntries = 16384
)

// message is one direction of an exchange.
type message struct {
	_ struct{} `cbor:",toarray"`
	// From is the ID of the sender, and Run identifies the run of its process.
	From string
	Run  string
	// Sequence is the sequence number of the sender up to which the message is
	// complete.
	Sequence uint64
	// AckRun and Ack are the run and the sequence number of the receiver up to which
	// the sender has received its entries.
	AckRun string
	Ack    uint64
	// Probe, if not empty, is in a request the control address to probe on behalf of
	// the sender, and in the reply the ID of the member that was reached there.
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

// decode decodes a message. The error is of the kind ErrMalformed.
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
