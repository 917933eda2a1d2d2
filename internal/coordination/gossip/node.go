// Package gossip spreads small state among entry instances and finds out which
// of them are alive, in the manner of SWIM (Das, Gupta, Motivala, 2002): each
// instance exchanges with a few neighbours, asks others to probe a neighbour
// that does not answer, suspects it first, and lets it refute. An exchange
// carries only what changed since the last one with the same neighbour.
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
	// exchangeTimeout bounds one exchange, a new connection included. On a
	// busy machine a shorter one fails and costs another connection.
	exchangeTimeout = 2500 * time.Millisecond
	// urgentInterval is the shortest time between two rounds of urgent
	// exchanges with all neighbours.
	urgentInterval = 50 * time.Millisecond
	// suspicionTimeout is how long a suspect may take to refute.
	suspicionTimeout = 5 * time.Second
	// isolationTimeout is how long an instance goes without any contact until
	// it distrusts itself.
	isolationTimeout = 3 * time.Second
	// probeHelpers is how many members are asked to probe for this one.
	probeHelpers = 2
	// deadRetryInterval is the time between two tries to reach a member that
	// counts as dead, so that regions that were apart find each other.
	deadRetryInterval = 5 * time.Second
	// deadRetention is how long dead members are remembered.
	deadRetention = 2 * time.Hour
	// maxMembers bounds the members that are remembered.
	maxMembers = 4096
)

// Counters of this package.
var (
	exchangeCount  = expvar.NewInt("gossip_exchanges")
	exchangeFailed = expvar.NewInt("gossip_exchanges_failed")
	suspicionCount = expvar.NewInt("gossip_suspicions")
	isolatedCount  = expvar.NewInt("gossip_isolated")
)

// Transport carries one exchange to the member at a control address and
// returns its reply.
type Transport interface {
	Exchange(ctx context.Context, address string, payload []byte) ([]byte, error)
}

// Config is what a Node is made of.
type Config struct {
	Self Member
	// Run identifies this run of the process.
	Run       string
	Transport Transport
	// OnEntry is called for each entry that changed, without a lock held.
	// Observed is when its value was observed, on the local clock.
	OnEntry func(entry Entry, observed time.Time)
}

// Node is one entry instance as a member. It is safe for concurrent use.
type Node struct {
	config Config

	mu      sync.Mutex
	self    Member
	entries *store
	members map[string]*memberState
	peers   map[string]*peerState
	// contact is when any exchange last worked, in either direction.
	contact       time.Time
	isolated      bool
	rotation      int
	deadRetriedAt time.Time
	changed       []changedEntry
	// probing is true while others are asked to probe a member. One member at
	// a time is doubted, so that a busy instance does not open connections to
	// ever more helpers.
	probing bool

	urgent chan struct{}
	// calls counts exchanges that were begun and have not ended.
	calls sync.WaitGroup
}

// memberState is what is known of another member.
type memberState struct {
	Member
	// since is when the state was learned.
	since time.Time
}

// peerState is how far exchanges with a member have come.
type peerState struct {
	// run and seen are the run and sequence of the member that were read.
	run      string
	received uint64
	// acked is the own sequence that the member has seen.
	acked uint64
	busy  bool
}

type changedEntry struct {
	entry    Entry
	observed time.Time
}

// New returns a node that knows no other member.
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

// Join makes members known, as the instance list shows them. What gossip
// already says of a member goes first.
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

// Members returns what is known of all members, this one included, ordered by
// ID.
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

// Isolated reports whether this instance reaches nobody and therefore keeps
// its last view.
func (n *Node) Isolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

// Leave tells all neighbours at once that this instance takes no new work.
func (n *Node) Leave() {
	n.mu.Lock()
	n.self.State = StateLeft
	n.self.Incarnation++
	n.publishMemberLocked(&n.self, time.Now())
	n.mu.Unlock()
	n.wake()
}

// Publish spreads a new value under a key; it supersedes every value known
// here. AgeOf is the age of the observation.
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

// Get returns a copy of an entry and when its value was observed.
func (n *Node) Get(kind Kind, key string) (Entry, time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := n.entries.get(kind, key)
	if st == nil {
		return Entry{}, time.Time{}, false
	}
	return st.entry, st.observed, true
}

// Prune forgets the entries of a kind that are older than an age and that keep
// does not want.
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
