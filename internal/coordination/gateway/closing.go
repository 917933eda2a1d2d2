package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// closing tells how far a planned stop has come.
type closing struct {
	begun    atomic.Bool
	refusing atomic.Bool
	// base is the context of all requests.
	base context.Context
	cut  context.CancelCauseFunc
}

func newClosing() *closing {
	c := &closing{}
	c.base, c.cut = context.WithCancelCause(context.Background())
	return c
}

// BaseContext is for http.Server: the context of all requests, which CutRest
// ends.
func (g *Gateway) BaseContext(net.Listener) context.Context { return g.closing.base }

// BeginClosing makes every further answer ask its client to open a new
// connection for the next request.
func (g *Gateway) BeginClosing() { g.closing.begun.Store(true) }

// RefuseNew refuses every further request, so that none is begun that the end
// of the process would cut.
func (g *Gateway) RefuseNew() { g.closing.refusing.Store(true) }

var errStopped = errors.New("instance stops and could wait no longer")

// CutRest ends the requests that are still under way, so that what becomes of
// them is logged before the process ends.
func (g *Gateway) CutRest() { g.closing.cut(errStopped) }

// cutOutcome says why a request ended with its context, before its time was over.
func cutOutcome(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopped) {
		return "cut_by_stop"
	}
	return "client_gone"
}
