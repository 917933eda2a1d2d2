package httpconn_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/standin/loopback"
	"medlarslip/internal/transport/httpconn"
)

// scriptedServer is a TCP server whose connections are served by a function of
// the test. It counts accepted connections and requests.
type scriptedServer struct {
	listener net.Listener
	accepted atomic.Int64
	requests atomic.Int64
}

// startServer serves connections until the test ends. serve receives the number
// of the connection, counted from 1, and a function that reads one request.
func startServer(t *testing.T, serve func(number int64, c net.Conn, readRequest func() bool)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	s := &scriptedServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c, serve)
		}
	}()
	return s
}

func (s *scriptedServer) serve(c net.Conn, serve func(number int64, c net.Conn, readRequest func() bool)) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	serve(s.accepted.Add(1), c, func() bool {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return false
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		return true
	})
}

func (s *scriptedServer) address() string { return s.listener.Addr().String() }

func respondWith(text string) func(int64, net.Conn, func() bool) {
	return func(_ int64, c net.Conn, readRequest func() bool) {
		for readRequest() {
			if _, err := io.WriteString(c, text); err != nil || !strings.Contains(text, "keep") {
				return
			}
		}
	}
}

func newPool(t *testing.T) *httpconn.Pool {
	t.Helper()
	opts := httpconn.DefaultOptions()
	opts.MaxBody = 100
	pool := httpconn.NewPool(opts)
	t.Cleanup(pool.Close)
	return pool
}

func post(t *testing.T, pool *httpconn.Pool, address string, reuse httpconn.Reuse) (*fasthttp.Response, error) {
	t.Helper()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + address + "/")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("work")
	resp := &fasthttp.Response{}
	return resp, pool.Do(context.Background(), address, req, resp, reuse)
}

func TestDoTakesOnlyWholeResponses(t *testing.T) {
	cases := []struct {
		name, text string
		complete   bool
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", true},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n", true},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", true},
		{"cut by length", "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\ndone", false},
		{"cut in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40\r\ndone", false},
		{"cut before the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n", false},
		{"delimited by end of connection", "HTTP/1.1 200 OK\r\n\r\ndone", false},
		{"cut in the header", "HTTP/1.1 200 OK\r\nContent-Le", false},
		{"garbage", "\x00\x01\x02 garbage\r\n\r\n", false},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n" + strings.Repeat("x", 101), false},
		{"chunks over the limit", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", false},
		{"empty response", "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := startServer(t, respondWith(tc.text))
			resp, err := post(t, newPool(t), server.address(), httpconn.ReuseIdle)
			if tc.complete {
				must.NoError(t, err)
				must.Eq(t, "done", string(resp.Body()))
				return
			}
			must.Error(t, err)
			must.True(t, httpconn.MayHaveRun(err))
			must.Eq(t, 1, server.requests.Load())
		})
	}
}

func TestRefusedConnectionProvesThatNothingRan(t *testing.T) {
	_, err := post(t, newPool(t), loopback.Refused(), httpconn.ReuseNone)
	must.Error(t, err)
	must.False(t, httpconn.MayHaveRun(err))
}

func TestCanceledContextReportsNotRun(t *testing.T) {
	server := startServer(t, respondWith(""))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + server.address() + "/")
	err := newPool(t).Do(ctx, server.address(), req, &fasthttp.Response{}, httpconn.ReuseNone)
	must.ErrorIs(t, err, context.Canceled)
	must.False(t, httpconn.MayHaveRun(err))
}

const keepAliveResponse = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-Note: keep\r\n\r\ndone"

func TestReuseIdleReusesConnections(t *testing.T) {
	server := startServer(t, respondWith(keepAliveResponse))
	pool := newPool(t)
	for range 3 {
		_, err := post(t, pool, server.address(), httpconn.ReuseIdle)
		must.NoError(t, err)
	}
	must.Eq(t, 1, server.accepted.Load())
}

func TestReuseNoneOpensNewConnections(t *testing.T) {
	server := startServer(t, respondWith(keepAliveResponse))
	pool := newPool(t)
	for range 3 {
		_, err := post(t, pool, server.address(), httpconn.ReuseNone)
		must.NoError(t, err)
	}
	must.Eq(t, 3, server.accepted.Load())
}

// closeAfterOneRequest answers one request per connection and then closes it,
// although its response does not announce this.
func closeAfterOneRequest(_ int64, c net.Conn, readRequest func() bool) {
	if readRequest() {
		_, _ = io.WriteString(c, keepAliveResponse)
	}
}

func TestReuseIdleReplacesClosedConnection(t *testing.T) {
	server := startServer(t, closeAfterOneRequest)
	pool := newPool(t)
	for range 3 {
		_, err := post(t, pool, server.address(), httpconn.ReuseIdle)
		must.NoError(t, err)
	}
	must.Eq(t, 3, server.requests.Load())
}

