package keyedlog

import (
	"context"
	"errors"
	"sync/atomic"

	"medlarslip/internal/boottime"
)

// Follower keeps a Reader up to date with one topic. All methods except Run are safe
// for concurrent use.
type Follower struct {
	opts    Options
	history history
	// next is the offset to read from; -1 before the first read and when a snapshot
	// is needed.
	next int64
	// era is the latest known era of the store.
	era  int64
	eras eras
	// settledAt is when the records of a restored store are considered complete.
	settledAt atomic.Int64
	// merged is true if the state was merged with the records of a restored store
	// that were not complete yet.
	merged bool
	// end is the latest known end of the topic.
	end atomic.Int64
	// provenAt is the latest moment at which the reader's state is proven to have
	// been the newest: the start of the latest own read that reached the end, or the
	// moment of a peer's proof.
	provenAt atomic.Int64
	// ownProof is the same by own reads alone; nil if there is none.
	ownProof atomic.Pointer[Proof]
	pending  pendingProofs
	// fromPeer is true if the snapshot came from a peer, and the store was not restored
	// since.
	fromPeer atomic.Bool
	// applied is up to where the reader has applied all records.
	applied atomic.Pointer[mark]
	// claim is the highest revision that a peer has stated, with the position at which
	// it knew it; nil if none has.
	claim atomic.Pointer[mark]
	// required is the highest revision that a peer knows to be part of the records
	// that are applied here.
	required atomic.Int64
	// regainedAt is when the store answered again after an outage.
	regainedAt atomic.Int64
	// lost is true while the store does not answer; failedAt is when a call last failed.
	lost     atomic.Bool
	failedAt atomic.Int64
	// reachedAt is the latest moment at which the store is known to have answered a peer.
	reachedAt atomic.Int64
	// probes counts the reads since the store was lost.
	probes int
	// ahead holds the address of a peer that has applied more records.
	ahead chan string
	// wake interrupts waits for peers and backoffs, so that Leads and Probes are
	// evaluated again.
	wake chan struct{}
}

// New returns a follower that has read nothing yet.
func New(opts Options) *Follower {
	opts.Log = opts.Log.WithField("topic", opts.Topic)
	if opts.Clock == nil {
		opts.Clock = boottime.Now
	}
	f := &Follower{opts: opts, next: fromNewest, ahead: make(chan string, 1), wake: make(chan struct{}, 1)}
	f.applied.Store(&mark{position: unread})
	return f
}

// Topic returns the name of the topic.
func (f *Follower) Topic() string { return f.opts.Topic }

// End returns the latest known end of the topic.
func (f *Follower) End() int64 { return f.end.Load() }

// Wake interrupts waits for peers and backoffs, so that Leads and Probes are evaluated
// again. It does not block.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

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
			f.next = fromNewest
		default:
			f.markLost(err)
			f.backOff(ctx, f.pauseAfterFailure(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if f.merged && f.untilSettled()+mergeMargin <= 0 {
		f.reconcile()
	}
	switch {
	case f.next < 0:
		return f.bootstrap(ctx)
	case f.lost.Load():
		// Contact is regained by a read of this instance itself.
		return f.probe(ctx)
	case f.opts.Leads():
		return f.readStore(ctx, f.readWait())
	}
	select {
	case address := <-f.ahead:
		return f.readPeer(ctx, address)
	case <-f.wake:
	case <-f.reconcileDue():
	case <-ctx.Done():
	}
	return nil
}

func (f *Follower) apply(records []Record, next int64) {
	for _, r := range records {
		f.opts.Reader.Apply(r)
	}
	f.history.add(records, next)
}

// advance records that the records up to next are applied, by a read that began at a
// moment and found that the topic ends at end.
func (f *Follower) advance(next, end int64, began boottime.Instant) {
	f.next = next
	f.end.Store(end)
	if next < end {
		f.markApplied(next)
		return
	}
	// The records are published before the follower counts as loaded.
	f.opts.Reader.CaughtUp()
	f.markApplied(next)
	f.proveByRead(Position{f.era, next}, began)
}

func (f *Follower) markApplied(next int64) {
	f.applied.Store(&mark{position: Position{f.era, next}, revision: f.revisions().Known})
	f.checkRevision(f.claim.Load())
	f.adoptPendingProofs()
}
