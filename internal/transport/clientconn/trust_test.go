package clientconn_test

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
)

// A connection of an authenticated peer must neither count for the limits, be evicted for others,
// nor end because the peer takes its data late.
func TestTrustedConnectionHasNoLimit(t *testing.T) {
	listener, budget := listen(t, clientmemory.Limits{}, 1)
	listener.WriteTimeout = 100 * time.Millisecond
	client := dialFrom(t, listener, "127.0.0.1")
	trusted, err := listener.Accept()
	must.NoError(t, err)
	// Sets a write deadline, which must not end later writes.
	_, err = trusted.Write([]byte("first"))
	must.NoError(t, err)
	must.NoError(t, clientconn.Trust(trusted))
	must.Zero(t, budget.Used())
	dialFrom(t, listener, "127.0.0.2")
	_, err = listener.Accept()
	must.NoError(t, err)
	must.Zero(t, budget.Evicted(clientmemory.Idle)+budget.Refused())

	time.Sleep(time.Second)
	written := make(chan error, 1)
	go func() {
		_, err := trusted.Write(make([]byte, largeResponse))
		written <- err
	}()
	time.Sleep(time.Second)
	_, err = io.ReadFull(client, make([]byte, len("first")+largeResponse))
	must.NoError(t, err)
	must.NoError(t, <-written)
	_, err = client.Write([]byte("more"))
	must.NoError(t, err)
	_, err = io.ReadFull(trusted, make([]byte, 4))
	must.NoError(t, err)
	must.NoError(t, trusted.Close())
	must.Eq(t, int64(clientmemory.ConnectionBytes), budget.Used())
}

// A connection that was evicted during its handshake must not be used.
func TestEvictedConnectionIsNotTrusted(t *testing.T) {
	listener, _ := listen(t, clientmemory.Limits{}, 1)
	dialFrom(t, listener, "127.0.0.1")
	first, err := listener.Accept()
	must.NoError(t, err)
	time.Sleep(clientmemory.StallTime)
	dialFrom(t, listener, "127.0.0.2")
	_, err = listener.Accept()
	must.NoError(t, err)
	must.ErrorIs(t, clientconn.Trust(first), clientmemory.ErrEvicted)
}
