package clientconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
)

// dialFrom connects to a listener from a loopback address.
func dialFrom(t *testing.T, listener net.Listener, from string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.DialContext(context.Background(), "tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// listen returns a listener that accepts connections with the limits.
func listen(t *testing.T, limits clientmemory.Limits, connections int) (*clientconn.Listener, *clientmemory.Budget) {
	t.Helper()
	budget := clientmemory.New(func() clientmemory.Limits { return limits }, time.Now)
	inner := listenSmall(t)
	listener := &clientconn.Listener{Listener: inner, Group: budget.NewGroup(func() int { return connections })}
	t.Cleanup(func() { _ = listener.Close() })
	return listener, budget
}

// A connection that waits at the limit must not delay others, and must count as refused once.
func TestWaitingConnectionDelaysNoOther(t *testing.T) {
	listener, budget := listen(t, clientmemory.Limits{}, 1)
	listener.Group.Exempt(func(address string) bool { return address == "127.0.0.9" })
	dialFrom(t, listener, "127.0.0.1")
	first, err := listener.Accept()
	must.NoError(t, err)
	clientconn.OnState(first, http.StateActive)
	waiting := dialFrom(t, listener, "127.0.0.2")
	time.Sleep(100 * time.Millisecond)
	dialFrom(t, listener, "127.0.0.9")
	second, err := listener.Accept()
	must.NoError(t, err)
	must.StrHasPrefix(t, "127.0.0.9:", second.RemoteAddr().String())
	// The other one still waits, so that it did not delay the second.
	must.NoError(t, waiting.SetReadDeadline(time.Now().Add(10*time.Millisecond)))
	var timeout net.Error
	_, err = waiting.Read(make([]byte, 1))
	must.True(t, errors.As(err, &timeout) && timeout.Timeout())
	must.NoError(t, waiting.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = waiting.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, 1, budget.Refused())
}

// A listener that is closed must not leave an Accept, or a connection that waits, behind.
func TestClosedListener(t *testing.T) {
	listener, _ := listen(t, clientmemory.Limits{}, 1)
	ended := make(chan error)
	go func() {
		_, err := listener.Accept()
		ended <- err
	}()
	must.NoError(t, listener.Close())
	must.ErrorIs(t, <-ended, net.ErrClosed)
	_, err := listener.Accept()
	must.ErrorIs(t, err, net.ErrClosed)
}

// A client that takes its response in steps must keep its connection for longer than the write
// timeout, unless memory is short. Where it is, the client reads only after the write has ended, so
// that the result does not depend on how soon the writer is scheduled.
func TestSlowStepsWhileMemoryIsNotShort(t *testing.T) {
	const step = 1200 * time.Millisecond
	for _, short := range []bool{false, true} {
		listener, _ := listen(t, clientmemory.Limits{Bytes: 1 << 20}, 0)
		listener.WriteTimeout, listener.RelaxedWriteTimeout = step/4, time.Hour
		client := dialFrom(t, listener, "127.0.0.1")
		server, err := listener.Accept()
		must.NoError(t, err)
		if short {
			holding, err := listener.Group.Open("other", func(clientmemory.Phase) {})
			must.NoError(t, err)
			must.NoError(t, holding.SetPhase(clientmemory.Running))
			must.NoError(t, holding.Grow(900<<10))
		}
		written := make(chan error, 1)
		go func() {
			_, err := server.Write(make([]byte, largeResponse))
			written <- errors.Join(err, server.Close())
		}()
		if short {
			must.Error(t, <-written)
		} else {
			time.Sleep(step)
		}
		n, _ := io.Copy(io.Discard, client)
		must.Eq(t, short, n < largeResponse)
		if !short {
			must.NoError(t, <-written)
		}
	}
}
