package claims

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/records"
)

// ShardCount is the number of shards of the claims stream. The shard depends on
// the key alone, so that the same key of two client accounts is in one shard.
const ShardCount = 16

// shardOf returns the shard of a key.
func shardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

type keyID struct{ account, key string }

// entry is the state of one key with the data that is local to this instance.
type entry struct {
	keyState
	// readAt is when this instance read the claim, and ageAtRead the age of the
	// claim at that time according to a snapshot, or 0.
	readAt    time.Time
	ageAtRead time.Duration
}

// shard holds the keys of one shard under its own lock.
type shard struct {
	answers *answerMemory
	memory  *keyMemory
	// start is the time that the times of entries are relative to.
	start time.Time
	mu    sync.Mutex
	keys  table
	// waiters receive the effect of a claim, by claim ID.
	waiters map[string]chan effect
	// unread holds the outcomes of this instance that were not read back yet, by claim ID.
	unread map[string]*unreadOutcome
	// gapEnd is the offset that follows the last missed records; 0 if none were
	// missed.
	gapEnd int64
	// coveredBelow is the highest offset below which checkpoints cover every
	// claim.
	coveredBelow int64
	// doubts are the keys whose holder is in doubt since the last missed records.
	doubts map[keyID]doubt
}

func newShard(answers *answerMemory, memory *keyMemory) *shard {
	return &shard{answers: answers, memory: memory, start: time.Now(), waiters: map[string]chan effect{}, unread: map[string]*unreadOutcome{}, doubts: map[keyID]doubt{}}
}

// get returns the entry of a key. An outcome of this instance that the log has confirmed counts although it was not
// read back yet. If its answer is not in memory, the returned channel is closed when it has been read back.
func (s *shard) get(id keyID) (entry, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys.get(id.pack()).unpack(s.start)
	outcome := s.unread[e.claimID]
	if e.phase != phaseHeld || outcome == nil {
		return e, nil
	}
	if outcome.answer == nil {
		return e, outcome.removed
	}
	e.phase, e.answer = phaseDone, outcome.answer
	return e, nil
}

// shared reports whether several client accounts hold the key, so that the
// service can't distinguish their calls.
func (s *shard) shared(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys.holders(packText(key)) > 1
}

// wait registers a claim and returns a channel that receives its effect.
func (s *shard) wait(claimID string) <-chan effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan effect, 1)
	s.waiters[claimID] = done
	return done
}

// giveUp removes the waiter of a claim.
func (s *shard) giveUp(claimID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, claimID)
}

// applyRecord applies a record and sends its effect to the waiter of its claim.
// It returns the effect, and whether there was a waiter that may use it.
func (s *shard) applyRecord(offset int64, r *records.Claim, now time.Time) (effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Step == records.ClaimCheckpoint {
		s.coveredBelow = max(s.coveredBelow, r.Through)
		s.removeCoveredDoubtsLocked()
		return effectNone, false
	}
	id := keyID{account: r.Account, key: r.Key}
	old := s.keys.get(id.pack()).unpack(s.start)
	state, result := s.apply(old.keyState, offset, r)
	if d, ok := s.doubtLocked(id, &old); ok {
		state = s.settleLocked(id, d, state, offset, r)
	}
	doubtful := result == effectAccepted && s.mayFollowMissedClaim(r)
	if doubtful {
		s.doubts[id] = doubt{claimID: r.ClaimID, missed: old.keyState}
	}
	s.store(id, old, state, r, now)
	if old.phase == phaseHeld && (state.phase != phaseHeld || state.claimID != old.claimID) {
		s.removeUnreadLocked(old.claimID)
	}
	waiter, waited := s.waiters[r.ClaimID]
	if result == effectNone || !waited {
		return result, false
	}
	delete(s.waiters, r.ClaimID)
	if doubtful {
		waiter <- effectDoubtful
		return result, false
	}
	waiter <- result
	return result, true
}

// apply is the function apply, except that it also takes outcomes and snapshots of claims that may be among the missed
// records.
func (s *shard) apply(state keyState, offset int64, r *records.Claim) (keyState, effect) {
	if s.mayMissClaim(&state, r) {
		state.fence = 0
	}
	return apply(state, offset, r)
}

// mayMissClaim reports whether a record is the outcome or a snapshot of a claim that may be among the missed records, for
// a key that was free before them. The release that freed the key does not apply to that claim, and neither do copies of
// releases that follow the gap. Without this, the key would stay free, and its call could run a second time. Claims keep
// the fence, since all instances have to agree on those that it voids, also instances of earlier builds.
func (s *shard) mayMissClaim(known *keyState, r *records.Claim) bool {
	if known.phase != phaseFree || known.freed >= s.gapEnd || slices.Contains(known.released, r.ClaimID) {
		return false
	}
	if r.Snapshot {
		return r.Origin >= known.freed && r.Origin < s.gapEnd
	}
	return r.Step == records.ClaimDone || r.Step == records.ClaimUnknown
}

// store replaces the entry of a key. A new claim gets a new readAt and age.
func (s *shard) store(id keyID, old entry, state keyState, r *records.Claim, now time.Time) {
	fresh := entry{keyState: state, readAt: old.readAt, ageAtRead: old.ageAtRead}
	if old.claimID != state.claimID {
		fresh.readAt, fresh.ageAtRead = now, time.Duration(r.AgeSeconds)*time.Second
	}
	if old.phase == phaseDone && old.answer == nil && old.claimID == state.claimID {
		// A snapshot does not return a dropped answer to memory. It moves its offset.
		fresh.answer = nil
	}
	packed := fresh.pack(id.pack(), s.start)
	s.memory.used.Add(packed.bytes() - s.keys.get(packed.packedID).bytes())
	s.keys.put(packed)
	s.answers.update(s, id, old, fresh)
}

// noteGap records that records below an offset were missed. They may include the unread outcomes, which would never
// be read back then.
func (s *shard) noteGap(below int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gapEnd = below
	for claimID := range s.unread {
		s.removeUnreadLocked(claimID)
	}
}

// complete reports whether every claim of the window was read, either itself or
// as a snapshot.
func (s *shard) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coveredBelow >= s.gapEnd
}
