package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/retrybudget"
)

// TestBudgetHoldsInEveryWindow sends at random over many instances and counts
// repeats in every sliding window, as the bound is stated.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const instances, seeds, part = 8, 8, 0.95
	opts := &retrybudget.Options{Window: 10 * time.Second, Ratio: 0.9, Slack: 56}
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		budgets := make([]retrybudget.Budget, instances)
		var firsts, repeats []time.Time
		now := time.Unix(1000, 0)
		for range 3000 {
			now = now.Add(time.Duration(random.IntN(int(40 * time.Millisecond))))
			b := &budgets[random.IntN(instances)]
			if random.IntN(3) == 0 {
				b.CountFirst(now, opts)
				firsts = append(firsts, now)
			} else if b.Take(now, opts, part, instances) {
				repeats = append(repeats, now)
			}
		}
		for i := range repeats {
			end := repeats[i].Add(opts.Window)
			within := countBetween(repeats, repeats[i], end)
			// The bound takes the busiest of this window and the one before it.
			first := max(countBetween(firsts, repeats[i], end), countBetween(firsts, repeats[i].Add(-opts.Window), repeats[i]),
				countBetween(firsts, repeats[i].Add(-opts.Window/2), end.Add(-opts.Window/2)))
			must.LessEq(t, opts.Ratio*float64(first)+opts.Slack, float64(within), must.Sprint(seed))
		}
	}
}

func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestBudgetBoundsAStorm: every request is followed by two repeats.
func TestBudgetBoundsAStorm(t *testing.T) {
	opts := &retrybudget.Options{Window: 10 * time.Second, Ratio: 0.1, Slack: 20}
	now := time.Unix(1000, 0)
	var budget retrybudget.Budget
	retries := 0
	for range 1000 {
		budget.CountFirst(now, opts)
		for range 2 {
			if budget.Take(now, opts, 1, 1) {
				retries++
			}
		}
	}
	must.Between(t, 100, retries, 125)
}
