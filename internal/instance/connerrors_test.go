package instance

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/protocol/settings"
)

// captureLog collects the lines of the standard logger until the test ends.
func captureLog(t *testing.T) *logtest.Hook {
	t.Helper()
	hook := &logtest.Hook{}
	former := logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
	logrus.AddHook(hook)
	t.Cleanup(func() { logrus.StandardLogger().ReplaceHooks(former) })
	return hook
}

// Clients whose connections fail must not determine the number of log lines: each server must pass its
// errors to the logger that joins them.
func TestFailedConnectionsHaveOneLine(t *testing.T) {
	const clients = 300
	hook := captureLog(t)
	limits := settings.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 8192, MaxConnections: clients, MaxConnectionsPerIP: clients, StreamIdleMillis: 10000}
	errs := &connectionErrors{}
	server := newServer(&settings.Entry{Limits: limits}, func(*fasthttp.RequestCtx) {}, errs)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	for range clients {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		must.NoError(t, err)
		_, err = io.WriteString(conn, "nothing of HTTP\r\n\r\n")
		must.NoError(t, err)
		// The server reports the error before it closes the connection.
		_, _ = io.Copy(io.Discard, conn)
		must.NoError(t, conn.Close())
	}
	must.NoError(t, server.Shutdown())
	must.NoError(t, <-served)
	errs.flush()
	errs.flush()
	must.Len(t, 1, hook.AllEntries())
	must.Eq(t, clients-1, hook.LastEntry().Data["omitted"].(int))
}

// Errors that go on for seconds must have a line each second, of a bounded length, and the last ones
// must not be lost at the end.
func TestLinesOnFailedConnectionsAreBounded(t *testing.T) {
	const perSecond, seconds = 1000, 5
	hook := captureLog(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		errs := &connectionErrors{}
		done := make(chan error, 1)
		go func() { done <- errs.run(ctx) }()
		for range perSecond * seconds {
			errs.Printf("%s", strings.Repeat("x", 10_000))
			time.Sleep(time.Second / perSecond)
		}
		cancel()
		must.NoError(t, <-done)
	})
	must.LessEq(t, seconds+1, len(hook.AllEntries()))
	total := 0
	for _, line := range hook.AllEntries() {
		total += 1 + line.Data["omitted"].(int)
		must.LessEq(t, maxConnectionError, len(line.Data["first"].(string)))
	}
	must.Eq(t, perSecond*seconds, total)
}
