package clientmemory_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/clientmemory"
)

// testBudget is a budget with a clock and limits that the test sets.
type testBudget struct {
	budget *clientmemory.Budget
	group  *clientmemory.Group
	now    time.Time
	limits clientmemory.Limits
	most   int
	// evicted lists the names of the connections that were evicted, with their phases.
	evicted []string
}

func newTestBudget(limits clientmemory.Limits, connections int) *testBudget {
	w := &testBudget{now: time.Unix(1000, 0), limits: limits, most: connections}
	w.budget = clientmemory.New(func() clientmemory.Limits { return w.limits }, func() time.Time { return w.now })
	w.group = w.budget.NewGroup(func() int { return w.most })
	return w
}

func (w *testBudget) open(t *testing.T, name, address string) *clientmemory.Holding {
	t.Helper()
	h, err := w.group.Open(address, func(p clientmemory.Phase) { w.evicted = append(w.evicted, name+" "+p.String()) })
	must.NoError(t, err)
	return h
}

// body opens a connection that has received n bytes of a body.
func (w *testBudget) body(t *testing.T, name, address string, n int64) *clientmemory.Holding {
	t.Helper()
	h := w.open(t, name, address)
	must.NoError(t, h.SetPhase(clientmemory.Body))
	must.NoError(t, h.Grow(n))
	return h
}

const kib = 1 << 10

// conn is what each connection holds itself.
const conn = clientmemory.ConnectionBytes

// A body that stalls must be evicted before one that makes progress, also if the latter is
// larger.
func TestStalledBodiesAreEvictedFirst(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: 3*conn + 200*kib}, 0)
	stalled := w.body(t, "stalled", "a", 10*kib)
	w.now = w.now.Add(clientmemory.StallTime)
	w.body(t, "progressing", "b", 150*kib)
	added := w.body(t, "added", "c", 40*kib)
	must.SliceEmpty(t, w.evicted)
	must.NoError(t, added.Grow(10*kib))
	must.Eq(t, []string{"stalled body"}, w.evicted)
	must.True(t, stalled.Evicted())
	must.ErrorIs(t, stalled.Grow(1), clientmemory.ErrEvicted)
	must.ErrorIs(t, stalled.SetPhase(clientmemory.Running), clientmemory.ErrEvicted)
	must.Eq(t, 1, w.budget.Evicted(clientmemory.Body))
}

// A request that may have been sent to a server must not be evicted, however long it takes.
func TestRunningRequestsAreNotEvicted(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: 2*conn + 100*kib}, 0)
	running := w.body(t, "running", "a", 100*kib)
	must.NoError(t, running.SetPhase(clientmemory.Running))
	w.now = w.now.Add(time.Hour)
	added := w.open(t, "added", "b")
	must.ErrorIs(t, added.Grow(1), clientmemory.ErrFull)
	must.SliceEmpty(t, w.evicted)
	must.False(t, running.Evicted())
	running.BeginWriting()
	w.now = w.now.Add(clientmemory.StallTime)
	must.NoError(t, added.Grow(1))
	must.Eq(t, []string{"running response"}, w.evicted)
}

// The clients of one address must not occupy all memory: without stalled connections, those of the
// address that holds most are evicted, and only for an address that holds less.
func TestAddressesShareTheLimit(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: 12*conn + 200*kib}, 0)
	var large []*clientmemory.Holding
	for n := range 10 {
		large = append(large, w.body(t, fmt.Sprint("large", n), "a", 22*kib))
		w.now = w.now.Add(time.Millisecond)
	}
	must.ErrorIs(t, large[9].Grow(20*kib), clientmemory.ErrFull)
	other := w.body(t, "other", "b", 10*kib)
	must.NoError(t, other.Grow(10*kib))
	must.Eq(t, []string{"large0 body"}, w.evicted)
}

// The connections of one address must leave a part of the limit to others.
func TestShareOfOneAddress(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: 400 * kib, AddressBytes: 300 * kib}, 0)
	h := w.body(t, "first", "a", 250*kib)
	w.body(t, "other", "b", 10*kib)
	must.ErrorIs(t, h.Grow(100*kib), clientmemory.ErrAddressFull)
	w.body(t, "another", "b", 40*kib)
	must.SliceEmpty(t, w.evicted)
}

// The only address may use the whole limit.
func TestOnlyAddressHasNoShare(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: 400 * kib, AddressBytes: 300 * kib}, 0)
	h := w.body(t, "first", "a", 250*kib)
	must.NoError(t, h.Grow(100*kib))
	w.open(t, "other", "b").Close()
	must.NoError(t, h.Grow(10*kib))
	w.open(t, "another", "b")
	must.ErrorIs(t, h.Grow(1*kib), clientmemory.ErrAddressFull)
}

