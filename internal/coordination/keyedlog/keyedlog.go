// Package keyedlog follows topics of a store that keeps a log of records and the
// newest record of each key. A few instances read at the store; the others take
// the records from them, so that the load of the store does not grow with the
// fleet.
package keyedlog

import (
	"context"
	"errors"
	"time"
)

// Record is one record of a topic.
type Record struct {
	Key string `json:"key"`
	// Value is nil where the key was dropped.
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// Page is the answer to a read of a topic's log.
type Page struct {
	Records []Record
	// Next is the offset after the last record that was read.
	Next int64
	// End is the offset that the next append will get.
	End int64
}

// RelayedPage is what an instance passes on to a peer.
type RelayedPage struct {
	Records []Record `json:"records"`
	// Next is the offset after the last record.
	Next int64 `json:"next"`
	// Snapshot is true where the records are the newest of every key.
	Snapshot bool `json:"whole,omitempty"`
	// Regained is how long ago the store answered again, if lately.
	Regained *time.Duration `json:"regained,omitempty"`
}

var (
	// ErrExpired means that the records asked for are gone.
	ErrExpired = errors.New("records have expired; read the newest record of each key")
	// ErrConflict means that an append named an end that is no longer the end.
	ErrConflict = errors.New("topic has a newer record; read it and decide again")
	// ErrUnknown means that an append may have been done.
	ErrUnknown = errors.New("append may have been done; read the topic to find out")
	// ErrNotKept means that a peer does not have the records that it is asked
	// for.
	ErrNotKept = errors.New("records are not kept here any more; ask the store")

	errLate = errors.New("answer of the store is late; another instance may lead")
)

// AnyEnd lets an append be done whatever the end of the topic is.
const AnyEnd = int64(-1)

// Store is a store of topics. Every method but Append may be repeated.
type Store interface {
	// Read returns the records from an offset on; with wait it waits for one.
	// The error is ErrExpired where they are gone.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (*Page, error)
	// Newest returns the newest record of each key, and an offset from which
	// the log must be read to learn what changed meanwhile.
	Newest(ctx context.Context, topic string) ([]Record, int64, error)
	// Append adds one record. With an end other than AnyEnd it does so only if
	// the topic ends there, and returns ErrConflict otherwise. After ErrUnknown
	// it may have been done.
	Append(ctx context.Context, topic, key string, value []byte, end int64) error
}

// Relay reads the records that a peer has taken; the error is ErrNotKept where
// it does not have them.
type Relay interface {
	Fetch(ctx context.Context, address, topic string, from int64) (*RelayedPage, error)
}

// Reader receives what a topic holds, in the order of its log.
type Reader interface {
	// Replace takes the newest record of every key.
	Replace(records []Record)
	// Apply takes one further record.
	Apply(r Record)
	// CaughtUp is called when all records up to the end were taken.
	CaughtUp()
}
