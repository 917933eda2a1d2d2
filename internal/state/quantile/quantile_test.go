package quantile_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/quantile"
)

// TestTrackerConvergesToQuantile draws log-normal times, as measured at servers,
// and checks the share above the estimate, also after the median has changed.
func TestTrackerConvergesToQuantile(t *testing.T) {
	const warmup, count = 300, 20000
	for _, probability := range []float64{0.5, 0.9, 0.95} {
		tracker := quantile.New(probability)
		random := rand.New(rand.NewPCG(1, 2))
		for _, median := range []float64{100, 200, 20} {
			above := 0
			for n := range warmup + count {
				value := time.Duration(median*math.Exp(0.6*random.NormFloat64())*1000) * time.Microsecond
				if over, known := tracker.Above(value, 1); n >= warmup && known && over {
					above++
				}
				tracker.Add(value)
			}
			must.InDelta(t, 1-probability, float64(above)/count, 0.02, must.Sprintf("%v of %v ms", probability, median))
		}
	}
}

func TestTrackerNeedsMinimumCount(t *testing.T) {
	tracker := quantile.New(0.9)
	for range 4 {
		tracker.Add(time.Second)
	}
	_, known := tracker.Above(time.Hour, 5)
	must.False(t, known)
	tracker.Add(time.Second)
	above, known := tracker.Above(time.Hour, 5)
	must.True(t, known && above)
}

// TestAverageHasASmallerError guards against callers that compare many values with the error of a
// single estimate. The average is over about ten times the values after which the error of an
// estimate has decayed, so its error is about a third of that of a single one.
func TestAverageHasASmallerError(t *testing.T) {
	const probability, trackers, values = 0.9, 200, 2000
	random := rand.New(rand.NewPCG(1, 2))
	true90 := math.Log(-math.Log(1 - probability))
	squared := func(above func(time.Duration, int) (bool, bool)) float64 {
		low, high := -5.0, 5.0
		for range 30 {
			middle := (low + high) / 2
			if over, _ := above(time.Duration(math.Exp(middle)*float64(time.Second)), 1); over {
				high = middle
			} else {
				low = middle
			}
		}
		return (low - true90) * (low - true90)
	}
	single, average := 0.0, 0.0
	for range trackers {
		tracker := quantile.New(probability)
		for range values {
			tracker.Add(time.Duration(random.ExpFloat64() * float64(time.Second)))
		}
		single += squared(tracker.Above)
		average += squared(tracker.AboveAverage)
	}
	must.Less(t, math.Sqrt(single)/2, math.Sqrt(average))
}
