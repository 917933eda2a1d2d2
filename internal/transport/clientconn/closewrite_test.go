package clientconn_test

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A server must be able to close only its sending side: closing both with unread bytes resets the
// connection, and the client could lose the last response.
func TestCloseWrite(t *testing.T) {
	client, server, _ := pair(t, time.Second, nil)
	half, ok := server.(interface{ CloseWrite() error })
	must.True(t, ok)
	_, err := server.Write([]byte("last"))
	must.NoError(t, err)
	must.NoError(t, half.CloseWrite())
	text, err := io.ReadAll(client)
	must.NoError(t, err)
	must.Eq(t, "last", string(text))
	_, err = client.Write([]byte("rest"))
	must.NoError(t, err)
	rest := make([]byte, 4)
	_, err = io.ReadFull(server, rest)
	must.NoError(t, err)
}
