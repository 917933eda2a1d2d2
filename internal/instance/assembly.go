package instance

import (
	"context"
	"time"

	"github.com/rs/xid"

	"medlarslip/internal/coordination/audit"
	"medlarslip/internal/coordination/billing"
	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/coldstart"
	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/coordination/loadwatch"
	"medlarslip/internal/coordination/membership"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/logclient"
	"medlarslip/internal/transport/peer"
	"medlarslip/internal/transport/platformclient"
	"medlarslip/internal/transport/tlsfiles"
)

// logReadTimeout bounds the silence of the log service, which delays the response
// to a read that waits for the next record.
const logReadTimeout = 20 * time.Second

// task runs a part of an instance until ctx ends.
type task func(ctx context.Context) error

// assembly holds the parts of an instance. Each file of this package adds the
// parts of one concern.
type assembly struct {
	settings    *settings.Entry
	sharedKey   []byte
	incarnation string

	log          eventlog.Log
	platform     *platformclient.Client
	backendPool  *httpconn.Pool
	peerServer   *peer.Server
	peerClient   *peer.Client
	store        *configuration.Store
	budget       *eventlog.Budget
	trail        *audit.Trail
	table        *backends.Table
	gossip       *gossip.Node
	members      *membership.Members
	cold         *coldstart.Policy
	watcher      *loadwatch.Watcher
	bookings     *claims.Coordinator
	bills        *billing.Writer
	explanations *requests.Log
	decisions    decisions

	// servingTasks run until the last request is answered.
	servingTasks []task
	// writerTasks are stopped after the servingTasks, so that no record that
	// they still hold is lost.
	writerTasks []task
	// cleanups release the remaining resources after all tasks have ended.
	cleanups []func()
}

func newAssembly(s *settings.Entry, sharedKey []byte) (*assembly, error) {
	identity, err := peer.NewIdentity(sharedKey, s.Instance)
	if err != nil {
		return nil, err
	}
	a := &assembly{
		settings:     s,
		sharedKey:    sharedKey,
		incarnation:  xid.New().String(),
		peerServer:   peer.NewServer(identity),
		peerClient:   peer.NewClient(identity),
		table:        backends.NewTable(),
		explanations: requests.NewLog(),
	}
	a.cleanups = append(a.cleanups, a.peerClient.Close)
	a.log = logclient.New(s.Platform.Log, a.newPool(a.platformOptions()))
	a.platform = platformclient.New(s.Platform.Instances, s.Platform.Ratings, a.newPool(a.platformOptions()))
	if a.backendPool, err = a.newBackendPool(); err != nil {
		return nil, err
	}
	if err := a.addConfiguration(); err != nil {
		return nil, err
	}
	a.addFleet()
	a.addDecisions()
	a.addBookings()
	return a, nil
}

func (a *assembly) newPool(opts httpconn.Options) *httpconn.Pool {
	pool := httpconn.NewPool(opts)
	a.cleanups = append(a.cleanups, pool.Close)
	return pool
}

func (a *assembly) platformOptions() httpconn.Options {
	opts := httpconn.DefaultOptions()
	opts.ConnectTimeout = a.settings.Limits.ConnectTimeout()
	opts.IdleTimeout = logReadTimeout
	return opts
}

// newBackendPool returns the pool of connections to backend servers. They use TLS
// if the settings name a file with their certificate authorities.
func (a *assembly) newBackendPool() (*httpconn.Pool, error) {
	opts := httpconn.DefaultOptions()
	opts.ConnectTimeout = a.settings.Limits.ConnectTimeout()
	opts.IdleTimeout = a.settings.Limits.StreamIdle()
	files := a.settings.TLS
	if files != nil && files.BackendCAFile != "" {
		authorities, err := tlsfiles.LoadAuthorities(files.BackendCAFile)
		if err != nil {
			return nil, err
		}
		opts.TLS = authorities.ClientConfig
	}
	return a.newPool(opts), nil
}
