// Package clientconn provides listeners for clients that need not comply with any limit:
// it accounts for what each connection holds, and closes connections whose clients don't
// read.
package clientconn

import (
	"cmp"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"medlarslip/internal/state/clientmemory"
)

const (
	// DefaultWriteTimeout is the usual WriteTimeout of a Listener. A client that reads
	// steadily takes some bytes within it even if its kernel announces free space only in
	// steps of 64 KiB and it reads 4 kB per second.
	DefaultWriteTimeout = 20 * time.Second
	// DefaultRelaxedWriteTimeout is the usual RelaxedWriteTimeout. A client that reads 10 kB per
	// second after a fast start takes some bytes within it: its kernel has grown its buffer, and
	// announces free space in larger steps.
	DefaultRelaxedWriteTimeout = time.Minute
	// writeCheckInterval is the time between two checks of whether a client takes bytes
	// while a write blocks.
	writeCheckInterval = 500 * time.Millisecond
	// acceptWait is how long a new connection waits at the limit for another one to end
	// or to stall.
	acceptWait = clientmemory.StallTime + 200*time.Millisecond
	acceptPoll = 20 * time.Millisecond
	// maxWaiting bounds the connections that wait, since each has a descriptor.
	maxWaiting = 16
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of a connection. The
	// kernel would otherwise grow them to some MiB. A window of 16 KiB receives 4 MB in 10 s
	// up to a round trip of 40 ms.
	receiveBuffer = 16 << 10
	sendBuffer    = 4 << 10
	// KernelBytes is the memory of the kernel that a connection with small buffers may occupy.
	// The kernel allows twice the sizes that are set (socket(7)).
	KernelBytes = 2 * (receiveBuffer + sendBuffer)
)

// SmallBuffers bounds the buffers of the kernel for a socket that is to listen. Connections
// inherit them, also those that are not accepted yet. It is a Control of a net.ListenConfig.
func SmallBuffers(_, _ string, conn syscall.RawConn) error {
	var err error
	if controlErr := conn.Control(func(fd uintptr) {
		err = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// Listener accounts for the connections that it accepts.
type Listener struct {
	net.Listener
	Group *clientmemory.Group
	// WriteTimeout is how long a client may take none of the bytes that were sent to it; 0
	// means DefaultWriteTimeout, and a negative one that there is no such limit.
	WriteTimeout time.Duration
	// RelaxedWriteTimeout applies instead while clients hold little memory, if it is longer.
	RelaxedWriteTimeout time.Duration
	// Unread is called for each connection that is closed since its client did not read.
	Unread func()
	// index makes conns list the open connections by their remote addresses, for servers
	// that don't pass on the connections of their listener.
	index bool
	conns sync.Map
	// tls is true if the connections are those of NewTLSListener.
	tls bool
	// begin and end guard the start of acceptAll and the closing of closed.
	begin, end sync.Once
	admitted   chan *Conn
	failed     chan error
	closed     chan struct{}
	// waiting holds an element for each connection that waits for another one to end.
	waiting chan struct{}
}

var _ net.Listener = (*Listener)(nil)

// Accept implements net.Listener. It closes connections beyond the limits.
func (l *Listener) Accept() (net.Conn, error) {
	l.begin.Do(l.start)
	select {
	case c := <-l.admitted:
		return c, nil
	case err := <-l.failed:
		return nil, err
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.begin.Do(l.start)
	err := l.Listener.Close()
	l.end.Do(func() { close(l.closed) })
	return err
}

func (l *Listener) start() {
	l.admitted, l.failed, l.closed = make(chan *Conn), make(chan error), make(chan struct{})
	l.waiting = make(chan struct{}, maxWaiting)
	go l.acceptAll()
}

// acceptAll accepts connections until the listener is closed. One that has to wait for others
// does not delay those after it.
func (l *Listener) acceptAll() {
	for {
		conn, err := Retry(l.Listener).Accept()
		if err != nil {
			select {
			case l.failed <- err:
			case <-l.closed:
				return
			}
			if errors.Is(err, net.ErrClosed) {
				l.end.Do(func() { close(l.closed) })
				return
			}
			continue
		}
		c, err := l.admit(conn)
		if !errors.Is(err, clientmemory.ErrFull) {
			l.deliver(conn, c)
			continue
		}
		// Further connections stay in the queue of the kernel.
		l.waiting <- struct{}{}
		go func() {
			defer func() { <-l.waiting }()
			l.deliver(conn, l.await(conn))
		}()
	}
}

// await admits a connection once another one has ended or stalled. It returns nil if none has.
func (l *Listener) await(conn net.Conn) *Conn {
	for until := time.Now().Add(acceptWait); time.Now().Before(until); {
		select {
		case <-time.After(acceptPoll):
		case <-l.closed:
			return nil
		}
		c, err := l.admit(conn)
		if !errors.Is(err, clientmemory.ErrFull) {
			return c
		}
	}
	return nil
}

// deliver passes an admitted connection to Accept. nil means that the connection is refused.
func (l *Listener) deliver(conn net.Conn, c *Conn) {
	if c == nil {
		l.Group.CountRefused()
		_ = conn.Close()
		return
	}
	l.add(c)
	select {
	case l.admitted <- c:
	case <-l.closed:
		_ = c.Close()
	}
}

// admit returns the connection, or an error if it exceeds the limits.
func (l *Listener) admit(conn net.Conn) (*Conn, error) {
	address, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		address = conn.RemoteAddr().String()
	}
	c := &Conn{Conn: conn, unread: l.Unread, writeTimeout: cmp.Or(l.WriteTimeout, DefaultWriteTimeout)}
	c.relaxedTimeout = max(l.RelaxedWriteTimeout, c.writeTimeout)
	c.holding, err = l.Group.Open(address, c.evict)
	if err != nil {
		return nil, err
	}
	return c, nil
}

// add lists a connection until it is closed.
func (l *Listener) add(c *Conn) {
	if !l.index {
		return
	}
	remote := addrPort(c.RemoteAddr())
	l.conns.Store(remote, c)
	c.onClose = func() { l.conns.CompareAndDelete(remote, c) }
}
