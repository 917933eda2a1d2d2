package clientlimits_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/standin/localfleet"
	"medlarslip/internal/transport/clientconn"
	"medlarslip/internal/transport/peer"
)

// peerClients is the number of clients of the tests of the listener for peers: more than the
// process has descriptors for.
const peerClients = 3 * connectionClients

// checkPeersServed checks that an instance with the shared key can call the process.
func checkPeersServed(t *testing.T, i *instance) {
	t.Helper()
	identity, err := peer.NewIdentity([]byte(localfleet.SharedKey), "entry-2")
	must.NoError(t, err)
	caller := peer.NewClient(identity)
	t.Cleanup(caller.Close)
	i.eventually(t, "no peer was answered", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), testTime)
		defer cancel()
		// An answer that there is no such method shows that the caller was authenticated.
		return errors.Is(caller.Call(ctx, i.relay, "unknown", nil, nil), peer.ErrRemote)
	})
}

// Clients that hold no certificate of the fleet must exhaust neither the descriptors nor the memory
// of medlarslip-entry through the listener for peers, and must not keep peers from connecting.
func TestEntryPeerListener(t *testing.T) {
	checkCases(t, startEntry, func(i *instance) string { return i.relay }, []clientCase{
		{"silent connections", peerClients, []client{silent}},
		{"unfinished hello", peerClients, []client{unfinishedHello}},
		{"hello then silence", peerClients, []client{helloThenSilence}},
		{"mixed", peerClients, []client{silent, unfinishedHello, helloThenSilence}},
	}, checkPeersServed)
}

// unfinishedHello sends nearly all of the largest first message of TLS that Go accepts, 64 KiB.
func unfinishedHello(conn net.Conn) {
	const records, recordBytes = 4, 16000
	for n := range records {
		record := make([]byte, 5+recordBytes)
		// A record of a handshake, of TLS 1.0 as in each first message.
		copy(record, []byte{22, 3, 1, recordBytes >> 8, recordBytes & 0xff})
		if n == 0 {
			// A ClientHello of 65,532 bytes.
			copy(record[5:], []byte{1, 0, 0xff, 0xfc})
		}
		if !write(conn, string(record)) {
			return
		}
	}
}

// helloThenSilence sends a whole first message of TLS and does not read the response.
func helloThenSilence(conn net.Conn) {
	_ = tls.Client(&writeOnly{conn}, &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}).Handshake()
}

// writeOnly is a connection that reads nothing, and stays open.
type writeOnly struct{ net.Conn }

func (*writeOnly) Read([]byte) (int, error) { return 0, net.ErrClosed }

// Connections that a process has not accepted yet must not occupy more memory of the kernel than is
// counted for them, however much their clients send. The process is suspended, so that it accepts
// none.
func TestEntryKernelBuffersBeforeAccept(t *testing.T) {
	i := startEntry(t)
	must.NoError(t, i.process.Process.Signal(syscall.SIGSTOP))
	t.Cleanup(func() { _ = i.process.Process.Signal(syscall.SIGCONT) })
	for name, address := range map[string]string{"callers": i.front, "peers": i.relay, "metrics": i.metrics} {
		conn, err := net.Dial("tcp4", address)
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		tcp, _ := conn.(*net.TCPConn)
		const ownBuffer = 4 << 10
		must.NoError(t, tcp.SetWriteBuffer(ownBuffer))
		must.NoError(t, conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
		sent, err := conn.Write(make([]byte, 8<<20))
		must.Error(t, err)
		// What is sent and not read is in the buffers of both kernels.
		must.Less(t, clientconn.KernelBytes+2*ownBuffer, sent, must.Sprint(name))
		t.Logf("%s: %d bytes were taken", name, sent)
	}
}
