package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"expvar"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/jsonrpc2"
)

// Handler answers calls of one method. It receives the name of the calling
// instance; its result is encoded as JSON.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

const (
	handshakeTimeout = 2 * time.Second
	// idleTimeout is the time after which a connection that receives nothing is
	// closed.
	idleTimeout = 2 * time.Minute
)

// Counters of this package.
var (
	callCount           = expvar.NewMap("peer_calls")
	rejectedConnections = expvar.NewInt("peer_rejected_connections")
	bytesReceived       = expvar.NewInt("peer_bytes_received")
	bytesSent           = expvar.NewInt("peer_bytes_sent")
	failedCalls         = expvar.NewInt("peer_failed_calls")
	openConnections     = expvar.NewInt("peer_connections")
)

// Server answers calls of other entry instances.
type Server struct {
	// Authenticated is called with each connection whose caller has proved that it belongs to the
	// fleet. After an error the connection is closed. nil does nothing.
	Authenticated func(net.Conn) error
	// Log receives the errors of connections; nil means standard error.
	Log      jsonrpc2.Logger
	identity *Identity
	handlers map[string]Handler

	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]struct{}
}

// NewServer returns a server that has no methods yet.
func NewServer(identity *Identity) *Server {
	return &Server{identity: identity, handlers: map[string]Handler{}, conns: map[*jsonrpc2.Conn]struct{}{}}
}

// Handle registers a method. It must not be called after Serve.
func (s *Server) Handle(method string, handler Handler) { s.handlers[method] = handler }

// Serve answers calls on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		tcpConn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return merry.Prepend(err, "accept a peer")
		}
		go s.serve(ctx, tcpConn)
	}
}

func (s *Server) serve(ctx context.Context, raw net.Conn) {
	conn := tls.Server(&countingConn{Conn: raw}, s.identity.serverConfig())
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	err := conn.HandshakeContext(handshake)
	if err == nil && s.Authenticated != nil {
		err = s.Authenticated(raw)
	}
	if err != nil {
		rejectedConnections.Add(1)
		_ = conn.Close()
		return
	}
	from := conn.ConnectionState().PeerCertificates[0].Subject.CommonName
	answer := jsonrpc2.HandlerWithError(func(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		return s.answer(ctx, from, req)
	})
	handler := jsonrpc2.AsyncHandler(answer.SuppressErrClosed())
	var options []jsonrpc2.ConnOpt
	if s.Log != nil {
		options = append(options, jsonrpc2.SetLogger(s.Log))
	}
	session := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), handler, options...)
	s.track(session, true)
	<-session.DisconnectNotify()
	s.track(session, false)
	_ = conn.Close()
}

func (s *Server) answer(ctx context.Context, from string, req *jsonrpc2.Request) (any, error) {
	handler, ok := s.handlers[req.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no method " + req.Method + "; update this instance"}
	}
	callCount.Add(req.Method, 1)
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	return handler(ctx, from, params)
}

func (s *Server) track(conn *jsonrpc2.Conn, open bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if open {
		s.conns[conn] = struct{}{}
	} else {
		delete(s.conns, conn)
	}
	openConnections.Set(int64(len(s.conns)))
}

func (s *Server) closeAll() {
	s.mu.Lock()
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	var closing sync.WaitGroup
	for _, conn := range conns {
		closing.Go(func() { _ = conn.Close() })
	}
	closing.Wait()
}

// countingConn counts the bytes on the wire and fails reads of idle connections.
type countingConn struct{ net.Conn }

func (c *countingConn) Read(b []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	bytesReceived.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	bytesSent.Add(int64(n))
	return n, err
}

// isRemote reports whether the peer itself answered with an error.
func isRemote(err error) bool {
	var remote *jsonrpc2.Error
	return errors.As(err, &remote)
}
