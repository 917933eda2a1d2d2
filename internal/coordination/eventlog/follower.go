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

// ErrInconsistent means that the log service answered with offsets that
// contradict what it answered before.
var ErrInconsistent = merry.Sentinel("log service answered with impossible offsets; check that it lost no records and that its address is right")

const (
	// DefaultReadLimit bounds the records of one page.
	DefaultReadLimit = 500
	// DefaultReadWait is the longest wait of one read for the next record.
	DefaultReadWait = 10 * time.Second
	// MinBackoff is the wait after a failed call, before jitter is applied.
	MinBackoff = 100 * time.Millisecond
	// MaxBackoff bounds the wait after many failed calls, before jitter is
	// applied.
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

// Consumer takes what a Follower reads, in log order.
type Consumer interface {
	// Record takes the record at an offset.
	Record(offset int64, raw json.RawMessage)
	// Gap reports that retention removed the records from one offset up to,
	// but not including, another before they were read.
	Gap(from, to int64)
}

// FollowerOptions says how a stream is followed. Zero values take the defaults.
type FollowerOptions struct {
	// ReadLimit bounds the records of one page.
	ReadLimit int
	// ReadWait is the longest wait of one read for the next record.
	ReadWait time.Duration
	// KeepDuplicates delivers repeated records too. It suits consumers whose
	// decisions are idempotent and must not depend on where they began.
	KeepDuplicates bool
	// OnPage is called after each page, also an empty one, with the oldest
	// kept offset and the offset of the next append; nil for none.
	OnPage func(oldest, next int64)
}

// Follower reads one stream and hands it to a Consumer. Its methods must be
// called from one goroutine.
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

// NewFollower returns a follower that starts at the oldest kept record.
func NewFollower(log Log, stream string, consumer Consumer, options FollowerOptions) *Follower {
	if options.ReadLimit == 0 {
		options.ReadLimit = DefaultReadLimit
	}
	if options.ReadWait == 0 {
		options.ReadWait = DefaultReadWait
	}
	return &Follower{log: log, stream: stream, consumer: consumer, options: options, dedup: newDeduplicator(), readable: true}
}

// Next returns the offset that is read next.
func (f *Follower) Next() int64 { return f.next }

// CaughtUp reports whether all records were read that the stream held at the
// time of the last read.
func (f *Follower) CaughtUp() bool { return f.next >= f.end }

// SeekTo makes the next read start at an offset. Records that are read again
// are delivered again.
func (f *Follower) SeekTo(offset int64) {
	f.next = offset
	f.dedup = newDeduplicator()
}

// Run follows the stream until ctx ends and returns nil then. Failed reads
// are repeated with exponential backoff and jitter for as long as it takes.
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

// Step reads and delivers one page. The error is of the kind ErrUnavailable
// or ErrInconsistent; nothing was delivered then.
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

// deliver hands on the records of a page until the consumer seeks elsewhere.
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
		return merry.Prependf(ErrInconsistent, "read from %d gave records %d to %d of a stream from %d to %d", from, page.FirstOffset, end, page.Oldest, page.Next)
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
	entry.WithError(err).Warn("log stream can't be read; reads are repeated until they succeed")
}

// newBackoff returns the waits between failed calls: exponential, with a
// random share of half the wait, and without an end.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = MinBackoff
	b.MaxInterval = MaxBackoff
	b.Reset()
	return b
}
