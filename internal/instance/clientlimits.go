package instance

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/state/clientmemory"
	"medlarslip/internal/transport/clientconn"
	"medlarslip/internal/transport/idlelisten"
)

// Counters of callers that met a limit on memory or connections.
var (
	evictedClients = expvar.NewInt("clients_evicted")
	refusedClients = expvar.NewInt("clients_refused")
	unreadClients  = expvar.NewInt("clients_unread")
)

// clientLimitsInterval is the time between two log lines on callers that met a limit. A line
// for each of them would let such callers fill the log.
const clientLimitsInterval = time.Second

// clientLimits accounts for what callers make an instance hold.
type clientLimits struct {
	budget *clientmemory.Budget
	unread atomic.Int64
}

func newClientLimits(s *settings.Entry) *clientLimits {
	all, address := s.Limits.ClientBytes()
	limits := clientmemory.Limits{Bytes: all, AddressBytes: address}
	return &clientLimits{budget: clientmemory.New(func() clientmemory.Limits { return limits }, time.Now)}
}

// limitClients returns a listener that accounts for what its clients make the instance hold,
// and installs the handler that does so for bodies and responses. Without a limit of memory it only ends writes
// that block, since a planned stop waits for all connections.
func (in *Instance) limitClients(server *fasthttp.Server, listener net.Listener, refuse func(*fasthttp.RequestCtx, error), drop func(*fasthttp.RequestCtx)) net.Listener {
	limits := in.assembly.settings.Limits
	if limits.MemoryMB == 0 {
		return idlelisten.Wrap(listener, limits.StreamIdle())
	}
	group := in.clientLimits.budget.NewGroup(func() int { return limits.MaxConnections })
	// fasthttp keeps a buffer for the largest header that is allowed, and the fields of the last one.
	group.AddBytes(int64(limits.MaxHeaderBytes))
	group.KeepHeaders()
	limited := &clientconn.Listener{
		Listener: listener, Group: group,
		WriteTimeout: limits.StreamIdle(), Unread: func() { in.clientLimits.unread.Add(1) },
	}
	handler := &clientconn.BodyHandler{Next: server.Handler, Refuse: refuse, Drop: drop, MaxBody: limits.MaxBodyBytes}
	handler.Install(server, limited)
	return limited
}

// newTLSListener returns a listener for TLS that accounts for its state if the inner one accounts for
// connections.
func newTLSListener(inner net.Listener, config *tls.Config) net.Listener {
	if limited, ok := inner.(*clientconn.Listener); ok {
		return clientconn.NewTLSListener(limited, config)
	}
	return tls.NewListener(inner, config)
}

// limitPeers returns a listener for peers that accounts for connections until the caller is
// authenticated. Without a limit of memory it changes nothing.
func (in *Instance) limitPeers(listener net.Listener) net.Listener {
	limits := in.assembly.settings.Limits
	if limits.MemoryMB == 0 {
		return listener
	}
	group := in.clientLimits.budget.NewGroup(limits.MaxHandshakes)
	group.AddBytes(clientmemory.HandshakeBytes)
	in.assembly.peerServer.Authenticated = clientconn.Trust
	return &clientconn.Listener{Listener: listener, Group: group, WriteTimeout: limits.StreamIdle()}
}

// logClientLimits counts the callers that met a limit, and logs them if there are any.
func (in *Instance) logClientLimits(ctx context.Context) error {
	budget := in.clientLimits.budget
	var last [3]int64
	pause.Every(ctx, clientLimitsInterval, func() {
		evicted := budget.Evicted(clientmemory.Idle) + budget.Evicted(clientmemory.Body) + budget.Evicted(clientmemory.Writing)
		counts := [3]int64{evicted, budget.Refused(), in.clientLimits.unread.Load()}
		if counts == last {
			return
		}
		fields := logrus.Fields{"held_bytes": budget.Used()}
		for i, counter := range []*expvar.Int{evictedClients, refusedClients, unreadClients} {
			counter.Add(counts[i] - last[i])
			fields[[]string{"evicted", "refused", "unread"}[i]] = counts[i] - last[i]
		}
		last = counts
		logrus.WithFields(fields).Warn("callers exceed the memory or connections that this instance has for them")
	})
	return nil
}
