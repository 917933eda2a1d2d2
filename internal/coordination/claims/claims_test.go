package claims_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
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

// lateResponses is a log whose records can be read before their append returns.
type lateResponses struct{ *logservice.Service }

// Append implements eventlog.Log.
func (l lateResponses) Append(ctx context.Context, stream string, raws []json.RawMessage) (int64, error) {
	offset, err := l.Service.Append(ctx, stream, raws)
	select {
	case <-time.After(100 * time.Millisecond):
		return offset, err
	case <-ctx.Done():
		return 0, eventlog.ErrAppendUnknown
	}
}

type logAppender struct{ log eventlog.Log }

// Append implements claims.Appender.
func (a logAppender) Append(ctx context.Context, _ int, record json.RawMessage) error {
	_, err := a.log.Append(ctx, platform.StreamClaims, []json.RawMessage{record})
	return err
}

func start(log eventlog.Log, instance string) (*claims.Coordinator, context.CancelFunc) {
	c := claims.New(log, logAppender{log}, func(int) bool { return true }, instance, "first")
	return c, follow(c)
}

// follow makes an instance follow the log until the returned function is called.
func follow(c *claims.Coordinator) context.CancelFunc {
	ctx, stop := context.WithCancel(context.Background())
	go func() { _ = c.Run(ctx) }()
	synctest.Wait()
	return stop
}

func callOf(key string) claims.Call {
	return claims.Call{Account: "technicians", Key: key, Fingerprint: "body", Timeout: time.Second}
}

func sendAnswered(context.Context) (*records.KeptAnswer, bool, error) {
	return &records.KeptAnswer{Status: 201}, true, nil
}

func mustNotSend(t *testing.T) claims.Send {
	return func(context.Context) (*records.KeptAnswer, bool, error) {
		t.Error("the call must not be sent, but was")
		return nil, true, nil
	}
}

// TestClaimsReadBeforeTheirResponseDoNotOpenBreaker guards against counting an
// append that was cancelled, because its claim had already been read back, as a
// failure of the log.
func TestClaimsReadBeforeTheirResponseDoNotOpenBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := start(lateResponses{logservice.New(0)}, "entry-1")
		defer stop()
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				_, refused := c.Do(context.Background(), callOf(fmt.Sprint("key-", i)), sendAnswered)
				if refused != nil {
					t.Error(refused)
				}
			})
		}
		group.Wait()
	})
}

func TestRefusalsWithoutASend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := start(log, "entry-1")
		defer stop()
		_, refused := c.Do(t.Context(), callOf("key"), sendAnswered)
		must.Nil(t, refused)
		synctest.Wait()
		other := callOf("key")
		other.Fingerprint = "other body"
		_, refused = c.Do(t.Context(), other, mustNotSend(t))
		must.Eq(t, refusal.KindKeyReused, refused.Kind)
		must.Eq(t, refusal.NotRun, refused.Outcome)
		// A UUID version 7 from 1970; the clock of a synctest bubble starts in
		// 2000.
		_, refused = c.Do(t.Context(), callOf("00000000-0001-7c3e-9f53-000000000001"), mustNotSend(t))
		must.Eq(t, refusal.KindKeyExpired, refused.Kind)
		must.Eq(t, refusal.Unknown, refused.Outcome)
		log.SetOutage(true)
		begun := time.Now()
		for i := range 5 {
			_, refused = c.Do(t.Context(), callOf(fmt.Sprint("outage-", i)), mustNotSend(t))
			must.Eq(t, refusal.KindLogUnavailable, refused.Kind)
			must.Eq(t, refusal.Unknown, refused.Outcome)
			must.Positive(t, refused.RetryAfterMillis)
		}
		must.Eq(t, 0, time.Since(begun))
		got, refused := c.Do(t.Context(), callOf("key"), mustNotSend(t))
		must.Nil(t, refused)
		must.Eq(t, 201, got.Status)
		log.SetOutage(false)
		time.Sleep(time.Second)
		_, refused = c.Do(t.Context(), callOf("outage-1"), sendAnswered)
		must.Nil(t, refused)
	})
}

// TestGapIsCoveredByCheckpointsOnly lets retention remove the first bookings,
// and then starts an instance. The instance may accept calls only if
// checkpoints cover the records that it missed.
func TestGapIsCoveredByCheckpointsOnly(t *testing.T) {
	const bookings = 700
	for _, sweeps := range []bool{true, false} {
		t.Run(fmt.Sprint("sweeps=", sweeps), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(0)
				c, stop := start(log, "entry-1")
				defer stop()
				for i := range bookings {
					_, refused := c.Do(t.Context(), callOf(fmt.Sprint("key-", i)), sendAnswered)
					must.Nil(t, refused)
				}
				if sweeps {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					must.NoError(t, c.Sweep(ctx))
				}
				log.Trim(platform.StreamClaims, 100)
				fresh, stopFresh := start(log, "entry-2")
				defer stopFresh()
				got, refused := fresh.Do(t.Context(), callOf("key-0"), mustNotSend(t))
				_, refusedNew := fresh.Do(t.Context(), callOf("new"), sendAnswered)
				if sweeps {
					must.Nil(t, refused)
					must.Eq(t, 201, got.Status)
					must.Nil(t, refusedNew)
					return
				}
				must.NotNil(t, refused)
				must.NotNil(t, refusedNew)
				must.Eq(t, refusal.Unknown, refused.Outcome)
				must.Eq(t, refusal.Unknown, refusedNew.Outcome)
			})
		})
	}
}

