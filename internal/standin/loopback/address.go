package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
)

const (
	// defaultPort is the first port of Addresses where the range that the kernel uses for outgoing
	// connections and for listeners without a port has its default, 32768 to 60999. No common
	// service listens on the ports from here on at all addresses.
	defaultPort = 21300
	// portCount is the number of ports of Addresses, and lowestPort the first that needs no privilege.
	portCount  = 100
	lowestPort = 1024
	rangeFile  = "/proc/sys/net/ipv4/ip_local_port_range"
	// claimPort is the port that a process holds at claimHost while it uses a block.
	claimPort = 21299
	claimHost = 254
	// blockHosts is the number of addresses of a block that UniqueIP returns.
	blockHosts = 250
	// The blocks are the networks 127.x.y.0/24 with x from firstBlock and y from 0.
	firstBlock = 10
	blockRows  = 200
	blockCols  = 250
)

// blocks hands out loopback addresses, 250 from each block of this process.
var blocks struct {
	mu sync.Mutex
	// claims are the listeners that keep other processes from the blocks of this one until it ends.
	claims  []net.Listener
	network string
	used    int
	next    int
}

// UniqueIP returns a loopback address that no other caller gets, in this process or in another one
// that runs at the same time, so that all instances of concurrent tests can use the same ports.
func UniqueIP() string {
	blocks.mu.Lock()
	defer blocks.mu.Unlock()
	if blocks.used%blockHosts == 0 {
		claimBlock()
	}
	blocks.used++
	return fmt.Sprintf("%s.%d", blocks.network, 1+(blocks.used-1)%blockHosts)
}

// claimBlock takes a block that no running process uses. The search starts at the process ID, so
// that it rarely meets a block in use.
func claimBlock() {
	if blocks.claims == nil {
		blocks.next = os.Getpid()
	}
	for range blockRows * blockCols {
		n := blocks.next % (blockRows * blockCols)
		blocks.next++
		network := fmt.Sprintf("127.%d.%d", firstBlock+n/blockCols, n%blockCols)
		claim, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, claimHost, claimPort))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			panic(fmt.Sprintf("claim loopback addresses: %v", err))
		}
		blocks.claims, blocks.network = append(blocks.claims, claim), network
		return
	}
	panic("claim loopback addresses: all blocks are in use")
}

// FirstPort returns the first port of Addresses for the text of the kernel's range of ports: one below
// the range, so that the kernel does not choose it by itself. Where the range leaves no such port, it
// is the default.
func FirstPort(kernelRange string) int {
	var low int
	if _, err := fmt.Sscan(kernelRange, &low); err != nil || low-portCount < lowestPort {
		return defaultPort
	}
	return min(defaultPort, low-portCount)
}

var firstPort = sync.OnceValue(func() int {
	text, err := os.ReadFile(rangeFile)
	if err != nil {
		return defaultPort
	}
	return FirstPort(string(text))
})

// Addresses returns addresses on one unique loopback IP for processes that listen later. Nothing
// else listens on them in the meantime: no other test gets the IP, and the kernel does not choose
// the ports by itself.
func Addresses(count int) []string {
	ip := UniqueIP()
	addresses := make([]string, count)
	for n := range addresses {
		addresses[n] = net.JoinHostPort(ip, strconv.Itoa(firstPort()+n))
	}
	return addresses
}

// Address returns one address as Addresses does.
func Address() string { return Addresses(1)[0] }
