package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/transport/peer"
)

type greeting struct {
	Text string `json:"text"`
}

func startServer(t *testing.T, key []byte) string {
	t.Helper()
	identity, err := peer.NewIdentity(key, "entry-1")
	must.NoError(t, err)
	server := peer.NewServer(identity)
	server.Handle("greet", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		var g greeting
		if err := json.Unmarshal(params, &g); err != nil {
			return nil, err
		}
		return greeting{Text: from + " says " + g.Text}, nil
	})
	server.Handle("fail", func(context.Context, string, json.RawMessage) (any, error) {
		return nil, errors.New("no")
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return listener.Addr().String()
}

func newClient(t *testing.T, key []byte) *peer.Client {
	t.Helper()
	identity, err := peer.NewIdentity(key, "entry-2")
	must.NoError(t, err)
	client := peer.NewClient(identity)
	t.Cleanup(client.Close)
	return client
}

func TestCallPassesNameOfCaller(t *testing.T) {
	key := []byte("0123456789abcdef0123456789abcdef")
	address := startServer(t, key)
	client := newClient(t, key)
	for range 3 {
		var got greeting
		must.NoError(t, client.Call(context.Background(), address, "greet", greeting{Text: "hello"}, &got))
		must.Eq(t, "entry-2 says hello", got.Text)
	}
}

func TestCallDistinguishesRemoteErrorFromUnreachablePeer(t *testing.T) {
	key := []byte("0123456789abcdef0123456789abcdef")
	address := startServer(t, key)
	client := newClient(t, key)
	must.ErrorIs(t, client.Call(context.Background(), address, "fail", greeting{}, nil), peer.ErrRemote)
	must.ErrorIs(t, client.Call(context.Background(), address, "unknown", greeting{}, nil), peer.ErrRemote)
	must.ErrorIs(t, client.Call(context.Background(), "127.0.0.1:1", "greet", greeting{}, nil), peer.ErrUnreachable)
}

func TestCallWithAnotherFleetKeyIsRejected(t *testing.T) {
	address := startServer(t, []byte("0123456789abcdef0123456789abcdef"))
	client := newClient(t, []byte("another key of the same length!!"))
	must.ErrorIs(t, client.Call(context.Background(), address, "greet", greeting{Text: "hello"}, nil), peer.ErrUnreachable)
}
