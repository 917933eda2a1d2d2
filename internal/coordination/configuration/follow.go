package configuration

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	readLimit = 100              // records a page
	readWait  = 10 * time.Second // wait of one read for the next record
)

// Follower reads the configuration stream and applies it to a Store.
type Follower struct {
	store *Store
	log   eventlog.Log
	next  int64
}

// NewFollower returns a follower that starts at the oldest kept record.
func NewFollower(store *Store, log eventlog.Log) *Follower {
	return &Follower{store: store, log: log}
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	for ctx.Err() == nil {
		if err := f.Step(ctx, readWait); err == nil {
			wait.Reset()
			continue
		}
		select {
		case <-time.After(wait.NextBackOff()):
		case <-ctx.Done():
		}
	}
	return nil
}

// Step reads and applies one page. The error is of the kind
// eventlog.ErrUnavailable.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	page, err := f.log.Read(ctx, platform.StreamConfiguration, f.next, readLimit, wait)
	if err != nil {
		return err
	}
	for i, raw := range page.Records {
		f.apply(page.FirstOffset+int64(i), raw)
	}
	f.next = page.FirstOffset + int64(len(page.Records))
	return nil
}

func (f *Follower) apply(offset int64, raw json.RawMessage) {
	var record records.Configuration
	if err := json.Unmarshal(raw, &record); err != nil {
		logrus.WithField("offset", offset).WithError(err).Warn("configuration record is unreadable and was passed over")
		return
	}
	fields := logrus.Fields{"offset": offset, "number": record.Envelope.Number, "operator": record.Envelope.Operator}
	err := f.store.Apply(&record)
	if err == nil {
		logrus.WithFields(fields).Info("configuration in force")
		return
	}
	if !record.Snapshot {
		logrus.WithFields(fields).WithError(err).Warn("configuration rejected")
	}
}
