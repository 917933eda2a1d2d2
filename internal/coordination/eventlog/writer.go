package eventlog

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/records"
)

// ErrFull means that a Writer holds as many records as it may.
var ErrFull = merry.Sentinel("too many records wait for the log service; try again when it takes appends")

// WriterOptions bounds batches and memory of a Writer. Zero values take the
// defaults.
type WriterOptions struct {
	// Linger is the wait for more records after the first of a batch.
	Linger time.Duration
	// MaxBatch bounds the records of one append.
	MaxBatch int
	// MaxBatchBytes bounds the bytes of one append, except that one record
	// is always appended.
	MaxBatchBytes int
	// MaxPendingBytes bounds the records that wait, so that an outage can't
	// use up the memory.
	MaxPendingBytes int
	// Budget is the share of the fleet's append budget; nil means no bound.
	Budget *Budget
}

const (
	defaultLinger          = 200 * time.Millisecond
	defaultMaxBatch        = 500
	defaultMaxBatchBytes   = 1 << 20
	defaultMaxPendingBytes = 4 << 20
	appendTimeout          = 10 * time.Second
	// tailLifetime is how long the known end of a stream is good enough as
	// the start of a search for an own append.
	tailLifetime = 10 * time.Second
)

func (o WriterOptions) withDefaults() WriterOptions {
	if o.Linger == 0 {
		o.Linger = defaultLinger
	}
	if o.MaxBatch == 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.MaxBatchBytes == 0 {
		o.MaxBatchBytes = defaultMaxBatchBytes
	}
	if o.MaxPendingBytes == 0 {
		o.MaxPendingBytes = defaultMaxPendingBytes
	}
	return o
}

// Encode returns a record that carries the given writer.
type Encode func(writer records.Writer) (json.RawMessage, error)

// Writer appends records to one stream in batches, in the order in which they
// were written. An append whose answer is lost is searched for at the end of
// the stream and repeated only where it is not found; should both copies
// arrive, readers drop the second by its sequence numbers. Write is safe for
// concurrent use.
type Writer struct {
	log     Log
	stream  string
	id      records.Writer
	options WriterOptions

	mu      sync.Mutex
	pending []json.RawMessage
	bytes   int
	written chan struct{}

	// appending is held during Flush; it guards the fields below.
	appending sync.Mutex
	tail      int64
	tailAt    time.Time
	// inDoubt is the batch of which it is not known whether it was appended.
	inDoubt []json.RawMessage
}

// NewWriter returns a writer of a stream for one run of one instance.
func NewWriter(log Log, stream, instance, incarnation string, options WriterOptions) *Writer {
	return &Writer{
		log:     log,
		stream:  stream,
		id:      records.Writer{Instance: instance, Incarnation: incarnation},
		options: options.withDefaults(),
		written: make(chan struct{}, 1),
	}
}

// Write takes a record; it is appended with the next batch. The error is of
// the kind ErrFull, or that of encode; the record was not taken then.
func (w *Writer) Write(encode Encode) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := w.id
	id.Sequence++
	raw, err := encode(id)
	if err != nil {
		return err
	}
	if w.bytes+len(raw) > w.options.MaxPendingBytes {
		return merry.Prependf(ErrFull, "stream %s", w.stream)
	}
	w.id = id
	w.pending = append(w.pending, raw)
	w.bytes += len(raw)
	select {
	case w.written <- struct{}{}:
	default:
	}
	return nil
}

// Pending returns how many records wait to be appended.
func (w *Writer) Pending() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// Run appends batches until ctx ends, and tries once more to append what is
// left then, without waiting for the budget: a planned stop costs one append.
// It returns the error of that last try.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-w.written:
			pause.For(ctx, w.options.Linger)
			w.flushUntilDone(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
			defer cancel()
			return w.flush(last, nil)
		}
	}
}

func (w *Writer) flushUntilDone(ctx context.Context) {
	wait := newBackoff()
	for ctx.Err() == nil {
		err := w.Flush(ctx)
		if err == nil {
			return
		}
		appendFailures.Add(w.stream, 1)
		logrus.WithField("stream", w.stream).WithError(err).Debug("append failed")
		pause.For(ctx, wait.NextBackOff())
	}
}

// Flush appends what is pending, within the budget. Records whose append
// failed stay pending. The error is that of the failed append.
func (w *Writer) Flush(ctx context.Context) error {
	return w.flush(ctx, w.options.Budget)
}

