package clientconn

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
)

// Another connection may evict one whose Open has not returned yet, which has no holding.
func TestEvictionBeforeOpenReturns(t *testing.T) {
	client, server := net.Pipe()
	c := &Conn{Conn: server}
	c.evict(clientmemory.Idle)
	_, err := client.Read(make([]byte, 1))
	must.Error(t, err)
}
