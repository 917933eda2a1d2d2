package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"
)

// frame returns a message with its length, as VarintObjectCodec sends it.
func frame(message string) string {
	return string(binary.AppendUvarint(nil, uint64(len(message)))) + message
}

// answerWith returns the address of a peer that answers the first call of each connection with a text, and then
// resets the connection or ends it.
func answerWith(t *testing.T, identity *Identity, text string, reset bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		session := tls.Server(c, identity.serverConfig())
		defer func() { _ = session.Close() }()
		var call json.RawMessage
		if (jsonrpc2.VarintObjectCodec{}).ReadObject(bufio.NewReader(session), &call) != nil {
			return
		}
		_, _ = io.WriteString(session, text)
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return listener.Addr().String()
}

// TestInvalidAnswerOfAPeerIsNone guards against a result that is taken from an answer that is invalid, incomplete or
// to another call.
func TestInvalidAnswerOfAPeerIsNone(t *testing.T) {
	identity, err := NewIdentity([]byte("0123456789abcdef0123456789abcdef"), "entry-1")
	must.NoError(t, err)
	type result struct{ Text string }
	call := func(text string, reset bool) (result, error) {
		client := NewClient(identity)
		defer client.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		var got result
		err := client.Call(ctx, answerWith(t, identity, text, reset), "greet", nil, &got)
		return got, err
	}
	const valid = `{"jsonrpc":"2.0","id":0,"result":{"text":"hello"}}`
	got, err := call(frame(valid), false)
	must.NoError(t, err)
	must.Eq(t, "hello", got.Text)
	for _, text := range []string{
		"", frame(valid)[:20], frame(valid)[:len(frame(valid))-1], string([]byte{20}) + valid,
		"\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "HTTP/1.1 200 OK\r\n\r\n" + valid, frame("{"), frame("[]"), frame("null"), frame(`"hello"`),
		frame(`{"jsonrpc":"2.0","id":7,"result":{"text":"hello"}}`), frame(`{"jsonrpc":"2.0","id":0}`),
		frame(`{"jsonrpc":"2.0","id":0,"method":"greet","result":{"text":"hello"}}`), frame(`{"jsonrpc":"2.0","id":0,"result":["hello"]}`),
		frame(`{"jsonrpc":"2.0","id":0,"result":{"text":7}}`), frame("{\x00}"),
	} {
		for _, reset := range []bool{false, true} {
			got, err := call(text, reset)
			must.ErrorIs(t, err, ErrUnreachable, must.Sprintf("%q, reset %v", text, reset))
			must.Eq(t, "", got.Text, must.Sprintf("%q", text))
		}
	}
}
