package keyedlog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/pause"
)

// Options configures a Follower. Functions and interfaces must not be nil unless
// noted otherwise.
type Options struct {
	Store Store
	Topic string
	// Leads reports whether this instance reads the topic from the store. The others
	// fetch the records from peers that are ahead.
	Leads func() bool
	// Standby reports whether this instance is on standby for another leader. It then
	// reads at a slower pace, only to detect the failure of that leader. Nil means
	// never.
	Standby func() bool
	// Probes reports whether this instance is a prober: during an outage it calls the
	// store frequently, to detect the end of the outage for all.
	Probes func() bool
	// PeerWait returns how much longer the bootstrap waits for a snapshot of a peer
	// before it reads the store; nil means that it does not wait.
	PeerWait func() time.Duration
	// Wait is how long a read from the store waits for a change.
	Wait time.Duration
	// MinReadInterval is the minimum time between the start of a read that returned
	// records and the next read, so that changes are batched.
	MinReadInterval time.Duration
	Reader          Reader
	// Relay fetches records from peers.
	Relay Relay
	// Changed is called when records were read from the store, or when contact with
	// it was lost or regained.
	Changed func()
	// Regained is called when the store answers again after an outage; it may be nil.
	Regained func()
	Log      *logrus.Entry
}

// Follower keeps a Reader up to date with one topic. All methods except Run are safe
// for concurrent use.
type Follower struct {
	opts    Options
	history history
	// next is the offset to read from; -1 before the first read.
	next int64
	// end is the latest known end of the topic.
	end atomic.Int64
	// provenAt is the latest moment at which the reader's state is proven to have
	// been the newest: the start of the latest own read that reached the end, or the
	// moment of a peer's proof.
	provenAt atomic.Int64
	// readAt is the same by own reads alone.
	readAt atomic.Int64
	// applied is the offset up to which the reader has applied all records; -1 before
	// the first read.
	applied atomic.Int64
	// regainedAt is when the store answered again after an outage.
	regainedAt atomic.Int64
	// lost is true while the store does not answer.
	lost atomic.Bool
	// probes counts the reads since the store was lost.
	probes int
	// ahead holds the address of a peer that has applied more records.
	ahead chan string
	// wake interrupts waits for peers and backoffs, so that Leads and Probes are
	// evaluated again.
	wake chan struct{}
}

// lateMargin is the time beyond the wait of a read after which the store is
// considered lost, so that another instance becomes leader: many times the latency
// of an answer.
const lateMargin = 400 * time.Millisecond

// New returns a follower that has read nothing yet.
func New(opts Options) *Follower {
	opts.Log = opts.Log.WithField("topic", opts.Topic)
	f := &Follower{opts: opts, next: -1, ahead: make(chan string, 1), wake: make(chan struct{}, 1)}
	f.applied.Store(-1)
	return f
}

// Topic returns the name of the topic.
func (f *Follower) Topic() string { return f.opts.Topic }

// Applied returns the offset up to which the reader has applied all records; -1
// before the first read.
func (f *Follower) Applied() int64 { return f.applied.Load() }

// End returns the latest known end of the topic.
func (f *Follower) End() int64 { return f.end.Load() }

// ReadAt returns the start of the latest own read that reached the end of the
// topic; 0 if there is none.
func (f *Follower) ReadAt() boottime.Instant { return boottime.Instant(f.readAt.Load()) }

// RegainedAt returns when the store answered again after an outage; 0 if there
// was none.
func (f *Follower) RegainedAt() boottime.Instant { return boottime.Instant(f.regainedAt.Load()) }

// Lost reports whether the store does not answer.
func (f *Follower) Lost() bool { return f.lost.Load() }

// ProvenAt returns the latest moment at which the reader's state is proven to have
// been the newest; 0 if there is none.
func (f *Follower) ProvenAt() boottime.Instant { return boottime.Instant(f.provenAt.Load()) }

// AdoptProof adopts the proof of a peer that the topic had the given end at a moment.
// It ignores the proof unless all records up to that end have been applied here.
func (f *Follower) AdoptProof(end int64, at boottime.Instant) {
	if applied := f.applied.Load(); applied < 0 || applied < end {
		return
	}
	f.prove(at)
}

