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
	"medlarslip/internal/transport/idlelisten"
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
	drainer    *drain.Drainer
}

// New builds an instance. It opens no connection.
func New(s *settings.Entry, sharedKey []byte) (*Instance, error) {
	parts, err := newAssembly(s, sharedKey)
	if err != nil {
		return nil, err
	}
	in := &Instance{assembly: parts}
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
	in.callers = newServer(s, callers.Handle)
	in.callers.ErrorHandler = callers.HandleError
	admin := &adminapi.Server{Instance: s.Instance, Config: parts.store, Explanations: parts.explanations, Leaving: in.drainer.Closing, Rollouts: parts.rollouts}
	in.admin = newServer(s, admin.Handle)
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

func newServer(s *settings.Entry, handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
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
	adminErr := in.admin.Shutdown()
	groupErr := group.Wait()
	for _, cleanup := range in.assembly.cleanups {
		cleanup()
	}
	logrus.Info("planned stop: done")
	return firstError(drainErr, adminErr, groupErr)
}

func (in *Instance) listen(ctx context.Context, group *errgroup.Group) error {
	addresses := in.assembly.settings.Listen
	callers, err := net.Listen("tcp", addresses.Callers)
	if err != nil {
		return merry.Prepend(err, "listen for callers; check listen.callers")
	}
	callers = idlelisten.Wrap(callers, in.assembly.settings.Limits.StreamIdle())
	if in.callersTLS != nil {
		callers = tls.NewListener(callers, in.callersTLS)
	}
	peers, err := net.Listen("tcp", addresses.Peers)
	if err != nil {
		return merry.Prepend(err, "listen for peers; check listen.peers")
	}
	admin, err := net.Listen("tcp", addresses.Metrics)
	if err != nil {
		return merry.Prepend(err, "listen for metrics; check listen.metrics")
	}
	group.Go(func() error { return in.callers.Serve(callers) })
	group.Go(func() error { return in.assembly.peerServer.Serve(ctx, peers) })
	group.Go(func() error { return in.admin.Serve(admin) })
	return nil
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
