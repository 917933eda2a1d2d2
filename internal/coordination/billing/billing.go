// Package billing writes one bill for each request to the log. Before a request
// is answered, its bill is copied to an instance in another failure domain, which
// appends it if the owner fails. Readers deduplicate bills by request ID.
package billing

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	// flushIntervalPerInstance is multiplied by the size of the fleet to get the
	// time between two periodic appends of one instance: 40 appends a second from
	// the whole fleet.
	flushIntervalPerInstance = 25 * time.Millisecond
	minFlushInterval         = time.Second // minimum time between two appends
	maxBillsPerAppend        = 500
	appendTimeout            = 5 * time.Second
	finishTimeout            = time.Minute
	maxBackOff               = 10 * time.Second
	// MaxPendingBytes is the size of pending bills at which an instance refuses
	// new requests, unless LimitPending sets a lower one. One hour at 11 requests a second takes half of it.
	MaxPendingBytes = 24 << 20
)

// Counters of this package.
var (
	pendingBills  = expvar.NewInt("billing_pending")
	pendingBytes  = expvar.NewInt("billing_pending_bytes")
	billAppends   = expvar.NewInt("billing_appends")
	uncopiedBills = expvar.NewInt("billing_uncopied")
)

// Copier copies bills to other instances.
type Copier interface {
	// Copy returns nil once an instance in another failure domain holds copies of
	// the bills.
	Copy(ctx context.Context, bills []records.Bill) error
	// Appended notifies the holder of the copies that the log has all bills up to
	// a sequence number.
	Appended(ctx context.Context, through uint64)
	// Instances returns the number of live entry instances.
	Instances() int
}

// Writer collects bills and appends them in batches. It is safe for concurrent
// use.
type Writer struct {
	log     eventlog.Log
	writer  records.Writer
	batcher *copyBatcher
	copier  Copier
	// maxBytes is the size of pending bills at which Full returns true.
	maxBytes int

	mu      sync.Mutex
	pending []pendingBill
	bytes   int
	next    uint64
	// appended is closed and replaced after each batch.
	appended chan struct{}
	// appendedThrough is the sequence number up to which the log has the bills.
	appendedThrough uint64
	// flushNow requests an immediate append.
	flushNow chan struct{}
}

type pendingBill struct {
	sequence uint64
	raw      json.RawMessage
}

// New returns a writer for one run of an instance.
func New(log eventlog.Log, copier Copier, instance, incarnation string) *Writer {
	return &Writer{
		log:      log,
		writer:   records.Writer{Instance: instance, Incarnation: incarnation},
		batcher:  newCopyBatcher(copier),
		copier:   copier,
		maxBytes: MaxPendingBytes,
		appended: make(chan struct{}),
		flushNow: make(chan struct{}, 1),
	}
}

// LimitPending sets the size of pending bills at which Full returns true, if it is lower than MaxPendingBytes; 0 leaves
// that. It must be called before the first bill.
func (w *Writer) LimitPending(bytes int64) {
	if bytes > 0 {
		w.maxBytes = int(min(bytes, MaxPendingBytes))
	}
}

// Full reports whether the pending bills have reached their limit.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes >= w.maxBytes
}

// Bill adds one bill and returns once it would survive the failure of this
// instance: when another instance holds a copy or the log has it. If neither
// happens before durabilityTimeout, only this instance has the bill, and Bill
// counts it in billing_uncopied.
func (w *Writer) Bill(ctx context.Context, bill *records.Bill) {
	sequence, err := w.add(bill)
	if err != nil {
		logrus.WithField("request_id", bill.RequestID).Errorf("bill can't be encoded: %v", err)
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), durabilityTimeout)
	defer cancel()
	if w.batcher.copy(ctx, *bill) == nil {
		return
	}
	select {
	case w.flushNow <- struct{}{}:
	default:
	}
	if !w.awaitAppended(ctx, sequence) {
		uncopiedBills.Add(1)
	}
}

func (w *Writer) add(bill *records.Bill) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	bill.Writer = w.writer
	bill.Writer.Sequence = w.next + 1
	raw, err := json.Marshal(bill)
	if err != nil {
		return 0, err
	}
	w.next++
	w.pending = append(w.pending, pendingBill{sequence: w.next, raw: raw})
	w.bytes += len(raw)
	w.updateGaugesLocked()
	return w.next, nil
}

func (w *Writer) updateGaugesLocked() {
	pendingBills.Set(int64(len(w.pending)))
	pendingBytes.Set(int64(w.bytes))
}

func (w *Writer) awaitAppended(ctx context.Context, sequence uint64) bool {
	for {
		w.mu.Lock()
		through, changed := w.appendedThrough, w.appended
		w.mu.Unlock()
		if through >= sequence {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Run appends batches until ctx ends, and then the remaining bills. It returns an
// error if the log did not accept those in time; the instances that hold copies
// append them then.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(minFlushInterval)
	defer ticker.Stop()
	pause := appendBackOff()
	var nextFlush time.Time
	failing := false
	flush := func() {
		nextFlush = time.Now().Add(w.interval())
		failing = w.Flush(ctx) != nil
		if failing {
			nextFlush = time.Now().Add(pause.NextBackOff())
			return
		}
		pause.Reset()
	}
	for {
		select {
		case <-w.flushNow:
			if !failing {
				flush()
			}
		case <-ticker.C:
			if !time.Now().Before(nextFlush) {
				flush()
			}
		case <-ctx.Done():
			return w.flushRemaining()
		}
	}
}

// interval returns the time between two appends of this instance.
func (w *Writer) interval() time.Duration {
	return max(minFlushInterval, time.Duration(w.copier.Instances())*flushIntervalPerInstance)
}

func appendBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minFlushInterval
	b.MaxInterval = maxBackOff
	return b
}

func (w *Writer) flushRemaining() error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
	defer cancel()
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, w.Flush(ctx)
	}, backoff.WithBackOff(appendBackOff()))
	return err
}

// Flush appends all pending bills. After any error the batch stays pending and is
// appended again, since its append may have taken effect; readers deduplicate
// bills.
func (w *Writer) Flush(ctx context.Context) error {
	for {
		batch := w.batch()
		if len(batch) == 0 {
			return nil
		}
		raws := make([]json.RawMessage, len(batch))
		for i := range batch {
			raws[i] = batch[i].raw
		}
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		billAppends.Add(1)
		_, err := w.log.Append(limited, platform.StreamBilling, raws)
		cancel()
		if err != nil {
			return err
		}
		w.removeAppended(batch)
		w.copier.Appended(ctx, batch[len(batch)-1].sequence)
	}
}

func (w *Writer) batch() []pendingBill {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending[:min(len(w.pending), maxBillsPerAppend)]
}

func (w *Writer) removeAppended(batch []pendingBill) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, bill := range batch {
		w.bytes -= len(bill.raw)
	}
	w.appendedThrough = batch[len(batch)-1].sequence
	w.pending = append([]pendingBill(nil), w.pending[len(batch):]...)
	close(w.appended)
	w.appended = make(chan struct{})
	w.updateGaugesLocked()
}

// Pending returns the bills that are not yet on the log, and the sequence number
// up to which the log has all bills.
func (w *Writer) Pending() ([]records.Bill, uint64) {
	w.mu.Lock()
	pending, through := w.pending, w.appendedThrough
	w.mu.Unlock()
	bills := make([]records.Bill, 0, len(pending))
	for _, one := range pending {
		var bill records.Bill
		if json.Unmarshal(one.raw, &bill) == nil {
			bills = append(bills, bill)
		}
	}
	return bills, through
}
