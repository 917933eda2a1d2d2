package configuration

import (
	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// position is the result of the log: the document that is accepted last among
// all records below an offset.
type position struct {
	asOf   int64
	number int64
	hash   string
	// known is false after retention removed records unread. Then asOf is the
	// offset below which they are missing.
	known bool
}

// AsOf returns the offset of the position, and whether the position is known. It
// is unknown after retention removed records unread, until a snapshot or a peer
// supplies their result.
func (s *Store) AsOf() (offset int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.asOf, s.position.known
}

// skip advances the position over a record that has no effect.
func (s *Store) skip(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.position.known {
		s.position.asOf = offset + 1
	}
}

// markMissingBelow records that retention removed the records below an offset
// unread. The document in force stays. The result of the missing records is
// unknown unless a peer has reported a position at or above the offset.
func (s *Store) markMissingBelow(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = position{asOf: offset}
	s.replaying = true
	if s.peerPosition.known && s.peerPosition.asOf >= offset {
		s.position = s.peerPosition
	}
}

// applySnapshotLocked recovers an unknown position from a snapshot. A snapshot
// holds the result of the records below its AsOf only. One that was taken before
// the missing records, for example by a writer that was paused, doesn't include
// them and is rejected. Where the position is known, a snapshot changes nothing.
func (s *Store) applySnapshotLocked(offset int64, record *records.Configuration) error {
	if s.position.known {
		s.position.asOf = offset + 1
	}
	if record.AsOf > offset {
		return merry.Prependf(ErrRejected, "snapshot at offset %d has the later offset %d as its position", offset, record.AsOf)
	}
	if s.position.known {
		return s.compareSnapshotLocked(&record.Envelope)
	}
	if record.AsOf < s.position.asOf {
		return merry.Prependf(ErrRejected, "snapshot of document %d as of offset %d doesn't include all records below %d", record.Envelope.Number, record.AsOf, s.position.asOf)
	}
	recovered := position{asOf: record.AsOf, known: true}
	if record.Envelope.Number > 0 {
		opened, err := s.verify(&record.Envelope, SourceLog)
		if err != nil {
			return err
		}
		recovered.number, recovered.hash = opened.Envelope.Number, opened.Hash
		s.putInForceLocked(opened)
	}
	s.position = recovered
	return nil
}

// compareSnapshotLocked reports a split where a snapshot holds another document
// with the number of the position.
func (s *Store) compareSnapshotLocked(envelope *signed.Envelope) error {
	if envelope.Number != s.position.number || envelope.Number == 0 {
		return nil
	}
	if hash := envelope.Hash(); hash != s.position.hash {
		s.reportSplit(envelope.Number, s.position.hash, hash)
		return merry.Prependf(ErrRejected, "snapshot of a different document with number %d", envelope.Number)
	}
	return nil
}

// snapshot returns a record that repeats the document in force. It returns nil
// where the position is not known, or where the document in force came from a
// peer whose reader is ahead.
func (s *Store) snapshot() *records.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	at := s.position
	if !at.known || at.number != current.number() || at.hash != current.hash() {
		return nil
	}
	record := &records.Configuration{Snapshot: true, AsOf: at.asOf}
	if current != nil {
		record.Envelope = current.Envelope
	}
	return record
}
