// Package gossip replicates small state among entry instances and detects which of
// them have failed, following SWIM (Das, Gupta, Motivala, 2002). Each instance
// exchanges state with a few neighbours. If a neighbour does not answer, it asks
// other members to probe the neighbour, then suspects it, and declares it dead
// unless it refutes the suspicion in time. An exchange carries only the changes
// since the previous exchange with the same neighbour.
package gossip

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"
)

const (
	// exchangeInterval is the time between two exchanges with one neighbour.
	exchangeInterval = time.Second
	// exchangeTimeout is the timeout of an exchange, including the setup of a
	// connection. With a shorter one exchanges fail on a busy machine, and each
	// failure costs another connection.
	exchangeTimeout = 2500 * time.Millisecond
	// urgentInterval is the minimum time between two rounds of urgent exchanges
	// with all neighbours.
	urgentInterval = 50 * time.Millisecond
	// suspicionTimeout is how long a suspected member has to refute the suspicion
	// before it is declared dead.
	suspicionTimeout = 5 * time.Second
	// isolationTimeout is the time without any successful exchange after which an
	// instance considers itself isolated and suspects no others.
	isolationTimeout = 3 * time.Second
	// probeHelpers is the number of members that are asked for an indirect probe.
	probeHelpers = 2
	// deadRetryInterval is the time between two attempts to reach a dead member, so
	// that the regions of a partitioned fleet find each other again.
	deadRetryInterval = 5 * time.Second
	// deadRetention is how long dead members and members that left are kept.
	deadRetention = 2 * time.Hour
	// maxMembers is the number of other members from which no further ones are
	// learned by gossip.
	maxMembers = 4096
)

// Counters of this package.
var (
	exchangeCount  = expvar.NewInt("gossip_exchanges")
	exchangeFailed = expvar.NewInt("gossip_exchanges_failed")
	suspicionCount = expvar.NewInt("gossip_suspicions")
	isolatedCount  = expvar.NewInt("gossip_isolated")
)

// Transport carries exchanges between members.
type Transport interface {
	// Exchange sends a request to the member at a control address and returns its
	// reply.
	Exchange(ctx context.Context, address string, payload []byte) ([]byte, error)
}

// Config configures a Node.
type Config struct {
	Self Member
	// Run identifies this run of the process.
	Run       string
	Transport Transport
	// OnEntry is called for each changed entry, without a lock held; it may be nil.
	// Observed is when the value was observed, on the local clock.
	OnEntry func(entry Entry, observed time.Time)
}

// Node is the local member. It is safe for concurrent use.
type Node struct {
	config Config

	mu      sync.Mutex
	self    Member
	entries *store
	members map[string]*memberState
	peers   map[string]*peerState
	// contact is the time of the latest successful exchange, in either direction.
	contact       time.Time
	isolated      bool
	rotation      int
	deadRetriedAt time.Time
	changed       []changedEntry
	// probing is true during an indirect probe. There is at most one at a time, so
	// that a busy instance does not open connections to more and more helpers.
	probing bool

	urgent chan struct{}
	// calls tracks the exchanges in flight.
	calls sync.WaitGroup
}

// memberState is the local view of another member.
type memberState struct {
	Member
	// since is when the member entered its state in the local view.
	since time.Time
}

// peerState is the progress of the exchanges with a member.
type peerState struct {
	// run is the run of the member, and received its sequence number up to which
	// entries have been received.
	run      string
	received uint64
	// acked is the own sequence number up to which the member has acknowledged.
	acked uint64
	busy  bool
}

type changedEntry struct {
	entry    Entry
	observed time.Time
}

// New returns a node without other members.
func New(config Config) *Node {
	n := &Node{
		config:  config,
		self:    config.Self,
		entries: newStore(),
		members: map[string]*memberState{},
		peers:   map[string]*peerState{},
		contact: time.Now(),
		urgent:  make(chan struct{}, 1),
	}
	n.self.Incarnation = max(n.self.Incarnation, 1)
	n.publishMemberLocked(&n.self, time.Now())
	return n
}

// Join adds members from the instance list. Members that are already present keep
// the state that gossip reported.
func (n *Node) Join(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, member := range members {
		if member.ID == n.self.ID || n.members[member.ID] != nil {
			continue
		}
		member.Incarnation, member.State = 0, StateAlive
		n.members[member.ID] = &memberState{Member: member, since: time.Now()}
	}
}

// Members returns all members, including this one, sorted by ID.
func (n *Node) Members() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	all := []Member{n.self}
	for _, member := range n.members {
		all = append(all, member.Member)
	}
	slices.SortFunc(all, func(a, b Member) int { return compareIDs(a.ID, b.ID) })
	return all
}

// Isolated reports whether this instance can reach no other member. It then keeps
// its last view of the fleet.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

// Leave announces to all neighbours at once that this instance accepts no new work.
func (n *Node) Leave() {
	n.mu.Lock()
	n.self.State = StateLeft
	n.self.Incarnation++
	n.publishMemberLocked(&n.self, time.Now())
	n.mu.Unlock()
	n.wake()
}

// Publish propagates a new value under a key, which supersedes the present one.
// observationAge is the time since the value was observed. An urgent value is
// sent to all neighbours at once.
func (n *Node) Publish(kind Kind, key string, value []byte, observationAge time.Duration, isUrgent bool) {
	now := time.Now()
	n.mu.Lock()
	version := uint64(1)
	if old := n.entries.get(kind, key); old != nil {
		version = old.entry.Version + 1
	}
	n.mergeLocked(Entry{Kind: kind, Key: key, Version: version, Value: value, AgeMillis: age(now.Add(-observationAge), now)}, "", now)
	n.mu.Unlock()
	n.notifyChanges()
	if isUrgent {
		n.wake()
	}
}

// Get returns a copy of an entry and when its value was observed; false if there is
// none.
func (n *Node) Get(kind Kind, key string) (Entry, time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := n.entries.get(kind, key)
	if st == nil {
		return Entry{}, time.Time{}, false
	}
	return st.entry, st.observed, true
}

// Prune removes the entries of a kind that are older than an age, except those whose
// key keep selects.
func (n *Node) Prune(kind Kind, olderThan time.Duration, keep func(key string) bool) {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries.all(kind, func(st *stored) {
		if now.Sub(st.observed) > olderThan && !keep(st.entry.Key) {
			n.entries.remove(kind, st.entry.Key)
		}
	})
}

func (n *Node) wake() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}
