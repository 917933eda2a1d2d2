package configuration_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/configuration"
	"medlarslip/internal/protocol/signed"
)

// measure enables the measurements at all fleet sizes.
var measure = flag.Bool("measure", false, "measure replication at all fleet sizes and print the table")

const (
	oneWay = 500 * time.Microsecond // delay of a message in virtual time
	// callOverhead is the size in bytes that one call adds to the JSON of request
	// and response: jsonrpc2 envelopes, lengths and TLS records.
	callOverhead = 200
	documentSize = 10 << 10 // bytes of a document in the measurements
)

// simNetwork is a simulated network that connects instances in virtual time and
// counts their bytes.
type simNetwork struct {
	names       []string
	replicators map[string]*configuration.Replicator
	stores      []*configuration.Store

	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	cut    func(from, to string) bool
	bytes  int64
}

// endpoint is the network interface of one instance.
type endpoint struct {
	*simNetwork
	self string
}

// PeerAddresses implements configuration.Peers.
func (e endpoint) PeerAddresses() []string {
	others := make([]string, 0, len(e.names))
	for _, name := range e.names {
		if name != e.self {
			others = append(others, name)
		}
	}
	return others
}

// Exchange implements configuration.Transport.
func (e endpoint) Exchange(_ context.Context, address string, question *configuration.Exchange) (*configuration.Exchange, error) {
	time.Sleep(oneWay)
	if e.lost(address) {
		return nil, errCut
	}
	answer := e.replicators[address].Answer(question)
	time.Sleep(oneWay)
	e.count(question, answer)
	return answer, nil
}

// lost reports whether a call is lost.
func (e endpoint) lost(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut(e.self, address) || e.random.Float64() < e.loss
}

func (f *simNetwork) count(question, answer *configuration.Exchange) {
	there, _ := json.Marshal(question)
	back, _ := json.Marshal(answer)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += int64(len(there) + len(back) + callOverhead)
}

// takeBytesPerInstance returns the mean bytes per instance since the last call,
// and resets the count.
func (f *simNetwork) takeBytesPerInstance() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := f.bytes
	f.bytes = 0
	return total / int64(len(f.names))
}

func newSimNetwork(size int) *simNetwork {
	f := &simNetwork{replicators: map[string]*configuration.Replicator{}, random: rand.New(rand.NewPCG(1, 2)), cut: func(string, string) bool { return false }}
	for i := range size {
		name := fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250)
		store := configuration.NewStore(keysOf("anna"))
		f.names = append(f.names, name)
		f.stores = append(f.stores, store)
		end := endpoint{simNetwork: f, self: name}
		f.replicators[name] = configuration.NewReplicator(name, "1", store, end, end)
	}
	return f
}

// run starts all instances; the returned function stops them.
func (f *simNetwork) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, replicator := range f.replicators {
		running.Go(func() { _ = replicator.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// behind returns the number of instances whose document in force is older than
// the given number.
func (f *simNetwork) behind(number int64) int {
	count := 0
	for _, store := range f.stores {
		if store.Digest().Number < number {
			count++
		}
	}
	return count
}

// waitForAll waits until no instance is behind a document, for at most limit, and
// returns the time it waited.
func (f *simNetwork) waitForAll(number int64, limit time.Duration) time.Duration {
	start := time.Now()
	for f.behind(number) > 0 && time.Since(start) < limit {
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// TestOneInstanceThatReadsTheLogBringsAllUpToDate guards against slow or
// incomplete replication when only one instance can read the log and calls are
// lost.
func TestOneInstanceThatReadsTheLogBringsAllUpToDate(t *testing.T) {
	cases := []struct {
		name  string
		loss  float64
		limit time.Duration
	}{
		{"all calls arrive", 0, 3 * time.Second},
		{"one call in twenty is lost", 0.05, 3 * time.Second},
		{"two calls in five are lost", 0.4, 14 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				docs := chain(t, 2)
				f := newSimNetwork(48)
				f.loss = tc.loss
				defer f.run(t)()
				for i, doc := range docs {
					must.NoError(t, f.stores[0].ApplyFromPeer(doc))
					must.Less(t, tc.limit, f.waitForAll(int64(i+1), time.Minute))
				}
			})
		})
	}
}

// TestRegionsApartForAnHourAgreeAgain guards against instances that keep a stale
// document after a long network partition between two regions.
func TestRegionsApartForAnHourAgreeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		docs := chain(t, 3)
		f := newSimNetwork(12)
		left := func(name string) bool { return slices.Contains(f.names[:6], name) }
		must.NoError(t, f.stores[0].ApplyFromPeer(docs[0]))
		defer f.run(t)()
		f.waitForAll(1, time.Minute)
		f.mu.Lock()
		f.cut = func(from, to string) bool { return left(from) != left(to) }
		f.mu.Unlock()
		must.NoError(t, f.stores[0].ApplyFromPeer(docs[1]))
		must.NoError(t, f.stores[0].ApplyFromPeer(docs[2]))
		time.Sleep(time.Hour)
		must.Eq(t, 6, f.behind(3))
		must.Zero(t, f.behind(1))
		f.mu.Lock()
		f.cut = func(string, string) bool { return false }
		f.mu.Unlock()
		must.Less(t, 14*time.Second, f.waitForAll(3, time.Minute))
	})
}

