package workload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/workload"
)

// prompt returns the expectation of a run whose prompt takes the given time, and events that take none.
func prompt(work time.Duration) *workload.Expectation {
	return &workload.Expectation{Prefill: work, PromptFactor: 1}
}

// drawnWork returns work of a logarithmic normal distribution.
func drawnWork(random *rand.Rand, median time.Duration, spread float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(spread*random.NormFloat64()))
}

// TestClassesHoldTheirShares guards against classes of other sizes than the tenth, the fifth, the
// middle and the third, with narrow and wide distributions, and after the work of a route has
// changed by a factor of 20. Of 20,000 requests each share has a standard error of at most 0.004;
// the class boundaries are learned from 500 and add at most 0.022 for a single boundary, which
// averages out over the 40 times that this memory is renewed.
func TestClassesHoldTheirShares(t *testing.T) {
	for _, spread := range []float64{0.1, 0.5, 1.4} {
		random := rand.New(rand.NewPCG(1, 2))
		var s workload.Sizes
		for _, median := range []time.Duration{20 * time.Millisecond, 400 * time.Millisecond, 20 * time.Millisecond} {
			for range 2000 {
				s.Classify("r", "m", prompt(drawnWork(random, median, spread)))
			}
			counts := map[workload.Size]float64{}
			for range 20000 {
				counts[s.Classify("r", "m", prompt(drawnWork(random, median, spread)))] += 1.0 / 20000
			}
			// With a spread of 0.1 a bucket holds up to 0.17 of the requests.
			tolerance := 0.02
			if spread < 0.5 {
				tolerance = 0.17
			}
			must.Between(t, 0.1-tolerance, counts[workload.SizeLargest], 0.1+tolerance)
			must.Between(t, 0.2-tolerance, counts[workload.SizeLarge], 0.2+tolerance)
			must.Between(t, 1.0/3-tolerance, counts[workload.SizeSmallest], 1.0/3+tolerance)
			must.Positive(t, counts[workload.SizeLargest])
		}
	}
}

// TestClassesAreUnknownAtFirst guards against classes that depend on chance: an instance that starts
// classifies the first 20 requests of a route as middle.
func TestClassesAreUnknownAtFirst(t *testing.T) {
	var s workload.Sizes
	for i := range 20 {
		must.Eq(t, workload.SizeMiddle, s.Classify("r", "m", prompt(time.Duration(i+1)*time.Millisecond)))
	}
	must.Eq(t, workload.SizeLargest, s.Classify("r", "m", prompt(time.Second)))
	must.Eq(t, workload.SizeSmallest, s.Classify("r", "m", prompt(time.Millisecond)))
	must.Eq(t, workload.SizeMiddle, s.Classify("other", "m", prompt(time.Second)))
}

// TestEqualWorkIsMiddle guards against classes where the requests of a route do not differ, against
// one for a request without known work, and against unbounded state.
func TestEqualWorkIsMiddle(t *testing.T) {
	var s workload.Sizes
	for range 1000 {
		must.Eq(t, workload.SizeMiddle, s.Classify("r", "m", prompt(37*time.Millisecond)))
	}
	must.Eq(t, workload.SizeUnknown, s.Classify("r", "m", prompt(0)))
	var e workload.Estimators
	for i := range 2 * workload.MaxKeys {
		run := stream("m")
		run.Route = fmt.Sprint(i)
		must.Eq(t, workload.SizeMiddle, e.Classify(run, e.Expect(run, start)))
	}
	must.LessEq(t, workload.MaxKeys, e.Size())
}

// TestClassesCountPromptAndEvents guards against classes that leave out the prompt, or the events
// that a client's hint announces.
func TestClassesCountPromptAndEvents(t *testing.T) {
	var e workload.Estimators
	random := rand.New(rand.NewPCG(1, 2))
	classify := func(prefill time.Duration, hint int) workload.Size {
		run := stream("m")
		run.Prefill, run.Hint = prefill, hint
		return e.Classify(run, e.Expect(run, start))
	}
	for range 200 {
		hint := 10 + random.IntN(30)
		run := stream("m")
		run.Hint = hint
		e.ObserveLength(run, hint, start)
		classify(drawnWork(random, 100*time.Millisecond, 0.5), hint)
	}
	must.Eq(t, workload.SizeLargest, classify(time.Second, 20))
	must.Eq(t, workload.SizeSmallest, classify(10*time.Millisecond, 10))
	must.Eq(t, workload.SizeLargest, classify(100*time.Millisecond, 400))
}

// TestClassesIgnoreLearnedTimes guards against classes that follow the times of an event and of
// prompts, which differ from request to request by a spread of 0.06, instead of the requests: with
// prompts and answers of equal length all are in the middle, and one that is 1.3 times as long is in
// the largest class.
func TestClassesIgnoreLearnedTimes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var s workload.Sizes
	classify := func(length float64) workload.Size {
		factor, eventTime := math.Exp(0.06*random.NormFloat64()), drawnWork(random, 10*time.Millisecond, 0.06)
		return s.Classify("r", "m", &workload.Expectation{
			Prefill: time.Duration(factor * length * float64(50*time.Millisecond)), PromptFactor: factor,
			Generation: time.Duration(20 * length * float64(eventTime)), EventTime: eventTime,
		})
	}
	others := 0
	for i := range 2000 {
		if classify(1) != workload.SizeMiddle && i >= 100 {
			others++
		}
	}
	// The means move by a hundredth at most, so that few requests are at the edge of a bucket.
	must.LessEq(t, 100, others)
	for range 10 {
		must.Eq(t, workload.SizeLargest, classify(1.3))
		classify(1)
	}
}
