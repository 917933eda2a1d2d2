// Package peers maintains the list of running instances and detects failures.
// In a small fleet each instance sends a short datagram to every other one at a
// fixed interval. In a larger fleet each instance polls the leaders, which reply
// with the changes of their rosters. An instance is considered failed if none of
// its datagrams arrives within a timeout. The loss of single datagrams is
// harmless.
package peers

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/suspicion"
)

const (
	// interval is the time between two datagrams to the same peer.
	interval = 400 * time.Millisecond
	// silenceTimeout is the time without datagrams after which a peer in a small
	// fleet is considered failed: five lost datagrams in a row.
	silenceTimeout = 2 * time.Second
	// smallFleet is the number of peers up to which all pairs exchange datagrams.
	// In a larger fleet only pairs that include a leader do, so that the load of
	// the other instances does not grow with the fleet.
	smallFleet = 20
	// pollEvery is the number of intervals between two requests to a leader in a
	// larger fleet. An unanswered request is repeated after one interval.
	pollEvery = 2
	// pollTimeout is the time without datagrams after which a peer in a larger
	// fleet is considered failed: six lost datagrams in a row.
	pollTimeout = 2800 * time.Millisecond
	// replyTimeout is the time after which a peer that does not reply is
	// considered failed: four lost requests or replies in a row.
	replyTimeout = 1600 * time.Millisecond
	// minUnanswered is the number of requests that such a peer must have left
	// unanswered.
	minUnanswered = 3
	// suspicionTime is the time, since the first unanswered request, for which this
	// instance considers such a peer failed although the leaders list it.
	suspicionTime = 4 * time.Second
	// Leaders is the number of leaders of a fleet, on which the other instances
	// depend.
	Leaders = 2
	// minRoundPause is the minimum time between two announced rounds of datagrams.
	minRoundPause = 50 * time.Millisecond
	// repeatDelay is the time after which an announced change of the state of an instance
	// is sent once more in a small fleet. Where both datagrams and that of the next round
	// are lost, which is rare, a directory learns of it more than half a second late.
	repeatDelay = 2 * minRoundPause
	// maxDatagram is the maximum size of a datagram in bytes: well above what a
	// fleet with a few rollouts sends, and below the limit of UDP.
	maxDatagram = 32 << 10
)

type peer struct {
	instance   Instance
	receivedAt time.Time
	// echo is Echo.Sent of the latest datagram of the peer.
	echo boottime.Instant
	// requestedAt is when the first unanswered request was sent, and pending the
	// number of unanswered requests; both are zero if there is none.
	requestedAt time.Time
	pending     int
	// roster is the peer's roster as received; nil if it has sent none.
	roster *receivedRoster
	// relays states which relayed uses of sessions the run of the peer has received.
	relays relays
}

// Table tracks the other instances of the fleet. It is safe for concurrent use.
type Table struct {
	opts  Options
	mu    sync.Mutex
	peers map[string]*peer // by name
	// size is the number of peers. It is read without the lock, so that other parts may
	// ask for it while they hold their own locks.
	size atomic.Int64
	// order holds the names of the candidates for leadership, sorted by rank; the
	// first ones are the leaders. byRank holds the names of all running instances,
	// sorted by rank. Both are updated in every round.
	order  atomic.Pointer[[]string]
	byRank atomic.Pointer[[]string]
	// coordinators holds the names of the instances that may be the coordinator of
	// a backend server. It is updated in every round.
	coordinators atomic.Pointer[[]string]
	// conn is set while Run is running.
	conn atomic.Pointer[net.PacketConn]
	// busy holds the busy instances, at most smallFleet of them, which receive
	// load announcements.
	busy atomic.Pointer[[]target]
	// otherSenders is the number of busy instances without this one.
	otherSenders atomic.Int64
	announce     chan struct{}
	announceLoad chan struct{}
	// announceUrgent requests a datagram with the urgent payload.
	announceUrgent chan struct{}
	// roster is the roster that this instance sends in its replies.
	roster roster
	// watching holds the instances that watch each other. It is updated in every round.
	watching atomic.Pointer[watching]
	detector *suspicion.Detector
	// suspicionsArrived triggers a tick of the detector.
	suspicionsArrived chan struct{}
}

// New returns an empty table.
func New(opts Options) *Table {
	t := &Table{opts: opts, peers: map[string]*peer{}, announce: make(chan struct{}, 1), announceLoad: make(chan struct{}, 1), announceUrgent: make(chan struct{}, 1)}
	t.detector, t.suspicionsArrived = suspicion.New(opts.Name, opts.Now), make(chan struct{}, 1)
	t.watching.Store(&watching{})
	t.busy.Store(&[]target{})
	t.order.Store(&[]string{})
	t.byRank.Store(&[]string{opts.Name})
	t.coordinators.Store(&[]string{opts.Name})
	return t
}

// Add adds an instance that was found in a record. It is not listed as running
// before a datagram or a leader's roster shows that it is.
func (t *Table) Add(instance Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.peers[instance.Name]; known || instance.Name == t.opts.Name {
		return
	}
	t.set(instance.Name, &peer{instance: instance})
}

// set adds or replaces a peer.
func (t *Table) set(name string, p *peer) {
	t.peers[name] = p
	t.size.Store(int64(len(t.peers)))
}

// Large reports whether the fleet is so large that only pairs that include a
// leader exchange datagrams.
func (t *Table) Large() bool { return t.size.Load() > smallFleet }

// Known returns the number of instances ever discovered, including this one.
func (t *Table) Known() int { return int(t.size.Load()) + 1 }

// Senders returns the number of instances that send requests at present, counting
// this one. In a small fleet and while no
// other instance of a large one is busy, it is that of all known instances.
func (t *Table) Senders() int {
	if others := t.otherSenders.Load(); t.Large() && others > 0 {
		return int(others) + 1
	}
	return t.Known()
}
