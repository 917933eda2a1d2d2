// Package console serves the operators' console: server-rendered pages on
// which operators read the document in force and the state of the fleet,
// change the document by forms, sign it and publish it. The pages need no
// script and load nothing from outside.
package console

import (
	"context"
	"crypto/ed25519"
	"errors"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/transport/clientconn"
)

const (
	maxHeaderBytes = 16 << 10
	maxConnections = 64
	readTimeout    = 10 * time.Second
	idleTimeout    = time.Minute
)

// Options configures a console.
type Options struct {
	Log       eventlog.Log
	Instances InstanceList
	Status    StatusReader
	// Keys are the public keys of all operators.
	Keys signed.OperatorKeys
	// Operator is the name of the operator who signs with Key.
	Operator string
	Key      ed25519.PrivateKey
	// Listen is the address of the pages; HostNames are further accepted
	// values of the Host header.
	Listen    string
	HostNames []string
	Fleet     settings.ConsoleFleet
	Now       func() time.Time
	// Announce receives each new sign-in link.
	Announce func(url string)
}

// Server serves the pages.
type Server struct {
	opts Options
	// root is the random path prefix of all pages.
	root     string
	hosts    []string
	sessions *sessionStore
	follower *follower
	fleet    *fleetPoller
	history  *history
	routes   map[string]route

	loginMu    sync.Mutex
	loginToken string
}

// New returns a console. It sends no request before Run or Refresh is called.
func New(opts Options) *Server {
	s := &Server{
		opts:       opts,
		root:       "/" + newSecret()[:22],
		hosts:      acceptedHosts(opts.Listen, opts.HostNames),
		sessions:   newSessionStore(opts.Now),
		follower:   newFollower(opts.Log, opts.Keys, opts.Now),
		fleet:      newFleetPoller(&opts),
		history:    newHistory(opts.Log, opts.Keys, opts.Now),
		loginToken: newSecret(),
	}
	s.routes = s.allRoutes()
	return s
}

// acceptedHosts returns the accepted values of the Host header: the listen
// address, localhost with its port for a loopback address, and the given names.
func acceptedHosts(listen string, more []string) []string {
	hosts := []string{strings.ToLower(listen)}
	if address, err := netip.ParseAddrPort(listen); err == nil && address.Addr().IsLoopback() {
		hosts = append(hosts, net.JoinHostPort("localhost", strconv.Itoa(int(address.Port()))))
	}
	for _, name := range more {
		hosts = append(hosts, strings.ToLower(name))
	}
	return hosts
}

// Run serves the pages on a listener and updates what they show until ctx
// ends. It closes the listener.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	server := &fasthttp.Server{
		Handler:               s.Handle,
		MaxRequestBodySize:    maxFormBytes,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
	}
	tracker := &clientconn.Tracker{Listener: listener}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.follower.run(ctx) })
	group.Go(func() error { return s.fleet.run(ctx) })
	group.Go(func() error { return s.history.run(ctx) })
	group.Go(func() error { return server.Serve(tracker) })
	group.Go(func() error {
		<-ctx.Done()
		return errors.Join(tracker.Stop(server, clientconn.StopTime), closeListener(listener))
	})
	s.opts.Announce(s.LoginURL())
	return group.Wait()
}

// closeListener closes a listener. Shutdown does not close it if it runs
// before Serve has registered the listener. A closed listener is no error.
func closeListener(listener net.Listener) error {
	if err := listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Refresh reads the fleet and the configuration stream once. An error means
// that the stream could not be read; it is of the kind eventlog.ErrUnavailable.
func (s *Server) Refresh(ctx context.Context) error {
	s.fleet.poll(ctx)
	return s.follower.step(ctx, 0)
}

func (s *Server) publisher() *configuration.Publisher {
	return &configuration.Publisher{Log: s.opts.Log, Keys: s.opts.Keys, Operator: s.opts.Operator, Key: s.opts.Key, Now: s.opts.Now}
}

// errKeyMismatch is the kind of error of a private key that does not match
// the listed public key.
var errKeyMismatch = merry.Sentinel("private key does not match the public key of the operator; correct operator.key_file, or list the right public key")

// CheckKey returns an error if the private key does not match the public key
// of the operator.
func CheckKey(keys signed.OperatorKeys, operator string, key ed25519.PrivateKey) error {
	public, ok := key.Public().(ed25519.PublicKey)
	if !ok || !public.Equal(keys[operator]) {
		return merry.Prependf(errKeyMismatch, "operator %q", operator)
	}
	return nil
}
