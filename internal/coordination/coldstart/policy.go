// Package coldstart limits the number of calls that all instances together have
// in flight to a backend server that has just started. One entry instance holds
// a lease on the server and grants a slot for each call; the order of records in
// the leases stream decides which instance that is. While the holder is
// uncertain, no slots are granted; warm servers are not affected.
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
	// acquireTimeout bounds a request for a slot to another instance.
	acquireTimeout = 300 * time.Millisecond
	// refusalBackoff is the mean time for which a cold server gets no calls
	// after a slot on it was refused.
	refusalBackoff = 50 * time.Millisecond
)

// Members provides the membership of the fleet.
type Members interface {
	// EntryIDs returns the IDs of the live entry instances.
	EntryIDs() []string
	// ControlAddress returns the address at which an entry instance accepts
	// calls of its peers, and false if the instance is unknown.
	ControlAddress(id string) (string, bool)
}

// Gossip replicates the warmth of backend servers between instances.
type Gossip interface {
	Publish(kind gossip.Kind, key string, value []byte, ageOf time.Duration, urgent bool)
	Get(kind gossip.Kind, key string) (gossip.Entry, time.Time, bool)
}

// Peers calls other entry instances.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config holds the identity of the instance, the dependencies and the limits of
// a Policy.
type Config struct {
	Instance    string
	Incarnation string
	Log         eventlog.Log
	Members     Members
	Gossip      Gossip
	Peers       Peers
	Table       *backends.Table
	// Index returns the configuration document in force, or nil if there is
	// none yet.
	Index func() *document.Index
	// LongestCall bounds one call to a backend server.
	LongestCall time.Duration
}

// Policy is the cold start policy of one instance. It is safe for concurrent
// use. Bound takes no lock for a warm server.
type Policy struct {
	config Config

	mu      sync.Mutex
	grantor *grantor
	// backoffUntil is the end of the backoff after a refused slot, by server.
	backoffUntil map[string]time.Time
	// badCalls counts consecutive failed or slow calls, by server.
	badCalls map[string]int
	// claimedAt is the time of the last claim of a lease, by server.
	claimedAt map[string]time.Time
	// markedColdAt is when this instance last marked a warm server as cold.
	markedColdAt time.Time
	// leaving is true while this instance releases its leases before it stops.
	leaving bool

	// wake triggers a tick before the next interval.
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

// Bound returns how many calls this instance may have in flight to the server.
// A negative bound means no limit: the server is warm or has no cold limit. If
// the bound is positive, each call also needs a slot from Acquire.
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

// Acquire returns a slot for one call to a cold server. The caller must start
// the call immediately and end it with ctx. The error is of the kind ErrNoLease,
// ErrBoundReached, ErrStaleSlot or ErrTooLong.
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

// requestTick triggers a tick soon, so that a missing lease is claimed.
func (p *Policy) requestTick() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Release records the outcome of a call to a server and releases its slot. For
// a warm server, slot is the zero Slot.
func (p *Policy) Release(slot Slot, server string, took time.Duration, good bool) {
	if slot.Server != "" {
		p.releaseSlot(&ReleaseRequest{Slot: slot, TookMicros: took.Microseconds(), Good: good})
		return
	}
	p.observe(server, took, good)
}

// Run follows the leases stream and maintains the leases of this instance until
// ctx ends.
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
	readLimit    = 500                    // records per page
	readWait     = 10 * time.Second       // maximum wait of one read for the next record
	readRetry    = 500 * time.Millisecond // minimum delay after a failed read
	tickInterval = time.Second
	// wakeDelay lets several requests for leases share one tick.
	wakeDelay = 20 * time.Millisecond
)

// follow applies the leases stream page by page until ctx ends.
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

// Leave starts to release the leases of this instance before it stops. Each
// lease is released once none of its slots is in use; no new lease is claimed.
func (p *Policy) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.requestTick()
}

// OnEntry applies a gossip entry about the warmth of a server; it ignores
// entries of other kinds.
func (p *Policy) OnEntry(entry gossip.Entry) {
	if entry.Kind != gossip.KindWarmth {
		return
	}
	if backend := p.config.Table.Get(entry.Key); backend != nil {
		backend.SetWarmth(decodeWarmth(entry.Value))
	}
}

// publishWarmth logs and gossips a change of the warmth of a server.
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

// encodeRecords encodes each item as JSON.
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
