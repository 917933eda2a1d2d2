package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/signed"
)

// noPosition is the AsOf of a Digest without a position.
const noPosition = -1

// Digest names what an instance has in force.
type Digest struct {
	// Number is the number of the document, 0 for none.
	Number int64 `json:"number"`
	// Hash is the hash of the document, empty for none.
	Hash string `json:"hash,omitempty"`
	// AsOf is the offset up to which the log is decided with this result,
	// or -1 where this is not known.
	AsOf int64 `json:"as_of"`
	// Keys is the digest of the operators' public keys. Instances with
	// different keys may judge a document differently.
	Keys string `json:"keys"`
}

// Digest returns what this instance has in force.
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

// keysDigest returns a short digest of names and keys in order of the names.
func keysDigest(keys signed.OperatorKeys) string {
	sum := sha256.New()
	for _, name := range slices.Sorted(maps.Keys(keys)) {
		sum.Write([]byte(name))
		sum.Write([]byte{0})
		sum.Write(keys[name])
	}
	return hex.EncodeToString(sum.Sum(nil)[:keysDigestBytes])
}

// ApplyFromPeer takes over a document that a peer has in force, if it is newer
// than the one in force here. Peers hand on accepted documents only, and are
// authenticated by the transport; the signature is verified here again. The
// error is of the kind ErrRejected.
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

// recordPeerDigest compares the digest of a peer with what is in force here. Where
// both are the same, the position of the peer is kept, for the case that
// retention removes records which this instance has not read.
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
