package capacity

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/sync/errgroup"

	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/coordination/loadwatch"
	"medlarslip/internal/coordination/membership"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
	"medlarslip/internal/transport/enginemetrics"
	"medlarslip/internal/transport/httpconn"
	"medlarslip/internal/transport/peer"
	"medlarslip/internal/transport/peergossip"
	"medlarslip/internal/transport/platformclient"
)

// Design is the kind of coordination that the nodes of a fleet use.
type Design string

const (
	// DesignMedlarslip is the coordination of this project.
	DesignMedlarslip Design = "medlarslip"
	// DesignNaive is the baseline: every instance polls the instance list and
	// all servers each second, and exchanges its full state with a random peer.
	DesignNaive Design = "naive"
)

// node is the coordination of one entry instance, without its request path.
type node struct {
	self     platform.Instance
	listener net.Listener
	server   *peer.Server
	client   *peer.Client
	pool     *httpconn.Pool
	table    *backends.Table
	gossip   *gossip.Node
	members  *membership.Members
	watcher  *loadwatch.Watcher
	naive    *naive
}

var fleetKey = []byte("capacity-run-only-32-bytes-long!")

func newNode(i int, st *standins) (*node, error) {
	id := fmt.Sprintf("entry-%03d", i)
	identity, err := peer.NewIdentity(fleetKey, id)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{
		listener: listener,
		server:   peer.NewServer(identity),
		client:   peer.NewClient(identity),
		pool:     httpconn.NewPool(httpconn.DefaultOptions()),
		table:    backends.NewTable(),
	}
	n.self = platform.Instance{
		ID: id, Address: fmt.Sprintf("10.0.%d.%d:8101", i/250, i%250), ControlAddress: listener.Addr().String(),
		Role: platform.RoleEntry, FailureDomain: domain(i), State: platform.InstanceLive,
	}
	n.assemble(st)
	return n, nil
}

func (n *node) assemble(st *standins) {
	list := platformclient.New(st.list.Addr().String(), "", n.pool)
	reader := enginemetrics.New(n.pool)
	n.gossip = gossip.New(gossip.Config{
		Self: gossip.Member{ID: n.self.ID, ControlAddress: n.self.ControlAddress, CallerAddress: n.self.Address, FailureDomain: n.self.FailureDomain},
		Run:  n.self.ID, Transport: peergossip.Transport{Client: n.client}, OnEntry: n.onEntry,
	})
	peergossip.Handle(n.server, n.gossip)
	n.members = membership.New(membership.Config{
		Self: n.self, Source: list, Gossip: n.gossip, Table: n.table, TTL: time.Second,
	})
	n.watcher = loadwatch.New(loadwatch.Config{
		Self: n.self.ID, EntryIDs: n.members.EntryIDs, Table: n.table, Reader: reader, Gossip: n.gossip,
	})
	n.naive = newNaive(n, list, reader)
}

func (n *node) onEntry(entry gossip.Entry, observed time.Time) {
	n.members.OnEntry(entry)
	n.watcher.OnEntry(entry, observed)
}

// run starts the node's tasks in group; they run until ctx ends.
func (n *node) run(ctx context.Context, design Design, group *errgroup.Group) {
	group.Go(func() error { return n.server.Serve(ctx, n.listener) })
	if design == DesignNaive {
		group.Go(func() error { return n.naive.run(ctx) })
		return
	}
	group.Go(func() error { return n.gossip.Run(ctx) })
	group.Go(func() error { return n.members.Run(ctx) })
	group.Go(func() error { return n.watcher.Run(ctx) })
}

func (n *node) close() {
	n.client.Close()
	n.pool.Close()
}
