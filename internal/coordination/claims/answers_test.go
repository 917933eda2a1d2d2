package claims_test

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/claims"
	"medlarslip/internal/coordination/eventlog"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/standin/logservice"
)

const (
	largeAnswer = 16 << 10
	// answerLimit has room for a few large answers.
	answerLimit = 4 * 20 << 10
	pageLimit   = 1 << 20
)

// startLimited is start with a limit of the answers in memory.
func startLimited(log eventlog.Log, instance string) (*claims.Coordinator, context.CancelFunc) {
	c := claims.New(log, logAppender{log}, func(int) bool { return true }, instance, "first")
	c.LimitAnswers(answerLimit, pageLimit)
	return c, follow(c)
}

func keyOf(i int) string { return fmt.Sprint("key-", i) }

// answerOf returns an answer that is different for each key.
func answerOf(key string, size int) *records.KeptAnswer {
	body := make([]byte, size)
	copy(body, key)
	return &records.KeptAnswer{Status: 201, ContentType: "application/json", Body: body}
}

// bookMany books keys with answers of a size.
func bookMany(t *testing.T, c *claims.Coordinator, count, size int) {
	t.Helper()
	for i := range count {
		_, refused := c.Do(t.Context(), callOf(keyOf(i)), func(context.Context) (*records.KeptAnswer, bool, error) {
			return answerOf(keyOf(i), size), true, nil
		})
		must.Nil(t, refused, must.Sprint(refused))
	}
	synctest.Wait()
}

// mustRepeat checks that a repeated call gets the answer of its key and is not sent.
func mustRepeat(t *testing.T, c *claims.Coordinator, i, size int) {
	t.Helper()
	got, refused := c.Do(t.Context(), callOf(keyOf(i)), mustNotSend(t))
	must.Nil(t, refused, must.Sprint(refused))
	want := answerOf(keyOf(i), size)
	must.True(t, bytes.Equal(want.Body, got.Body))
	want.Body, got = nil, &records.KeptAnswer{Status: got.Status, ContentType: got.ContentType, FromStatus: got.FromStatus, TooLong: got.TooLong}
	must.Eq(t, want, got)
}

// mustRefuse checks that a repeated call is refused since its answer is not known, and is not sent.
func mustRefuse(t *testing.T, c *claims.Coordinator, i int) {
	t.Helper()
	_, refused := c.Do(t.Context(), callOf(keyOf(i)), mustNotSend(t))
	must.NotNil(t, refused)
	must.Eq(t, refusal.KindLogUnavailable, refused.Kind)
	must.Eq(t, refusal.Unknown, refused.Outcome)
	must.Positive(t, refused.RetryAfterMillis)
}

func counter(name string) int64 { return expvar.Get(name).(*expvar.Int).Value() }

// TestDroppedAnswersAreReadFromTheLog guards against answers that occupy memory without a bound, and against
// repetitions that get another answer, or none, after theirs was dropped. Of the two instances one makes the calls,
// and both get the repetitions.
func TestDroppedAnswersAreReadFromTheLog(t *testing.T) {
	const count = 200
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := startLimited(log, "entry-1")
		defer stop()
		other, stopOther := startLimited(log, "entry-2")
		defer stopOther()
		dropped, reread := counter("claims_answers_dropped"), counter("claims_answers_reread")
		bookMany(t, c, count, largeAnswer)
		must.LessEq(t, answerLimit, counter("claims_answer_bytes"))
		must.LessEq(t, answerLimit/largeAnswer, counter("claims_answers_held"))
		must.GreaterEq(t, int64(2*(count-answerLimit/largeAnswer)), counter("claims_answers_dropped")-dropped)
		reads := 0
		log.OnRead(func(string, int64) logservice.Fault {
			reads++
			return logservice.FaultNone
		})
		mustRepeat(t, c, 0, largeAnswer)
		must.Eq(t, 1, reads)
		mustRepeat(t, c, count-1, largeAnswer) // the last one is in memory
		must.Eq(t, 1, reads)
		for i := range count {
			mustRepeat(t, c, i, largeAnswer)
			mustRepeat(t, other, i, largeAnswer)
		}
		must.Eq(t, int64(reads), counter("claims_answers_reread")-reread)
	})
}

