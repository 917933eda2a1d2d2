package routing_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/workload"
)

// classify sets the class of each request, by the prompt and the events that are expected for its
// kind, or by the client's hint. The classes depend on the drawn requests alone, so that all
// choices of servers are compared on the same requests.
func (l *load) classify(all []arrival) {
	var sizes workload.Sizes
	for i := range all {
		a := &all[i]
		events := a.kind.events
		if a.hint > 0 {
			events = float64(a.hint)
		}
		a.size = sizes.Classify(a.kind.name, "", &workload.Expectation{
			Prefill: milliseconds(float64(a.tokens) / l.tokensPerMs), PromptFactor: 1,
			Generation: milliseconds(events * stepMs), EventTime: milliseconds(stepMs),
		})
	}
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sizeSummary describes how the requests of one class were served.
type sizeSummary struct {
	count    int
	met      float64
	p50, p99 time.Duration
	// ratio10, ratio50 and ratio90 are quantiles of the ratio of the actual to the predicted time
	// to the first event of the last run; 0 for placement by load.
	ratio10, ratio50, ratio90 float64
}

// summarizeSize describes the requests of a class. A request that expired without an event counts
// with the time after which it did.
func summarizeSize(done []outcome, size workload.Size) sizeSummary {
	var firsts []time.Duration
	var ratios []float64
	met := 0
	for i := range done {
		o := &done[i]
		if o.size != size {
			continue
		}
		if o.met {
			met++
		}
		first := o.first
		if first == 0 {
			first = o.total
		}
		firsts = append(firsts, first)
		if o.firstOfRun > 0 && o.predictedFirst > 0 {
			ratios = append(ratios, float64(o.firstOfRun)/float64(o.predictedFirst))
		}
	}
	slices.Sort(firsts)
	slices.Sort(ratios)
	n := len(firsts)
	if n == 0 {
		return sizeSummary{}
	}
	s := sizeSummary{count: n, met: float64(met) / float64(n), p50: firsts[n/2], p99: firsts[n*99/100]}
	if m := len(ratios); m > 0 {
		s.ratio10, s.ratio50, s.ratio90 = ratios[m/10], ratios[m/2], ratios[m*9/10]
	}
	return s
}

func (s sizeSummary) String() string {
	return fmt.Sprintf("n %d met %.4f p50 %v p99 %v ratio %.2f %.2f %.2f", s.count, s.met,
		s.p50.Round(time.Millisecond), s.p99.Round(time.Millisecond), s.ratio10, s.ratio50, s.ratio90)
}

// logSizes logs how the requests of each class were served by expected cost and by load.
func logSizes(t *testing.T, byCost, byLoad []*simulation) {
	t.Helper()
	cost, present := merge(byCost), merge(byLoad)
	for size := workload.SizeSmallest; size <= workload.SizeLargest; size++ {
		t.Logf("%v by cost: %v", size, summarizeSize(cost.done, size))
		t.Logf("%v by load: %v", size, summarizeSize(present.done, size))
	}
}

// moments returns the mean and the standard deviation of a value over the seeds of a load.
func moments(results []*simulation, value func(s *simulation) float64) (mean, deviation float64) {
	n := float64(len(results))
	for _, s := range results {
		mean += value(s) / n
	}
	for _, s := range results {
		deviation += (value(s) - mean) * (value(s) - mean) / (n - 1)
	}
	return mean, math.Sqrt(deviation)
}

// TestLargestTenthIsNotServedWorse guards against placement by expected cost that serves most
// requests better at the expense of the largest tenth of each kind: its share in time and its p99
// time to the first event are compared with those of placement by load, on the same requests.
//
// The bound is the spread between seeds: the mean by cost over the seeds may be worse than the mean
// by load by at most the standard deviation, between the seeds, of the value by load. By that much
// the value of one drawn load differs from that of another one without any change of the choice.
func TestLargestTenthIsNotServedWorse(t *testing.T) {
	loads := map[string]*drawnLoad{
		"heavy tails": heavyTails, "surge of one kind": surgeOfOneKind, "quarter of servers lost": quarterOfServersLost,
		"unequal speeds": unequalSpeeds, "slowed machines": slowedMachines, "many instances": manyInstances, "archive surge": archiveSurge,
	}
	for name, drawn := range hintedLoads {
		loads["hints "+name] = drawn
	}
	for name, drawn := range loads {
		t.Run(name, func(t *testing.T) {
			byCost, byLoad := drawn.serve(t)
			met := func(s *simulation) float64 { return summarizeSize(s.done, workload.SizeLargest).met }
			p99 := func(s *simulation) float64 { return summarizeSize(s.done, workload.SizeLargest).p99.Seconds() }
			costMet, _ := moments(byCost, met)
			loadMet, metSpread := moments(byLoad, met)
			costP99, _ := moments(byCost, p99)
			loadP99, p99Spread := moments(byLoad, p99)
			t.Logf("in time: by cost %.4f, by load %.4f, spread %.4f", costMet, loadMet, metSpread)
			t.Logf("p99: by cost %.3f s, by load %.3f s, spread %.3f s", costP99, loadP99, p99Spread)
			must.GreaterEq(t, loadMet-metSpread, costMet)
			must.LessEq(t, loadP99+p99Spread, costP99)
		})
	}
}

// TestClassesOfDrawnLoads guards against a comparison of other requests than the largest tenth: it holds
// its share of the requests of each load, and the same requests whatever the choice. The shares of the
// other classes are those of previews only: on archive the abstracts, which have short prompts and
// expected answers of equal length, differ by less than 3% of their work, and most count as equal.
func TestClassesOfDrawnLoads(t *testing.T) {
	shares := map[workload.Size]float64{workload.SizeLargest: 0.1, workload.SizeLarge: 0.2, workload.SizeSmallest: 1.0 / 3}
	for drawn, classes := range map[*drawnLoad][]workload.Size{
		heavyTails:   {workload.SizeLargest, workload.SizeLarge, workload.SizeSmallest},
		archiveSurge: {workload.SizeLargest},
	} {
		byCost, byLoad := drawn.serve(t)
		cost, present := merge(byCost), merge(byLoad)
		must.Eq(t, len(present.done), len(cost.done))
		for _, size := range classes {
			count := summarizeSize(cost.done, size).count
			must.Eq(t, count, summarizeSize(present.done, size).count)
			// The boundaries are learned from 500 requests, which gives a standard error of up
			// to 0.022.
			must.Between(t, shares[size]-0.022, float64(count)/float64(len(cost.done)), shares[size]+0.022)
		}
	}
}
