package clientconn_test

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
)

// pair returns both ends of a connection.
func pair(t *testing.T, timeout time.Duration, unread func()) (client *net.TCPConn, server net.Conn, budget *clientmemory.Budget) {
	t.Helper()
	budget = clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{} }, time.Now)
	inner := listenSmall(t)
	listener := &clientconn.Listener{Listener: inner, Group: budget.NewGroup(func() int { return 0 }), WriteTimeout: timeout, Unread: unread}
	t.Cleanup(func() { _ = listener.Close() })
	conn, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	server, err = listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	client, _ = conn.(*net.TCPConn)
	return client, server, budget
}

// largeResponse exceeds the buffers of both kernels.
const largeResponse = 8 << 20

// A response that is not read must not occupy its connection forever.
func TestUnreadResponseIsClosed(t *testing.T) {
	var unread atomic.Int32
	_, server, budget := pair(t, 400*time.Millisecond, func() { unread.Add(1) })
	_, err := server.Write(make([]byte, largeResponse))
	must.Error(t, err)
	must.Eq(t, 1, unread.Load())
	must.Zero(t, budget.Used())
}

// A client that reads slowly but steadily must get its whole response, even if that takes
// many times the timeout of a client that does not read.
func TestSlowReaderGetsItsResponse(t *testing.T) {
	client, server, _ := pair(t, 400*time.Millisecond, func() { t.Error("the connection was closed as unread") })
	received := make(chan int64)
	go func() {
		var total int64
		buffer := make([]byte, 128<<10)
		for {
			n, err := io.ReadFull(client, buffer)
			total += int64(n)
			if err != nil {
				received <- total
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}()
	began := time.Now()
	_, err := server.Write(make([]byte, largeResponse))
	must.NoError(t, err)
	must.NoError(t, server.Close())
	must.Eq(t, int64(largeResponse), <-received)
	must.Greater(t, 400*time.Millisecond, time.Since(began))
}

// Without a write timeout a client may read its response at any time.
func TestUnreadResponseWithoutTimeout(t *testing.T) {
	client, server, _ := pair(t, -1, func() { t.Error("the connection was closed as unread") })
	written := make(chan error, 1)
	go func() {
		_, err := server.Write(make([]byte, largeResponse))
		written <- errors.Join(err, server.Close())
	}()
	time.Sleep(1200 * time.Millisecond)
	n, err := io.Copy(io.Discard, client)
	must.NoError(t, err)
	must.Eq(t, largeResponse, n)
	must.NoError(t, <-written)
}
