// Package httpconn calls HTTP/1.1 servers (RFC 9112) over connections that it
// controls itself. The codec is fasthttp's; its clients are not used, because
// a caller of this package must know whether any byte of a request was
// written, must be able to end one call by closing its connection, and must
// never have a request repeated behind its back.
package httpconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"
)

// Options are the limits of a Pool.
type Options struct {
	// ConnectTimeout bounds the wait for a connection.
	ConnectTimeout time.Duration
	// IdleTimeout bounds each wait for the next byte of a response.
	IdleTimeout time.Duration
	// KeepAlive is how long an unused connection is kept.
	KeepAlive time.Duration
	// MaxIdle is how many unused connections are kept per address.
	MaxIdle int
	// MaxBody bounds a whole response body in bytes.
	MaxBody int
	// UnackedTimeout closes a connection whose peer has not acknowledged sent
	// bytes or keep-alive probes for so long; 0 leaves it to the kernel.
	UnackedTimeout time.Duration
	// TLS returns the configuration for the server at an IP number; nil means
	// plain HTTP.
	TLS func(ip string) *tls.Config
}

// DefaultOptions returns options that suit calls within a failure domain.
func DefaultOptions() Options {
	return Options{
		ConnectTimeout: time.Second,
		IdleTimeout:    30 * time.Second,
		KeepAlive:      20 * time.Second,
		MaxIdle:        64,
		MaxBody:        16 << 20,
	}
}

// Pool keeps connections to any number of servers. It is safe for concurrent
// use.
type Pool struct {
	opts   Options
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(opts Options) *Pool {
	return &Pool{
		opts:   opts,
		dialer: newDialer(&opts),
		idle:   map[string][]*conn{},
	}
}

// Close closes all unused connections; those in use close at their end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		closeAll(conns)
	}
	clear(p.idle)
}

// conn is one connection with its buffers.
type conn struct {
	net.Conn
	address     string
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleTimeout time.Duration
	usedBefore  bool
	// headerRemaining is the number of bytes that may still be read of the header of
	// a response; negative outside of one.
	headerRemaining int
	// usableUntil is when an unused connection is no longer taken.
	usableUntil time.Time
}

// Read waits at most the idle timeout for the next bytes.
func (c *conn) Read(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	if c.headerRemaining < 0 {
		return c.Conn.Read(b)
	}
	if c.headerRemaining == 0 {
		return 0, errHeaderTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headerRemaining)])
	c.headerRemaining -= n
	return n, err
}

// limitHeader bounds what is read until the returned function is called.
func (c *conn) limitHeader() (restore func()) {
	c.headerRemaining = maxHeaderBytes
	return func() { c.headerRemaining = -1 }
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// take returns the unused connection that was used last, or nil.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	if time.Now().After(last.usableUntil) {
		closeAll(conns)
		delete(p.idle, address)
		return nil
	}
	return last
}

func (p *Pool) put(c *conn) { p.putFor(c, 0) }

// putFor keeps a connection for the time that its server named, or for that of
// the options if it is shorter or none was named.
func (p *Pool) putFor(c *conn, advertised time.Duration) {
	usable := p.opts.KeepAlive
	if advertised > 0 {
		usable = min(usable, advertised)
	}
	if c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.usedBefore = true
	c.usableUntil = time.Now().Add(usable)
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[c.address]
	if p.closed || len(conns) >= p.opts.MaxIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(conns, c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dialConn(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, address: address, idleTimeout: p.opts.IdleTimeout, headerRemaining: -1}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriter(nc)
	return c, nil
}

const (
	// readBufferBytes is the size of the read buffer; a header that the codec of
	// whole calls reads must fit in it.
	readBufferBytes = 8 << 10
	// maxHeaderBytes bounds the header of a response, with all interim ones
	// before it: several times what servers send, so that one which sends bytes
	// without end takes no memory.
	maxHeaderBytes = 64 << 10
)

var errHeaderTooLong = errors.New("header of the response is too long; the server may be sending something else")

func (p *Pool) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if p.opts.TLS == nil {
		return p.dialer.DialContext(ctx, "tcp", address)
	}
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	tlsDialer := tls.Dialer{NetDialer: &p.dialer, Config: p.opts.TLS(ip)}
	return tlsDialer.DialContext(ctx, "tcp", address)
}