// prove raises provenAt; it ignores earlier moments.
func (f *Follower) prove(at boottime.Instant) {
	for {
		known := f.provenAt.Load()
		if int64(at) <= known || f.provenAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ObservePeer reports up to which offset the peer at an address has applied records.
// If the peer is ahead, its records will be fetched. It does not block.
func (f *Follower) ObservePeer(applied int64, address string) {
	if applied <= f.applied.Load() {
		return
	}
	select {
	case f.ahead <- address:
	default:
	}
}

// Wake interrupts waits for peers and backoffs, so that Leads and Probes are evaluated
// again. It does not block.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Loaded reports whether a first snapshot of the topic has been applied.
func (f *Follower) Loaded() bool { return f.applied.Load() >= 0 }

// Run follows the topic until ctx ends and returns nil then.
func (f *Follower) Run(ctx context.Context) error {
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			backoff = initialBackoff
		case ctx.Err() != nil:
		case errors.Is(err, ErrExpired):
			f.opts.Log.WithField("event", "history_expired").WithField("offset", f.next).Info("records have expired; reading the newest record of each key")
			f.next = -1
		default:
			f.markLost(err)
			f.backOff(ctx, f.pauseAfterFailure(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	switch {
	case f.next < 0:
		return f.bootstrap(ctx)
	case f.lost.Load():
		// Contact is regained by a read of this instance itself.
		return f.probe(ctx)
	case f.opts.Leads():
		return f.readStore(ctx, f.readInterval(f.opts.Wait))
	}
	select {
	case address := <-f.ahead:
		return f.readPeer(ctx, address)
	case <-f.wake:
	case <-ctx.Done():
	}
	return nil
}

// bootstrapPollInterval is the time between two checks whether the bootstrap should
// still wait for a peer.
const bootstrapPollInterval = 20 * time.Millisecond

// bootstrap loads the newest record of every key from a peer, or from the store if no
// peer relays them in time.
func (f *Follower) bootstrap(ctx context.Context) error {
	for f.opts.PeerWait != nil && f.opts.PeerWait() > 0 && ctx.Err() == nil {
		select {
		case address := <-f.ahead:
			err := f.fetchFromPeer(ctx, address)
			if err == nil {
				return nil
			}
			f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("peer did not relay a snapshot; waiting for another peer")
		case <-time.After(bootstrapPollInterval):
		case <-ctx.Done():
		}
	}
	return f.readNewest(ctx)
}

// readNewest reads a snapshot from the store and restarts from it.
func (f *Follower) readNewest(ctx context.Context) error {
	started := boottime.Now()
	records, next, err := f.opts.Store.Newest(ctx, f.opts.Topic)
	if err != nil {
		return err
	}
	f.markRegained()
	f.opts.Reader.Replace(records)
	f.history.restart(records, next)
	f.advance(next, next, started)
	return nil
}

// standbyFactor is the factor by which reads are less frequent on standby. Changes
// that the leader misses are still applied within the time limit for withdrawn
// backend servers.
const standbyFactor = 2

func (f *Follower) readInterval(interval time.Duration) time.Duration {
	if f.opts.Standby != nil && f.opts.Standby() {
		return standbyFactor * interval
	}
	return interval
}

// readStore makes one read from the store.
func (f *Follower) readStore(ctx context.Context, wait time.Duration) error {
	started := boottime.Now()
	late := time.AfterFunc(wait+lateMargin, func() { f.markLost(errLate) })
	p, err := f.opts.Store.Read(ctx, f.opts.Topic, f.next, wait)
	late.Stop()
	if err != nil {
		return err
	}
	f.markRegained()
	f.apply(p.Records, p.Next)
	f.advance(p.Next, p.End, started)
	if len(p.Records) > 0 {
		f.opts.Changed()
		pause.For(ctx, f.readInterval(f.opts.MinReadInterval)-boottime.Now().Since(started))
	}
	return nil
}

// readPeer fetches the missing records from a peer, or reads the store if the peer
// does not relay them.
func (f *Follower) readPeer(ctx context.Context, address string) error {
	err := f.fetchFromPeer(ctx, address)
	if err == nil {
		return nil
	}
	f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("peer did not relay records; reading the store")
	return f.readStore(ctx, 0)
}

// fromNewest is the offset that requests a snapshot from a peer.
const fromNewest = -1

// fetchFromPeer fetches the missing records from a peer, or a snapshot if the peer no
// longer keeps all of them.
func (f *Follower) fetchFromPeer(ctx context.Context, address string) error {
	if f.next < 0 {
		return f.fetchRelayed(ctx, address, fromNewest)
	}
	err := f.fetchRelayed(ctx, address, f.next)
	if errors.Is(err, ErrNotKept) {
		err = f.fetchRelayed(ctx, address, fromNewest)
	}
	return err
}

func (f *Follower) fetchRelayed(ctx context.Context, address string, from int64) error {
	p, err := f.opts.Relay.Fetch(ctx, address, f.opts.Topic, from)
	if err != nil {
		return err
	}
	if p.Next < f.applied.Load() {
		return ErrNotKept
	}
	if p.Regained != nil {
		f.regainedAt.Store(int64(boottime.Now() - boottime.Instant(*p.Regained)))
	}
	if p.Snapshot {
		f.opts.Reader.Replace(p.Records)
		f.history.restart(p.Records, p.Next)
		f.end.Store(p.Next)
	} else {
		f.apply(p.Records, p.Next)
	}
	f.next = p.Next
	f.opts.Reader.CaughtUp()
	f.applied.Store(p.Next)
	return nil
}

func (f *Follower) apply(records []Record, next int64) {
	for _, r := range records {
		f.opts.Reader.Apply(r)
	}
	f.history.add(records, next)
}

func (f *Follower) advance(next, end int64, started boottime.Instant) {
	f.next = next
	f.end.Store(end)
	if next < end {
		f.applied.Store(next)
		return
	}
	// The records are published before the follower counts as loaded.
	f.opts.Reader.CaughtUp()
	f.applied.Store(next)
	f.readAt.Store(int64(started))
	f.prove(started)
}

func (f *Follower) markRegained() {
	f.probes = 0
	if !f.lost.Swap(false) {
		return
	}
	f.regainedAt.Store(int64(boottime.Now()))
	f.opts.Changed()
	if f.opts.Regained != nil {
		f.opts.Regained()
	}
	f.opts.Log.WithField("event", "store_regained").Info("store answers again")
}

func (f *Follower) markLost(err error) {
	if f.lost.Swap(true) {
		return
	}
	f.opts.Changed()
	f.opts.Log.WithError(err).WithField("event", "store_lost").Warn("store does not answer")
}
