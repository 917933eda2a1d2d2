// Package configuration decides which signed document is in force. Every
// instance draws the same conclusion from the same prefix of the log: a
// document is accepted if its signature and content are valid and its base is
// the document accepted at that point of the stream.
package configuration

import (
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// ErrRejected is the kind of error of a document that is not accepted.
var ErrRejected = merry.Sentinel("configuration document is not accepted")

// InForce is an accepted document.
type InForce struct {
	Envelope signed.Envelope
	Hash     string
	Index    *document.Index
}

// Store holds the document in force. It is safe for concurrent use; Current
// takes no lock.
type Store struct {
	keys    signed.OperatorKeys
	current atomic.Pointer[InForce]
	mu      sync.Mutex
	// accepted is closed and replaced whenever a document is accepted.
	accepted chan struct{}
}

// NewStore returns a store without a document that trusts the given keys.
func NewStore(keys signed.OperatorKeys) *Store {
	return &Store{keys: keys, accepted: make(chan struct{})}
}

// Current returns the document in force, or nil before the first.
func (s *Store) Current() *InForce { return s.current.Load() }

// Changed returns a channel that is closed at the next accepted document.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Apply decides on one record of the configuration stream, in log order. A
// rejected document returns an error of the kind ErrRejected that says why.
func (s *Store) Apply(record *records.Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	envelope := &record.Envelope
	if err := s.checkOrder(envelope, record.Snapshot); err != nil {
		return err
	}
	return s.acceptLocked(envelope)
}

// ApplyFromPeer takes over a document that a peer has in force. It is
// accepted if it is newer than the one in force here.
func (s *Store) ApplyFromPeer(envelope *signed.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkOrder(envelope, true); err != nil {
		return err
	}
	return s.acceptLocked(envelope)
}

// checkOrder compares a document with the one in force. One that is known to
// have been accepted needs only to be newer.
func (s *Store) checkOrder(envelope *signed.Envelope, knownAccepted bool) error {
	current := s.current.Load()
	number, hash := int64(0), ""
	if current != nil {
		number, hash = current.Envelope.Number, current.Hash
	}
	if knownAccepted {
		if envelope.Number <= number {
			return merry.Prependf(ErrRejected, "document %d is not newer than %d in force", envelope.Number, number)
		}
		return nil
	}
	if envelope.BaseHash != hash || envelope.Number != number+1 {
		return merry.Prependf(ErrRejected, "document %d of %q was not made from document %d in force; start from that one and make the change again", envelope.Number, envelope.Operator, number)
	}
	return nil
}

func (s *Store) acceptLocked(envelope *signed.Envelope) error {
	if err := signed.Verify(envelope, s.keys); err != nil {
		return merry.Prepend(ErrRejected, err.Error())
	}
	doc, err := document.Parse([]byte(envelope.Document))
	if err != nil {
		return merry.Prepend(ErrRejected, err.Error())
	}
	s.current.Store(&InForce{Envelope: *envelope, Hash: envelope.Hash(), Index: document.NewIndex(doc)})
	close(s.accepted)
	s.accepted = make(chan struct{})
	return nil
}
