package claims

import (
	"context"
	"expvar"

	"medlarslip/internal/protocol/records"
)

// unreadShare is the part of the memory of answers that is for those which were not read back yet.
const unreadShare = 1.0 / 8

// unreadAnswerBytes is the memory of answers that the log has confirmed and that were not read back yet.
var unreadAnswerBytes = expvar.NewInt("claims_unread_answer_bytes")

// unreadOutcome is the outcome of a call of this instance that the log has confirmed, but that this instance has not
// read back yet. Without it, a repetition of the call would be refused as in progress until then.
type unreadOutcome struct {
	// answer is nil if there was no memory for it.
	answer *records.KeptAnswer
	bytes  int64
	// removed is closed when the outcome has been read back.
	removed chan struct{}
}

// reserveUnread reserves memory for an answer that was not read back yet, and reports whether there is any.
func (m *answerMemory) reserveUnread(bytes int64) bool {
	if used := m.unread.Add(bytes); m.limit > 0 && used > m.unreadLimit() {
		m.unread.Add(-bytes)
		return false
	}
	unreadAnswerBytes.Add(bytes)
	return true
}

func (m *answerMemory) releaseUnread(bytes int64) {
	m.unread.Add(-bytes)
	unreadAnswerBytes.Add(-bytes)
}

func (m *answerMemory) unreadLimit() int64 { return int64(unreadShare * float64(m.limit)) }

// confirm notes that the log has confirmed the answer of a claim of this instance, unless it has been read back.
func (s *shard) confirm(id keyID, claimID string, answer *records.KeptAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys.get(id.pack()).unpack(s.start)
	if e.phase != phaseHeld || e.claimID != claimID {
		return
	}
	outcome := &unreadOutcome{removed: make(chan struct{})}
	if size := sizeOf(answer); s.answers.reserveUnread(size) {
		outcome.answer, outcome.bytes = answer, size
	}
	s.unread[claimID] = outcome
}

// removeUnreadLocked removes the outcome of a claim, if any.
func (s *shard) removeUnreadLocked(claimID string) {
	outcome, ok := s.unread[claimID]
	if !ok {
		return
	}
	delete(s.unread, claimID)
	s.answers.releaseUnread(outcome.bytes)
	close(outcome.removed)
}

// known returns the entry of the request's key. If the log has confirmed its outcome, but there was no memory for the
// answer until it is read back, known waits for that up to outcomeWait.
func (r *request) known(ctx context.Context) entry {
	known, removed := r.shard.get(r.id())
	if removed == nil {
		return known
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeWait)
	defer cancel()
	select {
	case <-removed:
	case <-ctx.Done():
	}
	known, _ = r.shard.get(r.id())
	return known
}
