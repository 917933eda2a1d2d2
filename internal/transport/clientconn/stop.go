package clientconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// StopTime is how long a graceful shutdown waits for clients other than callers, for example those for
// metrics. Their responses are some KiB.
const StopTime = 5 * time.Second

// Tracker is a listener that lists its open connections.
type Tracker struct {
	net.Listener
	conns   sync.Map
	stopped atomic.Bool
}

// Accept implements net.Listener.
func (t *Tracker) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, tracker: t}
	t.conns.Store(tracked, nil)
	if t.stopped.Load() {
		_ = tracked.Close()
	}
	return tracked, nil
}

// Stop shuts the server of the listener down. It closes the connections that still have a request after
// the time limit.
func (t *Tracker) Stop(server *fasthttp.Server, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := server.ShutdownWithContext(ctx)
	if !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	t.stopped.Store(true)
	for conn := range t.conns.Range {
		_ = conn.(*trackedConn).Close()
	}
	return nil
}

// trackedConn is a connection that its Tracker lists until it is closed.
type trackedConn struct {
	net.Conn
	tracker *Tracker
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.conns.Delete(c)
	return c.Conn.Close()
}
