package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"medlarslip/internal/coordination/eventlog"
)

// Sink appends the records of one batch.
type Sink func(ctx context.Context, records []json.RawMessage) error

// BatchOptions configures a Batcher.
type BatchOptions struct {
	// Linger is how long a batch waits for further records.
	Linger time.Duration
	// PerSecond and Burst limit the rate of appends; a PerSecond of 0 means no
	// limit.
	PerSecond float64
	Burst     int
	// MaxRecords and MaxBytes bound one append, unless the records of a single
	// caller exceed them.
	MaxRecords int
	MaxBytes   int
	// MaxWaiting bounds the number of queued records.
	MaxWaiting int
	// Timeout bounds one append.
	Timeout time.Duration
}

// fleetAppends limits the appends per second to the claims stream by all shard
// owners together, apart from bursts.
const fleetAppends = 160

// DefaultBatchOptions returns the options for the claims stream, with the rate
// of one of ShardCount owners.
func DefaultBatchOptions() BatchOptions {
	return BatchOptions{
		Linger:     2 * time.Millisecond,
		PerSecond:  fleetAppends / ShardCount,
		Burst:      10,
		MaxRecords: 500,
		MaxBytes:   1 << 20,
		MaxWaiting: 10_000,
		Timeout:    2 * time.Second,
	}
}

// Batcher appends the records of many callers in batches (group commit), one
// append at a time. It is safe for concurrent use.
type Batcher struct {
	sink    Sink
	options BatchOptions
	limiter *rate.Limiter

	mu      sync.Mutex
	waiting []*batchItem
	records int
	running bool
}

// batchItem holds the queued records of one caller.
type batchItem struct {
	ctx     context.Context
	records []json.RawMessage
	done    chan error
}

// NewBatcher returns a batcher that appends through sink.
func NewBatcher(sink Sink, options BatchOptions) *Batcher {
	limit := rate.Inf
	if options.PerSecond > 0 {
		limit = rate.Limit(options.PerSecond)
	}
	return &Batcher{sink: sink, options: options, limiter: rate.NewLimiter(limit, options.Burst)}
}

// SetPerSecond changes the rate limit of appends.
func (b *Batcher) SetPerSecond(perSecond float64) { b.limiter.SetLimit(rate.Limit(perSecond)) }

// Append appends records as part of a batch. The error is of the kind
// eventlog.ErrNotAppended or eventlog.ErrAppendUnknown. If ctx ends before the
// batch is formed, the records are not appended.
func (b *Batcher) Append(ctx context.Context, records ...json.RawMessage) error {
	item := &batchItem{ctx: ctx, records: records, done: make(chan error, 1)}
	if err := b.add(item); err != nil {
		return err
	}
	select {
	case err := <-item.done:
		return err
	case <-ctx.Done():
		return merry.Prepend(eventlog.ErrAppendUnknown, ctx.Err().Error())
	}
}

// add queues an item and starts the loop if it isn't running.
func (b *Batcher) add(item *batchItem) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.records+len(item.records) > b.options.MaxWaiting {
		return merry.Prepend(eventlog.ErrNotAppended, "too many records wait for the log")
	}
	b.records += len(item.records)
	b.waiting = append(b.waiting, item)
	if !b.running {
		b.running = true
		go b.run()
	}
	return nil
}

// run appends batches until the queue is empty.
func (b *Batcher) run() {
	for {
		time.Sleep(b.options.Linger)
		time.Sleep(b.limiter.Reserve().Delay())
		batch, records := b.nextBatch()
		if batch == nil {
			return
		}
		if len(records) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), b.options.Timeout)
		err := b.sink(ctx, records)
		cancel()
		for _, item := range batch {
			item.done <- err
		}
	}
}

// nextBatch removes the next batch from the queue; a nil batch means that the
// queue is empty and run must return.
func (b *Batcher) nextBatch() ([]*batchItem, []json.RawMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.running = false
		return nil, nil
	}
	batch, records, size, count := []*batchItem{}, []json.RawMessage{}, 0, 0
	for _, item := range b.waiting {
		bytes := totalBytes(item.records)
		full := len(records)+len(item.records) > b.options.MaxRecords || size+bytes > b.options.MaxBytes
		if len(records) > 0 && full {
			break
		}
		count++
		b.records -= len(item.records)
		if item.ctx.Err() != nil {
			item.done <- merry.Prepend(eventlog.ErrNotAppended, "given up before its batch")
			continue
		}
		batch = append(batch, item)
		records = append(records, item.records...)
		size += bytes
	}
	b.waiting = b.waiting[count:]
	return batch, records
}

func totalBytes(records []json.RawMessage) int {
	total := 0
	for _, record := range records {
		total += len(record)
	}
	return total
}
