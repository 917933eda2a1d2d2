// Package backends holds the state that an entry instance keeps about the
// backend servers. Each server has its own lock, and the lists by target are
// replaced as a whole, so that routing takes no lock shared by all requests.
package backends

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/decay"
)

// Server is the description of one backend server.
type Server struct {
	ID            string
	Address       string
	Role          platform.Role
	Serves        []string
	FailureDomain string
	Leaving       bool
	// Incarnation changes with every start of the server.
	Incarnation string
	// Version is the version of the server's software; empty if unknown.
	Version string
	// Slots is the number of requests that the server processes concurrently; 0
	// if unknown.
	Slots int
	// ColdUntil is the time at which the server expects to be warm; zero if it
	// reports none.
	ColdUntil time.Time
	// Unconfirmed is true for a server whose entry is missing from the store
	// although the server may still run, as after an outage of the store. It is
	// used only if no confirmed server is available.
	Unconfirmed bool
}

// Load is a load report of a backend server.
type Load struct {
	Running int
	Waiting int
	// Slots is the number of requests that the server runs at the same time; 0 if unknown.
	Slots int
	// Slowness is how long work takes on the server's machine at the time of the report, as a
	// multiple of the usual time; 0 if the server does not report it.
	Slowness float64
	// CacheUse is the share of the KV cache in use, 0 to 1.
	CacheUse float64
	// Started identifies the run of the server's process; 0 if unknown.
	Started uint16
	// ReadAt is the time at which the report was read, on the monotonic clock.
	ReadAt time.Time
}

// Warmth says whether a backend server is warm, as propagated in the fleet.
type Warmth struct {
	// Warm is true once the server has proven that it can handle full load.
	Warm bool
	// Incarnation and Started identify the run of the server that Warm applies
	// to; Started is 0 if unknown.
	Incarnation string
	Started     uint16
}

// Backend is one backend server with the state that this instance keeps.
type Backend struct {
	mu       sync.Mutex
	server   Server
	load     Load
	warmth   Warmth
	inFlight int
	answered int
	failures int
	latency  time.Duration
	failedAt time.Time
	// countedAt is the time before which calls began whose failures are no longer counted.
	countedAt time.Time
	recent    recentCalls
	prefill   outstandingPrefill
	// position is the relative position of the server, 0 to 1, among the servers
	// of its version.
	position float64
	// inFlightAtLoad is the value of inFlight when load was stored.
	inFlightAtLoad int
	// peak is the recent highest value of inFlight, and peakAtLoad its value when load was stored.
	peak       inFlightPeak
	peakAtLoad int
	// hash is the hash of the ID. It never changes and is read without the lock.
	hash    uint64
	signals serverSignals
	pace    Pace
	stated  paceStatements
}

// Snapshot is a copy of the state of a Backend at one point in time.
type Snapshot struct {
	Server   Server
	Load     Load
	Warmth   Warmth
	InFlight int
	// Answered counts successful answers of this incarnation of the server.
	Answered int
	// Failures counts failed calls since the last successful answer; from
	// UnreachableFailures on, only those begun after the failure counted before.
	Failures int
	// Latency is the exponentially weighted mean of the time to a successful
	// answer.
	Latency time.Duration
	// FailedAt is the time of the latest counted failure; zero after a success, or
	// if a probe is due.
	FailedAt time.Time
	// BadShare is the share of recent calls, 0 to 1, that failed or took far
	// longer than usual, smoothed towards 0 while there are few calls.
	BadShare float64
	// Prefill is the time that the server needs to process the outstanding
	// prompts of this instance and, as far as reported, of its peers.
	Prefill time.Duration
	// Position is the relative position of the server, 0 to 1, among the servers
	// of its version.
	Position float64
	// InFlightAtLoad is the value of InFlight when Load was stored.
	InFlightAtLoad int
	// PeakAtLoad is the highest value of InFlight in the 200 ms before Load was stored. Load states
	// the requests at a time in between.
	PeakAtLoad int
	// Draining is true once an answer of this incarnation of the server
	// announced that it is draining.
	Draining bool
	// BackoffUntil is the time until which the server asked not to receive
	// requests; zero if it did not ask.
	BackoffUntil time.Time
	// Pace is what was observed of the speed of this run of the server.
	Pace Pace
}

