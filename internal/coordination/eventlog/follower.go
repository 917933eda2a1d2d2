package eventlog

import (
	"context"
	"encoding/json"
	"expvar"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/platform"
)

// ErrInconsistent means that the log service returned offsets that contradict each
// other or its earlier answers.
var ErrInconsistent = merry.Sentinel("log service returned inconsistent offsets; check that it has not lost records and that its address is correct")

const (
	// DefaultReadLimit is the maximum number of records of one page.
	DefaultReadLimit = 500
	// DefaultReadWait is the maximum time for which a read waits for the next
	// record.
	DefaultReadWait = 10 * time.Second
	// MinBackoff is the wait after the first failed call, before jitter.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff is the maximum wait after failed calls, before jitter.
	MaxBackoff = 5 * time.Second
)

// Counters of this package, by stream.
var (
	readFailures      = expvar.NewMap("log_read_failures")
	gaps              = expvar.NewMap("log_gaps")
	droppedDuplicates = expvar.NewMap("log_dropped_repeats")
	appendFailures    = expvar.NewMap("log_append_failures")
	appendedBatches   = expvar.NewMap("log_appends")
	resolvedAppends   = expvar.NewMap("log_appends_found_after_lost_answer")
)

// Consumer receives the records that a Follower reads, in log order.
type Consumer interface {
	// Record receives the record at an offset.
	Record(offset int64, raw json.RawMessage)
	// Gap reports that retention removed the records from one offset up to,
	// but not including, another before they were read.
	Gap(from, to int64)
}

// FollowerOptions configures a Follower. Zero values select the defaults.
type FollowerOptions struct {
	// ReadLimit is the maximum number of records of one page; the default is
	// DefaultReadLimit.
	ReadLimit int
	// ReadWait is the maximum time for which a read waits for the next record; the
	// default is DefaultReadWait.
	ReadWait time.Duration
	// KeepDuplicates delivers duplicate records too. It suits consumers whose
	// decisions are idempotent and must not depend on the offset at which they
	// started to read.
	KeepDuplicates bool
	// OnPage is called after each page, including empty ones, with the oldest
	// retained offset and the offset of the next append; it may be nil.
	OnPage func(oldest, next int64)
}

// Follower reads one stream and delivers it to a Consumer. Its methods must be called
// from one goroutine.
type Follower struct {
	log      Log
	stream   string
	consumer Consumer
	options  FollowerOptions
	dedup    *deduplicator
	next     int64
	end      int64
	readable bool
}

// NewFollower returns a follower that starts at the oldest retained record.
func NewFollower(log Log, stream string, consumer Consumer, options FollowerOptions) *Follower {
	if options.ReadLimit == 0 {
		options.ReadLimit = DefaultReadLimit
	}
	if options.ReadWait == 0 {
		options.ReadWait = DefaultReadWait
	}
	return &Follower{log: log, stream: stream, consumer: consumer, options: options, dedup: newDeduplicator(), readable: true}
}

// Next returns the offset at which the next read starts.
func (f *Follower) Next() int64 { return f.next }

// CaughtUp reports whether all records have been read that the stream held at the time
// of the latest read.
func (f *Follower) CaughtUp() bool { return f.next >= f.end }

// SeekTo makes the next read start at an offset. Records that are read again are also
// delivered again.
func (f *Follower) SeekTo(offset int64) {
	f.next = offset
	f.dedup = newDeduplicator()
}

// Run follows the stream until ctx ends and returns nil then. Failed reads are retried
// without limit, with exponential backoff and jitter.
func (f *Follower) Run(ctx context.Context) error {
	wait := newBackoff()
	for ctx.Err() == nil {
		err := f.Step(ctx, f.options.ReadWait)
		if ctx.Err() != nil {
			return nil
		}
		f.recordReadResult(err)
		if err == nil {
			wait.Reset()
			continue
		}
		pause.For(ctx, wait.NextBackOff())
	}
	return nil
}

// Step reads and delivers one page. The error is of the kind ErrUnavailable or
// ErrInconsistent; in that case nothing was delivered.
func (f *Follower) Step(ctx context.Context, wait time.Duration) error {
	page, err := f.log.Read(ctx, f.stream, f.next, f.options.ReadLimit, wait)
	if err == nil {
		err = checkPage(page, f.next)
	}
	if err != nil {
		readFailures.Add(f.stream, 1)
		return err
	}
	if page.FirstOffset > f.next {
		f.skipGap(page.FirstOffset)
	}
	f.end = page.Next
	f.deliver(page)
	f.dedup.forget(page.Oldest)
	if f.options.OnPage != nil {
		f.options.OnPage(page.Oldest, page.Next)
	}
	return nil
}

func (f *Follower) skipGap(to int64) {
	from := f.next
	f.next = to
	gaps.Add(f.stream, 1)
	f.consumer.Gap(from, to)
}

// deliver delivers the records of a page. It stops if the consumer calls SeekTo.
func (f *Follower) deliver(page *platform.ReadResponse) {
	for i, raw := range page.Records {
		offset := page.FirstOffset + int64(i)
		if offset != f.next {
			return
		}
		f.next = offset + 1
		if !f.options.KeepDuplicates && f.dedup.isDuplicate(offset, raw) {
			droppedDuplicates.Add(f.stream, 1)
			continue
		}
		f.consumer.Record(offset, raw)
	}
}

func checkPage(page *platform.ReadResponse, from int64) error {
	end := page.FirstOffset + int64(len(page.Records))
	if page.FirstOffset < from || page.FirstOffset < page.Oldest || end > page.Next {
		return merry.Prependf(ErrInconsistent, "read from offset %d returned records %d to %d of a stream from %d to %d", from, page.FirstOffset, end, page.Oldest, page.Next)
	}
	return nil
}

// recordReadResult logs the start and the end of an outage.
func (f *Follower) recordReadResult(err error) {
	readable := err == nil
	if readable == f.readable {
		return
	}
	f.readable = readable
	entry := logrus.WithField("stream", f.stream)
	if readable {
		entry.Info("log stream can be read again")
		return
	}
	entry.WithError(err).Warn("log stream can't be read; reads are retried until they succeed")
}

// newBackoff returns an exponential backoff with the default jitter of half the wait
// and without a limit on retries.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = MinBackoff
	b.MaxInterval = MaxBackoff
	b.Reset()
	return b
}
