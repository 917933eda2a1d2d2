// Package instance puts together one entry instance from its settings.
package instance

import (
	"context"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/xid"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/drain"
	"medlarslip/internal/coordination/membership"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/session"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/adminapi"
	"medlarslip/internal/transport/callerapi"
	"medlarslip/internal/transport/engine"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
	"medlarslip/internal/transport/plainservice"
	"medlarslip/internal/transport/platformclient"
)

// logReadIdle bounds the silence of the log service, which holds reads that
// wait for the next record.
const logReadIdle = 20 * time.Second

// Instance is one entry instance.
type Instance struct {
	settings *settings.Entry
	callers  *fasthttp.Server
	admin    *fasthttp.Server
	drainer  *drain.Drainer
	// followers run until the last request is answered.
	followers []func(ctx context.Context) error
	// writers run until after that, so that nothing they hold is lost.
	writers []func(ctx context.Context) error
	pools   []*httpconn.Pool
}

// New puts together an instance; it opens no connection yet.
func New(s *settings.Entry, sharedKey []byte) (*Instance, error) {
	keys, err := s.Keys.PublicKeys()
	if err != nil {
		return nil, err
	}
	in := &Instance{settings: s}
	incarnation := xid.New().String()
	log := logclient.New(s.Platform.Log, in.pool(platformOptions(s)))
	platformClient := platformclient.New(s.Platform.Instances, s.Platform.Ratings, in.pool(platformOptions(s)))
	store := configuration.NewStore(keys)
	table := backends.NewTable()
	self := platform.Instance{ID: s.Instance, Address: s.Listen.Callers, ControlAddress: s.Listen.Peers, Role: platform.RoleEntry, FailureDomain: s.FailureDomain, State: platform.InstanceLive}
	members := membership.New(self, platformClient, table, s.Drain.EntriesTTL())
	bookings := claims.New(log, s.Instance, incarnation)
	bills := billing.New(log, s.Instance, incarnation)
	explanations := requests.NewLog()
	backendPool := in.pool(backendOptions(s))
	router := &dispatch.Router{
		FailureDomain: s.FailureDomain,
		Config:        store,
		Table:         table,
		Engines:       engine.New(backendPool),
		Services:      plainservice.New(backendPool),
		Rater:         platformClient,
		Bookings:      bookings,
		Biller:        bills,
		Cold:          coldstart.New(s.Instance, members.EntryIDs),
		Learner:       &rollout.Watcher{},
		Sessions:      session.NewSigner(sharedKey, time.Now),
		Explanations:  explanations,
		Now:           time.Now,
	}
	in.drainer = drain.New(drain.Steps{
		Leave:          members.Leave,
		Shutdown:       func(ctx context.Context) error { return in.callers.ShutdownWithContext(ctx) },
		EntriesTTL:     s.Drain.EntriesTTL(),
		LongestRequest: s.Drain.LongestRequest(),
	})
	callers := &callerapi.Server{Router: router, Config: store, Entries: members, Closing: in.drainer.Closing}
	in.callers = newServer(s, callers.Handle)
	admin := &adminapi.Server{Instance: s.Instance, Config: store, Explanations: explanations, Leaving: in.drainer.Closing}
	in.admin = newServer(s, admin.Handle)
	in.followers = []func(context.Context) error{configuration.NewFollower(store, log).Run, members.Run, bookings.Run}
	in.writers = []func(context.Context) error{bills.Run}
	return in, nil
}

func (in *Instance) pool(opts httpconn.Options) *httpconn.Pool {
	pool := httpconn.NewPool(opts)
	in.pools = append(in.pools, pool)
	return pool
}

func platformOptions(s *settings.Entry) httpconn.Options {
	opts := httpconn.DefaultOptions()
	opts.ConnectTimeout = s.Limits.ConnectTimeout()
	opts.IdleTimeout = logReadIdle
	return opts
}

func backendOptions(s *settings.Entry) httpconn.Options {
	opts := httpconn.DefaultOptions()
	opts.ConnectTimeout = s.Limits.ConnectTimeout()
	opts.IdleTimeout = s.Limits.StreamIdle()
	return opts
}

func newServer(s *settings.Entry, handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Name:                  "medlarslip",
		MaxRequestBodySize:    s.Limits.MaxBodyBytes,
		ReadBufferSize:        s.Limits.MaxHeaderBytes,
		Concurrency:           s.Limits.MaxConnections,
		MaxConnsPerIP:         s.Limits.MaxConnectionsPerIP,
		IdleTimeout:           s.Limits.StreamIdle(),
		WriteTimeout:          0,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
}

// Run serves until stop ends, and then carries out a planned stop. It returns
// nil once every request is answered and every record written.
func (in *Instance) Run(stop context.Context) error {
	callers, err := net.Listen("tcp", in.settings.Listen.Callers)
	if err != nil {
		return merry.Prepend(err, "listen to callers; check listen.callers")
	}
	admin, err := net.Listen("tcp", in.settings.Listen.Metrics)
	if err != nil {
		return merry.Prepend(err, "listen for metrics; check listen.metrics")
	}
	following, stopFollowing := context.WithCancel(context.Background())
	writing, stopWriting := context.WithCancel(context.Background())
	defer stopWriting()
	var group errgroup.Group
	group.Go(func() error { return in.callers.Serve(callers) })
	group.Go(func() error { return in.admin.Serve(admin) })
	goAll(following, &group, in.followers)
	goAll(writing, &group, in.writers)
	<-stop.Done()
	drainErr := in.drainer.Run(context.Background())
	stopFollowing()
	stopWriting()
	if err := in.admin.Shutdown(); err != nil {
		return err
	}
	groupErr := group.Wait()
	for _, pool := range in.pools {
		pool.Close()
	}
	if drainErr != nil {
		return merry.Prepend(drainErr, "planned stop")
	}
	return groupErr
}

func goAll(ctx context.Context, group *errgroup.Group, parts []func(context.Context) error) {
	for _, part := range parts {
		group.Go(func() error { return part(ctx) })
	}
}
