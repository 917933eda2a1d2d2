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
)

// Tracker estimates one quantile. A value above the estimate raises it and one
// below lowers it, by steps whose ratio balances them at the quantile (stochastic
// approximation: Robbins and Monro, 1951). It is safe for concurrent use.
type Tracker struct {
	probability float64
	mu          sync.Mutex
	logEstimate float64
	count       int
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
}

// Above reports whether a value is above the estimated quantile. known is false
// until minCount values were added.
func (t *Tracker) Above(value time.Duration, minCount int) (above, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count < minCount {
		return false, false
	}
	return math.Log(float64(max(value, time.Microsecond))) > t.logEstimate, true
}
