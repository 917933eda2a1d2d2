package peers_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/peers"
)

// node is an instance on a loopback port whose clock the test controls.
type node struct {
	mu    sync.Mutex
	self  peers.Instance
	table *peers.Table
	conn  net.PacketConn
	skew  time.Duration
	proof *peers.Proof
	// provenEnd and provenAt are the latest proof received.
	provenEnd int64
	provenAt  boottime.Instant
}

func startNode(t *testing.T, name string) *node {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must.NoError(t, err)
	n := &node{conn: conn, self: peers.Instance{Name: name, Run: "1", Address: name, PeerAddress: conn.LocalAddr().String(), Ready: true}}
	n.table = peers.New(peers.Options{
		Name: name, Self: n.own, Now: n.now, OnProof: n.prove,
		OnPayload: func(*peers.Instance, *peers.Payload, boottime.Instant) {}, Clock: boottime.Now,
		OnPermit: func(*fleetlimit.Message) *fleetlimit.Message { return nil },
		Payload:  func() peers.Payload { return peers.Payload{} }, Prefill: func() map[string]int64 { return nil },
		Proof: n.ownProof,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.table.Run(ctx, conn) }()
	t.Cleanup(func() {
		cancel()
		must.NoError(t, <-done)
	})
	return n
}

func (n *node) own() peers.Instance {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

func (n *node) ownProof() *peers.Proof {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proof
}

func (n *node) prove(proof *peers.Proof, at boottime.Instant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.provenEnd, n.provenAt = proof.End, at
}

func (n *node) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.skew)
}

func (n *node) change(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(10*time.Millisecond)))
}

func (n *node) running() int { return len(n.table.Running()) }

func TestInstancesFindEachOtherFromOneRecord(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	must.Eq(t, 1, a.running())
	// Only b has read the record of a; a discovers b by its datagrams.
	b.table.Add(a.own())
	eventually(t, func() bool { return a.running() == 2 && b.running() == 2 })
	a.change(func() { a.self.Leaving = true })
	eventually(t, func() bool { return b.table.Running()[0].Leaving })
	must.Eq(t, 2, b.table.Known())
}

func TestSilentInstancesAreGone(t *testing.T) {
	a, b := startNode(t, "a"), startNode(t, "b")
	b.table.Add(a.own())
	eventually(t, func() bool { return b.running() == 2 })
	a.change(func() { a.self.Name = "" })
	// A datagram in transit may still arrive before the clock advances.
	eventually(t, func() bool {
		b.change(func() { b.skew += 2 * time.Second })
		return b.running() == 1
	})
	must.Eq(t, 2, b.table.Known())
}

func TestRecordsAloneDoNotMakeAnInstanceRun(t *testing.T) {
	a := startNode(t, "a")
	a.table.Add(peers.Instance{Name: "b", PeerAddress: "127.0.0.1:9"})
	must.Eq(t, 1, a.running())
	must.Eq(t, 2, a.table.Known())
}

// TestProofCountsFromWhatIsEchoed: the age of a proof counts from the sending of
// the echoed timestamp, so that its time in transit can't make it look newer.
func TestProofCountsFromWhatIsEchoed(t *testing.T) {
	const age = time.Second
	a, b := startNode(t, "a"), startNode(t, "b")
	a.change(func() { a.proof = &peers.Proof{End: 7, Age: age} })
	before := boottime.Now()
	b.table.Add(a.own())
	eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.provenEnd == 7
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	// What is echoed was sent between the start and now.
	must.GreaterEq(t, before-boottime.Instant(age), b.provenAt)
	must.LessEq(t, boottime.Now()-boottime.Instant(age), b.provenAt)
}

// TestDatagramThatWaitedProvesNothingNew: a datagram that stayed in the buffer of a
// suspended machine must not make its proof look recent.
func TestDatagramThatWaitedProvesNothingNew(t *testing.T) {
	b := startNode(t, "b")
	sender, err := net.Dial("udp4", b.own().PeerAddress)
	must.NoError(t, err)
	defer func() { must.NoError(t, sender.Close()) }()
	echoed := boottime.Now() - boottime.Instant(time.Hour)
	_, err = sender.Write(peers.EncodeProof("a", peers.Echo{Sent: 1, Echoed: echoed}, &peers.Proof{End: 3, Age: 5}))
	must.NoError(t, err)
	eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.provenEnd == 3
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	must.Eq(t, echoed-5, b.provenAt)
}

