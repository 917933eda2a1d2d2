package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

const (
	longUpload  = 8 << 20
	shortUpload = 4 << 10
)

// uploadTo sends a body of some bytes to a server that sends text and then calls end with its connection. The
// server reads nothing after the header of the request.
func uploadTo(t *testing.T, size int, text string, end func(c *net.TCPConn)) *Exchange {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		end(c.(*net.TCPConn))
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	pool := NewPool(DefaultOptions())
	t.Cleanup(pool.Close)
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	x, err := pool.Exchange(ctx, listener.Addr().String(), RawRequest{Method: http.MethodPost, Head: []byte(head), Body: [][]byte{make([]byte, size)}}, ReuseNone)
	must.NoError(t, err)
	t.Cleanup(x.Close)
	return x
}

// awaitWriteError waits until the writer of the body has failed, so that it has taken the error of the socket.
func awaitWriteError(x *Exchange) {
	if x.upload != nil {
		_ = x.upload.wait()
	}
}

// TestResetWhileTheRequestIsWrittenIsNoEndOfTheBody guards against a part of a body that is delivered as
// the whole: a reset is reported once, and the write of a long request may take the report.
func TestResetWhileTheRequestIsWrittenIsNoEndOfTheBody(t *testing.T) {
	texts := map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\n\r\npart",
		"chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"length":           "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\npart",
	}
	for name, text := range texts {
		for _, size := range []int{shortUpload, longUpload} {
			t.Run(name+" "+strconv.Itoa(size), func(t *testing.T) {
				read := make(chan struct{})
				x := uploadTo(t, size, text, func(c *net.TCPConn) {
					<-read
					_ = c.SetLinger(0)
					_ = c.Close()
				})
				part := make([]byte, 4)
				_, err := io.ReadFull(x, part)
				must.NoError(t, err)
				close(read)
				awaitWriteError(x)
				rest, err := io.ReadAll(x)
				must.Error(t, err, must.Sprintf("the body ended after %q", string(part)+string(rest)))
			})
		}
	}
}

// TestEarlyResponseThatEndsInOrderIsWhole guards against the loss of a response without a length whose server
// ends its side of the connection while the request is still being written.
func TestEarlyResponseThatEndsInOrderIsWhole(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nwhole"
	ends := map[string]func(c *net.TCPConn, read <-chan struct{}){
		"and reads nothing more": func(c *net.TCPConn, read <-chan struct{}) {
			_ = c.CloseWrite()
			<-read
			_ = c.Close()
		},
		"and reads the rest": func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			x := uploadTo(t, longUpload, text, func(c *net.TCPConn) { end(c, read) })
			body, err := io.ReadAll(x)
			close(read)
			must.NoError(t, err)
			must.Eq(t, "whole", string(body))
		})
	}
	t.Run("and then resets the connection", func(t *testing.T) {
		x := uploadTo(t, longUpload, text, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			// The client has acknowledged the end before the reset.
			for unacknowledged(c) > 0 {
				time.Sleep(time.Millisecond)
			}
			_ = c.SetLinger(0)
			_ = c.Close()
		})
		awaitWriteError(x)
		body, err := io.ReadAll(x)
		must.NoError(t, err)
		must.Eq(t, "whole", string(body))
	})
}

// unacknowledged returns how many bytes of a connection its peer has not acknowledged, with the end.
func unacknowledged(c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	left := 0
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			left = n
		}
	})
	return left
}
