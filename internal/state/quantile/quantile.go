// Package quantile estimates a quantile of a stream of durations in constant
// space, and follows changes of the distribution.
package quantile

import (
	"math"
	"sync"
	"time"
)

const (
	// stepSize is the step of the estimate per value, as a difference of natural
	// logarithms.
	stepSize = 0.1
	// warmupSamples is the number of values over which the step shrinks to
	// stepSize.
	warmupSamples = 20
	// averagedSamples is the number of values over which estimates are averaged: several times
	// the number after which the error of an estimate has decayed, about 40.
	averagedSamples = 400
)

// Tracker estimates one quantile. A value above the estimate raises it and one
// below lowers it, by steps whose ratio balances them at the quantile (stochastic
// approximation: Robbins and Monro, 1951). It is safe for concurrent use.
type Tracker struct {
	probability float64
	mu          sync.Mutex
	logEstimate float64
	// logAverage is the average of logEstimate after recent values.
	logAverage float64
	count      int
}

// New returns a tracker of the quantile of the given probability, 0 to 1.
func New(probability float64) *Tracker { return &Tracker{probability: probability} }

// Add updates the estimate with a value.
func (t *Tracker) Add(value time.Duration) {
	logValue := math.Log(float64(max(value, time.Microsecond)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	step := stepSize * max(1, float64(warmupSamples)/float64(t.count))
	switch {
	case t.count == 1:
		t.logEstimate = logValue
	case logValue > t.logEstimate:
		t.logEstimate = min(logValue, t.logEstimate+step*t.probability)
	default:
		t.logEstimate -= step * (1 - t.probability)
	}
	t.logAverage += (t.logEstimate - t.logAverage) / float64(min(t.count, averagedSamples))
}

// Above reports whether a value is above the estimated quantile. known is false
// until minCount values were added.
func (t *Tracker) Above(value time.Duration, minCount int) (above, known bool) {
	return t.aboveLog(&t.logEstimate, value, minCount)
}

// AboveAverage is like Above, but compares the value with the average of recent estimates. It is for
// callers that add no values for a while, so that the error of a single estimate would last.
func (t *Tracker) AboveAverage(value time.Duration, minCount int) (above, known bool) {
	return t.aboveLog(&t.logAverage, value, minCount)
}

// aboveLog compares the logarithm of a value with logBound, a field of the tracker that is read
// under its lock.
func (t *Tracker) aboveLog(logBound *float64, value time.Duration, minCount int) (above, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count < minCount {
		return false, false
	}
	return math.Log(float64(max(value, time.Microsecond))) > *logBound, true
}

// Estimate returns the estimated quantile; 0 before the first value.
func (t *Tracker) Estimate() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == 0 {
		return 0
	}
	return time.Duration(math.Exp(t.logEstimate))
}