// Snapshot returns a copy of the current state.
func (b *Backend) Snapshot() Snapshot {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return Snapshot{
		BadShare: b.recent.badShare(now),
		Prefill:  b.prefill.own + b.prefill.peersTotal(now),
		Position: b.position,
		Server:   b.server,
		Load:     b.load,
		Warmth:   b.warmth,
		InFlight: b.inFlight,
		Answered: b.answered,
		Failures: b.failures,
		Latency:  b.latency,

		FailedAt:       b.failedAt,
		InFlightAtLoad: b.inFlightAtLoad,
		PeakAtLoad:     b.peakAtLoad,
		Draining:       b.signals.draining,
		BackoffUntil:   b.signals.backoffUntil,
		Pace:           b.pace,
	}
}

// Begin counts one more call in flight and returns true. If limit or more calls
// are in flight already, it returns false; a limit of 0 or less means no limit.
func (b *Backend) Begin(limit int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit > 0 && b.inFlight >= limit {
		return false
	}
	b.addInFlight(1)
	return true
}

// addInFlight changes the number of calls in flight. The caller holds the lock.
func (b *Backend) addInFlight(change int) {
	b.inFlight += change
	b.peak.observe(time.Now(), b.inFlight)
}

// Cancel undoes Begin for a call that was never sent.
func (b *Backend) Cancel() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addInFlight(-1)
}

// SetLoad stores a load report, unless a later one is stored already.
func (b *Backend) SetLoad(load Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if load.ReadAt.Before(b.load.ReadAt) {
		return
	}
	if load.Started != 0 && b.load.Started != 0 && load.Started != b.load.Started {
		b.resetPace()
	}
	if load.Started != 0 && b.stated.started != 0 && load.Started != b.stated.started {
		b.pace.Stated, b.stated = decay.Mean{}, paceStatements{}
	}
	b.load = load
	b.inFlightAtLoad = b.inFlight
	b.peakAtLoad = b.peak.highest(time.Now())
}

// update stores a new description of the server. For a new incarnation, which
// starts cold, it resets the measured state.
func (b *Backend) update(server Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server.Incarnation != server.Incarnation {
		b.answered, b.failures, b.latency, b.load, b.recent = 0, 0, 0, Load{}, recentCalls{}
		b.signals = serverSignals{}
		b.resetPace()
	}
	b.server = server
}

// SetWarmth stores the warmth of the server as propagated in the fleet.
func (b *Backend) SetWarmth(warmth Warmth) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.warmth = warmth
}

// Warm reports whether the current run of the server is known to be warm.
func (s *Snapshot) Warm() bool {
	sameRun := s.Warmth.Started == 0 || s.Load.Started == 0 || s.Warmth.Started == s.Load.Started
	return s.Warmth.Warm && s.Warmth.Incarnation == s.Server.Incarnation && sameRun
}

// Table holds all backend servers.
type Table struct {
	// mu orders the changes; reading takes no lock.
	mu   sync.Mutex
	rank Rank
	// byID and byTarget are replaced as a whole and never modified.
	byID     atomic.Pointer[map[string]*Backend]
	byTarget atomic.Pointer[map[string][]*Backend]
	byRunKey atomic.Pointer[map[uint32]*Backend]
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.byID.Store(&map[string]*Backend{})
	t.byTarget.Store(&map[string][]*Backend{})
	t.byRunKey.Store(&map[uint32]*Backend{})
	return t
}

// SetRank sets the rank by which the next Apply selects the servers that this
// instance sends work to.
func (t *Table) SetRank(rank Rank) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rank = rank
}

// Apply replaces the list of servers. Servers that remain in it keep their
// state.
func (t *Table) Apply(servers []Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, byID := t.index(), make(map[string]*Backend, len(servers))
	byRunKey := make(map[uint32]*Backend, len(servers))
	byTarget := map[string][]*Backend{}
	for _, server := range servers {
		backend, ok := known[server.ID]
		if !ok {
			backend = &Backend{hash: xxhash.Sum64String(server.ID)}
		}
		backend.update(server)
		byID[server.ID], byRunKey[server.RunKey()] = backend, backend
		for _, target := range server.Serves {
			byTarget[target] = append(byTarget[target], backend)
		}
	}
	for target, all := range byTarget {
		setPositions(all)
		byTarget[target] = subset(all, t.rank)
	}
	t.byID.Store(&byID)
	t.byTarget.Store(&byTarget)
	t.byRunKey.Store(&byRunKey)
}

// Get returns the server of the given ID, or nil.
func (t *Table) Get(id string) *Backend { return t.index()[id] }

// Serving returns the servers of a version or plain service that this instance
// sends work to. The slice must not be changed.
func (t *Table) Serving(target string) []*Backend {
	return (*t.byTarget.Load())[target]
}

// All returns all servers.
func (t *Table) All() []*Backend {
	return slices.Collect(maps.Values(t.index()))
}

// index returns the servers by their IDs. The map must not be changed.
func (t *Table) index() map[string]*Backend { return *t.byID.Load() }
