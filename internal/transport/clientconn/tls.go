package clientconn

import (
	"crypto/tls"
	"errors"
	"net"

	"medlarslip/internal/state/clientmemory"
)

const (
	// maxWithoutData is how many bytes a client may send after the handshake without completing a record
	// with data. The largest record has 18,437 bytes (maxCiphertext of crypto/tls). The rest is for the
	// records without data that crypto/tls accepts, 16 in a row.
	maxWithoutData = 20 << 10
	// maxReadAhead is the largest read from a connection. What it returns beyond a record with data does not
	// count for maxWithoutData.
	maxReadAhead = 4 << 10
)

var errWithoutData = errors.New("the client sends records without data")

// NewTLSListener returns a listener for TLS whose connections bound what crypto/tls holds for them,
// and that accounts for it. It must be called before the first Accept. A message of the handshake
// that a client sends after it could otherwise occupy twice 64 KiB.
func NewTLSListener(inner *Listener, config *tls.Config) net.Listener {
	inner.tls = true
	inner.Group.AddBytes(clientmemory.TLSBytes)
	return &tlsListener{Listener: inner, config: config}
}

type tlsListener struct {
	net.Listener
	config *tls.Config
}

// Accept implements net.Listener.
func (l *tlsListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	records := &recordReader{Conn: conn}
	wrapped := &tlsConn{Conn: tls.Server(records, l.config), records: records}
	if c, ok := conn.(*Conn); ok {
		records.holding, wrapped.below = c.holding, c
	}
	return wrapped, nil
}

// tlsConn is a TLS connection. One goroutine reads from it.
type tlsConn struct {
	*tls.Conn
	records *recordReader
	// below is the connection that records are written to; nil if its listener is not a Listener.
	below *Conn
}

// Close implements net.Conn. It sends a last alert, but does not wait for a client that does not read.
func (c *tlsConn) Close() error {
	if c.below != nil {
		c.below.closing.Store(true)
	}
	return c.Conn.Close()
}

// Handshake runs the handshake, and bounds what the client sends after it.
func (c *tlsConn) Handshake() error {
	if c.records.bounded {
		return nil
	}
	if err := c.Conn.Handshake(); err != nil {
		return err
	}
	c.records.bounded = true
	c.records.holding.KeepReceived()
	return nil
}

// Read implements net.Conn. It runs the handshake, since fasthttp calls Handshake only without MaxConnsPerIP:
// its wrapper of a connection for that limit hides the method.
func (c *tlsConn) Read(b []byte) (int, error) {
	if err := c.Handshake(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.records.withoutData = 0
	}
	return n, err
}

// recordReader is the connection that crypto/tls reads records from.
type recordReader struct {
	net.Conn
	holding *clientmemory.Holding
	// bounded is true after the handshake, whose messages count as a header.
	bounded     bool
	withoutData int
}

// Read implements net.Conn.
func (r *recordReader) Read(b []byte) (int, error) {
	if !r.bounded {
		return r.Conn.Read(b)
	}
	left := maxWithoutData - r.withoutData
	if left <= 0 {
		_ = r.Close()
		return 0, errWithoutData
	}
	n, err := r.Conn.Read(b[:min(len(b), left, maxReadAhead)])
	r.withoutData += n
	return n, err
}
