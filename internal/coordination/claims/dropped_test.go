package claims_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

const (
	// Answers of these tests are answerDistance records apart in the log.
	distantAnswers = 2000
	answerDistance = 20
	// span is the number of records that the snapshot covers, half of the log.
	span = distantAnswers * answerDistance
)

// distantLog returns a log whose older half holds answers that are far apart. The records in between are checkpoints
// without effect.
func distantLog(t *testing.T) *logservice.Service {
	t.Helper()
	log := logservice.New(0)
	all := make([]json.RawMessage, 2*span)
	for offset := range all {
		all[offset] = json.RawMessage(`{"step":"checkpoint"}`)
	}
	for i := range distantAnswers {
		key := keyOf(i)
		raw, err := json.Marshal(records.Claim{Step: records.ClaimDone, Account: "technicians", Key: key, ClaimID: "claim of " + key, Fingerprint: "body", Answer: answerOf(key, 100)})
		must.NoError(t, err)
		all[i*answerDistance] = raw
	}
	_, err := log.Append(t.Context(), platform.StreamClaims, all)
	must.NoError(t, err)
	return log
}

// TestReadsOfASnapshot guards against snapshots that make a read for each dropped answer: a shard of 2,000 such answers
// would take as many calls one after the other. Each read begins with an answer and covers all answers of the following
// pageRecords records, so that the next read begins at least pageRecords further on. All reads begin in the span of the
// snapshot, which bounds their number by span/pageRecords, rounded up. One read that fails ends the sweep, and the next
// sweep continues where it ended.
func TestReadsOfASnapshot(t *testing.T) {
	const recordBytes = 2 * (16<<10*4/3 + 1<<10) // of a page, at most
	for _, test := range []struct{ pageRecords, failsAfter int }{{500, 0}, {500, 30}, {22, 0}} {
		t.Run(fmt.Sprintf("page=%d, fails after %d reads", test.pageRecords, test.failsAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := distantLog(t)
				c := claims.New(log, logAppender{log}, func(int) bool { return true }, "entry-1", "first")
				c.LimitAnswers(1, int64(test.pageRecords)*recordBytes) // keeps none in memory
				stop := follow(c)
				defer stop()
				must.Eq(t, 2*span, c.Position())
				reads, failed := 0, false
				log.OnRead(func(_ string, from int64) logservice.Fault {
					if from >= span {
						return logservice.FaultNone
					}
					if test.failsAfter > 0 && reads == test.failsAfter && !failed {
						failed = true
						return logservice.FaultRefuse
					}
					reads++
					return logservice.FaultNone
				})
				sweepFor(t, c)
				if failed {
					_, found := appended(t, log)
					must.Zero(t, found)
					sweepFor(t, c)
				}
				must.Eq(t, test.failsAfter > 0, failed)
				snapshots, checkpoints := appended(t, log)
				must.Eq(t, distantAnswers, snapshots)
				must.Eq(t, claims.ShardCount, checkpoints)
				bound := (span + test.pageRecords - 1) / test.pageRecords
				must.LessEq(t, bound, reads)
				t.Logf("%d reads, at most %d", reads, bound)
				log.SetOutage(false)
				log.Trim(platform.StreamClaims, span)
				fresh, stopFresh := startLimited(log, "entry-2")
				defer stopFresh()
				for i := range distantAnswers {
					mustRepeat(t, fresh, i, 100)
				}
			})
		})
	}
}

// replacedRecord is a log that returns another record at one offset while replaced is true.
type replacedRecord struct {
	*logservice.Service
	offset   int64
	replaced bool
}

// Read implements eventlog.Log.
func (l *replacedRecord) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	page, err := l.Service.Read(ctx, stream, from, limit, wait)
	if i := l.offset - from; err == nil && l.replaced && i >= 0 && i < int64(len(page.Records)) {
		page.Records[i] = json.RawMessage(`{}`)
	}
	return page, err
}

// TestSnapshotWithoutOneAnswer guards against a record that does not hold its answer and keeps all shards from having
// a checkpoint, and all other claims from being appended again before retention removes them.
func TestSnapshotWithoutOneAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &replacedRecord{Service: distantLog(t), offset: 10 * answerDistance}
		c, stop := startLimited(log, "entry-1")
		defer stop()
		log.replaced = true
		sweepFor(t, c)
		log.replaced = false
		snapshots, checkpoints := appended(t, log.Service)
		must.Eq(t, distantAnswers-1, snapshots)
		must.Eq(t, claims.ShardCount-1, checkpoints)
		sweepFor(t, c)
		snapshots, checkpoints = appended(t, log.Service)
		must.Eq(t, distantAnswers, snapshots)
		must.Eq(t, claims.ShardCount, checkpoints)
	})
}

// appended returns the number of snapshot records and checkpoints that sweeps have appended to distantLog.
func appended(t *testing.T, log *logservice.Service) (snapshots, checkpoints int) {
	t.Helper()
	page, err := log.Read(t.Context(), platform.StreamClaims, 2*span, math.MaxInt, 0)
	must.NoError(t, err)
	for _, raw := range page.Records {
		var record records.Claim
		must.NoError(t, json.Unmarshal(raw, &record))
		if record.Snapshot {
			snapshots++
		}
		if record.Step == records.ClaimCheckpoint {
			checkpoints++
		}
	}
	return snapshots, checkpoints
}
