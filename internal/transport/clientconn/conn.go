package clientconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"medlarslip/internal/state/clientmemory"
)

var errUnread = errors.New("the client did not read its response")

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	holding *clientmemory.Holding
	unread  func()
	closed  sync.Once
	// onClose is called once the connection is closed; nil if the listener does not list it.
	onClose      func()
	writeTimeout time.Duration
	// relaxedTimeout applies while clients hold little memory.
	relaxedTimeout time.Duration
	// trusted is true once the client has authenticated itself.
	trusted atomic.Bool
	// closing is true while the last alert of TLS is written.
	closing atomic.Bool
	// received counts the bytes that were read.
	received atomic.Int64
}

// alertTimeout is the timeout for the last alert of TLS. The alert either fits into the buffer of the
// kernel at once, or the client does not read. A server that stops closes its idle connections one
// after the other.
const alertTimeout = 10 * time.Millisecond

// Trust ends the accounting of a connection whose client has authenticated itself: it no longer
// counts for any limit, is not evicted, and its writes have no timeout. The error is
// clientmemory.ErrEvicted if it was evicted before.
func Trust(conn net.Conn) error {
	c, ok := conn.(*Conn)
	if !ok {
		return nil
	}
	// A running connection is not evicted.
	if err := c.holding.SetPhase(clientmemory.Running); err != nil {
		return err
	}
	if err := c.SetWriteDeadline(time.Time{}); err != nil {
		return err
	}
	c.trusted.Store(true)
	c.holding.Close()
	return nil
}

// evict makes the connection release its memory.
func (c *Conn) evict(phase clientmemory.Phase) {
	if phase == clientmemory.Body {
		// The reader of the body fails, and responds that the request has not run.
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	// The holding may not be known yet. The budget closes it.
	_ = c.Conn.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received.Add(int64(n))
	if n > 0 && !c.trusted.Load() {
		if full := c.holding.Received(n); full != nil {
			_ = c.Close()
			return 0, full
		}
	}
	return n, err
}

// Received returns the number of bytes that have arrived: those that were read, and those that wait in the
// kernel.
func (c *Conn) Received() int64 {
	return c.received.Load() + int64(max(c.socketQueue(unix.SIOCINQ), 0))
}

// CloseWrite closes the sending side. A server uses it to let the client read a last response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Write implements net.Conn. It fails once the client has taken nothing for the write timeout.
func (c *Conn) Write(b []byte) (int, error) {
	if c.writeTimeout < 0 || c.trusted.Load() {
		return c.Conn.Write(b)
	}
	if c.closing.Load() {
		if err := c.SetWriteDeadline(time.Now().Add(alertTimeout)); err != nil {
			return 0, err
		}
		return c.Conn.Write(b)
	}
	written, queued := 0, -1
	progress := time.Now()
	defer c.holding.EndWriting()
	for {
		if err := c.SetWriteDeadline(time.Now().Add(min(writeCheckInterval, c.writeTimeout/2))); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if n > 0 {
				c.holding.Progress()
			}
			return written, err
		}
		c.holding.BeginWriting()
		left := c.unacknowledged()
		switch {
		case n > 0 || (queued >= 0 && left < queued):
			progress = time.Now()
			c.holding.Progress()
		case time.Since(progress) >= c.unreadTimeout():
			if c.unread != nil {
				c.unread()
			}
			_ = c.Close()
			return written, errUnread
		}
		queued = left
	}
}

// unreadTimeout returns how long the client may take nothing of its response.
func (c *Conn) unreadTimeout() time.Duration {
	if c.holding.Short() {
		return c.writeTimeout
	}
	return c.relaxedTimeout
}

// unacknowledged returns the number of bytes that were written and that the client has not
// acknowledged; -1 if that is unknown.
func (c *Conn) unacknowledged() int { return c.socketQueue(unix.SIOCOUTQ) }

// socketQueue returns the number of bytes in a queue of the socket (tcp(7)); -1 if that is unknown.
func (c *Conn) socketQueue(queue uint) int {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return -1
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return -1
	}
	size := -1
	// An error means that the connection is closed; then size stays -1.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), queue); err == nil {
			size = n
		}
	})
	return size
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() {
		c.holding.Close()
		if c.onClose != nil {
			c.onClose()
		}
	})
	return err
}

// OnState is the ConnState hook of an http.Server. It records whether a connection has a
// request.
func OnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	// A connection that was evicted is closed, or its request is refused.
	switch state {
	case http.StateActive:
		_ = c.holding.SetPhase(clientmemory.Running)
	case http.StateIdle:
		_ = c.holding.SetPhase(clientmemory.Idle)
	}
}

// Context is the ConnContext hook of an http.Server. It adds the holding of the connection.
func Context(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return clientmemory.NewContext(ctx, c.holding)
	}
	return ctx
}
