package claims_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/standin/logservice"
)

// TestSnapshotsOfInstancesWithOtherLimits guards against snapshots that instances with another limit on answers do not
// understand. The one without a limit has the behaviour of builds before answers were dropped. Each makes the calls and
// the snapshots once; then retention removes the original records. Both, and instances of both kinds that start
// afterwards, give the same answers, also after a second snapshot by the other instance.
func TestSnapshotsOfInstancesWithOtherLimits(t *testing.T) {
	const count, size = 700, 1000
	for _, limits := range [][2]int64{{0, answerLimit}, {answerLimit, 0}} {
		t.Run(fmt.Sprintf("first %d, then %d", limits[0], limits[1]), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(0)
				started := []*claims.Coordinator{}
				start := func(limit int64) *claims.Coordinator {
					c := claims.New(log, logAppender{log}, func(int) bool { return true }, fmt.Sprint("entry-", len(started)), "first")
					c.LimitAnswers(limit, 0)
					t.Cleanup(follow(c))
					started = append(started, c)
					return c
				}
				mustRepeatSome := func() {
					for i := 0; i < count; i += 5 {
						for _, c := range started {
							mustRepeat(t, c, i, size)
						}
					}
				}
				first, second := start(limits[0]), start(limits[1])
				bookMany(t, first, count, size)
				mustRepeatSome()
				for round, c := range []*claims.Coordinator{first, second} {
					end := c.Position()
					sweepFor(t, c)
					must.Eq(t, (round+1)*claims.ShardCount, checkpoints(t, log))
					log.Trim(platform.StreamClaims, end/2)
					start(limits[0])
					start(limits[1])
					mustRepeatSome()
					// More calls move the snapshot records to the older half of the log.
					for i := range 2 * count {
						_, refused := c.Do(t.Context(), callOf(fmt.Sprintf("round-%d-%d", round, i)), sendAnswered)
						must.Nil(t, refused, must.Sprint(refused))
					}
					time.Sleep(time.Second)
				}
				must.Positive(t, snapshotsBy(t, log, "entry-1"))
			})
		})
	}
}

// snapshotsBy returns the number of snapshot records with an answer that an instance has written.
func snapshotsBy(t *testing.T, log *logservice.Service, instance string) int {
	t.Helper()
	count := 0
	for _, record := range allClaims(t, log) {
		if record.Snapshot && record.Writer.Instance == instance && record.Step == records.ClaimDone && record.Answer != nil {
			count++
		}
	}
	return count
}
