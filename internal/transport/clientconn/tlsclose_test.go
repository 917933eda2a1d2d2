package clientconn_test

import (
	"crypto/tls"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
)

// A client that does not read must not delay the closing of its connection: fasthttp closes the idle connections
// of a server that stops one after the other.
func TestTLSCloseDoesNotWaitForTheClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{} }, time.Now)
		raw := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
		inner := &clientconn.Listener{Listener: raw, Group: budget.NewGroup(func() int { return 0 })}
		listener := clientconn.NewTLSListener(inner, tlsConfig(t))
		client, conn := net.Pipe()
		shaken := make(chan error, 1)
		go func() {
			raw.conns <- conn
			session := tls.Client(client, &tls.Config{InsecureSkipVerify: true})
			if _, err := session.Write([]byte("x")); err != nil {
				shaken <- err
				return
			}
			// The server sends a ticket after the handshake. Later writes are not read.
			_ = session.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = session.Read(make([]byte, 1))
			shaken <- nil
		}()
		server, err := listener.Accept()
		must.NoError(t, err)
		_, err = server.Read(make([]byte, 1))
		must.NoError(t, err)
		must.NoError(t, <-shaken)
		began := time.Now()
		_ = server.Close()
		must.LessEq(t, 100*time.Millisecond, time.Since(began))
		must.Zero(t, budget.Used())
		must.NoError(t, listener.Close())
		must.NoError(t, client.Close())
	})
}
