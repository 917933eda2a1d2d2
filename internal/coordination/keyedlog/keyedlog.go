// Package keyedlog follows the topics of a store that keeps, for each topic, a log
// of records and the newest record of each key. A few instances read from the
// store; the others fetch the records from these, so that the load of the store
// does not grow with the fleet.
package keyedlog

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a topic.
type Record struct {
	Key string `json:"key"`
	// Value is nil if the key was deleted.
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// Page is the result of a read of a topic's log, or of the newest record of each key.
type Page struct {
	Records []Record
	// Era is the era that the store states; 0 if it states none.
	Era int64
	// Next is the offset from which to read next.
	Next int64
	// End is the offset of the next append.
	End int64
}

// RelayedPage holds the records that an instance relays to a peer.
type RelayedPage struct {
	Records []Record `json:"records"`
	// Era is the era of the store in which the records were read; 0 if it is not known.
	Era int64 `json:"era,omitempty"`
	// Next is the offset up to which the records are complete.
	Next int64 `json:"next"`
	// Snapshot is true if the records are the newest record of every key.
	Snapshot bool `json:"whole,omitempty"`
	// Regained is the time since contact with the store was regained; nil if there
	// was no recent outage.
	Regained *time.Duration `json:"regained,omitempty"`
}

var (
	// ErrExpired means that the requested records are no longer in the log.
	ErrExpired = errors.New("records have expired; read the newest record of each key")
	// ErrConflict means that the topic no longer ends at the offset that an append
	// requires.
	ErrConflict = errors.New("topic has a newer record; read it and decide again")
	// ErrUnknown means that the outcome of an append is unknown.
	ErrUnknown = errors.New("append may have been done; read the topic to find out")
	// ErrNotKept means that a peer does not keep the requested records.
	ErrNotKept = errors.New("records are not kept here any more; ask the store")

	errLate = errors.New("store did not answer in time; another instance may become leader")
)

// AnyEnd makes an append unconditional.
const AnyEnd = int64(-1)

// Store is a store of topics. All methods except Append are idempotent.
type Store interface {
	// Read returns the records from an offset on. If there are none, it waits up to
	// wait for one. The error is ErrExpired if the records are no longer in the log.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (*Page, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context, topic string) (*Page, error)
	// Append appends records, all or none; their offsets are ignored. With an end other
	// than AnyEnd it returns ErrConflict unless the topic ends there. After ErrUnknown the
	// records may or may not have been appended.
	Append(ctx context.Context, topic string, end int64, records ...Record) error
}

// Relay fetches records from peers.
type Relay interface {
	// Fetch returns the records of a topic from a position on that the peer at an
	// address has applied, or a snapshot for a negative offset. The error is
	// ErrNotKept if the peer does not keep them.
	Fetch(ctx context.Context, address, topic string, from Position) (*RelayedPage, error)
}

// Reader receives the records of a topic, in the order of its log.
type Reader interface {
	// Replace replaces the whole state by the newest record of every key.
	Replace(records []Record)
	// Merge merges the newest records of a store that was just restored from an older
	// copy into the state. What the records lack, or have in an older form, stays
	// until the next Replace.
	Merge(records []Record)
	// Apply applies the next record.
	Apply(r Record)
	// CaughtUp is called after the records up to the known end have been applied.
	CaughtUp()
}
