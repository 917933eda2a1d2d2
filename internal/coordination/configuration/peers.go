package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/signed"
)

// noPosition is Digest.AsOf where the position is unknown or doesn't match the
// document in force.
const noPosition = -1

// Digest identifies the document that an instance has in force.
type Digest struct {
	// Number is the number of the document, 0 for none.
	Number int64 `json:"number"`
	// Hash is the hash of the document, empty for none.
	Hash string `json:"hash,omitempty"`
	// AsOf is the offset of the position that has this document as its result, or
	// -1 where there is none.
	AsOf int64 `json:"as_of"`
	// Keys is the digest of the operators' public keys. Instances with different
	// keys may decide differently on the same document.
	Keys string `json:"keys"`
}

// Digest returns the digest of the document that this instance has in force.
func (s *Store) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	digest := Digest{Number: current.number(), Hash: current.hash(), AsOf: noPosition, Keys: keysDigest(s.keys)}
	at := s.position
	if at.known && at.number == digest.Number && at.hash == digest.Hash {
		digest.AsOf = at.asOf
	}
	return digest
}

const keysDigestBytes = 8

// keysDigest returns a short digest of the operators' names and public keys,
// sorted by name.
func keysDigest(keys signed.OperatorKeys) string {
	sum := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		sum.Write([]byte(name))
		sum.Write([]byte{0})
		sum.Write(keys[name])
	}
	return hex.EncodeToString(sum.Sum(nil)[:keysDigestBytes])
}

// ApplyFromPeer puts a document received from a peer in force, if it is newer
// than the current one. Peers send accepted documents only, and the transport
// authenticates them; the signature is verified again nevertheless. The error is
// of the kind ErrRejected.
func (s *Store) ApplyFromPeer(envelope *signed.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if number := s.current.Load().number(); envelope.Number <= number {
		return merry.Prependf(ErrRejected, "document %d is not newer than %d in force", envelope.Number, number)
	}
	opened, err := s.verify(envelope, SourcePeer)
	if err != nil {
		rejectedDocuments.Add(1)
		return err
	}
	s.putInForceLocked(opened)
	return nil
}

// recordPeerDigest compares the digest of a peer with the document in force. If
// both match, it keeps the position of the peer, in case retention removes
// records that this instance has not read. If the numbers match but the hashes
// don't, it reports a split.
func (s *Store) recordPeerDigest(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if digest.Number != current.number() {
		return
	}
	if digest.Hash != current.hash() {
		s.reportSplit(digest.Number, current.hash(), digest.Hash)
		return
	}
	if digest.AsOf == noPosition || digest.AsOf < s.peerPosition.asOf {
		return
	}
	s.peerPosition = position{asOf: digest.AsOf, number: digest.Number, hash: digest.Hash, known: true}
	if !s.position.known && s.peerPosition.asOf >= s.position.asOf {
		s.position = s.peerPosition
	}
}
