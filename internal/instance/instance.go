// Package instance builds one entry instance from its settings and runs it.
package instance

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/drain"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/transport/adminapi"
	"medlarslip/internal/transport/callerapi"
	"medlarslip/internal/transport/clientconn"
	"medlarslip/internal/transport/tlsfiles"
)

// leavePropagationTime is the time within which the other instances receive the
// announcement that this one is leaving.
const leavePropagationTime = 3 * time.Second

// Instance is one entry instance.
type Instance struct {
	assembly *assembly
	callers  *fasthttp.Server
	// callersTLS is nil if callers use plain HTTP.
	callersTLS *tls.Config
	admin      *fasthttp.Server
	// adminConns is set once the instance listens.
	adminConns *clientconn.Tracker
	// refuseBody responds to callers whose request body was not read.
	refuseBody func(*fasthttp.RequestCtx, error)
	// dropAnswer replaces an answer that callers have no memory left for.
	dropAnswer   func(*fasthttp.RequestCtx)
	drainer      *drain.Drainer
	clientLimits *clientLimits
	connErrors   *connectionErrors
}

// New builds an instance. It opens no connection.
func New(s *settings.Entry, sharedKey []byte) (*Instance, error) {
	parts, err := newAssembly(s, sharedKey)
	if err != nil {
		return nil, err
	}
	in := &Instance{assembly: parts, clientLimits: newClientLimits(s), connErrors: &connectionErrors{}}
	parts.peerServer.Log = in.connErrors
	if in.callersTLS, err = callersTLS(s); err != nil {
		return nil, err
	}
	in.drainer = drain.New(drain.Steps{
		Leave:           parts.leave,
		Shutdown:        func(ctx context.Context) error { return in.callers.ShutdownWithContext(ctx) },
		PropagationTime: leavePropagationTime,
		EntriesTTL:      s.Drain.EntriesTTL(),
		LongestRequest:  s.Drain.LongestRequest(),
	})
	callers := &callerapi.Server{Router: parts.newRouter(), Config: parts.store, Entries: parts.members, Closing: in.drainer.Closing}
	in.callers = newServer(s, callers.Handle, in.connErrors)
	in.callers.ErrorHandler = callers.HandleError
	in.refuseBody, in.dropAnswer = callers.RefuseBody, callers.DropAnswer
	admin := &adminapi.Server{Instance: s.Instance, Config: parts.store, Explanations: parts.explanations, Leaving: in.drainer.Closing, Rollouts: parts.rollouts}
	in.admin = newServer(s, admin.Handle, in.connErrors)
	return in, nil
}

func callersTLS(s *settings.Entry) (*tls.Config, error) {
	if s.TLS == nil {
		return nil, nil
	}
	certificate, err := tlsfiles.LoadCertificate(s.TLS.CertificateFile, s.TLS.KeyFile)
	if err != nil {
		return nil, err
	}
	return certificate.ServerConfig(), nil
}

func newServer(s *settings.Entry, handler fasthttp.RequestHandler, logger fasthttp.Logger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Logger:                logger,
		MaxRequestBodySize:    s.Limits.MaxBodyBytes,
		ReadBufferSize:        s.Limits.MaxHeaderBytes,
		Concurrency:           s.Limits.MaxConnections,
		MaxConnsPerIP:         s.Limits.MaxConnectionsPerIP,
		ReadTimeout:           s.Limits.StreamIdle(),
		IdleTimeout:           s.Limits.StreamIdle(),
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
}

// Run serves until ctx ends and then shuts down gracefully. It returns nil once
// every request is answered and every record is written.
func (in *Instance) Run(ctx context.Context) error {
	var group errgroup.Group
	servingCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	writingCtx, stopWriting := context.WithCancel(context.Background())
	defer stopWriting()
	if err := in.listen(servingCtx, &group); err != nil {
		return err
	}
	logrus.WithFields(logrus.Fields{"instance": in.assembly.settings.Instance, "callers": in.assembly.settings.Listen.Callers}).Info("serving")
	startTasks(servingCtx, &group, in.assembly.servingTasks)
	startTasks(writingCtx, &group, in.assembly.writerTasks)
	<-ctx.Done()
	drainErr := in.drainer.Run(context.Background())
	stopServing()
	stopWriting()
	adminErr := in.adminConns.Stop(in.admin, clientconn.StopTime)
	groupErr := group.Wait()
	for _, cleanup := range in.assembly.cleanups {
		cleanup()
	}
	logrus.Info("planned stop: done")
	return firstError(drainErr, adminErr, groupErr)
}

func (in *Instance) listen(ctx context.Context, group *errgroup.Group) error {
	addresses := in.assembly.settings.Listen
	callers, err := in.open(ctx, addresses.Callers)
	if err != nil {
		return merry.Prepend(err, "listen for callers; check listen.callers")
	}
	callers = in.limitClients(in.callers, callers, in.refuseBody, in.dropAnswer)
	if in.callersTLS != nil {
		callers = newTLSListener(callers, in.callersTLS)
	}
	peers, err := in.open(ctx, addresses.Peers)
	if err != nil {
		return merry.Prepend(err, "listen for peers; check listen.peers")
	}
	admin, err := in.open(ctx, addresses.Metrics)
	if err != nil {
		return merry.Prepend(err, "listen for metrics; check listen.metrics")
	}
	in.adminConns = &clientconn.Tracker{Listener: in.limitClients(in.admin, admin, func(ctx *fasthttp.RequestCtx, err error) {
		ctx.Error("the request was not read: "+err.Error(), fasthttp.StatusServiceUnavailable)
	}, func(ctx *fasthttp.RequestCtx) {
		ctx.Error("the answer does not fit into the memory for clients", fasthttp.StatusBadGateway)
	})}
	group.Go(func() error { return in.callers.Serve(callers) })
	startTasks(ctx, group, []task{in.logClientLimits, in.connErrors.run})
	peers = in.limitPeers(peers)
	group.Go(func() error { return in.assembly.peerServer.Serve(ctx, peers) })
	group.Go(func() error { return in.admin.Serve(in.adminConns) })
	return nil
}

// open returns a listener that goes on after a lack of descriptors. With a limit of memory its
// connections have small buffers of the kernel.
func (in *Instance) open(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	if in.assembly.settings.Limits.MemoryMB > 0 {
		config.Control = clientconn.SmallBuffers
	}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return clientconn.Retry(listener), nil
}

func startTasks(ctx context.Context, group *errgroup.Group, tasks []task) {
	for _, run := range tasks {
		group.Go(func() error { return run(ctx) })
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