// measurement holds the results of one run.
type measurement struct {
	converged time.Duration
	idle      int64 // bytes per second sent by an instance without a change
	change    int64 // bytes sent by an instance for one change
}

const idleSeconds = 60

func measureSpread(t *testing.T, size int, docs []*signed.Envelope) (result measurement) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimNetwork(size)
		defer f.run(t)()
		must.NoError(t, f.stores[0].ApplyFromPeer(docs[0]))
		f.waitForAll(1, time.Minute)
		time.Sleep(time.Second)
		f.takeBytesPerInstance()
		time.Sleep(idleSeconds * time.Second)
		result.idle = f.takeBytesPerInstance() / idleSeconds
		must.NoError(t, f.stores[0].ApplyFromPeer(docs[1]))
		result.converged = f.waitForAll(2, time.Minute)
		result.change = f.takeBytesPerInstance()
	})
	return result
}

// measurePolling measures the naive alternative: each instance reads the whole
// document of all others at the same interval.
func measurePolling(t *testing.T, size int, docs []*signed.Envelope) (result measurement) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimNetwork(size)
		for _, store := range f.stores {
			must.NoError(t, store.ApplyFromPeer(docs[0]))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for i := range size {
			running.Go(func() { f.poll(ctx, i) })
		}
		time.Sleep(3 * configuration.PullInterval)
		result.idle = f.takeBytesPerInstance() / 3
		must.NoError(t, f.stores[0].ApplyFromPeer(docs[1]))
		result.converged = f.waitForAll(2, time.Minute)
		result.change = f.takeBytesPerInstance()
		cancel()
		running.Wait()
	})
	return result
}

func (f *simNetwork) poll(ctx context.Context, self int) {
	f.mu.Lock()
	offset := time.Duration(f.random.Int64N(int64(configuration.PullInterval)))
	f.mu.Unlock()
	time.Sleep(offset)
	for ctx.Err() == nil {
		for other, store := range f.stores {
			current := store.Current()
			if other == self {
				continue
			}
			if f.stores[self].Current().Envelope.Number < current.Envelope.Number {
				_ = f.stores[self].ApplyFromPeer(&current.Envelope)
			}
			f.mu.Lock()
			f.bytes += int64(len(current.Envelope.Document) + len(current.Envelope.Reason) + callOverhead)
			f.mu.Unlock()
		}
		time.Sleep(configuration.PullInterval)
	}
}

// TestMeasureSpread prints convergence time and bytes by fleet size, compared with
// polling, and checks that replication is fast and cheaper when idle. Without
// -measure it runs the smallest size only.
func TestMeasureSpread(t *testing.T) {
	sizes := []int{9}
	if *measure {
		sizes = []int{9, 50, 200, 410}
	}
	docs := chain(t, 2)
	docs[1].Reason = strings.Repeat("r", documentSize)
	must.NoError(t, signed.Sign(docs[1], operatorKey("anna")))
	docs[0].Reason = docs[1].Reason
	must.NoError(t, signed.Sign(docs[0], operatorKey("anna")))
	t.Log("| instances | way | in force everywhere after | bytes/s sent by an instance, idle | bytes sent by an instance for a change |")
	for _, size := range sizes {
		replication, polling := measureSpread(t, size, docs), measurePolling(t, size, docs)
		t.Logf("| %d | exchange | %v | %d | %d |", size, replication.converged, replication.idle, replication.change)
		t.Logf("| %d | polling all | %v | %d | %d |", size, polling.converged, polling.idle, polling.change)
		must.Less(t, polling.idle, replication.idle)
		must.Less(t, 3*time.Second, replication.converged)
	}
}