// A connection between two requests must not be evicted before stalled bodies and headers.
func TestConnectionsBetweenRequestsAreEvictedLast(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 4)
	for _, name := range []string{"waiting1", "waiting2"} {
		h := w.open(t, name, "a")
		must.NoError(t, h.SetPhase(clientmemory.Running))
		must.NoError(t, h.SetPhase(clientmemory.Idle))
		w.now = w.now.Add(time.Minute)
	}
	w.body(t, "body", "b", kib)
	must.NoError(t, w.open(t, "header", "c").Received(10))
	w.now = w.now.Add(clientmemory.StallTime)
	for n := range 3 {
		must.NoError(t, w.open(t, "new", fmt.Sprint(n)).SetPhase(clientmemory.Running))
	}
	must.SliceContainsAll(t, w.evicted[:2], []string{"body idle", "header idle"})
	must.Eq(t, []string{"waiting1 idle"}, w.evicted[2:])
}

// Connections that send nothing must make room for new ones, those of the address with most
// connections first.
func TestConnectionsAreBounded(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 10)
	w.open(t, "single", "b")
	for n := range 9 {
		w.now = w.now.Add(time.Millisecond)
		w.open(t, fmt.Sprint("many", n), "a")
	}
	w.now = w.now.Add(time.Minute)
	w.open(t, "new", "c")
	must.Eq(t, []string{"many0 idle"}, w.evicted)
	// Without stalled connections, a new one of the address that has most is refused.
	w.now = w.now.Add(-time.Minute)
	_, err := w.group.Open("a", func(clientmemory.Phase) {})
	must.ErrorIs(t, err, clientmemory.ErrAddressFull)
	w.open(t, "another", "d")
	must.Eq(t, []string{"many0 idle", "many1 idle"}, w.evicted)
}

// A connection whose body was evicted keeps its descriptor until it is closed, so it must count
// for the maximum until then.
func TestEvictedBodiesCountUntilTheyAreClosed(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: 2*conn + 20*kib}, 2)
	body := w.body(t, "body", "a", 20*kib)
	w.now = w.now.Add(clientmemory.StallTime)
	other := w.body(t, "other", "b", 10*kib)
	must.Eq(t, []string{"body body"}, w.evicted)
	must.NoError(t, other.SetPhase(clientmemory.Running))
	_, err := w.group.Open("c", func(clientmemory.Phase) {})
	must.Error(t, err)
	body.Close()
	body.Close()
	w.open(t, "new", "c")
	_, err = w.group.Open("d", func(clientmemory.Phase) {})
	must.Error(t, err)
}

// Connections to one listener must not make an address lose connections to another one.
func TestListenersCountTheirOwnConnections(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 3)
	elsewhere := w.budget.NewGroup(func() int { return 0 })
	for range 5 {
		_, err := elsewhere.Open("b", func(clientmemory.Phase) {})
		must.NoError(t, err)
	}
	w.open(t, "single", "b")
	w.open(t, "many1", "a")
	w.now = w.now.Add(time.Millisecond)
	w.open(t, "many2", "a")
	w.open(t, "new", "c")
	must.Eq(t, []string{"many1 idle"}, w.evicted)
}

// The connections of peers must neither be refused at the limit nor count for it.
func TestExemptAddresses(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 2)
	w.group.Exempt(func(address string) bool { return address == "peer" })
	for n := range 3 * 410 {
		w.open(t, fmt.Sprint("peer", n), "peer")
	}
	w.now = w.now.Add(time.Minute)
	w.open(t, "first", "a")
	w.open(t, "second", "b")
	must.SliceEmpty(t, w.evicted)
	_, err := w.group.Open("a", func(clientmemory.Phase) {})
	must.Error(t, err)
	must.SliceEmpty(t, w.evicted)
	must.Eq(t, int64((3*410+2)*conn), w.budget.Used())
}

// With more addresses than the limit, an address without a connection must get the error after which a listener
// waits for one to end, and an address that has one must be refused.
func TestNewAddressesWaitAtTheLimit(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 4)
	for n := range 4 {
		must.NoError(t, w.open(t, fmt.Sprint(n), fmt.Sprint(n)).SetPhase(clientmemory.Running))
	}
	_, err := w.group.Open("new", func(clientmemory.Phase) {})
	must.ErrorIs(t, err, clientmemory.ErrFull)
	_, err = w.group.Open("0", func(clientmemory.Phase) {})
	must.ErrorIs(t, err, clientmemory.ErrAddressFull)
}

// A body that is evicted for a connection is closed, since only that frees its descriptor.
func TestEvictionForConnectionClosesBodies(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 1)
	w.body(t, "body", "a", 10)
	w.now = w.now.Add(time.Minute)
	w.open(t, "new", "b")
	must.Eq(t, []string{"body idle"}, w.evicted)
}

