package clientconn

import (
	"bytes"
	"crypto/tls"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// endless is a connection from which bytes arrive without end.
type endless struct {
	net.Conn
	read   int
	closed bool
}

func (e *endless) Read(b []byte) (int, error) {
	e.read += len(b)
	return len(b), nil
}

func (e *endless) Close() error {
	e.closed = true
	return nil
}

// After the handshake, a client that sends no data must not make crypto/tls hold more than a record and what
// is read ahead. Before that, the budget counts what arrives.
func TestBytesWithoutDataAreBounded(t *testing.T) {
	conn := &endless{}
	records := &recordReader{Conn: conn}
	_, err := io.ReadFull(records, make([]byte, 64<<10))
	must.NoError(t, err)
	conn.read = 0
	records.bounded = true
	var held bytes.Buffer
	_, err = held.ReadFrom(records)
	must.ErrorIs(t, err, errWithoutData)
	must.Eq(t, maxWithoutData, conn.read)
	must.True(t, conn.closed)
	// The largest record of crypto/tls fits.
	must.Greater(t, 16384+2048+5, maxWithoutData)
}

// The bound must be in force after the handshake, also for a server that reads without calling Handshake.
func TestFirstReadBoundsBytesWithoutData(t *testing.T) {
	certified := httptest.NewUnstartedServer(nil)
	certified.StartTLS()
	defer certified.Close()
	client, server := net.Pipe()
	records := &recordReader{Conn: server}
	conn := &tlsConn{Conn: tls.Server(records, &tls.Config{Certificates: certified.TLS.Certificates}), records: records}
	sent := make(chan error, 1)
	go func() {
		_, err := tls.Client(client, &tls.Config{InsecureSkipVerify: true}).Write([]byte("data"))
		sent <- err
	}()
	_, err := io.ReadFull(conn, make([]byte, 4))
	must.NoError(t, err)
	must.NoError(t, <-sent)
	must.True(t, records.bounded)
	must.NoError(t, client.Close())
}
