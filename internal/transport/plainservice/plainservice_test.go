package plainservice_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/attempt"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/plainservice"
)

// TestCopyOfAnEarlierAnswerIsNotTaken guards against accepting the answer to
// another request. The service answers the second request on a reused connection
// with a copy of its first answer.
func TestCopyOfAnEarlierAnswerIsNotTaken(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, listener.Close()) }()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for range 2 {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: one\r\n\r\nfirst")
		}
	}()
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	defer pool.Close()
	client := plainservice.New(pool)
	call := &attempt.ServiceCall{Method: http.MethodGet, Address: listener.Addr().String(), Path: "/records/7", RequestID: "one"}
	answer, err := client.Do(t.Context(), call)
	must.NoError(t, err)
	must.Eq(t, "first", string(answer.Body))
	call.RequestID = "two"
	_, err = client.Do(t.Context(), call)
	must.ErrorIs(t, err, attempt.ErrNoAnswer)
}
