package clientconn_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
)

// serveResponses starts a fasthttp server that answers with bodies of a size.
func serveResponses(t *testing.T, limit int64, size int) (net.Listener, *clientmemory.Budget) {
	t.Helper()
	listener, budget := listen(t, clientmemory.Limits{Bytes: limit}, 0)
	body := strings.Repeat("r", size)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(body) }, CloseOnShutdown: true}
	handler := &clientconn.BodyHandler{
		Next: server.Handler, MaxBody: 1,
		Refuse: func(ctx *fasthttp.RequestCtx, err error) { ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable) },
		Drop:   func(ctx *fasthttp.RequestCtx) { ctx.Error("dropped", fasthttp.StatusBadGateway) },
	}
	handler.Install(server, listener)
	go func() { _ = server.Serve(listener) }()
	return listener, budget
}

// get sends a request on a new connection, and returns the connection.
func get(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	conn := dialFrom(t, listener, "127.0.0.1")
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	must.NoError(t, err)
	return conn
}

// A response that a request counts with already must not be replaced where memory is short: a refusal, which
// guarantees that the request has not run, would become an unknown outcome.
func TestSmallResponsesAreNotReplaced(t *testing.T) {
	const limit = clientmemory.ConnectionBytes + clientmemory.RequestBytes + 1<<10
	for size, status := range map[int]int{
		clientmemory.FirstResponseBytes:     http.StatusOK,
		clientmemory.FirstResponseBytes + 1: http.StatusBadGateway,
	} {
		listener, _ := serveResponses(t, limit, size)
		response, err := http.ReadResponse(bufio.NewReader(get(t, listener)), nil)
		must.NoError(t, err)
		must.Eq(t, status, response.StatusCode)
	}
}

// Responses of fasthttp servers that are not read must count, and a client that reads must be served although
// others read nothing. A response that does not fit must be replaced, not cut.
func TestUnreadResponsesCount(t *testing.T) {
	const (
		size   = 1 << 20
		limit  = 4 * size
		unread = 3
		wait   = 20 * time.Second
	)
	listener, budget := serveResponses(t, limit, size)
	request := func() io.Reader { return get(t, listener) }
	for range unread {
		request()
	}
	for end := time.Now().Add(wait); budget.Used() < unread*size; time.Sleep(10 * time.Millisecond) {
		must.True(t, time.Now().Before(end), must.Sprintf("%d bytes are counted", budget.Used()))
	}
	for end := time.Now().Add(wait); ; time.Sleep(100 * time.Millisecond) {
		must.True(t, time.Now().Before(end))
		must.LessEq(t, limit, budget.Used())
		response, err := http.ReadResponse(bufio.NewReader(request()), nil)
		must.NoError(t, err)
		got, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			must.Eq(t, size, len(got))
			return
		}
		must.Eq(t, http.StatusBadGateway, response.StatusCode)
	}
}
