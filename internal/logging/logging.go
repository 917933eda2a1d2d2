// Package logging writes structured log lines without blocking the caller. Lines
// that exceed the rate limit or the queue are dropped and counted.
package logging

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines limits the lines queued for the output.
	maxQueuedLines = 4096
	// linesPerSecond limits the average log rate of one process.
	linesPerSecond = 400
	// maxBurstLines is the burst size of the rate limit.
	maxBurstLines = 800
	// reportInterval is the interval of the reports of dropped lines.
	reportInterval = 5 * time.Second
)

// Writer is an io.Writer that never blocks. Each call of Write passes one line. It
// is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewWriter returns a writer that queues lines until Run writes them out.
func NewWriter() *Writer {
	return &Writer{lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(linesPerSecond, maxBurstLines)}
}

// Write queues a copy of one line. It always succeeds; a line that exceeds the rate
// limit or the queue is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the last call, or since the
// last report of Run.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Run writes lines to out until ctx is done, and then the lines still queued. It
// reports the number of dropped lines in lines of its own.
func (w *Writer) Run(ctx context.Context, out io.Writer) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			// There is no other output to which a write error could be reported.
			_, _ = out.Write(line)
		case <-ticker.C:
			w.reportDropped(out)
		case <-ctx.Done():
			w.flush(out)
			return
		}
	}
}

func (w *Writer) reportDropped(out io.Writer) {
	if n := w.Dropped(); n > 0 {
		_, _ = fmt.Fprintf(out, `{"event":"log_lines_dropped","count":%d}`+"\n", n)
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			w.reportDropped(out)
			return
		}
	}
}