func (w *Writer) flush(ctx context.Context, budget *Budget) error {
	w.appending.Lock()
	defer w.appending.Unlock()
	for {
		batch := w.nextBatch()
		if len(batch) == 0 {
			return nil
		}
		if err := waitForBudget(ctx, budget); err != nil {
			return err
		}
		if err := w.appendBatch(ctx, batch); err != nil {
			return err
		}
		w.remove(batch)
	}
}

func (w *Writer) nextBatch() []json.RawMessage {
	if w.inDoubt != nil {
		return w.inDoubt
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	size, count := 0, 0
	for count < len(w.pending) && count < w.options.MaxBatch {
		size += len(w.pending[count])
		if count > 0 && size > w.options.MaxBatchBytes {
			break
		}
		count++
	}
	return w.pending[:count:count]
}

func (w *Writer) remove(batch []json.RawMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, raw := range batch {
		w.bytes -= len(raw)
	}
	w.pending = append([]json.RawMessage(nil), w.pending[len(batch):]...)
}

// waitForBudget waits for the turn of the next append.
func waitForBudget(ctx context.Context, budget *Budget) error {
	if budget == nil {
		return nil
	}
	pause.For(ctx, budget.Reserve(time.Now()))
	if err := ctx.Err(); err != nil {
		return merry.Prepend(ErrNotAppended, err.Error())
	}
	return nil
}

// appendBatch appends a batch. While it is doubtful whether an earlier try
// took effect, the stream is searched before the next one.
func (w *Writer) appendBatch(ctx context.Context, batch []json.RawMessage) error {
	if w.inDoubt != nil {
		return w.resolve(ctx, batch)
	}
	if err := w.refreshTail(ctx); err != nil {
		return err
	}
	return w.tryAppend(ctx, batch)
}

func (w *Writer) tryAppend(ctx context.Context, batch []json.RawMessage) error {
	appending, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	first, err := w.log.Append(appending, w.stream, batch)
	if err == nil {
		w.updateTail(first + int64(len(batch)))
		appendedBatches.Add(w.stream, 1)
		return nil
	}
	if !errors.Is(err, ErrAppendUnknown) {
		return err
	}
	w.inDoubt = batch
	return w.resolve(ctx, batch)
}

// resolve finds out whether a doubtful batch was appended. Where it was not,
// the error is that of the kind ErrNotAppended, and the batch may be appended
// again.
func (w *Writer) resolve(ctx context.Context, batch []json.RawMessage) error {
	found, err := w.findInTail(ctx, batch[len(batch)-1])
	if err != nil {
		return merry.Prepend(ErrAppendUnknown, err.Error())
	}
	w.inDoubt = nil
	if !found {
		return merry.Prependf(ErrNotAppended, "%d records are not in stream %s", len(batch), w.stream)
	}
	resolvedAppends.Add(w.stream, 1)
	return nil
}

// refreshTail makes sure that the search for a lost append has a start close to
// the end of the stream.
func (w *Writer) refreshTail(ctx context.Context) error {
	if !w.tailAt.IsZero() && time.Since(w.tailAt) < tailLifetime {
		return nil
	}
	page, err := w.log.Read(ctx, w.stream, w.tail, 1, 0)
	if err != nil {
		return merry.Prepend(ErrNotAppended, err.Error())
	}
	w.updateTail(page.Next)
	return nil
}

func (w *Writer) updateTail(offset int64) {
	w.tail = max(w.tail, offset)
	w.tailAt = time.Now()
}

// findInTail reports whether a record stands in the stream from the known
// tail on.
func (w *Writer) findInTail(ctx context.Context, record json.RawMessage) (bool, error) {
	wanted, err := stampOf(record)
	if err != nil {
		return false, err
	}
	for from := w.tail; ; {
		page, err := w.log.Read(ctx, w.stream, from, w.options.MaxBatch, 0)
		if err != nil {
			return false, err
		}
		from = page.FirstOffset + int64(len(page.Records))
		if contains(page.Records, wanted) {
			w.updateTail(from)
			return true, nil
		}
		if len(page.Records) == 0 || from >= page.Next {
			return false, nil
		}
	}
}

func contains(page []json.RawMessage, wanted records.Writer) bool {
	for _, raw := range page {
		if got, err := stampOf(raw); err == nil && got == wanted {
			return true
		}
	}
	return false
}

func stampOf(raw json.RawMessage) (records.Writer, error) {
	var s stamp
	if err := json.Unmarshal(raw, &s); err != nil {
		return records.Writer{}, merry.Prepend(err, "decode the writer of a record")
	}
	return s.Writer, nil
}
