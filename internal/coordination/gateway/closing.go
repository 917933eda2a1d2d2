package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

// closing tracks requests in progress through a planned stop.
type closing struct {
	begun    atomic.Bool
	inFlight sync.WaitGroup
}

// BeginClosing makes every further answer ask its client to open a new
// connection for the next request.
func (g *Gateway) BeginClosing() { g.closing.begun.Store(true) }

// WaitIdle waits until no request is in progress, for a bounded time. It
// reports whether none is.
func (g *Gateway) WaitIdle(limit time.Duration) bool {
	idle := make(chan struct{})
	go func() {
		g.closing.inFlight.Wait()
		close(idle)
	}()
	select {
	case <-idle:
		return true
	case <-time.After(limit):
		return false
	}
}
