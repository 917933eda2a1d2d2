// Package peers lets the instances of a fleet know which of them are running.
// In a small fleet each sends a short datagram to every other at a steady pace.
// In a larger one each asks the few that lead, which answer with what has changed
// of the others. Who is not heard of for a while is taken to be gone. Losing a
// datagram is harmless.
package peers

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
)

const (
	// interval is the pause between two datagrams to the same peer.
	interval = 400 * time.Millisecond
	// silenceTimeout is the time after which a peer is taken to be gone: five lost
	// datagrams in a row.
	silenceTimeout = 2 * time.Second
	// smallFleet is the number of peers up to which all pairs exchange
	// datagrams. In a larger fleet only pairs with one of the leaders do, so that
	// the work of the others does not grow with the fleet.
	smallFleet = 20
	// pollEvery is the number of intervals between two questions to a leader in a
	// larger fleet; one that is not answered is repeated after one interval.
	pollEvery = 2
	// pollTimeout is the time after which a leader takes a member that asks no more
	// to be gone: six lost datagrams in a row.
	pollTimeout = 2800 * time.Millisecond
	// replyTimeout is the time after which a peer that does not answer is taken
	// to be gone: four lost questions or answers in a row.
	replyTimeout = 1600 * time.Millisecond
	// minUnanswered is the number of questions that it must have been asked.
	minUnanswered = 3
	// suspicionTime is how long this instance takes such a peer to be gone on its
	// own word alone.
	suspicionTime = 4 * time.Second
	// Leaders is the number of instances on which the others rely.
	Leaders = 2
	// minRoundPause is the least time between two rounds of datagrams.
	minRoundPause = 50 * time.Millisecond
	// maxDatagram bounds a datagram in bytes, well above what a fleet with a
	// few roll-outs sends, and below what UDP carries.
	maxDatagram = 32 << 10
)

// Instance is what an instance says of itself.
type Instance struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Run names one run of the process.
	Run string `json:"run" cbor:"2,keyasint"`
	// FailureDomain is where the instance runs.
	FailureDomain string `json:"failure_domain" cbor:"3,keyasint"`
	// Address is where clients connect to it.
	Address string `json:"address" cbor:"4,keyasint"`
	// PeerAddress is where it takes datagrams.
	PeerAddress string `json:"peer_address" cbor:"5,keyasint"`
	// Weight orders the instances that lead: the highest goes first.
	Weight int `json:"weight" cbor:"6,keyasint"`
	// Ready is true while it should get new clients.
	Ready bool `json:"ready" cbor:"7,keyasint,omitempty"`
	// StoreLost is true while the store does not answer it.
	StoreLost bool `json:"store_lost,omitempty" cbor:"8,keyasint,omitempty"`
	// Leaving is true once it has begun a planned stop.
	Leaving bool `json:"leaving" cbor:"9,keyasint,omitempty"`
	// Busy is true while it sends servers prompts that others should not wait
	// behind.
	Busy bool `json:"-" cbor:"10,keyasint,omitempty"`
}

// Payload is what an instance tells beside, for others to take over at once.
type Payload struct {
	// Applied gives for each topic that it follows the offset up to which it
	// has taken all records.
	Applied map[string]int64 `cbor:"1,keyasint,omitempty"`
	// Prefill is what Options.Prefill returned, where it is told.
	Prefill map[string]int64 `cbor:"2,keyasint,omitempty"`
	// Shares are its counts of the roll-outs that are open.
	Shares []rollout.ArmCounts `cbor:"3,keyasint,omitempty"`
	// Sightings are the sessions that it lately saw on an old version.
	Sightings []staging.ActiveSession `cbor:"4,keyasint,omitempty"`
	// RelayedSightings are those that an instance which leads has heard of others.
	RelayedSightings []staging.ActiveSession `cbor:"5,keyasint,omitempty"`
}

type peer struct {
	instance   Instance
	receivedAt time.Time
	// echo is the Sent of the latest datagram of the peer.
	echo boottime.Instant
	// requestedAt is when the first of the questions was sent that have had no answer
	// since, and asks their number; zero if there is none.
	requestedAt time.Time
	pending     int
	// roster is what it says of the others, where it leads.
	roster *receivedRoster
}

// Options are what a Table works with.
type Options struct {
	// Name is that of this instance.
	Name string
	// Self returns what this instance says of itself.
	Self func() Instance
	// Payload returns what it tells beside.
	Payload func() Payload
	// Prefill returns the time in milliseconds that servers need for the prompts
	// that this instance has sent them, by the IDs of the servers.
	Prefill func() map[string]int64
	// Proof returns a proof of this instance's own making; nil if it has none
	// for the peers.
	Proof func() *Proof
	// OnPayload takes what a peer tells beside.
	OnPayload func(peer *Instance, news *Payload)
	// OnProof takes a proof of a peer: the configuration up to the offset was
	// the newest at a moment that is not before at.
	OnProof func(end int64, at boottime.Instant)
	// Now is the clock by which peers fall silent.
	Now func() time.Time
}