func TestReuseIdleReplacesResetConnection(t *testing.T) {
	server := startServer(t, func(number int64, c net.Conn, readRequest func() bool) {
		if number == 1 {
			// The connection is reset after it has received the second request.
			readRequest()
			_, _ = io.WriteString(c, keepAliveResponse)
			readRequest()
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		respondWith(keepAliveResponse)(number, c, readRequest)
	})
	pool := newPool(t)
	for range 2 {
		_, err := post(t, pool, server.address(), httpconn.ReuseIdle)
		must.NoError(t, err)
	}
	must.Eq(t, 2, server.accepted.Load())
}

// TestServerThatEndedUnderARequestMayHaveRunIt guards against taking a request for not run
// whose server ended under it: it was written to a kept connection, and the new one that
// replaces it is refused.
func TestServerThatEndedUnderARequestMayHaveRunIt(t *testing.T) {
	calls := map[string]func(pool *httpconn.Pool, address string) error{
		"whole": func(pool *httpconn.Pool, address string) error {
			_, err := post(t, pool, address, httpconn.ReuseIdle)
			return err
		},
		"raw": func(pool *httpconn.Pool, address string) error {
			req := httpconn.RawRequest{Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"), Body: [][]byte{[]byte("work")}}
			_, err := pool.Fetch(t.Context(), address, req, httpconn.ReuseIdle, 100)
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			var server *scriptedServer
			server = startServer(t, func(_ int64, c net.Conn, readRequest func() bool) {
				readRequest()
				_, _ = io.WriteString(c, keepAliveResponse)
				readRequest()
				_ = server.listener.Close()
			})
			pool := newPool(t)
			must.NoError(t, call(pool, server.address()))
			err := call(pool, server.address())
			must.Error(t, err)
			must.True(t, httpconn.MayHaveRun(err))
			must.True(t, errors.Is(err, syscall.ECONNREFUSED))
		})
	}
}

func TestExtraBytesAreNotGivenToTheNextCall(t *testing.T) {
	extra := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Note: keep\r\n\r\nother"
	server := startServer(t, respondWith(keepAliveResponse+extra))
	pool := newPool(t)
	for range 2 {
		resp, err := post(t, pool, server.address(), httpconn.ReuseIdle)
		must.NoError(t, err)
		must.Eq(t, "done", string(resp.Body()))
	}
}

// TestLateSecondAnswerIsNotGivenToTheNextCall guards against returning an old
// response for a new request. The server repeats its response while the
// connection is idle.
func TestLateSecondAnswerIsNotGivenToTheNextCall(t *testing.T) {
	repeated := make(chan struct{})
	server := startServer(t, func(number int64, c net.Conn, readRequest func() bool) {
		for readRequest() {
			if number == 1 {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
				<-repeated
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
				repeated <- struct{}{}
				continue
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
		}
	})
	pool := newPool(t)
	resp, err := post(t, pool, server.address(), httpconn.ReuseIdle)
	must.NoError(t, err)
	must.Eq(t, "first", string(resp.Body()))
	repeated <- struct{}{}
	<-repeated
	// On loopback, the repeated response is readable before the next call begins.
	resp, err = post(t, pool, server.address(), httpconn.ReuseIdle)
	must.NoError(t, err)
	must.Eq(t, "second", string(resp.Body()))
}

func TestCancelationClosesConnection(t *testing.T) {
	received := make(chan struct{})
	closed := make(chan struct{})
	server := startServer(t, func(_ int64, c net.Conn, readRequest func() bool) {
		readRequest()
		close(received)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-received
		cancel()
	}()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + server.address() + "/")
	err := newPool(t).Do(ctx, server.address(), req, &fasthttp.Response{}, httpconn.ReuseNone)
	must.ErrorIs(t, err, context.Canceled)
	must.True(t, httpconn.MayHaveRun(err))
	<-closed
}

func TestSilentServerTimesOut(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	server := startServer(t, func(_ int64, _ net.Conn, readRequest func() bool) {
		readRequest()
		<-release
	})
	opts := httpconn.DefaultOptions()
	opts.IdleTimeout = 20 * time.Millisecond
	pool := httpconn.NewPool(opts)
	defer pool.Close()
	_, err := post(t, pool, server.address(), httpconn.ReuseIdle)
	var timeout net.Error
	must.True(t, errors.As(err, &timeout) && timeout.Timeout())
	must.True(t, httpconn.MayHaveRun(err))
}

func TestStreamIsReadAsItArrives(t *testing.T) {
	proceed := make(chan struct{})
	server := startServer(t, func(_ int64, c net.Conn, readRequest func() bool) {
		for readRequest() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
			<-proceed
			_, _ = io.WriteString(c, "4\r\nlast\r\n0\r\n\r\n")
		}
	})
	pool := newPool(t)
	for range 2 {
		req := &fasthttp.Request{}
		req.SetRequestURI("http://" + server.address() + "/")
		resp := &fasthttp.Response{}
		stream, err := pool.Open(context.Background(), server.address(), req, resp, httpconn.ReuseIdle)
		must.NoError(t, err)
		first := make([]byte, 5)
		_, err = io.ReadFull(stream, first)
		must.NoError(t, err)
		must.Eq(t, "first", string(first))
		proceed <- struct{}{}
		rest, err := io.ReadAll(stream)
		must.NoError(t, err)
		must.Eq(t, "last", string(rest))
		stream.Close()
	}
	must.Eq(t, 1, server.accepted.Load())
}

func TestClosingUnfinishedStreamClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	server := startServer(t, func(_ int64, c net.Conn, readRequest func() bool) {
		readRequest()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	req := &fasthttp.Request{}
	req.SetRequestURI("http://" + server.address() + "/")
	resp := &fasthttp.Response{}
	stream, err := newPool(t).Open(context.Background(), server.address(), req, resp, httpconn.ReuseIdle)
	must.NoError(t, err)
	stream.Close()
	<-closed
}
