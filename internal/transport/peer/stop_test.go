package peer

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// pipes is a listener whose connections are in memory.
type pipes struct{ conns chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) {
	conn, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p *pipes) Close() error {
	close(p.conns)
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// Peers that no longer read must not delay a stop one after the other: crypto/tls waits 5 s for each to take the
// last alert.
func TestStopClosesConnectionsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 4
		identity, err := NewIdentity([]byte("0123456789abcdef0123456789abcdef"), "entry-1")
		must.NoError(t, err)
		listener := &pipes{conns: make(chan net.Conn)}
		ctx, cancel := context.WithCancel(context.Background())
		server := NewServer(identity)
		served := make(chan error, 1)
		go func() { served <- server.Serve(ctx, listener) }()
		var clients []net.Conn
		for range peers {
			client, conn := net.Pipe()
			listener.conns <- conn
			session := tls.Client(client, identity.clientConfig())
			must.NoError(t, session.Handshake())
			// The server sends tickets after the handshake.
			must.NoError(t, session.SetReadDeadline(time.Now().Add(time.Second)))
			_, err := session.Read(make([]byte, 1))
			must.Error(t, err)
			clients = append(clients, client)
		}
		began := time.Now()
		cancel()
		must.NoError(t, <-served)
		must.LessEq(t, 6*time.Second, time.Since(began))
		for _, client := range clients {
			_ = client.Close()
		}
	})
}
