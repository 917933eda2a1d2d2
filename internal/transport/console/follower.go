package console

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/signed"
)

const (
	readWait   = 2 * time.Second  // longest wait of one read for the next record
	maxBackoff = 5 * time.Second  // longest delay between reads that fail
	logTimeout = 10 * time.Second // of one operation on the log service
)

// observedLog records when a stream was last read to its end and whether the
// last read succeeded.
type observedLog struct {
	eventlog.Log
	now func() time.Time

	mu         sync.Mutex
	caughtUpAt time.Time
	lastReadOK bool
}

// Read implements eventlog.Log.
func (l *observedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	page, err := l.Log.Read(ctx, stream, from, limit, wait)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReadOK = err == nil
	if err == nil && page.FirstOffset+int64(len(page.Records)) >= page.Next {
		l.caughtUpAt = l.now()
	}
	return page, err
}

// readState is the state of the reads from the log service.
type readState struct {
	// CaughtUpAt is the time when the stream was last read to its end; zero for
	// never.
	CaughtUpAt time.Time
	// Down is true if the last read failed or none was made.
	Down bool
}

func (l *observedLog) state() readState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return readState{CaughtUpAt: l.caughtUpAt, Down: !l.lastReadOK}
}

// follower follows the configuration stream and keeps the document in force.
type follower struct {
	store    *configuration.Store
	observed *observedLog
	stream   *configuration.Follower
}

func newFollower(log eventlog.Log, keys signed.OperatorKeys, now func() time.Time) *follower {
	store := configuration.NewStore(keys)
	observed := &observedLog{Log: log, now: now}
	return &follower{store: store, observed: observed, stream: configuration.NewFollower(store, observed)}
}

// run reads the configuration stream until ctx ends, with backoff after errors.
func (f *follower) run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.MaxInterval = maxBackoff
	down := false
	for ctx.Err() == nil {
		err := f.step(ctx, readWait)
		if ctx.Err() != nil {
			break
		}
		if (err != nil) != down {
			down = err != nil
			logrus.WithField("down", down).Info("log service")
		}
		if err == nil {
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

func (f *follower) step(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, logTimeout)
	defer cancel()
	return f.stream.Step(ctx, wait)
}

// synced reports whether the stream was read to its end at least once. If so, a
// missing document means that none was published yet.
func (f *follower) synced() bool { return !f.observed.state().CaughtUpAt.IsZero() }

func (f *follower) current() *configuration.InForce { return f.store.Current() }

// applyPublished stores a document that publishing found to be in force, without
// waiting for the next read of the stream. It ignores nil.
func (f *follower) applyPublished(accepted *configuration.InForce) {
	if accepted == nil {
		return
	}
	// An error means that this document or a newer one is stored already.
	_ = f.store.ApplyFromPeer(&accepted.Envelope)
}

// readAll reads a stream from an offset to its end and calls each with every
// record. It returns the next offset to read, also with an error. gap is true if
// records were skipped, since the log service no longer keeps them.
func readAll(ctx context.Context, log eventlog.Log, stream string, from int64, each func(offset int64, raw json.RawMessage)) (next int64, gap bool, err error) {
	for {
		page, err := log.Read(ctx, stream, from, maxPageRecords, 0)
		if err != nil {
			return from, gap, err
		}
		gap = gap || page.FirstOffset > from
		for i, raw := range page.Records {
			each(page.FirstOffset+int64(i), raw)
		}
		from = page.FirstOffset + int64(len(page.Records))
		if len(page.Records) == 0 || from >= page.Next {
			return from, gap, nil
		}
	}
}

const maxPageRecords = 100 // of one read
