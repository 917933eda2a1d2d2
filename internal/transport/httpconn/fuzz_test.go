package httpconn

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// FuzzRead checks that no response, however malformed, is accepted if its body
// exceeds the limit or is not framed.
func FuzzRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\n\r\ndone"))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy"))
	const maxBody = 64
	pool := NewPool(Options{MaxBody: maxBody})
	f.Fuzz(func(t *testing.T, text []byte) {
		c := &conn{reader: bufio.NewReader(bytes.NewReader(text))}
		resp := &fasthttp.Response{}
		if err := pool.read(c, resp, false); err != nil {
			return
		}
		must.LessEq(t, maxBody, len(resp.Body()))
		must.NotEq(t, identityBody, resp.Header.ContentLength())
	})
}
