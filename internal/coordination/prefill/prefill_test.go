package prefill_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/prefill"
)

func prompt(model string, tokens int) *prefill.Prompt {
	return &prefill.Prompt{Service: "s", Model: model, Tokens: tokens, Objective: time.Second}
}

// TestTokenTimeExcludesQueueing: waits behind other prompts must not be taken
// for the prompt's own time.
func TestTokenTimeExcludesQueueing(t *testing.T) {
	var estimators prefill.Estimators
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	const perToken = 50 * time.Microsecond
	for range 400 {
		tokens := 1000 + random.IntN(20000)
		took := perToken * time.Duration(tokens)
		if random.IntN(2) == 0 {
			took += time.Duration(random.IntN(int(2 * time.Second)))
		}
		now = now.Add(10 * time.Millisecond)
		estimators.Observe(prompt("large", tokens), took, now)
	}
	estimate := estimators.Estimate(prompt("large", 10000))
	must.Between(t, 400*time.Millisecond, estimate.Time, 650*time.Millisecond)
	must.True(t, estimate.Long)
	must.False(t, estimators.Estimate(prompt("large", 500)).Long)
	must.Greater(t, 0.8, estimate.LongShare)
}

func TestRequestsWithoutPromptHaveNoEstimate(t *testing.T) {
	var estimators prefill.Estimators
	estimators.Observe(&prefill.Prompt{Service: "plain"}, time.Second, time.Unix(1000, 0))
	must.Eq(t, prefill.Estimate{}, estimators.Estimate(&prefill.Prompt{Service: "plain"}))
	must.Eq(t, prefill.Estimate{}, estimators.Estimate(&prefill.Prompt{Service: "plain", Model: "m"}))
}

// TestLongThresholdFollowsTheShortestObjective: the request that can wait least
// decides what is too long before it.
func TestLongThresholdFollowsTheShortestObjective(t *testing.T) {
	var estimators prefill.Estimators
	now := time.Unix(1000, 0)
	p := &prefill.Prompt{Service: "s", Model: "m", Tokens: 2000, Objective: 10 * time.Second}
	estimators.Observe(p, 400*time.Millisecond, now)
	must.False(t, estimators.Estimate(p).Long)
	tight := *p
	tight.Objective = time.Second
	estimators.Observe(&tight, 400*time.Millisecond, now)
	must.True(t, estimators.Estimate(p).Long)
}

// TestLongShareFollowsRecentPrompts: what is long ago no longer counts, and neither group
// of servers is ever left without any.
func TestLongShareFollowsRecentPrompts(t *testing.T) {
	var estimators prefill.Estimators
	now := time.Unix(1000, 0)
	long, short := prompt("m", 20000), prompt("m", 1000)
	must.Eq(t, 0.5, estimators.Estimate(long).LongShare)
	for range 50 {
		estimators.Observe(long, time.Second, now)
	}
	must.Eq(t, 0.9, estimators.Estimate(long).LongShare)
	now = now.Add(5 * time.Minute)
	for range 50 {
		estimators.Observe(short, 50*time.Millisecond, now)
	}
	must.Eq(t, 0.1, estimators.Estimate(long).LongShare)
}