// TestLeadersChangeWhenTheStoreIsLost: an instance that has lost the store is
// replaced as a leader when its next datagram arrives.
func TestLeadersChangeWhenTheStoreIsLost(t *testing.T) {
	names := []string{"a", "b", "c"}
	nodes := map[string]*node{}
	for _, name := range names {
		nodes[name] = startNode(t, name)
	}
	for _, name := range names[1:] {
		nodes[name].table.Add(nodes["a"].own())
	}
	nodes["b"].table.Add(nodes["c"].own())
	eventually(t, func() bool { return nodes["c"].table.LeaderPosition() == 2 && nodes["a"].table.LeaderPosition() == 0 })
	must.Zero(t, nodes["a"].table.LeaderSilence())
	nodes["a"].change(func() { nodes["a"].self.StoreLost = true })
	nodes["a"].table.Announce()
	must.True(t, nodes["a"].table.LeadsByRank())
	eventually(t, func() bool { return nodes["c"].table.LeaderPosition() < peers.Leaders })
	nodes["c"].change(func() { nodes["c"].self.Weight = 9 })
	eventually(t, func() bool { return nodes["b"].table.LeaderPosition() == 1 })
}

// TestSilenceOfTheLeadersShows: when the leaders fall silent, LeaderSilence grows or
// the leaders change, which makes the other instances read from the store.
func TestSilenceOfTheLeadersShows(t *testing.T) {
	nodes := map[string]*node{}
	for _, name := range []string{"a", "b", "c"} {
		nodes[name] = startNode(t, name)
	}
	c := nodes["c"]
	c.table.Add(nodes["a"].own())
	c.table.Add(nodes["b"].own())
	eventually(t, func() bool { return c.table.LeaderPosition() == 2 && c.table.LeaderSilence() < time.Second })
	nodes["a"].change(func() { nodes["a"].self.Name = "" })
	nodes["b"].change(func() { nodes["b"].self.Name = "" })
	c.change(func() { c.skew += 1500 * time.Millisecond })
	eventually(t, func() bool { return c.table.LeaderSilence() > time.Second || c.table.LeaderPosition() < peers.Leaders })
}

// TestFewLeadWhereNoneIsReady: the instances agree on an order of leaders also when
// none is ready, as at the start of a fleet, and when all have lost the store.
// Otherwise all of them would read from the store at once.
func TestFewLeadWhereNoneIsReady(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	nodes := map[string]*node{}
	for _, name := range names {
		nodes[name] = startNode(t, name)
		nodes[name].change(func() { nodes[name].self.Ready = false })
	}
	for _, name := range names[1:] {
		nodes[name].table.Add(nodes["a"].own())
		nodes["a"].table.Add(nodes[name].own())
	}
	nodes["b"].table.Add(nodes["c"].own())
	nodes["b"].table.Add(nodes["d"].own())
	nodes["c"].table.Add(nodes["d"].own())
	positions := func() []int {
		var positions []int
		for _, name := range names {
			positions = append(positions, nodes[name].table.LeaderPosition())
		}
		return positions
	}
	eventually(t, func() bool { return slices.Equal(positions(), []int{0, 1, 2, 3}) })
	for _, name := range names {
		nodes[name].change(func() { nodes[name].self.StoreLost = true })
		nodes[name].table.Announce()
	}
	eventually(t, func() bool {
		lost := 0
		for _, name := range names {
			for _, i := range nodes[name].table.Running() {
				if i.StoreLost {
					lost++
				}
			}
		}
		return lost == len(names)*len(names) && slices.Equal(positions(), []int{0, 1, 2, 3})
	})
}

// TestOtherPartsMayAskWhileTheTableIsLocked guards against instances that hang for good: the
// quarantine and the gate of brittle servers ask while they hold their own locks.
func TestOtherPartsMayAskWhileTheTableIsLocked(t *testing.T) {
	n := startNode(t, "a")
	n.table.Add(peers.Instance{Name: "b", PeerAddress: "127.0.0.1:9"})
	peers.WithLock(n.table, func() {
		must.Eq(t, 2, n.table.Known())
		must.False(t, n.table.Large())
		must.Eq(t, "a", n.table.Coordinator("server"))
		n.table.Announce()
	})
}

// TestSendersAreTheBusyInstancesOfALargeFleet guards against taking all instances of a large
// fleet for senders, and against a wrong number where busy instances are unknown.
func TestSendersAreTheBusyInstancesOfALargeFleet(t *testing.T) {
	table := peers.New(peers.Options{Name: "self"})
	running := []peers.Instance{{Name: "self", Busy: true}}
	for i := range 40 {
		running = append(running, peers.Instance{Name: fmt.Sprint(i), Busy: i < 30})
	}
	for i := range 5 {
		table.Add(running[1+i])
	}
	peers.UpdateBusy(table, running[:6])
	must.Eq(t, 6, table.Senders())
	for i := range running {
		table.Add(running[i])
	}
	peers.UpdateBusy(table, running[:9])
	must.Eq(t, 9, table.Senders())
	running[0].Busy = false
	peers.UpdateBusy(table, running)
	must.Eq(t, 31, table.Senders(), must.Sprint("more than the receivers of load announcements"))
	peers.UpdateBusy(table, running[31:])
	must.Eq(t, 41, table.Senders(), must.Sprint("all known instances while none is busy"))
}
