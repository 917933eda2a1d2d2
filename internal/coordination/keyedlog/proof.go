package keyedlog

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"medlarslip/internal/boottime"
)

// settleTime is how long after the store was restored its records are considered
// incomplete: those who wrote the lost ones have this time to write them again. The
// platform specifies about two seconds for the entries of servers.
const settleTime = 2 * time.Second

// Revisions are the revisions of a Reader's state, such as the version of a
// configuration. A reader keeps the highest revision that it has applied, also if the
// store has lost it.
type Revisions struct {
	// Known is the highest revision that was applied.
	Known int64
	// Stored is the revision of the newest record in the present era of the store.
	Stored int64
}

// Proof states that up to a position all records were the newest at a moment.
type Proof struct {
	Position Position
	At       boottime.Instant
}

// mark is what a follower has applied, with the revision that it knew then.
type mark struct {
	position Position
	revision int64
}

// Applied returns the position up to which the reader has applied all records; its
// offset is -1 before the first read.
func (f *Follower) Applied() Position { return f.applied.Load().position }

// AppliedRevision returns the position up to which the reader has applied all records,
// and the highest revision that it knew there.
func (f *Follower) AppliedRevision() (Position, int64) {
	m := f.applied.Load()
	return m.position, m.revision
}

// Loaded reports whether a first snapshot of the topic has been applied.
func (f *Follower) Loaded() bool { return f.Applied().Offset >= 0 }

// OwnProof returns the latest proof from this instance's own reads; nil if there is
// none in the present era of the store.
func (f *Follower) OwnProof() *Proof { return f.ownProof.Load() }

// ProvenAt returns the latest moment at which the reader's state is proven to have
// been the newest; 0 if there is none.
func (f *Follower) ProvenAt() boottime.Instant {
	if f.Outdated() {
		return 0
	}
	return boottime.Instant(f.provenAt.Load())
}

// Outdated reports whether a peer at the same position, or before it, knows a higher
// revision: the store has lost it, and this instance never read it.
func (f *Follower) Outdated() bool {
	return f.required.Load() > f.revisions().Known
}

func (f *Follower) revisions() Revisions {
	if f.opts.Revisions == nil {
		return Revisions{}
	}
	return f.opts.Revisions()
}

// AdoptProof adopts the proof of a peer once all records up to its position have been
// applied here. Until then the latest proofs are kept: the datagram that shows an instance
// which records it lacks carries the proof of these records, too. The peer may not know that
// the store was restored: a proof from before the records were complete is ignored.
func (f *Follower) AdoptProof(proof Proof) { f.adoptProof(statedProof{proof, false}) }

// AdoptSettledProof is AdoptProof for the proof of a peer that knew of the restore with which
// the era began, and proves only records that are complete. Its moment is a lower bound, which
// may be before that.
func (f *Follower) AdoptSettledProof(proof Proof) { f.adoptProof(statedProof{proof, true}) }

func (f *Follower) adoptProof(proof statedProof) {
	if f.Applied().Covers(proof.Position) {
		f.prove(proof)
		return
	}
	f.pending.add(proof)
	// The records may have been applied meanwhile.
	f.adoptPendingProofs()
}

// adoptPendingProofs adopts the kept proofs up to whose positions all records have been
// applied.
func (f *Follower) adoptPendingProofs() {
	for _, proof := range f.pending.take(f.Applied()) {
		f.prove(proof)
	}
}

// statedProof is the proof of a peer. settled is true if the peer knew of the restore with
// which the era began.
type statedProof struct {
	Proof
	settled bool
}

// maxPendingProofs bounds the proofs that are kept: those of each leader for two positions.
const maxPendingProofs = 4

// pendingProofs holds the latest proofs of peers whose records have not been applied yet.
type pendingProofs struct {
	mu     sync.Mutex
	proofs []statedProof
}

// add keeps a proof. The one for the earliest moment makes room for it.
func (p *pendingProofs) add(proof statedProof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proofs = append(p.proofs, proof)
	slices.SortFunc(p.proofs, func(a, b statedProof) int { return cmp.Compare(b.At, a.At) })
	p.proofs = p.proofs[:min(len(p.proofs), maxPendingProofs)]
}

// take removes the proofs that the applied records cover, and returns them.
func (p *pendingProofs) take(applied Position) (taken []statedProof) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.proofs = slices.DeleteFunc(p.proofs, func(proof statedProof) bool {
		covered := applied.Covers(proof.Position)
		if covered {
			taken = append(taken, proof)
		}
		return covered
	})
	return taken
}

// prove raises provenAt to the moment of a proof; it ignores earlier moments, and those at
// which the records of the present era were not complete. A proof of a former era is one of
// the records before the restore.
func (f *Follower) prove(proof statedProof) {
	if !f.hasNewest() {
		return
	}
	f.eras.mu.Lock()
	defer f.eras.mu.Unlock()
	if proof.Position.Era == f.eras.read && !proof.settled && int64(proof.At) < f.settledAt.Load() {
		return
	}
	raise(&f.provenAt, int64(proof.At))
}

// raise sets a value unless it is higher already.
func raise(value *atomic.Int64, to int64) {
	for {
		known := value.Load()
		if to <= known || value.CompareAndSwap(known, to) {
			return
		}
	}
}

// proveByRead records the proof of an own read that began at a moment and reached a
// position. After a restore of the store, a read proves nothing until the records are
// settled and include the highest known revision.
func (f *Follower) proveByRead(position Position, began boottime.Instant) {
	if !f.complete(began) {
		return
	}
	f.eras.mu.Lock()
	defer f.eras.mu.Unlock()
	// A peer may have shown the restore meanwhile.
	if int64(began) >= f.settledAt.Load() {
		f.ownProof.Store(&Proof{Position: position, At: began})
		raise(&f.provenAt, int64(began))
	}
}

// complete reports whether the records of the store were complete at a moment, as far
// as this instance knows.
func (f *Follower) complete(at boottime.Instant) bool {
	return int64(at) >= f.settledAt.Load() && f.hasNewest()
}

// hasNewest reports whether the records of the store include the highest known revision.
func (f *Follower) hasNewest() bool {
	revisions := f.revisions()
	return revisions.Stored >= max(revisions.Known, f.required.Load())
}

// Incomplete reports whether the store was restored from an older copy and has not got
// back what this instance knows, so that no reads prove anything.
func (f *Follower) Incomplete() bool { return f.Loaded() && !f.complete(f.opts.Clock()) }

// observeRevision notes the revision that a peer knows at a position.
func (f *Follower) observeRevision(position Position, revision int64) {
	stated := &mark{position, revision}
	if claim := f.claim.Load(); claim == nil || claim.revision <= revision {
		f.claim.Store(stated)
	}
	f.checkRevision(stated)
}

// checkRevision compares the state with what a peer knows: at a position that this
// instance has reached, also in an earlier era, its state must not be older.
func (f *Follower) checkRevision(claim *mark) {
	applied, known := f.AppliedRevision()
	if claim == nil || applied.Before(claim.position) || claim.revision <= known || claim.revision <= f.required.Load() {
		return
	}
	f.required.Store(claim.revision)
	f.ownProof.Store(nil)
	f.fromPeer.Store(false)
	f.opts.Log.WithField("event", "revision_missing").WithField("known", known).WithField("required", claim.revision).
		Warn("a peer knows a newer record that the store has lost; refusing to use the older one")
}
