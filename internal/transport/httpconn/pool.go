// Package httpconn is an HTTP/1.1 client (RFC 9112) that manages its own
// connections. It uses the codecs of fasthttp and net/http, but not their
// clients: callers of this package must know whether any byte of a request was
// written, must be able to abort a single call by closing its connection, and
// must be able to rule out that a request is repeated.
package httpconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Options are the limits of a Pool.
type Options struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// IdleTimeout bounds each wait for the next byte of a response.
	IdleTimeout time.Duration
	// KeepAlive is how long an idle connection is kept.
	KeepAlive time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	// MaxBody is the largest size in bytes of a response body that is read
	// completely.
	MaxBody int
	// UnackedTimeout is the time after which a connection is closed if its peer
	// acknowledges neither sent bytes nor keep-alive probes; 0 leaves this to
	// the kernel.
	UnackedTimeout time.Duration
	// Dial opens a TCP connection, within ConnectTimeout; nil means the dialer of the
	// pool. It is not for use with TLS.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialed is called with the beginning and the outcome of each attempt to open a
	// connection that was not canceled; nil means that nobody needs it.
	Dialed func(address string, began time.Time, err error)
	// TLS returns the configuration for the server at an IP address; nil means
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

// Pool holds connections to any number of servers. It is safe for concurrent
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

// Close closes all idle connections. Connections in use are closed when their
// call ends.
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
	// headerRemaining is the number of bytes of a response header that may still
	// be read; negative while no header is read.
	headerRemaining int
	// usableUntil is when an idle connection expires.
	usableUntil time.Time
}

// Read fails if no byte arrives within the idle timeout, or if a header is
// longer than maxHeaderBytes.
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

// limitHeader limits reads to maxHeaderBytes until restore is called.
func (c *conn) limitHeader() (restore func()) {
	c.headerRemaining = maxHeaderBytes
	return func() { c.headerRemaining = -1 }
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// take removes and returns the most recently used idle connection, or nil if
// there is none. If that connection has expired, take closes all idle
// connections of the address.
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

// putFor returns a connection to the pool for the time that its server has
// advertised, but no longer than Options.KeepAlive; 0 means that the server has
// advertised none.
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
	began := time.Now()
	nc, err := p.dialConn(ctx, address)
	if p.opts.Dialed != nil && (err == nil || ctx.Err() == nil) {
		p.opts.Dialed(address, began, err)
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, address: address, idleTimeout: p.opts.IdleTimeout, headerRemaining: -1}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.writer = bufio.NewWriter(nc)
	return c, nil
}

const (
	// readBufferBytes is the size of the read buffer. A header that is read by
	// fasthttp, as in Do and Open, must fit in it.
	readBufferBytes = 8 << 10
	// maxHeaderBytes bounds the header of a response together with all interim
	// responses before it. It is several times what servers send. Without this
	// limit, a server that sends an endless header would exhaust the memory.
	maxHeaderBytes = 64 << 10
)

var errHeaderTooLong = errors.New("header of the response is too long; the server may be sending something else")

// Refuses reports whether a connection to address is refused, as by a machine on which no
// process listens there. A connection that is accepted is kept for later use.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	return IsRefused(p.connect(ctx, address))
}

// Accepts reports whether a new connection to address is accepted. It is kept for later
// use.
func (p *Pool) Accepts(ctx context.Context, address string) bool {
	return p.connect(ctx, address) == nil
}

// connect opens a connection to address and keeps it for later use.
func (p *Pool) connect(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err == nil {
		p.put(c)
	}
	return err
}

// IsRefused reports whether an error means that no process listens at an address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (p *Pool) dialConn(ctx context.Context, address string) (net.Conn, error) {
	if p.opts.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, p.opts.ConnectTimeout)
		defer cancel()
		return p.opts.Dial(ctx, "tcp", address)
	}
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
