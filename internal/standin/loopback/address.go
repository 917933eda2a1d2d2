package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// allocated counts the addresses that this process was allocated.
var allocated atomic.Int64

// UniqueIP returns a loopback address that nothing else uses: another one for each
// call, up to 250 of them, and another range for each process. So all instances
// of all tests that run at the same time can have the same ports.
func UniqueIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, pid%250, 1+(allocated.Add(1)-1)%250)
}
