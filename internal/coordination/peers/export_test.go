package peers

import "github.com/fxamacker/cbor/v2"

// EncodeProof returns an encoded datagram with a proof.
func EncodeProof(name string, echo Echo, proof *Proof) []byte {
	content, err := cbor.Marshal(&datagram{Instance: Instance{Name: name, PeerAddress: "127.0.0.1:9"}, Echo: echo, Proof: proof})
	if err != nil {
		panic(err)
	}
	return content
}

// WithLock calls do while the lock of a table is held.
func WithLock(t *Table, do func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	do()
}

// UpdateBusy updates what a table knows about busy instances.
func UpdateBusy(t *Table, running []Instance) { t.updateBusy(running) }