// Table knows the other instances. It is safe for concurrent use.
type Table struct {
	opts  Options
	mu    sync.Mutex
	peers map[string]*peer // by name
	// order holds the names of the instances that run, are ready and reach the
	// store, those that lead first; byRank those of all that run, in the same
	// order. They are renewed with every round of datagrams.
	order  atomic.Pointer[[]string]
	byRank atomic.Pointer[[]string]
	// busy holds the other instances that are busy, as far as they may be told
	// directly.
	busy         atomic.Pointer[[]target]
	announce     chan struct{}
	announceLoad chan struct{}
	// roster is what this instance tells of the others where it leads.
	roster roster
}

// New returns an empty table.
func New(opts Options) *Table {
	t := &Table{opts: opts, peers: map[string]*peer{}, announce: make(chan struct{}, 1), announceLoad: make(chan struct{}, 1)}
	t.busy.Store(&[]target{})
	t.order.Store(&[]string{})
	t.byRank.Store(&[]string{opts.Name})
	return t
}

// Announce sends a round of datagrams soon, because there is news.
func (t *Table) Announce() {
	select {
	case t.announce <- struct{}{}:
	default:
	}
}

// AnnounceLoad tells soon of a prompt that a server was just sent. In a large fleet
// only those learn of it that send such prompts as well.
func (t *Table) AnnounceLoad() {
	if !t.Large() {
		t.Announce()
		return
	}
	select {
	case t.announceLoad <- struct{}{}:
	default:
	}
}

// Add makes an instance known of which only a record was read. It counts as
// running only once it is heard.
func (t *Table) Add(instance Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.peers[instance.Name]; known || instance.Name == t.opts.Name {
		return
	}
	t.peers[instance.Name] = &peer{instance: instance}
}

// handle takes over a datagram.
func (t *Table) handle(d *datagram) {
	name := d.Instance.Name
	if name == "" || name == t.opts.Name {
		return
	}
	t.opts.OnPayload(&d.Instance, &d.Payload)
	if at, ok := d.provenAt(); ok {
		t.opts.OnProof(d.Proof.End, at)
	}
	if t.update(d) {
		t.updateOrder()
	}
}

// update keeps what a datagram says, and reports whether it changes who leads.
func (t *Table) update(d *datagram) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.peers[d.Instance.Name]
	now := &peer{instance: d.Instance, receivedAt: t.opts.Now(), echo: d.Echo.Sent}
	t.peers[d.Instance.Name] = now
	if d.Roster != nil {
		now.roster = t.applyDelta(old, d.Roster)
	} else if old != nil {
		now.roster = old.roster
	}
	return old == nil || old.instance.StoreLost != d.Instance.StoreLost || old.instance.Ready != d.Instance.Ready
}

// Large reports whether the fleet is so large that only pairs with one of the
// leaders exchange datagrams.
func (t *Table) Large() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.large()
}

func (t *Table) large() bool { return len(t.peers) > smallFleet }

// Known returns the number of instances that were ever heard of, with this
// one.
func (t *Table) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers) + 1
}

// Rank returns the place of this instance among all that were ever heard of, in
// an order that depends on the key and on which all of them agree (rendezvous
// hashing: Thaler and Ravishankar, 1998).
func (t *Table) Rank(key string) int {
	own := xxhash.Sum64String(key + "/" + t.opts.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	rank := 0
	for name := range t.peers {
		if xxhash.Sum64String(key+"/"+name) > own {
			rank++
		}
	}
	return rank
}

// Running returns the instances that are running, with this one, in the order
// of their names.
func (t *Table) Running() []Instance {
	self := t.opts.Self()
	now := t.opts.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	reported := t.reported(now)
	running := []Instance{self}
	for name, p := range t.peers {
		switch {
		case t.alive(p, now):
			running = append(running, p.instance)
		case !p.unresponsive(now):
			if instance, ok := reported[name]; ok {
				running = append(running, *instance)
			}
		}
	}
	slices.SortFunc(running, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	return running
}

// alive reports whether a peer was alive itself within its time.
func (t *Table) alive(p *peer, now time.Time) bool {
	limit := silenceTimeout
	if t.large() {
		limit = pollTimeout
	}
	return !p.receivedAt.IsZero() && now.Sub(p.receivedAt) < limit && !p.unresponsive(now)
}

// unresponsive reports whether a peer has left questions without an answer for so
// long that it is taken to be gone.
func (p *peer) unresponsive(now time.Time) bool {
	silentFor := now.Sub(p.requestedAt)
	return p.pending >= minUnanswered && silentFor >= replyTimeout && silentFor < suspicionTime
}
