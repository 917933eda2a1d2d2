package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/gossip"
)

// network joins nodes in virtual time. Cut links are silent, as lost packets
// are.
type network struct {
	mu    sync.Mutex
	nodes map[string]*gossip.Node
	stops map[string]context.CancelFunc
	cut   func(from, to string) bool
	bytes int
	runs  sync.WaitGroup
	delay time.Duration
	// pairs holds who has called whom.
	pairs map[string]bool
}

type endpoint struct {
	net  *network
	from string
}

const oneWay = time.Millisecond

func (e endpoint) Exchange(ctx context.Context, address string, payload []byte) ([]byte, error) {
	e.net.mu.Lock()
	delay := e.net.delay
	e.net.pairs[e.from+">"+address] = true
	e.net.mu.Unlock()
	select {
	case <-time.After(oneWay + delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	e.net.mu.Lock()
	target := e.net.nodes[address]
	cut := e.net.cut != nil && e.net.cut(e.from, address)
	e.net.bytes += len(payload)
	e.net.mu.Unlock()
	if cut || target == nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answer, err := target.Receive(ctx, payload)
	time.Sleep(oneWay)
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.bytes += len(answer)
	if e.net.cut != nil && e.net.cut(address, e.from) {
		return nil, errors.New("answer lost")
	}
	return answer, err
}

func newNetwork(t *testing.T) *network {
	net := &network{nodes: map[string]*gossip.Node{}, stops: map[string]context.CancelFunc{}, pairs: map[string]bool{}}
	t.Cleanup(net.stopAll)
	return net
}

func (n *network) stopAll() {
	for _, stop := range n.stops {
		stop()
	}
	n.runs.Wait()
}

func id(i int) string { return fmt.Sprintf("entry-%03d", i) }

func member(i int) gossip.Member {
	return gossip.Member{ID: id(i), ControlAddress: id(i), CallerAddress: "callers-" + id(i), FailureDomain: "a"}
}

// start runs a node that the instance list shows count members.
func (n *network) start(i, count int, run string) *gossip.Node {
	node := gossip.New(gossip.Config{Self: member(i), Run: run, Transport: endpoint{n, id(i)}})
	var list []gossip.Member
	for j := range count {
		list = append(list, member(j))
	}
	node.Join(list)
	ctx, stop := context.WithCancel(context.Background())
	n.mu.Lock()
	n.nodes[id(i)], n.stops[id(i)] = node, stop
	n.mu.Unlock()
	n.runs.Go(func() { _ = node.Run(ctx) })
	return node
}

func (n *network) kill(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops[id(i)]()
	delete(n.nodes, id(i))
}

func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// states counts the members in a state in the view of each live node.
func (n *network) states(state gossip.State) map[string]int {
	counts := map[string]int{}
	for name, node := range n.nodes {
		counts[name] = 0
		for _, m := range node.Members() {
			if m.State == state {
				counts[name]++
			}
		}
	}
	return counts
}

func (n *network) requireStates(t *testing.T, state gossip.State, count int) {
	t.Helper()
	for name, got := range n.states(state) {
		must.Eq(t, count, got, must.Sprintf("%s sees %d members %s", name, got, state))
	}
}

// inVirtualTime runs a test of count nodes that have met.
func inVirtualTime(t *testing.T, count int, test func(net *network)) {
	synctest.Test(t, func(t *testing.T) {
		net := newNetwork(t)
		for i := range count {
			net.start(i, count, "first")
		}
		time.Sleep(20 * time.Second)
		net.requireStates(t, gossip.StateAlive, count)
		test(net)
		net.stopAll()
	})
}
