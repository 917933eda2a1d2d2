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

// Options are what a Follower works with.
type Options struct {
	Store Store
	Topic string
	// Leads reports whether this instance reads the topic at the store. The
	// others take the records from a peer that has taken more.
	Leads func() bool
	// Standby reports whether another instance reads the topic before this one, which
	// then reads at a slower pace, only to find out when that one fails; nil means
	// never.
	Standby func() bool
	// Probes reports whether this instance is among those that find out first
	// when the store answers again.
	Probes func() bool
	// PeerWait returns how much longer to wait for a peer to begin from, before the
	// store is read; nil waits for none.
	PeerWait func() time.Duration
	// Wait is how long a read at the store waits for a change.
	Wait time.Duration
	// MinReadInterval is the least time between the starts of two reads that bring
	// something, so that several changes come at once.
	MinReadInterval time.Duration
	Reader          Reader
	// Relay reaches the peers.
	Relay Relay
	// Changed is called when records were taken from the store, or contact with
	// it was lost or regained.
	Changed func()
	// Regained is called when the store answers again after an outage; nil for
	// nothing.
	Regained func()
	Log      *logrus.Entry
}

// Follower keeps a Reader up to date with one topic. Its methods but Run are
// safe for concurrent use.
type Follower struct {
	opts    Options
	history history
	// next is the offset to read from; -1 before the first read.
	next int64
	// end is the known end of the topic.
	end atomic.Int64
	// provenAt is the moment at which the reader's state was surely the newest:
	// the start of the latest read that showed the end, or what a peer proves.
	provenAt atomic.Int64
	// readAt is the same of the own reads alone.
	readAt atomic.Int64
	// applied is the offset up to which the reader has taken all records; -1
	// before the first read.
	applied atomic.Int64
	// regainedAt is when the store answered again after an outage.
	regainedAt atomic.Int64
	// lost is true while the store does not answer.
	lost atomic.Bool
	// probes counts the reads since the store was lost.
	probes int
	// ahead holds the address of a peer that has taken more records.
	ahead chan string
	// wake ends a wait for peers.
	wake chan struct{}
}

// lateMargin is the time over the wait of a read after which the store counts
// as lost, so that another instance leads: many times what an answer takes.
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

// Applied returns the offset up to which the reader has taken all records; -1
// before the first read.
func (f *Follower) Applied() int64 { return f.applied.Load() }

// End returns the latest known end of the topic.
func (f *Follower) End() int64 { return f.end.Load() }

// ReadAt returns the start of the latest own read that showed the end.
func (f *Follower) ReadAt() boottime.Instant { return boottime.Instant(f.readAt.Load()) }

// RegainedAt returns when the store answered again after an outage; 0 if there
// was none.
func (f *Follower) RegainedAt() boottime.Instant { return boottime.Instant(f.regainedAt.Load()) }

// Lost reports whether the store does not answer.
func (f *Follower) Lost() bool { return f.lost.Load() }

// ProvenAt returns the moment at which the reader's state was surely the newest.
func (f *Follower) ProvenAt() boottime.Instant { return boottime.Instant(f.provenAt.Load()) }

// AdoptProof takes over the proof of a peer that at a moment the topic had the given
// end, if all records up to it were taken here.
func (f *Follower) AdoptProof(end int64, at boottime.Instant) {
	if applied := f.applied.Load(); applied < 0 || applied < end {
		return
	}
	f.prove(at)
}

// prove keeps the latest proof.
func (f *Follower) prove(at boottime.Instant) {
	for {
		known := f.provenAt.Load()
		if int64(at) <= known || f.provenAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// ObservePeer hears how far a peer has come.
func (f *Follower) ObservePeer(applied int64, address string) {
	if applied <= f.applied.Load() {
		return
	}
	select {
	case f.ahead <- address:
	default:
	}
}

// Wake ends a wait for peers.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Loaded reports whether the topic was ever read to its end.
func (f *Follower) Loaded() bool { return f.applied.Load() >= 0 }

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := f.step(ctx)
		switch {
		case err == nil:
			backoff = initialBackoff
		case ctx.Err() != nil:
		case errors.Is(err, ErrExpired):
			f.opts.Log.WithField("event", "history_expired").WithField("offset", f.next).Info("records expired; reading the newest of each key")
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
		// Contact that was lost is regained by a read of its own.
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

// bootstrapPollInterval is the pause between two looks for a peer to begin from.
const bootstrapPollInterval = 20 * time.Millisecond

// bootstrap takes the newest record of every key from a peer, or from the store where
// no peer is heard of in time.
func (f *Follower) bootstrap(ctx context.Context) error {
	for f.opts.PeerWait != nil && f.opts.PeerWait() > 0 && ctx.Err() == nil {
		select {
		case address := <-f.ahead:
			err := f.fetchFromPeer(ctx, address)
			if err == nil {
				return nil
			}
			f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("a peer did not pass on all records; looking for another")
		case <-time.After(bootstrapPollInterval):
		case <-ctx.Done():
		}
	}
	return f.readNewest(ctx)
}

// readNewest begins anew with the newest record of every key.
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

// standbyFactor is by how much slower an instance reads that only stands by. What
// the first one misses is still known within the time for a withdrawn server.
const standbyFactor = 2

func (f *Follower) readInterval(interval time.Duration) time.Duration {
	if f.opts.Standby != nil && f.opts.Standby() {
		return standbyFactor * interval
	}
	return interval
}

// readStore makes one read at the store.
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

// readPeer takes the records that a peer has taken before; where it does not
// answer, the store is asked.
func (f *Follower) readPeer(ctx context.Context, address string) error {
	err := f.fetchFromPeer(ctx, address)
	if err == nil {
		return nil
	}
	f.opts.Log.WithError(err).WithField("event", "relay_failed").WithField("peer", address).Info("a peer did not pass on records; asking the store")
	return f.readStore(ctx, 0)
}

// fromNewest asks a peer for the newest record of every key.
const fromNewest = -1

// fetchFromPeer takes the records that are missing from a peer, or the newest of
// every key where it does not have all of them any more.
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
	f.applied.Store(p.Next)
	f.opts.Reader.CaughtUp()
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
	f.applied.Store(next)
	if next < end {
		return
	}
	f.opts.Reader.CaughtUp()
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
