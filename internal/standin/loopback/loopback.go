// Package loopback serves handlers on loopback addresses for tests.
package loopback

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"
)

// shutdownLimit bounds the wait for handlers that are still running when their
// test ends, such as long polls for the next record.
const shutdownLimit = 50 * time.Millisecond

// Serve serves handler on a free port until the test ends, and returns the
// address.
func Serve(t testing.TB, handler fasthttp.RequestHandler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true, Logger: discardLogger{}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
		// Shutdown doesn't stop a server that has not started to serve yet.
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String()
}

// Refused returns an address that refuses connections.
func Refused() string { return Address() }

// discardLogger drops the messages that the server logs about closed connections.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
