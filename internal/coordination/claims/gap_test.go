package claims_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/standin/logservice"
)

// TestRepeatedReleaseAfterAGapOfAClaim guards against a call that runs twice: an instance misses the second claim of a
// key, and reads a copy of the release of the first one before the outcome or a snapshot of the second one, which must
// take the key nevertheless. It also guards against keys that stay blocked although no claim holds them, by late
// snapshots, copies of outcomes, or claims whose writer had not read the copy of the release, which earlier builds treat
// as void.
func TestRepeatedReleaseAfterAGapOfAClaim(t *testing.T) {
	type list = []records.Claim
	claim := func(number string, seen int64) records.Claim {
		return records.Claim{Step: records.ClaimStart, ClaimID: number + " claim", Seen: seen}
	}
	as := func(step records.ClaimStep, r records.Claim) records.Claim {
		if r.Step = step; step == records.ClaimDone {
			r.Answer = &records.KeptAnswer{Status: 201}
		}
		return r
	}
	snapshot := func(r records.Claim, origin int64) records.Claim {
		r.Snapshot, r.Origin = true, origin
		return r
	}
	first, second, third := claim("first", 0), claim("second", 2), claim("third", 4)
	released, secondReleased := as(records.ClaimReleased, first), as(records.ClaimReleased, second)
	done, unknown, forgotten := as(records.ClaimDone, second), as(records.ClaimUnknown, second), as(records.ClaimForgotten, second)
	cases := []struct {
		name          string
		missed, after list
		want          string
	}{
		{"answer", list{second}, list{released, done}, "answer"},
		{"lost answer", list{second}, list{released, unknown}, "unknown"},
		{"snapshot", list{second}, list{released, snapshot(second, 2)}, "unknown"},
		{"snapshot, then answer", list{second}, list{released, snapshot(second, 2), released, done}, "answer"},
		{"snapshot of a missed answer", list{second, done}, list{released, released, snapshot(done, 3)}, "answer"},
		{"snapshot of a released claim", list{second}, list{secondReleased, released, snapshot(second, 2)}, "runs"},
		{"snapshot of a void claim", list{second, secondReleased}, list{released, third, released, snapshot(third, 5)}, "runs"},
		{"void claim", list{second, secondReleased}, list{released, third}, "runs"},
		{"forgotten", list{second}, list{released, done, forgotten, done}, "runs"},
	}
	for _, c := range cases {
		for _, restarted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, restarted=%v", c.name, restarted), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					must.Eq(t, c.want, resultAfterAGap(t, list{first, released}, c.missed, c.after, restarted))
				})
			})
		}
	}
}

// TestSnapshotFromBeforeAGap guards against a key that is blocked by a late snapshot of a claim whose release this
// instance read before it missed records.
func TestSnapshotFromBeforeAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := records.Claim{Step: records.ClaimStart, ClaimID: "first claim"}
		released, other, late := first, first, first
		released.Step = records.ClaimReleased
		other.Step, other.ClaimID = records.ClaimReleased, "second claim"
		late.Snapshot = true
		must.Eq(t, "runs", resultAfterAGap(t, []records.Claim{first, released}, []records.Claim{other}, []records.Claim{other, late}, false))
	})
}

// resultAfterAGap lets an instance read some records of a key, miss some, and read others and the checkpoints that cover
// the gap. If it is restarted in between, it has read none of the first. It returns the result of a call with the key.
func resultAfterAGap(t *testing.T, read, missed, after []records.Claim, restarted bool) string {
	log := logservice.New(0)
	appendAll := func(list []records.Claim) {
		for _, r := range list {
			r.Account, r.Key, r.Fingerprint = callOf("key").Account, "key", callOf("key").Fingerprint
			raw, err := json.Marshal(r)
			must.NoError(t, err)
			_, err = log.Append(t.Context(), platform.StreamClaims, []json.RawMessage{raw})
			must.NoError(t, err)
		}
	}
	appendAll(read)
	c, stop := start(log, "entry-1")
	defer func() { stop() }()
	log.OnRead(func(string, int64) logservice.Fault { return logservice.FaultRefuse })
	time.Sleep(time.Minute)
	appendAll(missed)
	through := int64(len(read) + len(missed))
	log.Trim(platform.StreamClaims, through)
	appendAll(after)
	for shard := range claims.ShardCount {
		appendAll([]records.Claim{{Step: records.ClaimCheckpoint, Shard: shard, Through: through}})
	}
	log.SetOutage(false)
	if restarted {
		stop()
		c, stop = start(log, "entry-1")
	}
	time.Sleep(time.Minute)
	_, refused := c.Do(t.Context(), callOf("new"), sendAnswered)
	must.Nil(t, refused, must.Sprint(refused)) // the gap is covered
	result := "answer"
	_, refused = c.Do(t.Context(), callOf("key"), func(ctx context.Context) (*records.KeptAnswer, bool, error) {
		result = "runs"
		return sendAnswered(ctx)
	})
	if refused != nil {
		must.Eq(t, refusal.Unknown, refused.Outcome)
		return "unknown"
	}
	return result
}
