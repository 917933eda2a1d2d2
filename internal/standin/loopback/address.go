package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// allocated counts the addresses that UniqueIP has returned in this process.
var allocated atomic.Int64

// UniqueIP returns a loopback address that no other caller uses. Addresses
// differ for up to 250 calls in one process, and each process has a range of
// its own, so all instances of concurrent tests can use the same ports.
func UniqueIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, pid%250, 1+(allocated.Add(1)-1)%250)
}
