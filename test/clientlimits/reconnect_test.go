package clientlimits_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"
)

// reconnecting connects count clients that connect again whenever their connection ends. It
// returns a function that ends them.
func reconnecting(address string, count int, behavior func(n int) client) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() {
			dialer := net.Dialer{Timeout: sendTime, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 98, byte(1+n%clientAddresses))}}
			for ctx.Err() == nil {
				conn, err := dialer.DialContext(ctx, "tcp4", address)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				end := context.AfterFunc(ctx, func() { _ = conn.Close() })
				behavior(n)(conn)
				// Waits until the process closes the connection. It does not read a large response.
				_, _ = conn.Read(make([]byte, 1))
				end()
				_ = conn.Close()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		clients.Wait()
	}
}

// Clients that connect again at once, after each refusal, must not keep ordinary clients from connecting.
func TestReconnectingClients(t *testing.T) {
	i := startInstance(t)
	kinds := []client{
		unfinishedChunks(platformPost, largeBody, 64<<10), unfinishedChunks(platformPost, smallBody, 16), manyExtensions(platformPost),
		declaredLength(platformPost, maxBody, 900<<10), endlessHeader(platformPost), silent,
	}
	stop := reconnecting(i.front, bodyClients, mixed(kinds...))
	defer stop()
	time.Sleep(2 * time.Second)
	i.checkServesNow(t)
}
