package browser

import (
	"context"
	"crypto/ed25519"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/settings"
	"medlarslip/internal/protocol/signed"
	"medlarslip/internal/standin/logservice"
	"medlarslip/internal/state/requests"
	"medlarslip/internal/transport/adminapi"
	"medlarslip/internal/transport/console"
	"medlarslip/internal/transport/httpconn"
)

// fleet is a simulated log service, the status pages of three entry instances that
// follow the configuration, and the console of the operator anna.
type fleet struct {
	log     *logservice.Service
	keys    signed.OperatorKeys
	private map[string]ed25519.PrivateKey
	console *console.Server
}

func newFleet(t *testing.T, doc *document.Document) *fleet {
	f := &fleet{log: logservice.New(0), keys: signed.OperatorKeys{}, private: map[string]ed25519.PrivateKey{}}
	for i, name := range []string{"anna", "ben"} {
		seed := make([]byte, ed25519.SeedSize)
		seed[0] = byte(i)
		f.private[name] = ed25519.NewKeyFromSeed(seed)
		f.keys[name] = f.private[name].Public().(ed25519.PublicKey)
	}
	_, err := f.publisher("ben").Publish(t.Context(), nil, doc, "first configuration")
	must.NoError(t, err)
	f.startConsole(t)
	return f
}

func (f *fleet) publisher(operator string) *configuration.Publisher {
	return &configuration.Publisher{Log: f.log, Keys: f.keys, Operator: operator, Key: f.private[operator], Now: time.Now}
}

// publishAs publishes a change of the document in force.
func (f *fleet) publishAs(t *testing.T, operator, reason string, change func(*document.Document)) {
	publisher := f.publisher(operator)
	base, err := publisher.Load(t.Context())
	must.NoError(t, err)
	doc := document.Clone(base.Index.Document())
	change(doc)
	_, err = publisher.Publish(t.Context(), base, doc, reason)
	must.NoError(t, err)
}

// inForce returns the document in force.
func (f *fleet) inForce(t *testing.T) *configuration.InForce {
	current, err := f.publisher("anna").Load(t.Context())
	must.NoError(t, err)
	return current
}

// startEntry serves the admin API of an entry instance that follows the
// configuration, and returns its address.
func (f *fleet) startEntry(t *testing.T, id string) settings.MetricsAddress {
	store := configuration.NewStore(f.keys)
	admin := &adminapi.Server{Instance: id, Config: store, Explanations: requests.NewLog(), Leaving: func() bool { return false }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &fasthttp.Server{Handler: admin.Handle, CloseOnShutdown: true}
	inBackground(t, func(ctx context.Context) error { return configuration.NewFollower(store, f.log).Run(ctx) })
	inBackground(t, func(context.Context) error { return server.Serve(listener) })
	t.Cleanup(func() { must.NoError(t, server.Shutdown()) })
	return settings.MetricsAddress{Instance: id, Address: listener.Addr().String()}
}

// inBackground runs a function in a goroutine until the end of the test, and requires
// that it returns no error.
func inBackground(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { must.NoError(t, run(ctx)) })
	t.Cleanup(group.Wait)
	t.Cleanup(cancel)
}

// staticList serves a fixed instance list.
type staticList struct {
	list platform.InstanceList
}

func (l *staticList) Instances(context.Context) (*platform.InstanceList, error) {
	return &l.list, nil
}

func (f *fleet) startConsole(t *testing.T) {
	list := &staticList{}
	var addresses settings.ConsoleFleet
	addEntry := func(id, domain string) {
		list.list.Instances = append(list.list.Instances, platform.Instance{ID: id, Role: platform.RoleEntry, FailureDomain: domain, State: platform.InstanceLive})
		addresses.MetricsAddresses = append(addresses.MetricsAddresses, f.startEntry(t, id))
	}
	addEntry("entry-a1", "wdh-a")
	addEntry("entry-a2", "wdh-a")
	addEntry("entry-b1", "wdh-b")
	for _, server := range []platform.Instance{
		{ID: "engine-1", FailureDomain: "wdh-a", Serves: []string{"small-1", "small-2"}},
		{ID: "engine-2", FailureDomain: "wdh-b", Serves: []string{"small-1", "small-2"}},
		{ID: "engine-3", FailureDomain: "wdh-b", Serves: []string{"large-1"}},
	} {
		server.Role, server.State = platform.RoleEngine, platform.InstanceLive
		list.list.Instances = append(list.list.Instances, server)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	pool := httpconn.NewPool(httpconn.DefaultOptions())
	t.Cleanup(pool.Close)
	f.console = console.New(console.Options{
		Log: f.log, Instances: list, Status: console.NewStatusClient(pool), Keys: f.keys,
		Operator: "anna", Key: f.private["anna"], Listen: listener.Addr().String(),
		Fleet: addresses, Now: time.Now, Announce: func(string) {},
	})
	inBackground(t, func(ctx context.Context) error { return f.console.Run(ctx, listener) })
}
