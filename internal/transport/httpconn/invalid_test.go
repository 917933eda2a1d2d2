package httpconn_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/httpconn"
)

// readers are the ways to read a response. Each returns its status and body.
var readers = map[string]func(t *testing.T, address string) (int, string, error){
	"Do": func(t *testing.T, address string) (int, string, error) {
		resp, err := post(t, newPool(t), address, httpconn.ReuseNone)
		return resp.StatusCode(), string(resp.Body()), err
	},
	"Open": func(t *testing.T, address string) (int, string, error) {
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("http://" + address + "/")
		stream, err := newPool(t).Open(t.Context(), address, req, resp, httpconn.ReuseNone)
		if err != nil {
			return 0, "", err
		}
		defer stream.Close()
		body, err := stream.ReadAll((*clientmemory.Holding)(nil))
		return resp.StatusCode(), string(body), err
	},
	"Fetch": func(t *testing.T, address string) (int, string, error) {
		req := httpconn.RawRequest{Method: http.MethodPost, Head: []byte("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"), Body: [][]byte{[]byte("work")}}
		fetched, err := newPool(t).Fetch(t.Context(), address, req, httpconn.ReuseNone, 1<<20)
		if err != nil {
			return 0, "", err
		}
		return fetched.Status, string(fetched.Body), nil
	},
}

// mustReject checks that no reader accepts a text as a response, and that a call with it may have run.
func mustReject(t *testing.T, text string) {
	t.Helper()
	for name, read := range readers {
		t.Run(name, func(t *testing.T) {
			server := startServer(t, respondWith(text))
			status, body, err := read(t, server.address())
			must.Error(t, err, must.Sprintf("%q was read as status %d with the body %q", text, status, body))
			must.True(t, httpconn.MayHaveRun(err))
		})
	}
}

// TestInvalidStatusIsNoResponse guards against the delivery of a response whose status is not one of a final
// response, and of its body in place of a response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const smuggled = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	for _, status := range []string{"000", "001", "020", "099", "+20", "-01", "0x2", "101", "600", "777", "999", "20", "2000"} {
		t.Run(status, func(t *testing.T) {
			mustReject(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 4\r\n\r\ndone")
			mustReject(t, "HTTP/1.1 "+status+"\r\n\r\n"+smuggled)
		})
	}
	mustReject(t, "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	// An interim response is not final, also if nothing follows it.
	mustReject(t, "HTTP/1.1 103 Early Hints\r\n\r\n")
}

// TestInterimResponsesAreSkipped guards against the delivery of an interim response in place of the final
// one, which would be read as the response to the next request.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for _, interim := range []string{"100 Continue", "102 Processing", "103 Early Hints", "199 Other"} {
		for name, read := range readers {
			server := startServer(t, respondWith("HTTP/1.1 "+interim+"\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"))
			status, body, err := read(t, server.address())
			must.NoError(t, err, must.Sprint(name, interim))
			must.Eq(t, http.StatusOK, status, must.Sprint(name, interim))
			must.Eq(t, "done", body)
		}
	}
}

// TestInvalidFieldNameIsNoResponse guards against the delivery of a response with a field that readers
// understand in different ways, such as a length that one of them does not recognize.
func TestInvalidFieldNameIsNoResponse(t *testing.T) {
	lines := []string{
		"Content-Length : 2", "Content Length: 2", "X Seal: a", "X-Seal : a", "X\tSeal: a", "X-Seal\t: a", "X\x01Seal: a", "X\x7fSeal: a",
		"X\x00Seal: a", "\x1bX-Seal: a", "X\x80Seal: a", "X(Seal: a", ": a", "X-Seal", "X\rSeal: a",
	}
	for _, line := range lines {
		mustReject(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 4\r\n\r\ndone")
		mustReject(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"+line+"\r\n\r\ndone")
	}
	mustReject(t, "HTTP/1.1 200 OK\r\n X-Seal: a\r\nContent-Length: 4\r\n\r\ndone")
	mustReject(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n\r\ndone")
	mustReject(t, "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\ndone")
	// The names of usual fields are accepted, in any case.
	for name, read := range readers {
		server := startServer(t, respondWith("HTTP/1.1 200 OK\r\nx-seal: a\r\nX_Seal.2!: b\r\nCONTENT-LENGTH: 4\r\n\r\ndone"))
		_, body, err := read(t, server.address())
		must.NoError(t, err, must.Sprint(name))
		must.Eq(t, "done", strings.TrimSpace(body))
	}
}

// TestChunksInHTTP10AreNoResponse guards against a body that is delivered with the framing of its chunks: HTTP/1.0 has
// no chunks, so that readers differ (RFC 9112, section 6.1).
func TestChunksInHTTP10AreNoResponse(t *testing.T) {
	const chunks = "4\r\ndone\r\n0\r\n\r\n"
	mustReject(t, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
	mustReject(t, "HTTP/1.0 200 OK\r\nX-Long: "+strings.Repeat("h", 20<<10)+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
	mustReject(t, "HTTP/1.0 200 OK\r\nContent-Length: 14\r\ntransfer-encoding: chunked\r\n\r\n"+chunks)
	mustReject(t, "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
}

// TestChunksBesideALengthAreNoResponse guards against a body whose header states two ends of it, which may be that of
// another response (RFC 9112, section 6.3).
func TestChunksBesideALengthAreNoResponse(t *testing.T) {
	const chunks = "4\r\ndone\r\n0\r\n\r\n"
	for _, length := range []string{"0", "4", "14"} {
		mustReject(t, "HTTP/1.1 200 OK\r\nContent-Length: "+length+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks)
		mustReject(t, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: "+length+"\r\n\r\n"+chunks)
	}
}
