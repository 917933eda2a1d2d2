package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/retrybudget"
)

// TestBudgetHoldsInEveryWindow sends requests at random over many instances and
// checks the limit in every sliding window.
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
			// The limit is based on the window with the most first requests: this
			// one, the one before it, or the one halfway between.
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

// TestBudgetBoundsAStorm: the limit holds if every request attempts two
// repeats.
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

// TestEarlierWindowsStayWithinTheWholeBudget: while the load falls, a part of the budget grows
// by the first requests of earlier windows, but never above the whole budget of the present
// one. Without that, runs that are due after a peak are refused.
func TestEarlierWindowsStayWithinTheWholeBudget(t *testing.T) {
	const part = 0.9
	run := func(countEarlier bool) (repeats int) {
		opts := &retrybudget.Options{Window: 10 * time.Second, Ratio: 0.9, CountEarlier: countEarlier}
		var b retrybudget.Budget
		now := time.Unix(1000, 0)
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			b.CountFirst(now, opts)
		}
		for range 500 {
			now = now.Add(20 * time.Millisecond)
			b.CountFirst(now, opts)
		}
		for b.Take(now, opts, part, 1) {
			repeats++
		}
		return repeats
	}
	// The last window has 475 to 500 first requests, as the current bucket is partly over.
	must.Between(t, 0.9*0.9*475, float64(run(false)), 0.9*0.9*500)
	must.Between(t, 0.9*475, float64(run(true)), 0.9*500)
}

// TestSteadyLoadMayUseTheBudget guards against a budget of which a part can't be used since the
// window is counted too coarsely: an instance of a large fleet receives few requests.
func TestSteadyLoadMayUseTheBudget(t *testing.T) {
	const (
		seconds = 120
		// mostUnused is the share of the budget that may be left unused.
		mostUnused = 0.02
	)
	opts := &retrybudget.Options{Window: 10 * time.Second, Ratio: 0.9}
	for _, perSecond := range []int{7, 50, 400} {
		var b retrybudget.Budget
		now, repeats := time.Unix(1000, 0), 0
		for range seconds * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			b.CountFirst(now, opts)
			if b.Take(now, opts, 1, 1) {
				repeats++
			}
		}
		must.GreaterEq(t, (1-mostUnused)*opts.Ratio*float64(seconds*perSecond), float64(repeats), must.Sprint(perSecond))
	}
}
