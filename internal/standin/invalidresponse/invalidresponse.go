// Package invalidresponse lists HTTP responses that no client may accept, and serves them.
package invalidresponse

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"medlarslip/internal/transport/httpconn"
)

// Case is a response that is invalid or incomplete.
type Case struct {
	Name string
	// Reset says that the server resets the connection after the response.
	Reset bool
	text  func(fields, body string) string
}

// Text returns the response for valid header lines and a body, with which a lenient client would accept it. The
// lines end with CRLF.
func (c Case) Text(fields, body string) string { return c.text(fields, body) }

// Whole returns a valid response.
func Whole(fields, body string) string { return withLength("HTTP/1.1 200 OK", fields, body) }

func withLength(statusLine, fields, body string) string {
	return fmt.Sprintf("%s\r\n%sContent-Length: %d\r\n\r\n%s", statusLine, fields, len(body), body)
}

func chunked(fields, chunks string) string {
	return "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks
}

func chunk(body string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(body), body) }

// Cases returns all cases.
func Cases() []Case {
	var all []Case
	add := func(name string, text func(fields, body string) string) {
		all = append(all, Case{Name: name, text: text})
	}
	for _, status := range []string{"000", "001", "099", "100", "101", "199", "600", "777"} {
		add("status "+status, func(fields, body string) string { return withLength("HTTP/1.1 "+status+" Trouble", fields, body) })
	}
	add("status 000 before another", func(fields, body string) string {
		return "HTTP/1.1 000 Trouble\r\n\r\n" + Whole(fields, body)
	})
	add("protocol HTTP/2.0", func(fields, body string) string { return withLength("HTTP/2.0 200 OK", fields, body) })
	for _, line := range []string{"X Field: a", "X-Field : a", "X\x01Field: a", "X\tField: a", ": a", "X-Field", "Content-Length : 2", "Transfer-Encoding : chunked"} {
		add(fmt.Sprintf("line %q", line), func(fields, body string) string { return Whole(fields+line+"\r\n", body) })
		add(fmt.Sprintf("line %q without a length", line), func(fields, body string) string {
			return "HTTP/1.1 200 OK\r\n" + fields + line + "\r\n\r\n" + body
		})
	}
	for _, line := range []string{"Content-Length: 1", "Content-Length: -1", "Content-Length: 0x2", "Content-Length: 2, 3"} {
		add("a length beside "+line, func(fields, body string) string { return Whole(fields+line+"\r\n", body) })
	}
	add("chunks beside a length", func(fields, body string) string {
		return chunked(fields+"Content-Length: 2\r\n", chunk(body)+"0\r\n\r\n")
	})
	add("chunks beside their length", func(fields, body string) string {
		chunks := chunk(body) + "0\r\n\r\n"
		return chunked(fields+fmt.Sprintf("Content-Length: %d\r\n", len(chunks)), chunks)
	})
	add("chunks in HTTP/1.0", func(fields, body string) string {
		return strings.Replace(chunked(fields, chunk(body)+"0\r\n\r\n"), "HTTP/1.1", "HTTP/1.0", 1)
	})
	for _, size := range []string{"zz", "-4", "+4", "0x4", "", "ffffffffffffffffff"} {
		add(fmt.Sprintf("chunk size %q", size), func(fields, body string) string {
			return chunked(fields, chunk(body)+size+"\r\nmore\r\n0\r\n\r\n")
		})
	}
	add("chunk size too small", func(fields, body string) string {
		return chunked(fields, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body)-1, body))
	})
	add("no last chunk", func(fields, body string) string { return chunked(fields, chunk(body)) })
	add("no end of the last chunk", func(fields, body string) string { return chunked(fields, chunk(body)+"0\r\n") })
	for _, line := range []string{"X\x01Trailer: a", ": a", "X-Trailer"} {
		add(fmt.Sprintf("trailer %q", line), func(fields, body string) string {
			return chunked(fields, chunk(body)+"0\r\n"+line+"\r\n\r\n")
		})
	}
	add("length too large", func(fields, body string) string {
		return strings.TrimSuffix(withLength("HTTP/1.1 200 OK", fields, body+"more"), "more")
	})
	return append(all, Resets()...)
}

// Resets returns the cases in which the connection breaks within a valid response.
func Resets() []Case {
	return []Case{
		{Name: "reset without a length", Reset: true, text: func(fields, body string) string { return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body }},
		{Name: "reset within chunks", Reset: true, text: func(fields, body string) string { return chunked(fields, chunk(body)) }},
		{Name: "reset within a length", Reset: true, text: func(fields, body string) string {
			return strings.TrimSuffix(withLength("HTTP/1.1 200 OK", fields, body+"more"), "more")
		}},
	}
}

// Reply is what a server sends for a request.
type Reply struct {
	Text string
	// Early says that the response is sent before the body of the request is read.
	Early bool
	// Reset says that the connection is reset after the response, without reading more.
	Reset bool
}

// resetDelay is how long a client has to read the response before the reset.
const resetDelay = 20 * time.Millisecond

// Serve answers requests until the test ends, one per connection, and returns the address.
func Serve(t *testing.T, reply func(*http.Request) Reply) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveConn(c.(*net.TCPConn), reply)
		}
	}()
	return listener.Addr().String()
}

func serveConn(c *net.TCPConn, reply func(*http.Request) Reply) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	r := reply(req)
	if !r.Early {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(c, r.Text)
	if r.Reset {
		time.Sleep(resetDelay)
		_ = c.SetLinger(0)
		return
	}
	// A close with unread bytes would be a reset.
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// connectTimeout is not reached on a busy machine.
const connectTimeout = time.Minute

// NewPool returns a pool for calls of Check: a connection that is not opened in time is not an invalid response.
func NewPool() *httpconn.Pool {
	opts := httpconn.DefaultOptions()
	opts.ConnectTimeout = connectTimeout
	return httpconn.NewPool(opts)
}

// Check runs a call against a server that sends a valid response, with these header lines and this body, and then
// against one for each case. The call must succeed once, and fail with an error that typed accepts otherwise. If
// uploads is set, the servers of the cases send them also before they have read the body of the request.
func Check(t *testing.T, uploads bool, fields, body string, call func(address string) error, typed func(error) bool) {
	t.Helper()
	if err := call(Serve(t, func(*http.Request) Reply { return Reply{Text: Whole(fields, body)} })); err != nil {
		t.Fatalf("a valid response: %v", err)
	}
	for _, c := range Cases() {
		for _, early := range []bool{false, true} {
			if early && !uploads {
				continue
			}
			t.Run(fmt.Sprintf("%s/early=%v", c.Name, early), func(t *testing.T) {
				address := Serve(t, func(*http.Request) Reply {
					return Reply{Text: c.Text(fields, body), Early: early, Reset: c.Reset}
				})
				if err := call(address); err == nil || !typed(err) {
					t.Fatalf("the call returned the error %v", err)
				}
			})
		}
	}
}
