package claims_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// readLag is how long the instances of these tests take to read back what the log has confirmed.
	readLag = 5 * time.Millisecond
	tooLong = largeAnswer + 1
)

// laggingReads is a log whose reads return after readLag.
type laggingReads struct{ *logservice.Service }

// Read implements eventlog.Log.
func (l laggingReads) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (*platform.ReadResponse, error) {
	page, err := l.Service.Read(ctx, stream, from, limit, wait)
	time.Sleep(readLag)
	return page, err
}

// startWith is start with a limit of the answers in memory, or 0 for none. Its stop waits for the last read.
func startWith(log eventlog.Log, instance string, limit int64) (c *claims.Coordinator, stop func()) {
	c = claims.New(log, logAppender{log}, func(int) bool { return true }, instance, "first")
	c.LimitAnswers(limit, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var reader sync.WaitGroup
	reader.Go(func() { _ = c.Run(ctx) })
	time.Sleep(2 * readLag) // reads the end of the log
	return c, func() {
		cancel()
		reader.Wait()
	}
}

// book books one key with an answer of a size. It returns the refusal, if any, and the time until the result.
func book(t *testing.T, c *claims.Coordinator, i, size int) (*refusal.Refusal, time.Duration) {
	t.Helper()
	begun := time.Now()
	_, refused := c.Do(t.Context(), callOf(keyOf(i)), func(context.Context) (*records.KeptAnswer, bool, error) {
		return answerOf(keyOf(i), size), true, nil
	})
	return refused, time.Since(begun)
}

// unreadBytes returns a function that returns the change of the memory of answers that were not read back yet. Tests
// that end before the last record is read leave some.
func unreadBytes() func() int64 {
	before := counter("claims_unread_answer_bytes")
	return func() int64 { return counter("claims_unread_answer_bytes") - before }
}

// TestRepetitionDirectlyAfterTheAnswer guards against refusals of repetitions that arrive after the log has confirmed
// the outcome of their call, but before the instance has read it back. Only an answer for which there is no memory may
// have to wait until then.
func TestRepetitionDirectlyAfterTheAnswer(t *testing.T) {
	const count = 100
	cases := []struct {
		name  string
		size  int
		limit int64
		wait  time.Duration // the longest wait of a repetition
	}{
		{"no limit", largeAnswer, 0, 0},
		{"no limit, too long to keep", tooLong, 0, 0},
		{"within the limit", 1000, answerLimit, 0},
		{"limit, too long to keep", tooLong, answerLimit, 0},
		{"beyond the limit", largeAnswer, answerLimit, 2 * readLag},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				unread := unreadBytes()
				c, stop := startWith(laggingReads{logservice.New(0)}, "entry-1", test.limit)
				defer stop()
				for i := range count {
					refused, _ := book(t, c, i, test.size)
					must.Nil(t, refused, must.Sprint(refused))
					begun := time.Now()
					if test.size == tooLong {
						_, refused = c.Do(t.Context(), callOf(keyOf(i)), mustNotSend(t))
						must.Eq(t, refusal.KindBackendUnavailable, refused.Kind)
						must.Eq(t, refusal.Unknown, refused.Outcome)
					} else {
						mustRepeat(t, c, i, test.size)
					}
					must.LessEq(t, test.wait, time.Since(begun))
					other := callOf(keyOf(i))
					other.Fingerprint = "other body"
					_, refused = c.Do(t.Context(), other, mustNotSend(t))
					must.Eq(t, refusal.KindKeyReused, refused.Kind)
				}
				time.Sleep(time.Second)
				must.Zero(t, unread()) // all were read back
			})
		})
	}
}