// Headers count as they arrive, and no longer once the connection is idle again.
func TestHeadersCountUntilTheEndOfTheRequest(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{Bytes: conn + 20*kib}, 0)
	h := w.open(t, "client", "a")
	must.NoError(t, h.Received(10*kib))
	must.ErrorIs(t, h.Received(1), clientmemory.ErrFull)
	must.NoError(t, h.SetPhase(clientmemory.Running))
	must.NoError(t, h.Received(10*kib))
	must.NoError(t, h.SetPhase(clientmemory.Idle))
	must.Eq(t, int64(conn), w.budget.Used())
	must.NoError(t, h.Received(10*kib))
	h.Close()
	h.Close()
	must.Zero(t, w.budget.Used())
}

// A server that keeps the buffers of a header for the next request must not hold them uncounted between
// two requests, nor those of a handshake; a smaller header after it must not count again.
func TestKeptBuffersCountBetweenRequests(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 0)
	w.group.AddBytes(8 * kib)
	w.group.KeepHeaders()
	h := w.open(t, "", "a")
	must.NoError(t, h.Received(3*kib))
	h.KeepReceived()
	const base = conn + 8*kib + 2*3*kib
	for _, header := range []int{5 * kib, kib} {
		// A part of the body arrives with the header.
		must.NoError(t, h.Received(header+2*kib))
		must.NoError(t, h.BeginRequest(int64(header)))
		must.Eq(t, int64(base+2*5*kib+clientmemory.RequestBytes), w.budget.Used())
		must.NoError(t, h.SetPhase(clientmemory.Idle))
		must.Eq(t, int64(base+2*5*kib), w.budget.Used())
	}
	h.Close()
	must.Zero(t, w.budget.Used())
}

// The part of a body that arrives with the header must not count twice, as header and as body.
func TestBodyThatArrivesWithItsHeader(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 0)
	h := w.open(t, "client", "a")
	must.NoError(t, h.Received(4*kib))
	must.NoError(t, h.SetPhase(clientmemory.Running))
	must.NoError(t, h.BeginRequest(kib))
	must.Eq(t, int64(conn+2*kib+clientmemory.RequestBytes), w.budget.Used())
}

// Without a limit nothing is refused, and a missing holding has no limit.
func TestNoLimit(t *testing.T) {
	w := newTestBudget(clientmemory.Limits{}, 0)
	must.NoError(t, w.body(t, "client", "a", 1<<40).Grow(1<<40))
	h := clientmemory.FromContext(context.Background())
	must.NoError(t, h.Grow(1<<40))
	must.NoError(t, h.SetPhase(clientmemory.Body))
	h.Shrink(1)
	must.False(t, h.Evicted())
}

// What is accounted for must never exceed the limit and must be zero at the end, in any order
// of concurrent calls.
func TestConcurrentHoldings(t *testing.T) {
	const limit = 60 * conn
	budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{Bytes: limit, AddressBytes: limit / 2} }, time.Now)
	group := budget.NewGroup(func() int { return 40 })
	var clients sync.WaitGroup
	for n := range 32 {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(uint64(n), 1))
			for range 300 {
				h, err := group.Open(fmt.Sprint(random.IntN(5)), func(clientmemory.Phase) {})
				if err != nil {
					continue
				}
				_ = h.SetPhase(clientmemory.Phase(random.IntN(3)))
				for range random.IntN(5) {
					_ = h.Grow(random.Int64N(4 * conn))
				}
				if used := budget.Used(); used > limit+32*4*conn || used < 0 {
					t.Errorf("%d bytes are accounted for", used)
				}
				h.Shrink(random.Int64N(conn))
				h.Close()
			}
		})
	}
	clients.Wait()
	must.Zero(t, budget.Used())
	h, err := group.Open("last", func(clientmemory.Phase) {})
	must.NoError(t, err)
	must.NoError(t, h.Grow(limit/4))
}

// Decisions at the limit are made for each piece of a body, so they must be cheap with many
// connections.
func BenchmarkGrowAtTheLimit(b *testing.B) {
	budget := clientmemory.New(func() clientmemory.Limits { return clientmemory.Limits{Bytes: 1400 * conn} }, time.Now)
	group := budget.NewGroup(func() int { return 0 })
	var last *clientmemory.Holding
	for n := range 1400 {
		h, err := group.Open(fmt.Sprint(n%7), func(clientmemory.Phase) {})
		must.NoError(b, err)
		_ = h.SetPhase(clientmemory.Running)
		last = h
	}
	for b.Loop() {
		_ = last.Grow(conn)
	}
}
