package clientlimits_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"medlarslip/internal/standin/localfleet"
)

const (
	// clientAddresses is the number of addresses that the clients connect from.
	clientAddresses = 4
	// sendTime bounds how long a client tries to send. A process that no longer
	// reads is a valid reaction.
	sendTime = 5 * time.Second
)

// client sends what one client sends. Its connection stays open afterwards.
type client func(net.Conn)

// connectClients connects count clients to an address and returns once each has sent all of its data, or
// failed to. The connections are closed at the end of the test.
func connectClients(t *testing.T, address string, count int, behavior func(n int) client) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() {
			dialer := net.Dialer{Timeout: sendTime, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 98, byte(1+n%clientAddresses))}}
			conn, err := dialer.DialContext(context.Background(), "tcp4", address)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendTime))
			behavior(n)(conn)
		})
	}
	clients.Wait()
}

// all returns the same behavior for all clients.
func all(c client) func(int) client { return mixed(c) }

// mixed returns the given behaviors in turn.
func mixed(kinds ...client) func(int) client {
	return func(n int) client { return kinds[n%len(kinds)] }
}

// clientCase is a case of a test with clients that connect at the same time.
type clientCase struct {
	name    string
	count   int
	clients []client
}

// checkCases starts an instance for each case, connects the clients of the case to the address, and checks that the
// instance serves meanwhile.
func checkCases(t *testing.T, start func(*testing.T) *instance, address func(*instance) string, cases []clientCase, more ...func(*testing.T, *instance)) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := start(t)
			connectClients(t, address(i), c.count, mixed(c.clients...))
			i.checkServes(t)
			for _, check := range more {
				check(t, i)
			}
		})
	}
}

// frontOf returns the address for callers.
func frontOf(i *instance) string { return i.front }

// head returns the header of a request to a path, up to the framing of its body.
func head(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: records.example\r\nAuthorization: Bearer demo-key\r\n" +
		"X-Medlarslip-Request-Id: client\r\nX-Medlarslip-Deadline-Ms: 60000\r\n"
}

// platformPost is the header of a request with a body to medlarslip-platform, and entryPost
// one to medlarslip-entry.
var (
	platformPost = head("POST", "/lookups/1")
	entryPost    = "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + localfleet.APIKey + "\r\n"
)

// write sends a text; an error means that the process has refused the client.
func write(conn net.Conn, text string) bool {
	_, err := conn.Write([]byte(text))
	return err == nil
}

// unfinishedChunks sends a body of size bytes in chunks, without the last chunk.
func unfinishedChunks(post string, size, chunk int) client {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("b", chunk))
	text := post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(one, size/chunk)
	return func(conn net.Conn) { write(conn, text) }
}

// endlessExtension sends a chunk extension that does not end.
func endlessExtension(post string) client {
	part := strings.Repeat("e", 16<<10)
	return func(conn net.Conn) {
		ok := write(conn, post+"Transfer-Encoding: chunked\r\n\r\n10;")
		for n := 0; ok && n < 64; n++ {
			ok = write(conn, part)
		}
	}
}

// manyExtensions sends many chunks of one byte, each with a long extension.
func manyExtensions(post string) client {
	one := "1;" + strings.Repeat("e", 1000) + "\r\nb\r\n"
	text := post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(one, 1000)
	return func(conn net.Conn) { write(conn, text) }
}

// endlessTrailers sends a chunked body with trailers that do not end.
func endlessTrailers(post string) client {
	part := strings.Repeat("X-Trailer: "+strings.Repeat("t", 1000)+"\r\n", 16)
	return func(conn net.Conn) {
		ok := write(conn, post+"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n")
		for n := 0; ok && n < 64; n++ {
			ok = write(conn, part)
		}
	}
}

// declaredLength declares a body and sends a part of it.
func declaredLength(post string, length, sent int) client {
	text := post + fmt.Sprintf("Content-Length: %d\r\n\r\n", length) + strings.Repeat("b", sent)
	return func(conn net.Conn) { write(conn, text) }
}

// endlessHeader sends a header that does not end.
func endlessHeader(post string) client {
	part := strings.Repeat("X-Header: "+strings.Repeat("h", 100)+"\r\n", 10)
	return func(conn net.Conn) {
		ok := write(conn, post)
		for n := 0; ok && n < 14; n++ {
			ok = write(conn, part)
		}
	}
}

// unreadResponses sends requests with large responses and reads none of them.
func unreadResponses(path, header string, requests int) client {
	text := strings.Repeat(head("GET", path)+header+"\r\n", requests)
	return func(conn net.Conn) {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		write(conn, text)
	}
}

const streamHeader = "Accept: text/event-stream\r\nX-Medlarslip-Model: large\r\n"

func silent(net.Conn) {}
