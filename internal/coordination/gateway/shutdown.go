package gateway

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
)

// shutdownState is the progress of a graceful shutdown.
type shutdownState struct {
	closeConnections atomic.Bool
	refuseNew        atomic.Bool
	// base is the parent of the contexts of all requests.
	base   context.Context
	cancel context.CancelCauseFunc
}

func newShutdownState() *shutdownState {
	c := &shutdownState{}
	c.base, c.cancel = context.WithCancelCause(context.Background())
	return c
}

// BaseContext returns the parent of the contexts of all requests, which
// CancelInFlight cancels. It is meant for http.Server.
func (g *Gateway) BaseContext(net.Listener) context.Context { return g.shutdown.base }

// StopKeepAlive sets "Connection: close" on every further response, so that
// clients open a new connection for the next request.
func (g *Gateway) StopKeepAlive() { g.shutdown.closeConnections.Store(true) }

// RefuseNew refuses every further request, so that none is in flight when the
// process exits.
func (g *Gateway) RefuseNew() {
	g.shutdown.refuseNew.Store(true)
	g.capacity.WakeAll()
}

// tooLateFor reports whether a request that no server has run must not be sent to one any
// more. Its body may have arrived, or a server may have become available, only after
// RefuseNew.
func (g *Gateway) tooLateFor(req *request) bool {
	return g.shutdown.refuseNew.Load() && !req.mayHaveRun
}

var errStopped = errors.New("instance stopped before the request was complete")

// CancelInFlight cancels the requests in flight, so that their clients get a final
// response, and their outcome is logged, before the process exits.
func (g *Gateway) CancelInFlight() { g.shutdown.cancel(errStopped) }

// cancelOutcome returns the outcome of a request whose context was cancelled
// before its deadline.
func cancelOutcome(ctx context.Context) string {
	if errors.Is(context.Cause(ctx), errStopped) {
		return "cut_by_stop"
	}
	return "client_gone"
}
