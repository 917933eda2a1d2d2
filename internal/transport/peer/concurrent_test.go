package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/transport/peer"
)

// TestConcurrentFirstCallsSucceed guards against a lost call when concurrent
// first calls to an address each open a connection, of which only one is kept.
// The server answers only after all calls have arrived.
func TestConcurrentFirstCallsSucceed(t *testing.T) {
	const calls = 16
	key := []byte("0123456789abcdef0123456789abcdef")
	identity, err := peer.NewIdentity(key, "entry-1")
	must.NoError(t, err)
	server := peer.NewServer(identity)
	var arrived sync.WaitGroup
	arrived.Add(calls)
	server.Handle("meet", func(context.Context, string, json.RawMessage) (any, error) {
		arrived.Done()
		arrived.Wait()
		return greeting{}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, listener) }()
	client := newClient(t, key)
	errs := make(chan error, calls)
	for range calls {
		go func() { errs <- client.Call(ctx, listener.Addr().String(), "meet", greeting{}, nil) }()
	}
	for range calls {
		must.NoError(t, <-errs)
	}
}
