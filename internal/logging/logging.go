// Package logging writes structured log lines without ever waiting for who
// reads them. Lines that do not fit the bounds are left out and counted.
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
	// maxQueuedLines is the number of lines that wait for the output.
	maxQueuedLines = 4096
	// linesPerSecond bounds the volume of the log of one process.
	linesPerSecond = 400
	// maxBurstLines may be written at once.
	maxBurstLines = 800
	// reportInterval is the pause between two lines that tell how many were
	// left out.
	reportInterval = 5 * time.Second
)

// Writer is an io.Writer that never blocks; each Write is one line.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
}

// NewWriter returns a writer whose lines Run writes out.
func NewWriter() *Writer {
	return &Writer{lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(linesPerSecond, maxBurstLines)}
}

// Write takes one line. It always succeeds; a line over the bounds is left
// out.
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

// Dropped returns the number of lines that were left out since the last call.
func (w *Writer) Dropped() int64 { return w.dropped.Swap(0) }

// Run writes lines to out until ctx ends, and then what is queued.
func (w *Writer) Run(ctx context.Context, out io.Writer) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.lines:
			// There is nowhere to report that standard output fails.
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
