package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// shutdownState tells how far a planned stop has come.
type shutdownState struct {
	closeConnections atomic.Bool
	refuseNew        atomic.Bool
	// base is the context of all requests.
	base   context.Context
	cancel context.CancelCauseFunc
}

func newShutdownState() *shutdownState {
	c := &shutdownState{}
	c.base, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// BaseContext is for http.Server: the context of all requests, which CancelInFlight
// ends.
func (g *Gateway) BaseContext(net.Listener) context.Context { return g.shutdown.base }

// StopKeepAlive makes every further answer ask its client to open a new
// connection for the next request.
func (g *Gateway) StopKeepAlive() { g.shutdown.closeConnections.Store(true) }

// RefuseNew refuses every further request, so that none is begun that the end
// of the process would cut.
func (g *Gateway) RefuseNew() { g.shutdown.refuseNew.Store(true) }

var errStopped = errors.New("instance stops and could wait no longer")

// CancelInFlight ends the requests that are still under way, so that what becomes of
// them is logged before the process ends.
func (g *Gateway) CancelInFlight() { g.shutdown.cancel(errStopped) }

// cancelOutcome says why a request ended with its context, before its time was over.
func cancelOutcome(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopped) {
		return "cut_by_stop"
	}
	return "client_gone"
}
