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

// Sink appends records together.
type Sink func(ctx context.Context, records []json.RawMessage) error

// BatchOptions says how records are gathered.
type BatchOptions struct {
	// Linger is the wait for further records of a batch.
	Linger time.Duration
	// PerSecond and Burst bound the appends; a PerSecond of 0 does not.
	PerSecond float64
	Burst     int
	// MaxRecords and MaxBytes bound one append.
	MaxRecords int
	MaxBytes   int
	// MaxWaiting bounds the records that wait for their append.
	MaxWaiting int
	// Timeout bounds one append.
	Timeout time.Duration
}

// fleetAppends bounds the appends a second to the claims stream by all shard
// owners together, but for bursts.
const fleetAppends = 160

// DefaultBatchOptions returns the options of one of ShardCount owners of the
// claims stream.
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

// Batcher appends the records of many callers together (group commit). One
// append is under way at a time. It is safe for concurrent use.
type Batcher struct {
	sink    Sink
	options BatchOptions
	limiter *rate.Limiter

	mu      sync.Mutex
	waiting []*batchItem
	records int
	running bool
}

type batchItem struct {
	ctx     context.Context
	records []json.RawMessage
	done    chan error
}

// NewBatcher returns a batcher that appends by sink.
func NewBatcher(sink Sink, options BatchOptions) *Batcher {
	limit := rate.Inf
	if options.PerSecond > 0 {
		limit = rate.Limit(options.PerSecond)
	}
	return &Batcher{sink: sink, options: options, limiter: rate.NewLimiter(limit, options.Burst)}
}

// SetPerSecond changes the bound of the appends.
func (b *Batcher) SetPerSecond(perSecond float64) { b.limiter.SetLimit(rate.Limit(perSecond)) }

// Append appends records with a batch. The error is of the kind
// eventlog.ErrNotAppended or eventlog.ErrAppendUnknown. Records whose ctx
// ends before their batch begins are not appended.
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

// run appends batches until nothing waits.
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

// nextBatch removes the next batch; nil ends the run.
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
