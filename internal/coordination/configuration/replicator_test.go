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

// measure asks for the measurements at all fleet sizes.
var measure = flag.Bool("measure", false, "measure spread at all fleet sizes and print the table")

const (
	oneWay = 500 * time.Microsecond // delay of a message in virtual time
	// callOverhead is what one call costs beside the JSON of question and
	// answer: envelopes of jsonrpc2, lengths and TLS records, in bytes.
	callOverhead = 200
	documentSize = 10 << 10 // bytes of a document of the measurements
)

// simNetwork connects instances in virtual time and counts their bytes.
type simNetwork struct {
	names   []string
	spreads map[string]*configuration.Replicator
	stores  []*configuration.Store

	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	cut    func(from, to string) bool
	bytes  int64
}

// endpoint is the fabric as one instance sees it.
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

// Exchange implements configuration.Caller.
func (e endpoint) Exchange(_ context.Context, address string, question *configuration.Exchange) (*configuration.Exchange, error) {
	time.Sleep(oneWay)
	if e.lost(address) {
		return nil, errCut
	}
	answer := e.spreads[address].Answer(question)
	time.Sleep(oneWay)
	e.count(question, answer)
	return answer, nil
}

// lost reports whether a call does not arrive.
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

// takeBytesPerInstance returns the bytes counted since the last call, for each instance.
func (f *simNetwork) takeBytesPerInstance() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := f.bytes
	f.bytes = 0
	return total / int64(len(f.names))
}

func newSimNetwork(size int) *simNetwork {
	f := &simNetwork{spreads: map[string]*configuration.Replicator{}, random: rand.New(rand.NewPCG(1, 2)), cut: func(string, string) bool { return false }}
	for i := range size {
		name := fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250)
		store := configuration.NewStore(keysOf("anna"))
		f.names = append(f.names, name)
		f.stores = append(f.stores, store)
		end := endpoint{simNetwork: f, self: name}
		f.spreads[name] = configuration.NewReplicator(name, "1", store, end, end)
	}
	return f
}

// run starts all instances; the returned function ends them.
func (f *simNetwork) run(t *testing.T) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, spread := range f.spreads {
		running.Go(func() { _ = spread.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// behind returns how many instances have not a document in force.
func (f *simNetwork) behind(number int64) int {
	count := 0
	for _, store := range f.stores {
		if store.Digest().Number < number {
			count++
		}
	}
	return count
}

// waitForAll waits until all have a document in force and returns how long that
// took, at most limit.
func (f *simNetwork) waitForAll(number int64, limit time.Duration) time.Duration {
	start := time.Now()
	for f.behind(number) > 0 && time.Since(start) < limit {
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

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

// measurement are the results of one measurement.
type measurement struct {
	converged time.Duration
	idle      int64 // bytes a second sent by an instance without a change
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

// measurePolling measures the naive way: each instance asks all others for
// their whole document at the same interval.
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

// TestMeasureSpread prints convergence and bytes by fleet size beside the
// naive way. Without -measure it runs the smallest size only.
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
		spread, polling := measureSpread(t, size, docs), measurePolling(t, size, docs)
		t.Logf("| %d | exchange | %v | %d | %d |", size, spread.converged, spread.idle, spread.change)
		t.Logf("| %d | polling all | %v | %d | %d |", size, polling.converged, polling.idle, polling.change)
		must.Less(t, polling.idle, spread.idle)
		must.Less(t, 3*time.Second, spread.converged)
	}
}
