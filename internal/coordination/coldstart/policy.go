// Package coldstart bounds what the whole fleet sends to a backend server that
// has just started. One entry instance, the holder of a lease on the server,
// grants slots; the order of the leases stream decides who that is. Where it
// is in doubt nobody grants, and warm servers carry on.
package coldstart

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/pause"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
)

// Counters of this package.
var (
	grantedSlots   = expvar.NewInt("cold_slots_granted")
	refusedSlots   = expvar.NewInt("cold_slots_refused")
	leaseAppends   = expvar.NewInt("cold_lease_appends")
	leasesHeld     = expvar.NewInt("cold_leases_held")
	warmedServers  = expvar.NewInt("cold_servers_warmed")
	cooledServers  = expvar.NewInt("cold_servers_cooled")
	failedLeaseOps = expvar.NewInt("cold_lease_append_failures")
)

const (
	// acquireTimeout bounds the wait for a slot.
	acquireTimeout = 300 * time.Millisecond
	// refusalBackoff is how long a cold server that had no slot is left out.
	refusalBackoff = 50 * time.Millisecond
)

// Members is what the policy needs to know of the fleet.
type Members interface {
	// EntryIDs returns the entry instances that live.
	EntryIDs() []string
	// ControlAddress returns where an entry instance listens to its peers.
	ControlAddress(id string) (string, bool)
}

// Gossip spreads what was found out about warmth.
type Gossip interface {
	Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, urgent bool)
	Get(kind gossip.Kind, key string) (gossip.Entry, time.Time, bool)
}

// Peers calls other entry instances.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config is what a Policy is made of.
type Config struct {
	Instance    string
	Incarnation string
	Log         eventlog.Log
	Members     Members
	Gossip      Gossip
	Peers       Peers
	Table       *backends.Table
	// Index returns the document in force, or nil.
	Index func() *document.Index
	// LongestCall bounds one call to a backend server.
	LongestCall time.Duration
}

// Policy is the cold start policy of one instance. It is safe for concurrent
// use. Calls to warm servers take no lock of it.
type Policy struct {
	config Config

	mu      sync.Mutex
	grantor *grantor
	// backoffUntil is until when a cold server is left out, by server.
	backoffUntil map[string]time.Time
	badCalls     map[string]int
	claimedAt    map[string]time.Time
	markedColdAt time.Time
	leaving      bool

	// wake asks for leases to be looked after at once.
	wake chan struct{}
}

// New returns a policy that holds no lease.
func New(config Config) *Policy {
	return &Policy{
		config:       config,
		grantor:      newGrantor(holderID{config.Instance, config.Incarnation}, config.LongestCall),
		backoffUntil: map[string]time.Time{},
		badCalls:     map[string]int{},
		claimedAt:    map[string]time.Time{},
		wake:         make(chan struct{}, 1),
	}
}

// Bound returns how many calls this instance may have in flight to the server;
// negative where the server is warm. A positive bound also requires a slot by
// Acquire.
func (p *Policy) Bound(index *document.Index, server *backends.Snapshot) int {
	limit := limitOf(index, &server.Server)
	if limit == nil || server.Warm() {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.backoffUntil[server.Server.ID]) {
		return 0
	}
	return warmFactor * limit.MaxInFlight
}

// Acquire returns a slot for one call to a cold server, to be used at once and
// to end with ctx. The error is of the kind ErrNoLease, ErrBoundReached,
// ErrStaleSlot or ErrTooLong.
func (p *Policy) Acquire(ctx context.Context, index *document.Index, server *backends.Snapshot) (Slot, error) {
	if end, ok := ctx.Deadline(); !ok || time.Until(end) > p.config.LongestCall {
		return Slot{}, merry.Prepend(ErrTooLong, server.Server.ID)
	}
	slot, err := p.requestSlot(ctx, index, server)
	if err == nil {
		return slot, nil
	}
	refusedSlots.Add(1)
	p.mu.Lock()
	p.backoffUntil[server.Server.ID] = time.Now().Add(refusalBackoff/2 + rand.N(refusalBackoff))
	p.mu.Unlock()
	if !errors.Is(err, ErrBoundReached) {
		p.requestTick()
	}
	return Slot{}, err
}

// requestTick asks for the lease on a server to be looked after at once.
func (p *Policy) requestTick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Release takes notice of the outcome of a call to a server and gives back its
// slot; slot is the zero Slot for a warm server.
func (p *Policy) Release(slot Slot, server string, took time.Duration, good bool) {
	if slot.Server != "" {
		p.releaseSlot(&ReleaseRequest{Slot: slot, TookMicros: took.Microseconds(), Good: good})
		return
	}
	p.observe(server, took, good)
}

// Run follows the leases stream and looks after leases until ctx ends.
func (p *Policy) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { p.follow(ctx) })
	defer running.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-p.wake:
			pause.For(ctx, wakeDelay)
		}
		p.Tick(ctx)
	}
}

const (
	readLimit    = 500              // records a page
	readWait     = 10 * time.Second // wait of one read for the next record
	readRetry    = 500 * time.Millisecond
	tickInterval = time.Second
	// wakeDelay gathers requests that wait for a lease.
	wakeDelay = 20 * time.Millisecond
)

func (p *Policy) follow(ctx context.Context) {
	for ctx.Err() == nil {
		p.mu.Lock()
		next := p.grantor.leases.next
		p.mu.Unlock()
		page, err := p.config.Log.Read(ctx, platform.StreamLeases, next, readLimit, readWait)
		if err != nil {
			pause.For(ctx, readRetry+rand.N(readRetry))
			continue
		}
		p.mu.Lock()
		p.grantor.apply(page, time.Now())
		p.mu.Unlock()
	}
}

// Leave gives up the leases of an instance that is to stop.
func (p *Policy) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.requestTick()
}

// OnEntry takes notice of a spread mark.
func (p *Policy) OnEntry(entry gossip.Entry) {
	if entry.Kind != gossip.KindWarmth {
		return
	}
	if backend := p.config.Table.Get(entry.Key); backend != nil {
		backend.SetWarmth(decodeWarmth(entry.Value))
	}
}

// publishWarmth spreads a finding about the warmth of a server.
func (p *Policy) publishWarmth(server *backends.Snapshot, warm bool, reason string) {
	warmth := backends.Warmth{Warm: warm, Incarnation: server.Server.Incarnation, Started: server.Load.Started}
	counter := cooledServers
	if warm {
		counter = warmedServers
	}
	counter.Add(1)
	logrus.WithFields(logrus.Fields{"server": server.Server.ID, "warm": warm, "reason": reason}).Info("warmth of backend server changed")
	p.config.Gossip.Publish(gossip.KindWarmth, server.Server.ID, encodeWarmth(warmth), 0, true)
}

func encodeRecords[T any](items []T) ([]json.RawMessage, error) {
	raws := make([]json.RawMessage, len(items))
	for i := range items {
		raw, err := json.Marshal(items[i])
		if err != nil {
			return nil, err
		}
		raws[i] = raw
	}
	return raws, nil
}
