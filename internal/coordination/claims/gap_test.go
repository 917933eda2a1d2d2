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
	late := claim("late", 2)
	lateReleased, lateDone := as(records.ClaimReleased, late), as(records.ClaimDone, late)
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
		{"answer, then release of a later claim", list{second}, list{late, done, lateReleased}, "answer"},
		{"release of a later claim, then answer", list{second}, list{late, lateReleased, done}, "answer"},
		{"lost answer, then release of a later claim", list{second}, list{late, unknown, lateReleased}, "unknown"},
		{"snapshot, then release of a later claim", list{second}, list{late, snapshot(second, 2), lateReleased}, "unknown"},
		{"released later claim", list{second, secondReleased}, list{late, lateReleased}, "runs"},
		{"released later claim after a late snapshot", list{second, secondReleased}, list{late, snapshot(second, 2), secondReleased, lateReleased}, "runs"},
		{"answer of a later claim", list{second, secondReleased}, list{late, snapshot(second, 2), secondReleased, lateDone}, "answer"},
		{"released later claim that a missed release voids", list{second, secondReleased}, list{late, claim("next", 5), lateReleased}, "unknown"},
		{"answer instead of a later claim", list{second}, list{late, done}, "answer"},
		{"snapshot and release of a later claim, then answer", list{second}, list{late, snapshot(late, 3), lateReleased, done}, "answer"},
		{"released claim of a writer past the gap", list{second, secondReleased}, list{third, snapshot(second, 2), as(records.ClaimReleased, third)}, "runs"},
		{"forgotten later claim", list{second, secondReleased}, list{late, as(records.ClaimForgotten, late), third}, "runs"},
		{"later claim that may run", list{second, secondReleased}, list{late}, "unknown"},
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

// TestReleaseOfAClaimReadBeforeAGap guards against a call that runs twice: an instance has read a claim, misses its release
// and the next claim of the key, and reads a copy of the release after the gap. It also guards against a key that stays
// blocked after the only release.
func TestReleaseOfAClaimReadBeforeAGap(t *testing.T) {
	type list = []records.Claim
	first := records.Claim{Step: records.ClaimStart, ClaimID: "first claim"}
	released, second, snapshot, done, late := first, first, first, first, first
	released.Step = records.ClaimReleased
	second.ClaimID, second.Seen = "second claim", 2
	snapshot.ClaimID, snapshot.Snapshot, snapshot.Origin = second.ClaimID, true, 2
	done.Step, done.ClaimID, done.Answer = records.ClaimDone, second.ClaimID, &records.KeptAnswer{Status: 201}
	late.ClaimID, late.Seen = "late claim", 2
	lateReleased, lateSnapshot := late, snapshot
	lateReleased.Step = records.ClaimReleased
	lateSnapshot.ClaimID, lateSnapshot.Origin = first.ClaimID, 1
	cases := []struct {
		name          string
		missed, after list
		want          string
	}{
		{"answer, then copy", list{released, second}, list{done, released}, "answer"},
		{"copy, then answer", list{released, second}, list{released, done}, "answer"},
		{"snapshot, then copy", list{released, second}, list{snapshot, released}, "unknown"},
		{"later claim, then copy", list{released, released}, list{late, released}, "unknown"},
		{"released later claim, then answer", list{released, second}, list{late, released, lateReleased, done}, "answer"},
		{"only release", list{first}, list{released}, "runs"},
		{"only release, then late snapshot", list{first}, list{released, lateSnapshot}, "runs"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				must.Eq(t, c.want, resultAfterAGap(t, list{first}, c.missed, c.after, false))
			})
		})
	}
}

// TestSnapshotFromBeforeAGap guards against a key that is blocked by a late snapshot of a claim whose release this
// instance read before it missed records, whether the key was free or held by another claim then.
func TestSnapshotFromBeforeAGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := records.Claim{Step: records.ClaimStart, ClaimID: "first claim"}
		released, other, late := first, first, first
		released.Step = records.ClaimReleased
		other.Step, other.ClaimID = records.ClaimReleased, "second claim"
		late.Snapshot = true
		must.Eq(t, "runs", resultAfterAGap(t, []records.Claim{first, released}, []records.Claim{other}, []records.Claim{other, late}, false))
		third, release := first, released
		third.ClaimID, third.Seen, release.ClaimID = "third claim", 2, "third claim"
		must.Eq(t, "runs", resultAfterAGap(t, []records.Claim{first, released, third}, []records.Claim{other}, []records.Claim{release, late}, false))
	})
}

