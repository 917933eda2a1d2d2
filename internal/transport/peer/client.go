package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// Kinds of error.
var (
	// ErrUnreachable means that the peer did not answer; the call may have
	// taken effect.
	ErrUnreachable = merry.Sentinel("peer did not answer; try another or later")
	// ErrRemote means that the peer answered with an error.
	ErrRemote = merry.Sentinel("peer refused the call")
)

// Client calls other entry instances over one connection each. It is safe for
// concurrent use.
type Client struct {
	identity *Identity

	mu    sync.Mutex
	conns map[string]*jsonrpc2.Conn
}

// NewClient returns a client that has no connections yet.
func NewClient(identity *Identity) *Client {
	return &Client{identity: identity, conns: map[string]*jsonrpc2.Conn{}}
}

// Call calls a method of the instance with the control address and decodes the
// answer into result. The error is of the kind ErrUnreachable or ErrRemote.
func (c *Client) Call(ctx context.Context, address, method string, params, result any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		failedCalls.Add(1)
		return merry.Prependf(ErrUnreachable, "%s: %v", address, err)
	}
	err = conn.Call(ctx, method, params, result)
	switch {
	case err == nil:
		return nil
	case isRemote(err):
		return merry.Prependf(ErrRemote, "%s: %v", address, err)
	default:
		failedCalls.Add(1)
		return merry.Prependf(ErrUnreachable, "%s: %v", address, err)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// conn returns the open connection to address or opens one. If concurrent calls
// open several, the first is kept, since a call may already be in flight on it.
func (c *Client) conn(ctx context.Context, address string) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	conn, ok := c.conns[address]
	c.mu.Unlock()
	if ok {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	tcpConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(&countingConn{Conn: tcpConn}, c.identity.clientConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = tcpConn.Close()
		return nil, err
	}
	conn = jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(tlsConn, jsonrpc2.VarintObjectCodec{}), rejectCalls{})
	return c.register(address, conn), nil
}

// register stores a new connection, unless one to address is stored already, and
// returns the stored one. A connection is removed when it is closed.
func (c *Client) register(address string, conn *jsonrpc2.Conn) *jsonrpc2.Conn {
	c.mu.Lock()
	if existing, ok := c.conns[address]; ok {
		c.mu.Unlock()
		_ = conn.Close()
		return existing
	}
	c.conns[address] = conn
	c.mu.Unlock()
	go func() {
		<-conn.DisconnectNotify()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.conns[address] == conn {
			delete(c.conns, address)
		}
	}()
	return conn
}

// rejectCalls is the handler of client connections. It rejects every call of the
// peer.
type rejectCalls struct{}

// Handle implements jsonrpc2.Handler.
func (rejectCalls) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side answers no calls"})
}
