package httpconn_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/transport/httpconn"
)

// startEndlessServer answers a request with prefix, and then with filler until
// the client closes the connection or limit bytes are written. The channel
// receives the number of bytes of filler that were written.
func startEndlessServer(t *testing.T, prefix, filler string, limit int64) (*scriptedServer, <-chan int64) {
	t.Helper()
	fillerWritten := make(chan int64, 1)
	block := []byte(strings.Repeat(filler, 1+(16<<10)/len(filler)))
	s := startServer(t, func(_ int64, c net.Conn, readRequest func() bool) {
		if !readRequest() {
			return
		}
		written := int64(0)
		_, err := io.WriteString(c, prefix)
		for err == nil && written < limit {
			var n int
			n, err = c.Write(block)
			written += int64(n)
		}
		fillerWritten <- written
	})
	return s, fillerWritten
}

// endlessLimit is the number of bytes after which an endless server ends.
const endlessLimit = 256 << 20

// mustBound runs a call to a server that answers with prefix and endless filler. It must end
// before the server does, with at most maxAlloc bytes allocated.
func mustBound(t *testing.T, prefix, filler string, maxAlloc uint64, call func(address string)) {
	t.Helper()
	server, fillerWritten := startEndlessServer(t, prefix, filler, endlessLimit)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call(server.address())
	runtime.ReadMemStats(&after)
	must.Less(t, int64(endlessLimit), <-fillerWritten)
	must.Less(t, maxAlloc, after.TotalAlloc-before.TotalAlloc)
}

// TestEndlessHeaderIsBounded guards against memory exhaustion by a server that
// sends an endless header: in one line, in many fields or in interim responses.
func TestEndlessHeaderIsBounded(t *testing.T) {
	cases := []struct{ name, prefix, filler string }{
		{"no line", "", "x"},
		{"status line", "HTTP/1.1 200 ", "O"},
		{"one field", "HTTP/1.1 200 OK\r\nX-Filler: ", "y"},
		{"many fields", "HTTP/1.1 200 OK\r\n", "X-Filler: z\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			mustBound(t, tc.prefix, tc.filler, 8<<20, func(address string) {
				req := httpconn.RawRequest{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: s\r\n\r\n")}
				_, err := newPool(t).Exchange(context.Background(), address, req, httpconn.ReuseNone)
				must.Error(t, err)
				must.True(t, httpconn.MayHaveRun(err))
			})
		})
	}
}

// TestHeaderLargerThanReadBufferIsRead checks that a header larger than the read
// buffer is accepted, and that the limit of the header does not apply to the body.
func TestHeaderLargerThanReadBufferIsRead(t *testing.T) {
	body := strings.Repeat("b", 200<<10)
	server := startServer(t, respondWith("HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("h", 20<<10)+"\r\nConnection: close\r\n\r\n"+body))
	req := httpconn.RawRequest{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: s\r\n\r\n")}
	x, err := newPool(t).Exchange(context.Background(), server.address(), req, httpconn.ReuseNone)
	must.NoError(t, err)
	defer x.Close()
	got, err := io.ReadAll(x)
	must.NoError(t, err)
	must.Eq(t, body, string(got))
}

// TestConnectionIsReusedAfterALongHeader guards against bytes that are lost or read twice when the buffer of a
// connection has grown.
func TestConnectionIsReusedAfterALongHeader(t *testing.T) {
	server := startServer(t, respondWith("HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("h", 20<<10)+"\r\nContent-Length: 4\r\n\r\nkeep"))
	pool := newPool(t)
	req := httpconn.RawRequest{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: s\r\n\r\n")}
	for range 3 {
		fetched, err := pool.Fetch(t.Context(), server.address(), req, httpconn.ReuseIdle, 100)
		must.NoError(t, err)
		must.Eq(t, "keep", string(fetched.Body))
	}
	must.Eq(t, 1, server.accepted.Load())
}

// TestHeaderThatIsCutIsNoResponse guards against a response with an empty or a short body
// where the server stopped within the header, at any byte.
func TestHeaderThatIsCutIsNoResponse(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nX-Seal: 3e1b\r\nContent-Length: 12\r\nContent-Type: text/event-stream\r\n\r\n"
	for length := range len(header) {
		server := startServer(t, func(_ int64, c net.Conn, readRequest func() bool) {
			readRequest()
			_, _ = io.WriteString(c, header[:length])
		})
		pool := newPool(t)
		_, err := post(t, pool, server.address(), httpconn.ReuseNone)
		must.Error(t, err, must.Sprint(header[:length]))
		must.True(t, httpconn.MayHaveRun(err))
		req := httpconn.RawRequest{Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"), Body: [][]byte{[]byte("work")}}
		_, err = pool.Exchange(t.Context(), server.address(), req, httpconn.ReuseNone)
		must.Error(t, err, must.Sprint(header[:length]))
		must.True(t, httpconn.MayHaveRun(err))
	}
}

// TestEndlessBodyIsBounded guards against memory exhaustion by a server that sends an endless
// body: one that ends with its connection, one of a stated length, or in chunks, with endless
// extensions or trailers.
func TestEndlessBodyIsBounded(t *testing.T) {
	const maxBody = 1 << 20
	cases := []struct{ name, prefix, filler string }{
		{"no length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"one chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x"},
		{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		{"chunk extensions", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("y", 1000) + "\r\nx\r\n"},
		{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "x"},
		{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: z\r\n"},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			mustBound(t, tc.prefix, tc.filler, 8<<20, func(address string) {
				req := httpconn.RawRequest{Method: http.MethodGet, Head: []byte("GET / HTTP/1.1\r\nHost: s\r\n\r\n")}
				fetched, err := newPool(t).Fetch(context.Background(), address, req, httpconn.ReuseNone, maxBody)
				must.True(t, err != nil || len(fetched.Body) == maxBody)
			})
		})
	}
}

// TestEndlessBodyEndsACall is the same for calls that read with a bound of the pool.
func TestEndlessBodyEndsACall(t *testing.T) {
	for name, prefix := range map[string]string{
		"no length": "HTTP/1.1 200 OK\r\n\r\n",
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
		"one chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
		"trailer":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ",
		"header":    "HTTP/1.1 200 OK\r\nX-Filler: ",
	} {
		t.Run(name, func(t *testing.T) {
			opts := httpconn.DefaultOptions()
			opts.MaxBody = 1 << 20
			pool := httpconn.NewPool(opts)
			t.Cleanup(pool.Close)
			mustBound(t, prefix, "x", 16<<20, func(address string) {
				var req fasthttp.Request
				var resp fasthttp.Response
				req.SetRequestURI("http://s/")
				must.Error(t, pool.Do(context.Background(), address, &req, &resp, httpconn.ReuseNone))
			})
		})
	}
}
