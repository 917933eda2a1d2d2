// Package billing writes one bill a request to the log.
package billing

import (
	"context"
	"encoding/json"
	"expvar"
	"sync"
	"time"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
)

const (
	flushInterval = 200 * time.Millisecond
	maxBatch      = 500 // bills of one append
	flushTimeout  = 5 * time.Second
)

var pendingBills = expvar.NewInt("billing_pending")

// Writer gathers bills and appends them in batches. It is safe for concurrent
// use.
type Writer struct {
	log    eventlog.Log
	writer records.Writer

	mu      sync.Mutex
	pending []json.RawMessage
	next    uint64
}

// New returns a writer for the given instance.
func New(log eventlog.Log, instance, incarnation string) *Writer {
	return &Writer{log: log, writer: records.Writer{Instance: instance, Incarnation: incarnation}}
}

// Bill takes one bill; it is appended with the next batch.
func (w *Writer) Bill(_ context.Context, bill *records.Bill) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	bill.Writer = w.writer
	bill.Writer.Sequence = w.next
	raw, err := json.Marshal(bill)
	if err != nil {
		return
	}
	w.pending = append(w.pending, raw)
	pendingBills.Set(int64(len(w.pending)))
}

// Run appends batches until ctx ends, and all that is left then.
func (w *Writer) Run(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = w.Flush(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.Background(), flushTimeout)
			defer cancel()
			return w.Flush(last)
		}
	}
}

// Flush appends what is pending. A batch whose append failed in any way stays
// pending and is appended again; readers drop the repeats.
func (w *Writer) Flush(ctx context.Context) error {
	for {
		w.mu.Lock()
		batch := w.pending[:min(len(w.pending), maxBatch)]
		w.mu.Unlock()
		if len(batch) == 0 {
			return nil
		}
		if _, err := w.log.Append(ctx, platform.StreamBilling, batch); err != nil {
			return err
		}
		w.mu.Lock()
		w.pending = w.pending[len(batch):]
		pendingBills.Set(int64(len(w.pending)))
		w.mu.Unlock()
	}
}
