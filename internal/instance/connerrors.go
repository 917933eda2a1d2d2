package instance

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/pause"
)

// failedConnections counts the connections of callers, of peers and for metrics that ended with an
// error.
var failedConnections = expvar.NewInt("connections_failed")

const (
	// connectionErrorInterval is the time between two log lines on failed connections.
	connectionErrorInterval = time.Second
	// maxConnectionError bounds the text of an error in bytes, since it may quote what a client sent.
	maxConnectionError = 300
)

// connectionErrors is the logger of the servers. They report each connection that fails, so that
// clients determine how often. It logs the first error of an interval, and the number of the
// others.
type connectionErrors struct {
	mu    sync.Mutex
	first string
	count int
}

var _ fasthttp.Logger = (*connectionErrors)(nil)

// Printf implements fasthttp.Logger.
func (e *connectionErrors) Printf(format string, args ...any) {
	failedConnections.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count++; e.count == 1 {
		e.first = fmt.Sprintf(format, args...)
	}
}

// run logs the errors until ctx ends.
func (e *connectionErrors) run(ctx context.Context) error {
	pause.Every(ctx, connectionErrorInterval, e.flush)
	e.flush()
	return nil
}

// flush logs the errors since the last call, if there are any.
func (e *connectionErrors) flush() {
	e.mu.Lock()
	first, count := e.first, e.count
	e.first, e.count = "", 0
	e.mu.Unlock()
	if count == 0 {
		return
	}
	logrus.WithFields(logrus.Fields{"event": "connections_failed", "first": first[:min(len(first), maxConnectionError)], "omitted": count - 1}).
		Warn("connections ended with an error")
}