// TestWindowEndsByRecord checks that a key whose window has passed is kept
// until a record in the log removes it; the clock of an instance alone does not
// remove it.
func TestWindowEndsByRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := start(log, "entry-1")
		defer stop()
		for i := range 600 {
			_, refused := c.Do(t.Context(), callOf(fmt.Sprint("key-", i)), sendAnswered)
			must.Nil(t, refused)
		}
		time.Sleep(claims.Window + time.Hour)
		_, refused := c.Do(t.Context(), callOf("key-0"), mustNotSend(t))
		must.Nil(t, refused) // the answer is kept until a sweep removes the key
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		must.NoError(t, c.Sweep(ctx))
		sent := false
		_, refused = c.Do(t.Context(), callOf("key-0"), func(context.Context) (*records.KeptAnswer, bool, error) {
			sent = true
			return &records.KeptAnswer{Status: 201}, true, nil
		})
		must.Nil(t, refused)
		must.True(t, sent)
	})
}

// TestSameKeyOfTwoAccountsIsNotResolvedByStatus guards against a false answer:
// one account books, and the call of another account with the same key is lost
// before it reaches the service. The status query then returns the first
// account's booking.
func TestSameKeyOfTwoAccountsIsNotResolvedByStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := start(logservice.New(0), "entry-1")
		defer stop()
		_, refused := c.Do(t.Context(), callOf("key"), sendAnswered)
		must.Nil(t, refused)
		other := callOf("key")
		other.Account = "planners"
		other.Status = func(context.Context) (*records.KeptAnswer, error) { return &records.KeptAnswer{Status: 200}, nil }
		_, refused = c.Do(t.Context(), other, func(context.Context) (*records.KeptAnswer, bool, error) { return nil, true, errNoAnswer })
		must.Eq(t, refusal.Unknown, refused.Outcome)
	})
}

// TestAnswerTooLongToKeepIsReturnedOnce repeats a call whose answer is longer
// than maxKeptBytes: the repeat is refused with an unknown outcome.
func TestAnswerTooLongToKeepIsReturnedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, stop := start(logservice.New(0), "entry-1")
		defer stop()
		long := make([]byte, 1<<20)
		got, refused := c.Do(t.Context(), callOf("key"), func(context.Context) (*records.KeptAnswer, bool, error) {
			return &records.KeptAnswer{Status: 201, Body: long}, true, nil
		})
		must.Nil(t, refused)
		must.Len(t, len(long), got.Body)
		synctest.Wait()
		_, refused = c.Do(t.Context(), callOf("key"), mustNotSend(t))
		must.Eq(t, refusal.Unknown, refused.Outcome)
	})
}

// TestOutcomeAfterAGapOfItsClaim guards against a call that runs twice: an instance has read the release of a key, then
// misses the next claim of the key, and reads the outcome of that claim. The key must not stay free, since a checkpoint
// does not have to cover a claim whose outcome follows the gap.
func TestOutcomeAfterAGapOfItsClaim(t *testing.T) {
	for _, step := range []records.ClaimStep{records.ClaimDone, records.ClaimUnknown} {
		t.Run(string(step), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := logservice.New(0)
				appendClaim := func(r records.Claim) {
					r.Account, r.Key, r.Fingerprint = callOf("key").Account, "key", callOf("key").Fingerprint
					raw, err := json.Marshal(r)
					must.NoError(t, err)
					_, err = log.Append(t.Context(), platform.StreamClaims, []json.RawMessage{raw})
					must.NoError(t, err)
				}
				appendClaim(records.Claim{Step: records.ClaimStart, ClaimID: "first claim"})
				appendClaim(records.Claim{Step: records.ClaimReleased, ClaimID: "first claim"})
				c, stop := start(log, "entry-1")
				defer stop()
				must.Eq(t, 2, c.Position())
				log.OnRead(func(string, int64) logservice.Fault { return logservice.FaultRefuse })
				time.Sleep(time.Minute)
				appendClaim(records.Claim{Step: records.ClaimStart, ClaimID: "second claim", Seen: 2})
				log.Trim(platform.StreamClaims, 3)
				outcome := records.Claim{Step: step, ClaimID: "second claim"}
				if step == records.ClaimDone {
					outcome.Answer = &records.KeptAnswer{Status: 201}
				}
				appendClaim(outcome)
				for shard := range claims.ShardCount {
					appendClaim(records.Claim{Step: records.ClaimCheckpoint, Shard: shard, Through: 3})
				}
				log.SetOutage(false)
				time.Sleep(time.Minute)
				_, refused := c.Do(t.Context(), callOf("new"), sendAnswered)
				must.Nil(t, refused, must.Sprint(refused)) // the gap is covered
				got, refused := c.Do(t.Context(), callOf("key"), func(ctx context.Context) (*records.KeptAnswer, bool, error) {
					t.Error("the call ran a second time")
					return sendAnswered(ctx)
				})
				if step == records.ClaimUnknown {
					must.NotNil(t, refused)
					must.Eq(t, refusal.Unknown, refused.Outcome)
					return
				}
				must.Nil(t, refused, must.Sprint(refused))
				must.Eq(t, 201, got.Status)
			})
		})
	}
}
