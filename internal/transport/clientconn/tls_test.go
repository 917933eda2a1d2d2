package clientconn_test

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
)

// tlsConfig returns the configuration of a server with a certificate of its own.
func tlsConfig(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	must.NoError(t, err)
	return &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: key}}}
}

// maxTLSBody is the largest body of the server of serveTLS.
const maxTLSBody = 4 << 20

// serveTLS starts a fasthttp server with TLS that answers with the length of the body.
func serveTLS(t *testing.T, limits clientmemory.Limits) (string, *clientmemory.Budget) {
	t.Helper()
	inner, budget := listen(t, limits, 0)
	server := &fasthttp.Server{
		Handler:         func(ctx *fasthttp.RequestCtx) { _, _ = fmt.Fprint(ctx, len(ctx.PostBody())) },
		CloseOnShutdown: true,
		// As in medlarslip-entry. fasthttp wraps each connection then, and does not call its Handshake.
		MaxConnsPerIP: 1000,
	}
	inner.Group.AddBytes(4 << 10)
	inner.Group.KeepHeaders()
	handler := &clientconn.BodyHandler{Next: server.Handler, Refuse: func(ctx *fasthttp.RequestCtx, err error) { ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable) }, Drop: func(*fasthttp.RequestCtx) {}, MaxBody: maxTLSBody}
	handler.Install(server, inner)
	done := make(chan error, 1)
	go func() { done <- server.Serve(clientconn.NewTLSListener(inner, tlsConfig(t))) }()
	t.Cleanup(func() {
		must.NoError(t, server.Shutdown())
		must.NoError(t, <-done)
	})
	return inner.Addr().String(), budget
}

// dialTLS returns a TLS connection after its handshake, and the connection below it.
func dialTLS(t *testing.T, address string, protocols []string) (*tls.Conn, net.Conn) {
	t.Helper()
	raw, err := net.Dial("tcp4", address)
	must.NoError(t, err)
	t.Cleanup(func() { _ = raw.Close() })
	must.NoError(t, raw.SetDeadline(time.Now().Add(time.Minute)))
	conn := tls.Client(raw, &tls.Config{InsecureSkipVerify: true, NextProtos: protocols})
	must.NoError(t, conn.Handshake())
	return conn, raw
}

// post sends a body of a size in one write, and checks that the server has received all of it.
func post(t *testing.T, conn net.Conn, size int) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.Eq(t, fmt.Sprint(size), string(body))
}

// heldMemory returns the memory of the heap and of stacks in use.
func heldMemory() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// What is counted for TLS connections must cover what the process holds for them, where clients begin the
// largest record after one for which crypto/tls has allocated a slightly smaller buffer.
func TestTLSConnectionsAreCovered(t *testing.T) {
	const (
		clients = 100
		// firstRecord is the size of a record whose buffer doubles for the largest one.
		firstRecord = 15_700
	)
	address, budget := serveTLS(t, clientmemory.Limits{})
	post(t, first(dialTLS(t, address, nil)), 1)
	held, counted := heldMemory(), budget.Used()
	var kept []net.Conn
	for range clients {
		conn, raw := dialTLS(t, address, nil)
		post(t, conn, firstRecord)
		_, err := raw.Write([]byte("\x17\x03\x03\x41\x00"))
		must.NoError(t, err)
		kept = append(kept, raw)
	}
	// The server reads the beginning of a record soon. Until then it holds less.
	time.Sleep(300 * time.Millisecond)
	held, counted = heldMemory()-held, budget.Used()-counted
	t.Logf("%d KiB are held and %d KiB counted for a connection", held/clients>>10, counted/clients>>10)
	must.LessEq(t, counted, held)
	runtime.KeepAlive(kept)
}

func first(conn *tls.Conn, _ net.Conn) *tls.Conn { return conn }

// A first message of TLS of nearly 64 KiB must count until the connection ends, since crypto/tls keeps its buffer.
func TestLargeFirstMessageCountsUntilTheEnd(t *testing.T) {
	address, budget := serveTLS(t, clientmemory.Limits{})
	protocols := make([]string, 200)
	for i := range protocols {
		protocols[i] = fmt.Sprintf("%0255d", i)
	}
	conn, _ := dialTLS(t, address, protocols)
	post(t, conn, 10)
	post(t, conn, 10)
	must.GreaterEq(t, int64(clientmemory.ConnectionBytes+clientmemory.TLSBytes+2*200*256), budget.Used())
}

// The largest body must arrive in records of each size, so that the bound on bytes without data ends no
// connection of a client that sends data.
func TestBodiesInRecordsOfAllSizes(t *testing.T) {
	address, _ := serveTLS(t, clientmemory.Limits{})
	for _, size := range []int{1, 100, 4 << 10, 16<<10 - 1, 16 << 10} {
		conn, _ := dialTLS(t, address, nil)
		length := min(maxTLSBody, size*5000)
		_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)
		must.NoError(t, err)
		part := bytes.Repeat([]byte("b"), size)
		for sent := 0; sent < length; sent += size {
			_, err := conn.Write(part[:min(size, length-sent)])
			must.NoError(t, err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		must.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.Eq(t, fmt.Sprint(length), string(body))
	}
}

// A request without a body must not be refused for the memory of messages that only a body allows.
func TestRequestWithoutBodyNeedsNoMemoryForMessages(t *testing.T) {
	// The rest is for the buffer of headers, the first messages and the header.
	const limit = clientmemory.ConnectionBytes + clientmemory.TLSBytes + clientmemory.RequestBytes + 20<<10
	address, _ := serveTLS(t, clientmemory.Limits{Bytes: limit})
	conn, _ := dialTLS(t, address, nil)
	reader := bufio.NewReader(conn)
	for _, c := range []struct {
		request string
		status  int
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", http.StatusOK},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nb", http.StatusServiceUnavailable},
	} {
		_, err := io.WriteString(conn, c.request)
		must.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		must.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		must.NoError(t, err)
		must.Eq(t, c.status, response.StatusCode)
	}
}
