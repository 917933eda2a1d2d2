package claims

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/records"
)

// TestGiveUpReturnsDeliveredEffect covers the moment between the reading
// of a claim and the end of its wait: the claim must not be left behind, for
// the reader has told its waiter and will not release it.
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
