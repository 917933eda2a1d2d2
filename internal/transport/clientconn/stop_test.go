package clientconn_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/transport/clientconn"
)

// pipes is a listener whose connections are in memory.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, io.EOF
	}
}

func (p *pipes) Close() error {
	close(p.closed)
	return nil
}

func (*pipes) Addr() net.Addr { return &net.TCPAddr{} }

// A client that reads its response slowly must not delay a graceful shutdown beyond the limit, and its connection
// must be closed then. One whose response ends in time must get all of it.
func TestStopEndsDespiteSlowReaders(t *testing.T) {
	// Starts the clock of package fasthttp, which never ends, outside the virtual time.
	_ = (&fasthttp.Response{}).String()
	synctest.Test(t, func(t *testing.T) {
		const limit, size = 5 * time.Second, 100_000
		listener := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
		tracker := &clientconn.Tracker{Listener: listener}
		server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(strings.Repeat("m", size)) }, CloseOnShutdown: true}
		served := make(chan error, 1)
		go func() { served <- server.Serve(tracker) }()
		// read returns a channel with the number of bytes that a client got that pauses after each KiB.
		read := func(pause time.Duration) <-chan int {
			client, conn := net.Pipe()
			listener.conns <- conn
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			must.NoError(t, err)
			got := make(chan int, 1)
			go func() {
				total := 0
				for buffer := make([]byte, 1<<10); ; time.Sleep(pause) {
					n, err := client.Read(buffer)
					if total += n; err != nil {
						got <- total
						return
					}
				}
			}()
			return got
		}
		slow, steady := read(time.Second), read(10*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		must.NoError(t, tracker.Stop(server, limit))
		must.LessEq(t, limit, time.Since(began))
		must.NoError(t, <-served)
		must.Less(t, size, <-slow)
		must.GreaterEq(t, size, <-steady)
		// The server has a goroutine that sleeps for some seconds.
		time.Sleep(time.Minute)
	})
}