// TestDroppedAnswerWithoutTheLog guards against a call that runs again, or is answered wrongly, where its answer was
// dropped and the log can't be read, or retention has removed the record.
func TestDroppedAnswerWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := startLimited(log, "entry-1")
		defer stop()
		bookMany(t, c, 20, largeAnswer)
		other := callOf(keyOf(0))
		other.Fingerprint = "other body"
		for _, fault := range []logservice.Fault{logservice.FaultRefuse, logservice.FaultHold, logservice.FaultGarbage} {
			log.OnRead(func(string, int64) logservice.Fault { return fault })
			mustRefuse(t, c, 0)
			_, refused := c.Do(t.Context(), other, mustNotSend(t))
			must.Eq(t, refusal.KindKeyReused, refused.Kind)
		}
		log.SetOutage(false)
		mustRepeat(t, c, 0, largeAnswer)
		log.Trim(platform.StreamClaims, 2)
		mustRefuse(t, c, 0)
		mustRepeat(t, c, 1, largeAnswer)
	})
}

// sweepFor sweeps until the first sweep is over.
func sweepFor(t *testing.T, c *claims.Coordinator) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	must.NoError(t, c.Sweep(ctx))
	synctest.Wait()
}

// TestSnapshotHoldsDroppedAnswers guards against snapshots without the answers that were dropped: an instance that
// starts later, and this one, once retention has removed the first records, would not find them. While the log does
// not return them, no checkpoint may say that a snapshot is complete.
func TestSnapshotHoldsDroppedAnswers(t *testing.T) {
	const count, size = 700, 1000
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := startLimited(log, "entry-1")
		defer stop()
		bookMany(t, c, count, size)
		log.OnRead(func(_ string, from int64) logservice.Fault {
			if from < count {
				return logservice.FaultRefuse
			}
			return logservice.FaultNone
		})
		sweepFor(t, c)
		log.SetOutage(false)
		must.Zero(t, checkpoints(t, log))
		sweepFor(t, c)
		must.Eq(t, claims.ShardCount, checkpoints(t, log))
		log.Trim(platform.StreamClaims, count)
		fresh, stopFresh := startLimited(log, "entry-2")
		defer stopFresh()
		for i := range count {
			mustRepeat(t, c, i, size)
			mustRepeat(t, fresh, i, size)
		}
		_, refused := fresh.Do(t.Context(), callOf("new"), sendAnswered)
		must.Nil(t, refused, must.Sprint(refused))
	})
}

// checkpoints returns the number of checkpoints in the log.
func checkpoints(t *testing.T, log *logservice.Service) int {
	t.Helper()
	count := 0
	for _, record := range allClaims(t, log) {
		if record.Step == records.ClaimCheckpoint {
			count++
		}
	}
	return count
}

// TestSnapshotOfRemovedAnswers guards against a shard without further snapshots, and against a key that an instance
// which starts later takes as free, after retention has removed answers before a snapshot held them.
func TestSnapshotOfRemovedAnswers(t *testing.T) {
	const count, size, removed = 700, 1000, 100
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := startLimited(log, "entry-1")
		defer stop()
		bookMany(t, c, count, size)
		log.Trim(platform.StreamClaims, 2*removed)
		_, refused := c.Do(t.Context(), callOf("next"), sendAnswered) // lets the instance read how much was removed
		must.Nil(t, refused)
		sweepFor(t, c)
		must.Eq(t, claims.ShardCount, checkpoints(t, log))
		fresh, stopFresh := startLimited(log, "entry-2")
		defer stopFresh()
		_, refused = fresh.Do(t.Context(), callOf(keyOf(0)), mustNotSend(t))
		must.NotNil(t, refused)
		must.Eq(t, refusal.Unknown, refused.Outcome)
		mustRepeat(t, fresh, removed, size)
	})
}

// TestLimitBoundsPages guards against pages of the log that exceed the memory of a small machine.
func TestLimitBoundsPages(t *testing.T) {
	const count = 100
	synctest.Test(t, func(t *testing.T) {
		log := &pageSizes{Service: logservice.New(0)}
		c, stop := start(log, "entry-1")
		defer stop()
		bookMany(t, c, count, largeAnswer)
		log.largest = 0
		fresh, stopFresh := startLimited(log, "entry-2")
		defer stopFresh()
		must.Eq(t, c.Position(), fresh.Position())
		must.Positive(t, log.largest)
		must.LessEq(t, pageLimit/2, log.largest)
	})
}

// pageSizes is a log that records the largest size of a page that was read.
type pageSizes struct {
	*logservice.Service
	largest int
}

// Read implements eventlog.Log.
func (p *pageSizes) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	page, err := p.Service.Read(ctx, stream, from, limit, wait)
	if err == nil {
		size := 0
		for _, raw := range page.Records {
			size += len(raw)
		}
		p.largest = max(p.largest, size)
	}
	return page, err
}
