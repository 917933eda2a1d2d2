package claims_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/protocol/records"
	"medlarslip/internal/protocol/refusal"
	"medlarslip/internal/standin/logservice"
)

// TestKeysStayWithinTheirMemory guards against keys that exhaust the memory of a small machine, and against the
// eviction of a key: at the bound new keys are refused and those that are held get their answers, until the window of
// some has ended.
func TestKeysStayWithinTheirMemory(t *testing.T) {
	const limit, most = 64 << 10, 1000
	synctest.Test(t, func(t *testing.T) {
		c, stop := start(logservice.New(0), "entry-1")
		defer stop()
		c.LimitKeys(limit)
		booked := 0
		var refused *refusal.Refusal
		for ; booked < most; booked++ {
			if _, refused = c.Do(t.Context(), callOf(keyOf(booked)), sendAnswered); refused != nil {
				break
			}
		}
		must.Less(t, most, booked)
		must.GreaterEq(t, limit/300, booked)
		must.Eq(t, refusal.KindOverloaded, refused.Kind)
		must.Eq(t, refusal.Unknown, refused.Outcome)
		// A call returns once its outcome is in the log, and its key has the answer once that is read back.
		synctest.Wait()
		for i := range booked {
			got, refused := c.Do(t.Context(), callOf(keyOf(i)), mustNotSend(t))
			must.Nil(t, refused)
			must.Eq(t, 201, got.Status)
		}
		_, refused = c.Do(t.Context(), callOf("new"), mustNotSend(t))
		must.NotNil(t, refused)
	})
}

// TestMemoryOfEndedKeysIsReused guards against a bound that stays reached: the memory of keys whose calls were
// not sent is free for others once retention has removed their records.
func TestMemoryOfEndedKeysIsReused(t *testing.T) {
	const limit, rounds, each = 16 << 10, 20, 20
	synctest.Test(t, func(t *testing.T) {
		log := logservice.New(0)
		c, stop := start(log, "entry-1")
		defer stop()
		c.LimitKeys(limit)
		for round := range rounds {
			for i := range each {
				_, refused := c.Do(t.Context(), callOf(keyOf(round*each+i)), func(context.Context) (*records.KeptAnswer, bool, error) {
					return nil, false, errNoAnswer
				})
				must.Eq(t, refusal.NotRun, refused.Outcome, must.Sprint(round, i, refused))
			}
			synctest.Wait()
			log.Trim(platform.StreamClaims, c.Position())
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			must.NoError(t, c.Sweep(ctx))
			cancel()
		}
	})
}
