package gateway

import "sync/atomic"

// closing tells how far a planned stop has come.
type closing struct {
	begun    atomic.Bool
	refusing atomic.Bool
}

// BeginClosing makes every further answer ask its client to open a new
// connection for the next request.
func (g *Gateway) BeginClosing() { g.closing.begun.Store(true) }

// RefuseNew refuses every further request, so that none is begun that the end
// of the process would cut.
func (g *Gateway) RefuseNew() { g.closing.refusing.Store(true) }
