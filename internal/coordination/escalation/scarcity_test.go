package escalation_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/escalation"
	"medlarslip/internal/coordination/retrybudget"
)

// budgetWindow, budgetRatio and budgetSlack are the limit of the previews deployment.
const (
	budgetWindow = 10 * time.Second
	budgetRatio  = 0.9
	budgetSlack  = 186.0
	// forwarding is the number of instances that receive requests, of fleetSize.
	forwarding = 9
	fleetSize  = 73
	// secondRunDelay is the mean time after which a weak answer asks for another run.
	secondRunDelay = 400 * time.Millisecond
)

// cascadeLoad is a load of requests of three priorities, of which a part needs a second run.
type cascadeLoad struct {
	name string
	// perSecond is the rate of each priority, the highest first.
	perSecond [3]float64
	// factor returns by how much the rate of a priority is multiplied at a time.
	factor func(priority int, at time.Duration) float64
}

func cascadeLoads() []cascadeLoad {
	return []cascadeLoad{
		{"waves", [3]float64{107, 173, 102}, func(_ int, at time.Duration) float64 {
			return 1 + 0.27*math.Sin(2*math.Pi*at.Seconds()/11)
		}},
		{"lowest priority at 2.5 times its rate", [3]float64{107, 173, 102}, func(priority int, at time.Duration) float64 {
			if priority == 2 && at >= 10*time.Second && at < 17*time.Second {
				return 2.5
			}
			return 1
		}},
		{"highest priority at 2.5 times its rate", [3]float64{97, 88, 157}, func(priority int, at time.Duration) float64 {
			if priority == 0 && at >= 10*time.Second && at < 13*time.Second {
				return 2.5
			}
			return 1
		}},
	}
}

// budgetPolicy decides whether a run of the given gain may use the budget.
type budgetPolicy func(b *retrybudget.Budget, now time.Time, gain float64) bool

// byArrival uses the budget in order of arrival, as without scarcity pricing.
func byArrival(b *retrybudget.Budget, now time.Time, _ float64) bool {
	opts := retrybudget.Options{Window: budgetWindow, Ratio: budgetRatio, Slack: budgetSlack}
	return b.Take(now, &opts, 0.8, fleetSize)
}

func byValue(b *retrybudget.Budget, now time.Time, gain float64) bool {
	opts := retrybudget.Options{Window: budgetWindow, Ratio: budgetRatio, Slack: budgetSlack, CountEarlier: true}
	if gain < escalation.MinGain(b.Utilization(now, &opts, 0.9, fleetSize)) {
		return false
	}
	return b.Take(now, &opts, 0.9, fleetSize)
}

// cascadeResult holds the outcomes of the weak answers of a load.
type cascadeResult struct {
	// lost is the gain that was missed for lack of budget, relative to the value of all
	// requests, and refused the share of the weak answers of each priority without a run.
	lost    float64
	refused [3]float64
	firsts  []time.Time
	repeats []time.Time
}

// simulateCascade sends a load through a few instances, among which the clients move.
func simulateCascade(load *cascadeLoad, seed uint64, allow budgetPolicy) cascadeResult {
	random := rand.New(rand.NewPCG(seed, 9))
	opts := retrybudget.Options{Window: budgetWindow}
	budgets := make([]retrybudget.Budget, forwarding)
	type weak struct {
		at       time.Duration
		instance int
		priority int
		gain     float64
	}
	var due []weak
	var r cascadeResult
	var weakAnswers, without [3]float64
	value, lost := 0.0, 0.0
	start := time.Unix(1000, 0)
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < 40*time.Second; at += step {
		now := start.Add(at)
		for priority, rate := range load.perSecond {
			for range poisson(random, rate*load.factor(priority, at)*step.Seconds()) {
				instance := random.IntN(forwarding)
				if at > 20*time.Second && instance == 0 {
					// The clients of one instance have moved to the others.
					instance = 1 + random.IntN(forwarding-1)
				}
				budgets[instance].CountFirst(now, &opts)
				r.firsts = append(r.firsts, now)
				weight := math.Exp2(-float64(priority))
				value += weight
				// The difficulty is even. Below the confidence of an answer that is
				// just good enough, the gain is the larger the weaker it is.
				if gain := min(1.3*random.Float64(), 0.95); gain > 0.3 {
					delay := time.Duration(random.ExpFloat64() * float64(secondRunDelay))
					due = append(due, weak{at + delay, instance, priority, gain * weight})
				}
			}
		}
		kept := due[:0]
		for _, w := range due {
			if w.at > at {
				kept = append(kept, w)
				continue
			}
			weakAnswers[w.priority]++
			if allow(&budgets[w.instance], now, w.gain) {
				r.repeats = append(r.repeats, now)
			} else {
				without[w.priority]++
				lost += w.gain
			}
		}
		due = kept
	}
	r.lost = lost / value
	for priority := range r.refused {
		r.refused[priority] = without[priority] / weakAnswers[priority]
	}
	return r
}

// poisson draws a number of arrivals by multiplying uniform numbers (Knuth).
func poisson(random *rand.Rand, mean float64) int {
	count, product := 0, random.Float64()
	for limit := math.Exp(-mean); product > limit; count++ {
		product *= random.Float64()
	}
	return count
}

// TestScarceBudgetGoesToTheRunsOfTheHighestValue guards against weak answers to requests of a
// high priority because others of a low priority have used up the retry budget: where three
// quarters of the answers are weak, the budget does not suffice for all, least of all while the
// load falls.
func TestScarceBudgetGoesToTheRunsOfTheHighestValue(t *testing.T) {
	for _, load := range cascadeLoads() {
		for seed := range uint64(4) {
			former, valued := simulateCascade(&load, seed, byArrival), simulateCascade(&load, seed, byValue)
			t.Logf("%-40s seed %d: value lost %.3f before, %.3f by value; refused %.2f before, %.2f by value", load.name, seed, former.lost, valued.lost, former.refused, valued.refused)
			must.LessEq(t, 0.02, valued.refused[0], must.Sprint(load.name))
			must.LessEq(t, former.lost, 2*valued.lost, must.Sprint(load.name))
			must.Greater(t, valued.refused[0], former.refused[0], must.Sprint(load.name))
		}
	}
}

// TestValuedBudgetHoldsInEveryWindow guards against more repeats than the limit of all instances
// together, while the load falls and clients move between instances.
func TestValuedBudgetHoldsInEveryWindow(t *testing.T) {
	for _, load := range cascadeLoads() {
		for seed := range uint64(4) {
			r := simulateCascade(&load, seed, byValue)
			for i := 0; i < len(r.repeats); i += 7 {
				from, to := r.repeats[i], r.repeats[i].Add(budgetWindow)
				// The limit is based on the present window alone, stricter than the rule.
				must.LessEq(t, budgetRatio*float64(count(r.firsts, from, to))+budgetSlack, float64(count(r.repeats, from, to)), must.Sprint(load.name, seed))
			}
		}
	}
}

func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// TestPriceOfTheBudgetRisesWithItsUtilization guards against a price while the budget is ample, and against one
// that excludes the runs of the highest gain.
func TestPriceOfTheBudgetRisesWithItsUtilization(t *testing.T) {
	must.Zero(t, escalation.MinGain(0))
	must.Zero(t, escalation.MinGain(0.8))
	must.InDelta(t, 0.25, escalation.MinGain(0.9), 1e-9)
	must.InDelta(t, 0.5, escalation.MinGain(1), 1e-9)
	must.Eq(t, 0.5, escalation.MinGain(7))
	must.Eq(t, 0.5, escalation.MinGain(math.Inf(1)))
}
