package peers_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// network is a network of instances in virtual time.
type network struct {
	mu    sync.Mutex
	seed  uint64
	conns map[string]*fakeConn
	// sent counts the datagrams between two addresses.
	sent map[[2]string]uint64
	// partition maps each address to its side of a network partition.
	partition map[string]int
	// cut reports whether datagrams between two addresses are lost; nil means none.
	cut func(from, to string) bool
	// suspended holds the addresses of suspended instances, with the channel that is
	// closed when they continue.
	suspended map[string]chan struct{}
	// observe is called with each datagram that arrives; nil for none.
	observe func(from, to string, datagram []byte)
}

type fakeConn struct {
	net.PacketConn
	network *network
	address *net.UDPAddr
	inbox   chan []byte
	closed  chan struct{}
	// bytes and datagrams count the traffic in both directions.
	bytes, datagrams int
}

func (n *network) listen(address string) *fakeConn {
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		panic(err)
	}
	c := &fakeConn{network: n, address: resolved, inbox: make(chan []byte, 4096), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[address] = c
	return c
}

// awaitResumed returns when the instance at an address is not suspended.
func (n *network) awaitResumed(address string) {
	n.mu.Lock()
	resumed := n.suspended[address]
	n.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// suspend suspends an instance for a time: it receives later what is sent to it
// meanwhile, and sends nothing.
func (n *network) suspend(address string, lasts time.Duration) {
	resumed := make(chan struct{})
	n.mu.Lock()
	n.suspended[address] = resumed
	n.mu.Unlock()
	time.Sleep(lasts)
	n.mu.Lock()
	delete(n.suspended, address)
	n.mu.Unlock()
	close(resumed)
}

// ReadFrom implements net.PacketConn.
func (c *fakeConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case content := <-c.inbox:
		c.network.awaitResumed(c.address.String())
		return copy(b, content), c.address, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (c *fakeConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := c.network
	n.mu.Lock()
	defer n.mu.Unlock()
	c.bytes, c.datagrams = c.bytes+len(b), c.datagrams+1
	receiver := n.conns[to.String()]
	if n.suspended[c.address.String()] != nil || (n.cut != nil && n.cut(c.address.String(), to.String())) {
		return len(b), nil
	}
	if receiver == nil || n.partition[c.address.String()] != n.partition[to.String()] || n.loses(c.address.String(), to.String()) {
		return len(b), nil
	}
	receiver.bytes, receiver.datagrams = receiver.bytes+len(b), receiver.datagrams+1
	content := slices.Clone(b)
	if n.observe != nil {
		n.observe(c.address.String(), to.String(), content)
	}
	time.AfterFunc(delay, func() {
		select {
		case receiver.inbox <- content:
		default:
		}
	})
	return len(b), nil
}

// loses reports whether the next datagram between two addresses is lost. That depends on the
// seed and the number of the datagram between these two alone: the order in which the
// goroutines of instances send at the same time differs between runs.
func (n *network) loses(from, to string) bool {
	pair := [2]string{from, to}
	n.sent[pair]++
	hash := xxhash.Sum64String(fmt.Sprint(n.seed, from, to))
	return rand.New(rand.NewPCG(hash, n.sent[pair])).Float64() < lossShare
}

// Close implements net.PacketConn.
func (c *fakeConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.network.conns[c.address.String()] == c {
		delete(c.network.conns, c.address.String())
		close(c.closed)
	}
	return nil
}
