package claims

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/records"
)

// TestGiveUpReturnsDeliveredEffect covers a claim that is read back just before
// its wait ends. Its effect must count: the reader has delivered it and will
// not release the claim, so the key would stay blocked.
func TestGiveUpReturnsDeliveredEffect(t *testing.T) {
	c := New(nil, nil, nil, "entry-1", "first")
	r := &request{c: c, call: &Call{Account: "technicians", Key: "key"}, shard: c.shards[shardOf("key")], claimID: "claim", started: time.Now()}
	seen := r.shard.wait(r.claimID)
	_, waited := r.shard.applyRecord(0, &records.Claim{Step: records.ClaimStart, Account: "technicians", Key: "key", ClaimID: "claim"}, time.Now())
	must.True(t, waited)
	must.Eq(t, eventAccepted, r.giveUp(seen))

	r.claimID = "other claim"
	seen = r.shard.wait(r.claimID)
	must.Eq(t, eventGivenUp, r.giveUp(seen))
	_, waited = r.shard.applyRecord(1, &records.Claim{Step: records.ClaimStart, Account: "technicians", Key: "key", ClaimID: "other claim"}, time.Now())
	must.False(t, waited)
}

func TestLeaseIsCheckedBeforeSend(t *testing.T) {
	c := New(nil, nil, nil, "entry-1", "first")
	now := time.Now()
	c.now = func() time.Time { return now }
	r := &request{c: c, started: now.Add(-lease)}
	must.Eq(t, eventAcceptedLate, r.eventFor(effectAccepted))
	r.started = now.Add(time.Millisecond - lease)
	must.Eq(t, eventAccepted, r.eventFor(effectAccepted))
}

// TestOffsetIsThatOfTheAnswer guards against the loss of an answer by a snapshot whose writer had not read it: a
// dropped answer would be looked up in the wrong record, and the next snapshot would leave it out.
func TestOffsetIsThatOfTheAnswer(t *testing.T) {
	answer := &records.KeptAnswer{Status: 201}
	state, _ := apply(keyState{}, 10, &records.Claim{Step: records.ClaimStart, ClaimID: "claim"})
	state, _ = apply(state, 11, &records.Claim{Step: records.ClaimDone, ClaimID: "claim", Answer: answer})
	for _, stale := range []records.Claim{
		{Step: records.ClaimStart, ClaimID: "claim", Snapshot: true, Origin: 10},
		{Step: records.ClaimUnknown, ClaimID: "claim", Snapshot: true, Origin: 10},
		{Step: records.ClaimDone, ClaimID: "claim"},
	} {
		state, _ = apply(state, 20, &stale)
		must.Eq(t, 11, state.offset)
		must.Eq(t, phaseDone, state.phase)
		must.Eq(t, answer, state.answer)
	}
	state, _ = apply(state, 21, &records.Claim{Step: records.ClaimDone, ClaimID: "claim", Snapshot: true, Origin: 11, Answer: answer})
	must.Eq(t, 21, state.offset)
}

// TestSnapshotKeepsTheAnswerOfTheCall guards against a repetition that gets another answer than the call got: the writer
// of a snapshot that did not find the answer in the log has read a later one from the status of the service.
func TestSnapshotKeepsTheAnswerOfTheCall(t *testing.T) {
	answer, status := &records.KeptAnswer{Status: 201}, &records.KeptAnswer{Status: 200, FromStatus: true}
	done := keyState{phase: phaseDone, claimID: "claim", answer: answer, offset: 11}
	state, _ := apply(done, 20, &records.Claim{Step: records.ClaimDone, ClaimID: "claim", Snapshot: true, Origin: 15, Answer: status})
	must.Eq(t, answer, state.answer)
	must.Eq(t, 11, state.offset)
	done.answer = status
	state, _ = apply(done, 20, &records.Claim{Step: records.ClaimDone, ClaimID: "claim", Snapshot: true, Origin: 10, Answer: answer})
	must.Eq(t, answer, state.answer)
	must.Eq(t, 20, state.offset)
}

// TestCheckpointsEndDoubts guards against doubts that stay in memory, and against a claim that is not sent although
// checkpoints cover the gap before it is read. A snapshot of a missed claim must keep the doubt.
func TestCheckpointsEndDoubts(t *testing.T) {
	s := New(nil, nil, nil, "entry-1", "first").shards[0]
	apply := func(offset int64, r records.Claim) {
		if r.Step == records.ClaimStart && !r.Snapshot {
			r.ClaimID, r.Seen = "claim of "+r.Key, 2
		}
		s.applyRecord(offset, &r, time.Now())
	}
	apply(0, records.Claim{Step: records.ClaimStart, Key: "held"})
	s.noteGap(5)
	apply(5, records.Claim{Step: records.ClaimStart, Key: "missed"})
	apply(6, records.Claim{Step: records.ClaimUnknown, Key: "missed", ClaimID: "missed claim", Snapshot: true, Origin: 2})
	must.MapEmpty(t, s.doubts)
	apply(7, records.Claim{Step: records.ClaimStart, Key: "sent"})
	apply(8, records.Claim{Step: records.ClaimDone, Key: "sent", ClaimID: "claim of sent", Answer: &records.KeptAnswer{Status: 201}})
	must.MapEmpty(t, s.doubts)
	apply(9, records.Claim{Step: records.ClaimStart, Key: "snapshot"})
	apply(10, records.Claim{Step: records.ClaimStart, Key: "snapshot", ClaimID: "missed claim", Snapshot: true, Origin: 3})
	for i, key := range []string{"before", "after"} {
		read := s.wait("claim of " + key)
		apply(int64(11+2*i), records.Claim{Step: records.ClaimStart, Key: key})
		must.Eq(t, []effect{effectDoubtful, effectAccepted}[i], <-read)
		must.MapLen(t, 2-i, s.doubts)
		apply(int64(12+2*i), records.Claim{Step: records.ClaimCheckpoint, Through: 5})
		must.MapLen(t, 1, s.doubts)
	}
	apply(15, records.Claim{Step: records.ClaimReleased, Key: "snapshot", ClaimID: "claim of snapshot"})
	held, _ := s.get(keyID{key: "snapshot"})
	must.Eq(t, "missed claim", held.claimID)
	apply(16, records.Claim{Step: records.ClaimStart, Key: "held", ClaimID: "claim of held", Snapshot: true})
	must.MapEmpty(t, s.doubts)
}
