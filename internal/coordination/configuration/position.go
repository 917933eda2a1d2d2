package configuration

import (
	"github.com/ansel1/merry/v2"

	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/signed"
)

// position is what the log decided: the document in force after all records
// below an offset.
type position struct {
	asOf   int64
	number int64
	hash   string
	// known is false while records were missed through retention. Then asOf
	// is the offset up to which they are missing.
	known bool
}

// AsOf returns the offset up to which the stream is decided, and whether that
// is so. It is not after retention removed records unread, until a snapshot
// or a peer tells what they decided.
func (s *Store) AsOf() (offset int64, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.position.asOf, s.position.known
}

// skip notes that the record at an offset decides nothing.
func (s *Store) skip(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.position.known {
		s.position.asOf = offset + 1
	}
}

// markMissingBelow notes that the records below an offset were not read. The document
// in force stays; what the missing records decided is unknown, unless a peer
// told of a position at or above the offset.
func (s *Store) markMissingBelow(offset int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.position = position{asOf: offset}
	s.replaying = true
	if s.peerPosition.known && s.peerPosition.asOf >= offset {
		s.position = s.peerPosition
	}
}

// applySnapshotLocked uses a snapshot to find the position again. A snapshot
// tells what was decided below its AsOf only. One from before the missing
// records, such as that of a writer which was paused, tells nothing of them
// and is passed over. Where the position is known, a snapshot decides nothing.
func (s *Store) applySnapshotLocked(offset int64, record *records.Configuration) error {
	if s.position.known {
		s.position.asOf = offset + 1
	}
	if record.AsOf > offset {
		return merry.Prependf(ErrRejected, "snapshot at offset %d can't be as of offset %d", offset, record.AsOf)
	}
	if s.position.known {
		return s.compareSnapshotLocked(&record.Envelope)
	}
	if record.AsOf < s.position.asOf {
		return merry.Prependf(ErrRejected, "snapshot of document %d as of offset %d tells nothing of the records below %d", record.Envelope.Number, record.AsOf, s.position.asOf)
	}
	found := position{asOf: record.AsOf, known: true}
	if record.Envelope.Number > 0 {
		opened, err := s.verify(&record.Envelope, SourceLog)
		if err != nil {
			return err
		}
		found.number, found.hash = opened.Envelope.Number, opened.Hash
		s.putInForceLocked(opened)
	}
	s.position = found
	return nil
}

func (s *Store) compareSnapshotLocked(envelope *signed.Envelope) error {
	if envelope.Number != s.position.number || envelope.Number == 0 {
		return nil
	}
	if hash := envelope.Hash(); hash != s.position.hash {
		s.reportSplit(envelope.Number, s.position.hash, hash)
		return merry.Prependf(ErrRejected, "snapshot of another document %d", envelope.Number)
	}
	return nil
}

// snapshot returns a record that repeats the document in force, or nil where
// the position is not known or the document in force came from a peer whose
// reader is ahead.
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
