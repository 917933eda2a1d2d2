// Package quantile estimates a quantile of a stream of durations in constant
// space, and follows it where it moves.
package quantile

import (
	"math"
	"sync"
	"time"
)

const (
	// stepSize is the size of a move of the estimate, as a difference of logarithms.
	stepSize = 0.1
	// warmupSamples is the number of values over which the moves shrink to step.
	warmupSamples = 20
)

// Tracker estimates one quantile. A value above the estimate moves it up and one
// below moves it down, in a proportion at which both balance at the quantile
// (stochastic approximation: Robbins and Monro, 1951). It is safe for concurrent
// use.
type Tracker struct {
	probability float64
	mu          sync.Mutex
	logEstimate float64
	count       int
}

// New returns a tracker of the quantile of the given probability, 0 to 1.
func New(probability float64) *Tracker { return &Tracker{probability: probability} }

// Add takes a value.
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
}

// Above reports whether a value is above the quantile; known is false until the
// given number of values were taken.
func (t *Tracker) Above(value time.Duration, minCount int) (above, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count < minCount {
		return false, false
	}
	return math.Log(float64(max(value, time.Microsecond))) > t.logEstimate, true
}