// TestMemoryOfUnreadAnswers guards against answers that exceed their memory while many calls end at the same time, or
// while the log accepts records but can't be read. Every repetition gets its answer once the log is read again.
func TestMemoryOfUnreadAnswers(t *testing.T) {
	const count, size, limit = 200, 1000, 8 * 20 << 10 // an eighth has room for 10 of the answers
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		unread := unreadBytes()
		c, stop := startWith(laggingReads{log}, "entry-1", limit)
		defer stop()
		refuseReads := func(string, int64) logservice.Fault { return logservice.FaultRefuse }
		var group sync.WaitGroup
		for i := range count {
			group.Go(func() {
				_, refused := c.Do(t.Context(), callOf(keyOf(i)), func(context.Context) (*records.KeptAnswer, bool, error) {
					time.Sleep(2 * readLag)
					log.OnRead(refuseReads)
					return answerOf(keyOf(i), size), true, nil
				})
				if refused != nil {
					t.Error(refused)
				}
			})
		}
		group.Wait()
		must.Positive(t, unread())
		must.LessEq(t, int64(limit/8), unread())
		var answered atomic.Int64
		for i := range count {
			group.Go(func() {
				begun := time.Now()
				_, refused := c.Do(t.Context(), callOf(keyOf(i)), mustNotSend(t))
				switch {
				case refused == nil && time.Since(begun) == 0:
					answered.Add(1)
				case refused == nil || refused.Kind != refusal.KindInProgress || refused.Outcome != refusal.Unknown:
					t.Error(refused)
				}
			})
		}
		group.Wait()
		must.Positive(t, answered.Load())
		log.SetOutage(false)
		time.Sleep(time.Second)
		must.Zero(t, unread())
		must.LessEq(t, int64(limit-limit/8), counter("claims_answer_bytes"))
		for i := range count {
			mustRepeat(t, c, i, size)
		}
	})
}

// TestOutcomeThatTheLogHasNotConfirmed guards against repetitions that get an answer which is not in the log, and
// against other instances that act before they have read it.
func TestOutcomeThatTheLogHasNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := startWith(laggingReads{log}, "entry-1", 0)
		defer stop()
		other, stopOther := startWith(laggingReads{log}, "entry-2", 0)
		defer stopOther()
		mustBeInProgress := func(at *claims.Coordinator) {
			_, refused := at.Do(t.Context(), callOf(keyOf(0)), mustNotSend(t))
			must.NotNil(t, refused)
			must.Eq(t, refusal.KindInProgress, refused.Kind)
			must.Eq(t, refusal.Unknown, refused.Outcome)
		}
		log.OnAppend(func(_ string, raws []json.RawMessage) logservice.Fault {
			if slices.ContainsFunc(raws, func(raw json.RawMessage) bool {
				return strings.Contains(string(raw), `"`+string(records.ClaimDone)+`"`)
			}) {
				return logservice.FaultRefuse
			}
			return logservice.FaultNone
		})
		refused, _ := book(t, c, 0, 10)
		must.Nil(t, refused) // the answer is returned, although the log does not take it
		mustBeInProgress(c)
		log.SetOutage(false)
		for len(allClaims(t, log)) < 2 {
			time.Sleep(time.Millisecond)
		}
		mustRepeat(t, c, 0, 10)
		mustBeInProgress(other)
		time.Sleep(2 * readLag)
		mustRepeat(t, c, 0, 10)
		mustRepeat(t, other, 0, 10)
	})
}

// TestGapBeforeTheOutcomeIsRead guards against the memory of answers that are never read back since retention has
// removed them first.
func TestGapBeforeTheOutcomeIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unread := unreadBytes()
		log := logservice.New(0)
		c, stop := startWith(laggingReads{log}, "entry-1", 0)
		defer stop()
		_, refused := c.Do(t.Context(), callOf(keyOf(0)), func(context.Context) (*records.KeptAnswer, bool, error) {
			log.OnRead(func(string, int64) logservice.Fault { return logservice.FaultRefuse })
			time.Sleep(2 * readLag)
			return answerOf(keyOf(0), 10), true, nil
		})
		must.Nil(t, refused)
		mustRepeat(t, c, 0, 10)
		log.Trim(platform.StreamClaims, 2)
		log.SetOutage(false)
		time.Sleep(time.Second)
		_, err := log.Append(t.Context(), platform.StreamClaims, []json.RawMessage{[]byte(`{}`)})
		must.NoError(t, err)
		time.Sleep(time.Second)
		must.Zero(t, unread())
		_, refused = c.Do(t.Context(), callOf(keyOf(0)), mustNotSend(t))
		must.Eq(t, refusal.Unknown, refused.Outcome)
	})
}
