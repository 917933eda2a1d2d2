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
	readWait   = 2 * time.Second  // wait of one read for the next record
	maxBackoff = 5 * time.Second  // longest pause between reads that fail
	logTimeout = 10 * time.Second // one exchange with the log service
)

// observedLog notes when the log service was last read to the end of the
// stream and whether it answers.
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

// readState is how the log service was read last.
type readState struct {
	// CaughtUpAt is when the stream was last read to its end; zero for never.
	CaughtUpAt time.Time
	// Down is true where the last read failed.
	Down bool
}

func (l *observedLog) state() readState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return readState{CaughtUpAt: l.caughtUpAt, Down: !l.lastReadOK}
}

// follower keeps the document in force.
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

// run follows the configuration stream until ctx ends.
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

// synced reports whether the stream was read to its end at least once, so that
// a missing document means that there is none yet.
func (f *follower) synced() bool { return !f.observed.state().CaughtUpAt.IsZero() }

func (f *follower) current() *configuration.InForce { return f.store.Current() }

// applyPublished takes over a document that was found to be in force.
func (f *follower) applyPublished(accepted *configuration.InForce) {
	if accepted == nil {
		return
	}
	// An error means that this or a newer document is known already.
	_ = f.store.ApplyFromPeer(&accepted.Envelope)
}

// readAll reads a stream from an offset to its end and passes on each record.
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

const maxPageRecords = 100 // records a page
