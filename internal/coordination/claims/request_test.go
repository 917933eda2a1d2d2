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
