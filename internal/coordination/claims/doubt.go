package claims

import (
	"maps"

	"medlarslip/internal/protocol/records"
)

// doubt is the state of a key that a claim read before or after a gap holds, unless a missed claim does. Until the log
// shows which of them holds it, the key counts as held by the claim that was read. Without the other state, the key would
// be free once that claim is released, and the call of the missed claim could run a second time.
type doubt struct {
	// claimID is that of the claim that was read.
	claimID string
	// missed is the state of the key without that claim. Its phase is free or held.
	missed keyState
}

// doubtLocked returns the doubt about the holder of a key, if any. A claim that was read before the missed records may
// have been released among them, so that a missed claim may hold the key.
func (s *shard) doubtLocked(id keyID, known *entry) (doubt, bool) {
	if known.phase == phaseHeld && known.offset < s.gapEnd && s.coveredBelow < s.gapEnd {
		if _, ok := s.doubts[id]; !ok {
			return doubt{claimID: known.claimID, missed: freeKey(known.offset)}, true
		}
	}
	d, ok := s.doubts[id]
	return d, ok
}

// mayFollowMissedClaim reports whether a claim that was accepted here may have been lost to a missed claim. A writer
// that had read the log past the gap when the request arrived would have known the missed claim, and checkpoints cover
// missed claims.
func (s *shard) mayFollowMissedClaim(r *records.Claim) bool {
	return r.Seen < s.gapEnd && s.coveredBelow < s.gapEnd
}

// settleLocked applies a record to the state of a key without the claim in doubt. It returns the state of the key, given
// the one with that claim. A call that was sent ends the doubt, since only the claim that holds the key sends it, and
// it is never released. So does the release of the claim, and a third claim whose writer had read the claim in doubt and
// found the key free: a missed release voids the claim in doubt then.
func (s *shard) settleLocked(id keyID, d doubt, state keyState, offset int64, r *records.Claim) keyState {
	start := r.Step == records.ClaimStart && !r.Snapshot
	if !start && (r.ClaimID != d.claimID || r.Step == records.ClaimReleased) {
		d.missed, _ = s.apply(d.missed, offset, r)
	}
	switch {
	case start && r.Seen > state.offset:
		state, _ = apply(keyState{}, offset, r)
		if s.mayFollowMissedClaim(r) {
			s.doubts[id] = doubt{claimID: r.ClaimID, missed: d.missed}
			return state
		}
	case state.phase == phaseFree:
		// Earlier builds have the fence of this release too.
		d.missed.fence = max(d.missed.fence, state.fence)
		state = d.missed
	case d.missed.phase > phaseHeld:
		state = d.missed
	case state.phase == phaseHeld:
		s.doubts[id] = d
		return state
	}
	delete(s.doubts, id)
	return state
}

// removeCoveredDoubtsLocked removes the doubts that checkpoints settle: no missed claim holds a key that has had no
// snapshot of one.
func (s *shard) removeCoveredDoubtsLocked() {
	if s.coveredBelow < s.gapEnd {
		return
	}
	maps.DeleteFunc(s.doubts, func(_ keyID, d doubt) bool { return d.missed.phase == phaseFree })
}
