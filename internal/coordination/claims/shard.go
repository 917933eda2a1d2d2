package claims

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/records"
)

// ShardCount is the number of shards of the claims stream. Keys are sharded
// by the key alone, so that the same key of two client accounts meets.
const ShardCount = 16

func shardOf(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

type keyID struct{ account, key string }

// entry is one key with what this instance alone knows of it.
type entry struct {
	keyState
	// readAt is when this instance read the claim, and age the time before
	// that, as far as snapshots tell.
	readAt    time.Time
	ageAtRead time.Duration
}

// shard holds the keys of one shard under its own lock.
type shard struct {
	mu   sync.Mutex
	keys map[keyID]entry
	// holders counts the accounts that hold a key.
	holders map[string]int
	waiters map[string]chan effect
	// gapEnd is the offset behind the last records that were missed; 0 where
	// nothing was missed.
	gapEnd int64
	// coveredBelow is the highest offset below which every claim was appended
	// again.
	coveredBelow int64
}

func newShard() *shard {
	return &shard{keys: map[keyID]entry{}, holders: map[string]int{}, waiters: map[string]chan effect{}}
}

func (s *shard) get(id keyID) entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[id]
}

// shared reports whether several client accounts hold the key, so that the
// service can't tell their calls apart.
func (s *shard) shared(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[key] > 1
}

// wait registers a claim whose effect is awaited.
func (s *shard) wait(claimID string) <-chan effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	done := make(chan effect, 1)
	s.waiters[claimID] = done
	return done
}

// giveUp ends the wait; a claim read later finds nobody waiting.
func (s *shard) giveUp(claimID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, claimID)
}

// applyRecord applies a record and tells the waiter of its claim. It returns the
// effect, and whether somebody waited.
func (s *shard) applyRecord(offset int64, r *records.Claim, now time.Time) (effect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Step == records.ClaimCheckpoint {
		s.coveredBelow = max(s.coveredBelow, r.Through)
		return effectNone, false
	}
	id := keyID{account: r.Account, key: r.Key}
	old := s.keys[id]
	state, result := apply(old.keyState, offset, r)
	s.store(id, old, state, r, now)
	waiter, waited := s.waiters[r.ClaimID]
	if result == effectNone || !waited {
		return result, false
	}
	delete(s.waiters, r.ClaimID)
	waiter <- result
	return result, true
}

func (s *shard) store(id keyID, old entry, state keyState, r *records.Claim, now time.Time) {
	fresh := entry{keyState: state, readAt: old.readAt, ageAtRead: old.ageAtRead}
	if old.claimID != state.claimID {
		fresh.readAt, fresh.ageAtRead = now, time.Duration(r.AgeSeconds)*time.Second
	}
	s.keys[id] = fresh
	s.countHolder(id.key, old.phase != phaseFree, state.phase != phaseFree)
}

func (s *shard) countHolder(key string, before, after bool) {
	switch {
	case after && !before:
		s.holders[key]++
	case before && !after:
		s.holders[key]--
	}
	if s.holders[key] == 0 {
		delete(s.holders, key)
	}
}

// noteGap notes that the records below an offset were not read.
func (s *shard) noteGap(below int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gapEnd = below
}

// complete reports whether every claim of the window is known.
func (s *shard) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coveredBelow >= s.gapEnd
}
