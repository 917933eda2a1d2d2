package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

// readLimit bounds the documents of one page.
const readLimit = 20

// Observer is told of every decision on a record, with the error of Decide.
type Observer func(offset int64, record *records.Configuration, err error)

// Follower reads the configuration stream and applies it to a Store.
type Follower struct {
	store    *Store
	reader   *eventlog.Follower
	observer Observer
	schedule *snapshotSchedule
	// silent keeps decisions out of the log of a process that only looks.
	silent bool
}

// NewFollower returns a follower that starts at the oldest kept record.
func NewFollower(store *Store, log eventlog.Log) *Follower {
	f := &Follower{store: store, observer: func(int64, *records.Configuration, error) {}, schedule: &snapshotSchedule{}}
	store.beginReplay()
	options := eventlog.FollowerOptions{ReadLimit: readLimit, KeepDuplicates: true, OnPage: f.pageRead}
	f.reader = eventlog.NewFollower(log, platform.StreamConfiguration, f, options)
	return f
}

// Observe sets the function that is told of every decision. It must be called
// before the first step.
func (f *Follower) Observe(observer Observer) { f.observer = observer }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error { return f.reader.Run(ctx) }

// Step reads and applies one page. The error is of the kind
// eventlog.ErrUnavailable or eventlog.ErrInconsistent.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	return f.reader.Step(ctx, wait)
}

// Gap implements eventlog.Consumer.
func (f *Follower) Gap(from, to int64) {
	f.store.markMissingBelow(to)
	entry := logrus.WithFields(logrus.Fields{"from": from, "to": to})
	if f.moveToPosition(to) {
		entry.Info("configuration records were removed unread; a peer told what they decided")
		return
	}
	entry.Info("configuration records were removed unread; looking for a snapshot")
}

// Record implements eventlog.Consumer.
func (f *Follower) Record(offset int64, raw json.RawMessage) {
	if f.moveToPosition(offset) {
		return
	}
	var record records.Configuration
	if err := json.Unmarshal(raw, &record); err != nil {
		f.store.skip(offset)
		logrus.WithField("offset", offset).WithError(err).Warn("configuration record is unreadable and was passed over")
		return
	}
	err := f.store.Decide(offset, &record)
	if record.Snapshot && err == nil {
		f.schedule.noteSnapshot(record.AsOf)
	}
	f.report(offset, &record, err)
	f.moveToPosition(offset + 1)
}

// pageRead looks after each page at what retention left, and at whether a
// peer told of a position meanwhile.
func (f *Follower) pageRead(oldest, _ int64) {
	f.schedule.noteOldest(oldest)
	if !f.moveToPosition(f.reader.Next()) && f.reader.CaughtUp() {
		f.store.endReplay()
	}
}

// moveToPosition makes the reader go on where the store's position is, if that
// was found elsewhere than at an offset. It reports whether it did.
func (f *Follower) moveToPosition(offset int64) bool {
	asOf, known := f.store.AsOf()
	if !known || asOf == offset {
		return false
	}
	f.reader.SeekTo(asOf)
	return true
}

func (f *Follower) report(offset int64, record *records.Configuration, err error) {
	f.observer(offset, record, err)
	if record.Snapshot || f.silent {
		return
	}
	fields := logrus.Fields{"offset": offset, "number": record.Envelope.Number, "operator": record.Envelope.Operator}
	switch {
	case err == nil:
		logrus.WithFields(fields).Info("configuration accepted")
	case errors.Is(err, ErrRejected):
		logrus.WithFields(fields).WithError(err).Warn("configuration rejected")
	}
}
