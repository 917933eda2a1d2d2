package clientconn_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/transport/clientconn"
)

// listenSmall returns a listener with small buffers of the kernel.
func listenSmall(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: clientconn.SmallBuffers}
	listener, err := config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	return listener
}

// A connection that is not accepted yet must not occupy more memory of the kernel than is counted
// for it, however much its client sends.
func TestKernelBuffersAreSmallBeforeAccept(t *testing.T) {
	listener := listenSmall(t)
	t.Cleanup(func() { _ = listener.Close() })
	client, err := net.Dial("tcp4", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	tcp, _ := client.(*net.TCPConn)
	const ownBuffer = 64 << 10
	must.NoError(t, tcp.SetWriteBuffer(ownBuffer))
	must.NoError(t, client.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	sent, err := client.Write(make([]byte, 8<<20))
	must.Error(t, err)
	// What is sent and not read is in the buffers of both kernels.
	must.Less(t, clientconn.KernelBytes+2*ownBuffer, sent)
}
