// Package configuration decides which signed document is in force. Every
// instance draws the same conclusion from the same prefix of the log: a
// document is accepted if its signature and content are valid and its base is
// the document accepted at that point of the stream.
//
// Two things are kept apart. The position is what the log decided up to an
// offset; it is a pure function of the records before that offset. The
// document in force is the newest one known, from the log or from a peer
// whose log reader is ahead; its number never falls.
package configuration

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// Kinds of error of a document that is not put in force.
var (
	// ErrRejected is the kind of error of a document that is not accepted.
	ErrRejected = merry.Sentinel("configuration document is not accepted")
	// ErrUndecided is the kind of error of a document whose place in the
	// order is not known, because retention removed records before it.
	ErrUndecided = merry.Sentinel("configuration document can't be judged before a snapshot of the one in force is found; start an instance that knows it")
)

// Counters of this package.
var (
	acceptedDocuments = expvar.NewInt("configuration_accepted")
	rejectedDocuments = expvar.NewInt("configuration_rejected")
	splitDocuments    = expvar.NewInt("configuration_split")
	inForceNumber     = expvar.NewInt("configuration_in_force")
)

// Source says where an instance learned a document from.
type Source string

const (
	// SourceLog is the log service.
	SourceLog Source = "log"
	// SourcePeer is another entry instance.
	SourcePeer Source = "peer"
)

// InForce is an accepted document.
type InForce struct {
	Envelope signed.Envelope
	Hash     string
	Index    *document.Index
	// Source says where this instance learned the document from.
	Source Source
	// LearnedAt is the wall clock of this instance at that moment.
	LearnedAt time.Time
}

// Store holds the document in force. It is safe for concurrent use; Current
// takes no lock.
type Store struct {
	keys    signed.OperatorKeys
	current atomic.Pointer[InForce]

	mu       sync.Mutex
	position position
	// peerPosition is the newest position that peers told of.
	peerPosition position
	// replaying is true until the log was read to its end, at the start and
	// after records were missed. Documents that it accepts until then are
	// staged, lest replaced ones come in force.
	replaying bool
	staged    *InForce
	// changed is closed and replaced whenever a document is put in force.
	changed chan struct{}
}

// NewStore returns a store without a document that trusts the given keys.
func NewStore(keys signed.OperatorKeys) *Store {
	return &Store{keys: keys, changed: make(chan struct{}), position: position{known: true}}
}

// Current returns the document in force, or nil before the first.
func (s *Store) Current() *InForce { return s.current.Load() }

// Changed returns a channel that is closed when the next document is put in
// force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply decides on the next record of the configuration stream, in log order.
// The error is of the kind ErrRejected or ErrUndecided and says why.
func (s *Store) Apply(record *records.Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideLocked(s.position.asOf, record)
}

// Decide decides on the record at an offset of the configuration stream, in
// log order. The error is of the kind ErrRejected or ErrUndecided and says
// why.
func (s *Store) Decide(offset int64, record *records.Configuration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decideLocked(offset, record)
}

func (s *Store) decideLocked(offset int64, record *records.Configuration) error {
	if record.Snapshot {
		return s.applySnapshotLocked(offset, record)
	}
	if !s.position.known {
		return merry.Prependf(ErrUndecided, "document %d of %q", record.Envelope.Number, record.Envelope.Operator)
	}
	s.position.asOf = offset + 1
	err := s.decideDocumentLocked(&record.Envelope)
	if err != nil {
		rejectedDocuments.Add(1)
		return err
	}
	acceptedDocuments.Add(1)
	return nil
}

// decideDocumentLocked decides on a document at the position. Order and signature are
// checked before any of its text is parsed.
func (s *Store) decideDocumentLocked(envelope *signed.Envelope) error {
	at := s.position
	if envelope.BaseHash != at.hash || envelope.Number != at.number+1 {
		return merry.Prependf(ErrRejected, "document %d of %q was not made from document %d in force; start from that one and make the change again", envelope.Number, envelope.Operator, at.number)
	}
	accepted, err := s.verify(envelope, SourceLog)
	if err != nil {
		return err
	}
	s.position.number, s.position.hash = envelope.Number, accepted.Hash
	s.putInForceLocked(accepted)
	return nil
}

// verify checks signature and content of a document.
func (s *Store) verify(envelope *signed.Envelope, source Source) (*InForce, error) {
	if err := signed.Verify(envelope, s.keys); err != nil {
		return nil, merry.Prepend(ErrRejected, err.Error())
	}
	doc, err := document.Parse([]byte(envelope.Document))
	if err != nil {
		return nil, merry.Prepend(ErrRejected, err.Error())
	}
	return &InForce{
		Envelope:  *envelope,
		Hash:      envelope.Hash(),
		Index:     document.NewIndex(doc),
		Source:    source,
		LearnedAt: time.Now(),
	}, nil
}

// beginReplay holds back what the log accepts until endReplay.
func (s *Store) beginReplay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaying = true
}

// endReplay puts in force what the log accepted last. It does nothing as long
// as the position is not known.
func (s *Store) endReplay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.position.known {
		return
	}
	s.replaying = false
	if s.staged != nil {
		s.putInForceLocked(s.staged)
		s.staged = nil
	}
}

// putInForceLocked puts a document in force unless a newer one is. Of two
// different ones with the same number the log's stands.
func (s *Store) putInForceLocked(accepted *InForce) {
	if s.replaying && accepted.Source == SourceLog {
		s.staged = accepted
		return
	}
	current := s.current.Load()
	switch {
	case accepted.Envelope.Number < current.number():
		return
	case accepted.Envelope.Number == current.number():
		if accepted.Hash == current.Hash || accepted.Source != SourceLog {
			return
		}
		s.reportSplit(accepted.Envelope.Number, current.Hash, accepted.Hash)
	}
	s.current.Store(accepted)
	inForceNumber.Set(accepted.Envelope.Number)
	close(s.changed)
	s.changed = make(chan struct{})
}

// reportSplit reports two different documents of one number.
func (s *Store) reportSplit(number int64, here, there string) {
	splitDocuments.Add(1)
	logrus.WithFields(logrus.Fields{"number": number, "here": here, "there": there}).
		Error("two documents have the same number; check that all instances have the same operator keys, and publish the wanted one again")
}

// number returns the number of a document, 0 for none.
func (f *InForce) number() int64 {
	if f == nil {
		return 0
	}
	return f.Envelope.Number
}

// hash returns the hash of a document, empty for none.
func (f *InForce) hash() string {
	if f == nil {
		return ""
	}
	return f.Hash
}