// TestOwnClaimAfterAGap guards against a call that runs although another claim holds its key: an instance that can append
// to the log but not read it claims the key, and retention removes the other claim before reads recover, within the lease
// or after it. It also guards against a claim that is not released then, which would block the key.
func TestOwnClaimAfterAGap(t *testing.T) {
	for _, recovery := range []time.Duration{time.Second, 5 * time.Second} {
		for _, released := range []bool{false, true} {
			t.Run(fmt.Sprintf("reads recover after %v, other claim released=%v", recovery, released), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					log := logservice.New(0)
					c, stop := start(log, "entry-1")
					defer stop()
					log.OnRead(func(string, int64) logservice.Fault { return logservice.FaultRefuse })
					time.Sleep(time.Minute)
					other := records.Claim{Step: records.ClaimStart, ClaimID: "other claim"}
					appendClaims(t, log, other)
					through := int64(1)
					if other.Step = records.ClaimReleased; released {
						appendClaims(t, log, other)
						through++
					}
					log.Trim(platform.StreamClaims, through)
					time.AfterFunc(recovery, func() { log.SetOutage(false) })
					_, refused := c.Do(t.Context(), callOf("key"), func(ctx context.Context) (*records.KeptAnswer, bool, error) {
						t.Error("the call was sent although another claim may hold the key")
						return sendAnswered(ctx)
					})
					must.NotNil(t, refused)
					must.Eq(t, refusal.Unknown, refused.Outcome)
					time.Sleep(time.Minute)
					all := allClaims(t, log)
					must.Eq(t, records.ClaimReleased, all[len(all)-1].Step)
					want := "runs"
					if !released {
						other.Step, other.Answer, want = records.ClaimDone, &records.KeptAnswer{Status: 201}, "answer"
						appendClaims(t, log, other)
					}
					appendCheckpoints(t, log, through)
					time.Sleep(time.Minute)
					must.Eq(t, want, resultOf(t, c))
				})
			})
		}
	}
}

// resultAfterAGap lets an instance read some records of a key, miss some, and read others and the checkpoints that cover
// the gap. If it is restarted in between, it has read none of the first. It returns the result of a call with the key.
func resultAfterAGap(t *testing.T, read, missed, after []records.Claim, restarted bool) string {
	log := logservice.New(0)
	appendClaims(t, log, read...)
	c, stop := start(log, "entry-1")
	defer func() { stop() }()
	log.OnRead(func(string, int64) logservice.Fault { return logservice.FaultRefuse })
	time.Sleep(time.Minute)
	appendClaims(t, log, missed...)
	through := int64(len(read) + len(missed))
	log.Trim(platform.StreamClaims, through)
	appendClaims(t, log, after...)
	appendCheckpoints(t, log, through)
	log.SetOutage(false)
	if restarted {
		stop()
		c, stop = start(log, "entry-1")
	}
	time.Sleep(time.Minute)
	return resultOf(t, c)
}

// appendClaims appends records of the key that these tests call.
func appendClaims(t *testing.T, log *logservice.Service, list ...records.Claim) {
	t.Helper()
	for _, r := range list {
		r.Account, r.Key, r.Fingerprint = callOf("key").Account, "key", callOf("key").Fingerprint
		raw, err := json.Marshal(r)
		must.NoError(t, err)
		_, err = log.Append(t.Context(), platform.StreamClaims, []json.RawMessage{raw})
		must.NoError(t, err)
	}
}

func appendCheckpoints(t *testing.T, log *logservice.Service, through int64) {
	t.Helper()
	for shard := range claims.ShardCount {
		appendClaims(t, log, records.Claim{Step: records.ClaimCheckpoint, Shard: shard, Through: through})
	}
}

// resultOf returns the result of a call with the key at an instance whose gap is covered.
func resultOf(t *testing.T, c *claims.Coordinator) string {
	t.Helper()
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
