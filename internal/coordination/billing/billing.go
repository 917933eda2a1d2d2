// Package billing writes one bill a request to the log. Before the request is
// answered, its bill is copied to an instance in another failure domain, which
// appends it should the owner be lost. Readers drop the repeats by the ID of
// the request.
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
	// flushIntervalPerInstance is the time between two appends of one instance for
	// each instance of the fleet: 40 appends a second from all of them.
	flushIntervalPerInstance = 25 * time.Millisecond
	minFlushInterval         = time.Second // shortest time between two appends
	maxBillsPerAppend        = 500         // bills of one append
	appendTimeout            = 5 * time.Second
	finishTimeout            = time.Minute
	maxBackOff               = 10 * time.Second
	// MaxPendingBytes is the size of own bills at which new requests are
	// refused; an hour of 11 requests a second takes half of it.
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
	// Copy returns nil once an instance in another failure domain holds the
	// bills.
	Copy(ctx context.Context, bills []records.Bill) error
	// Appended tells the holders up to which sequence number the log has the
	// bills.
	Appended(ctx context.Context, through uint64)
	// Instances returns the number of live entry instances.
	Instances() int
}

// Writer gathers bills and appends them in batches. It is safe for concurrent
// use.
type Writer struct {
	log     eventlog.Log
	writer  records.Writer
	batcher *copyBatcher
	copier  Copier

	mu      sync.Mutex
	pending []pendingBill
	bytes   int
	next    uint64
	// appended is closed and replaced after each batch.
	appended        chan struct{}
	appendedThrough uint64
	// flushNow asks for an append at once.
	flushNow chan struct{}
}

type pendingBill struct {
	sequence uint64
	raw      json.RawMessage
}

// New returns a writer for the given instance.
func New(log eventlog.Log, copier Copier, instance, incarnation string) *Writer {
	return &Writer{
		log:      log,
		writer:   records.Writer{Instance: instance, Incarnation: incarnation},
		batcher:  newCopyBatcher(copier),
		copier:   copier,
		appended: make(chan struct{}),
		flushNow: make(chan struct{}, 1),
	}
}

// Full reports whether the bills that wait for the log have reached the bound.
func (w *Writer) Full() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes >= MaxPendingBytes
}

// Bill takes one bill and returns once it survives the loss of this instance:
// when another holds a copy or the log has it. Where neither comes about in
// time, the bill stays in the memory of this instance alone and is counted.
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

// Run appends batches until ctx ends, and all that is left then. It returns
// an error where the log did not take the rest in time; the copies with other
// instances are appended by them.
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

// interval returns the time between two appends.
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

// Flush appends what is pending. A batch whose append failed in any way stays
// pending and is appended again; readers drop the repeats.
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

// Pending returns the bills that the log does not have yet, and the sequence
// number up to which it has them.
func (w *Writer) Pending() ([]records.Bill, uint64) {
	w.mu.Lock()
	waiting, through := w.pending, w.appendedThrough
	w.mu.Unlock()
	bills := make([]records.Bill, 0, len(waiting))
	for _, one := range waiting {
		var bill records.Bill
		if json.Unmarshal(one.raw, &bill) == nil {
			bills = append(bills, bill)
		}
	}
	return bills, through
}
