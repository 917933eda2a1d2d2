package keyedlog

import (
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
)

// restoreReportTime is for how long after a restore its observation is reported to peers. An
// instance that starts then must learn of it even if some datagrams are lost.
const restoreReportTime = 2 * settleTime

// eras is what a follower knows of the eras of the store. Its lock also guards the moments of
// proofs, so that no proof is adopted while a restore is noted.
type eras struct {
	mu sync.Mutex
	// read is the latest era in which records were read, and readAt when the first of them
	// had arrived.
	read   int64
	readAt boottime.Instant
	// restored is the latest era that is known to have begun with a restore, and observedAt
	// the earliest known moment at which an instance had observed that.
	restored   int64
	observedAt boottime.Instant
	// ofPeer is the earliest era in which a peer has applied records, if ofPeerKnown.
	ofPeer      int64
	ofPeerKnown bool
}

// note notes an observation of a restore. It reports whether it is the first one of its era.
func (e *eras) note(era int64, at boottime.Instant) bool {
	switch {
	case era > e.restored:
		e.restored, e.observedAt = era, at
		return true
	case era == e.restored:
		e.observedAt = min(e.observedAt, at)
	}
	return false
}

// enterEra notes the first response of an era; restored is true if this instance has read
// records of an earlier one.
func (f *Follower) enterEra(era int64, restored bool) {
	now := f.opts.Clock()
	e := &f.eras
	e.mu.Lock()
	defer e.mu.Unlock()
	e.read, e.readAt = era, now
	if restored || (e.ofPeerKnown && e.ofPeer < era) || (e.restored != 0 && e.restored < era) {
		if e.restored > era {
			// What this instance reads counts more than a later era that a peer states.
			e.restored = 0
		}
		e.note(era, now)
	}
	f.settle()
}

// settle derives when the records are considered complete from what is known of the present
// era. The store was restored before any instance observed it, and before anything was read in
// the era.
func (f *Follower) settle() {
	if e := &f.eras; e.restored == e.read && e.read != 0 {
		f.settledAt.Store(int64(min(e.observedAt, e.readAt)) + int64(settleTime))
	}
}

// ObserveRestored notes that an instance had observed at a moment that an era began with a
// restore of the store from an older copy. If this instance has only read records of that
// era, it could not observe that, and withdraws its proofs from before the records were
// complete.
func (f *Follower) ObserveRestored(era int64, at boottime.Instant) {
	e := &f.eras
	e.mu.Lock()
	first := e.note(era, at) && era == e.read
	f.settle()
	if first {
		f.withdrawUnsettled()
	}
	e.mu.Unlock()
	if !first {
		return
	}
	f.fromPeer.Store(false)
	f.opts.Log.WithFields(logrus.Fields{"event": "restore_learned", "era": era, "settles_in_ms": max(f.untilSettled(), 0).Milliseconds()}).
		Warn("a peer or another call knew an earlier era of the store; its records prove nothing until they are complete")
	f.opts.Changed()
}

// withdrawUnsettled withdraws the proofs from before the records were complete.
func (f *Follower) withdrawUnsettled() {
	settledAt := f.settledAt.Load()
	if own := f.ownProof.Load(); own != nil && int64(own.At) < settledAt {
		f.ownProof.Store(nil)
	}
	if f.provenAt.Load() < settledAt {
		f.provenAt.Store(0)
	}
}

// observePeerEra notes the era in which a peer has applied records. If it is before the one
// of this instance, the store was restored after the peer had read it. Era 0 shows nothing: the
// peer may be of a build that states no eras.
func (f *Follower) observePeerEra(position Position) {
	if position.Offset < 0 || position.Era == 0 {
		return
	}
	e := &f.eras
	e.mu.Lock()
	if !e.ofPeerKnown || position.Era < e.ofPeer {
		e.ofPeer, e.ofPeerKnown = position.Era, true
	}
	read, readAt := e.read, e.readAt
	e.mu.Unlock()
	if position.Era < read {
		f.ObserveRestored(read, readAt)
	}
}

// Restored returns the latest era that is known to have begun with a restore, and the
// earliest known moment at which an instance had observed it; false if that is not recent.
func (f *Follower) Restored() (era int64, at boottime.Instant, recent bool) {
	f.eras.mu.Lock()
	era, at = f.eras.restored, f.eras.observedAt
	f.eras.mu.Unlock()
	return era, at, era != 0 && f.opts.Clock().Since(at) < restoreReportTime
}

var errEarlierEra = errors.New("response is of an earlier era of the store; reading again")

// observeEra compares the era of a response with the known one. In a new era, the
// follower needs a snapshot. The error means that the response must not be used.
func (f *Follower) observeEra(era int64) error {
	switch {
	case era < f.era:
		return errEarlierEra
	case era == f.era:
		return nil
	}
	former := f.Applied()
	f.era, f.next = era, fromNewest
	f.ownProof.Store(nil)
	f.enterEra(era, former.Offset >= 0)
	if former.Offset < 0 {
		return nil
	}
	f.merged = true
	f.fromPeer.Store(false)
	// Entries that the copy lacks have the same time to return as after an outage.
	f.regainedAt.Store(int64(f.opts.Clock()))
	f.opts.Log.WithFields(logrus.Fields{"event": "store_restored", "former_era": former.Era, "former_offset": former.Offset, "era": era}).
		Warn("store was restored from an older copy; merging its records with those known")
	f.opts.Changed()
	if f.opts.Restored != nil {
		f.opts.Restored(era)
	}
	return nil
}

// restart applies a snapshot of the present era. Shortly after a restore of the store,
// the snapshot may lack records that this instance knows.
func (f *Follower) restart(records []Record, next int64) {
	if f.merged {
		f.opts.Reader.Merge(records)
	} else {
		f.opts.Reader.Replace(records)
	}
	f.history.restart(records, Position{f.era, next})
}

// mergeMargin is the time after settleTime in which what was written again reaches this
// instance: a read of the leaders and a datagram.
const mergeMargin = time.Second

// reconcileDue returns a channel that receives when the merged state is due to be
// reconciled; nil if it is not merged.
func (f *Follower) reconcileDue() <-chan time.Time {
	if !f.merged {
		return nil
	}
	return time.After(f.untilSettled() + mergeMargin)
}

// untilSettled returns the time until the records of a restored store are considered
// complete.
func (f *Follower) untilSettled() time.Duration {
	return boottime.Instant(f.settledAt.Load()).Since(f.opts.Clock())
}

// reconcile replaces the merged state by the records of the store, once those who
// wrote the lost records had the time to write them again, and this instance to read
// them.
func (f *Follower) reconcile() {
	f.merged = false
	records, position := f.history.snapshot()
	if position.Era != f.era {
		return
	}
	f.opts.Reader.Replace(records)
	f.opts.Reader.CaughtUp()
	f.opts.Log.WithFields(logrus.Fields{"event": "restore_settled", "era": f.era, "offset": position.Offset, "records": len(records)}).
		Info("records of the restored store are in force")
}
