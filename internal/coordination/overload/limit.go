package overload

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	initialLimit = 256.0
	minLimit     = 8.0
	maxLimit     = 10000.0
	// decreaseFactor is the factor of a decrease.
	decreaseFactor = 0.9
	// decreaseInterval is the time within which the limit is cut once at most.
	decreaseInterval = 100 * time.Millisecond
)

// limit is the number of requests that the instance carries at once. It grows
// by one for each round of good answers while it is used, and is cut when
// backend servers are full or answers late (additive increase, multiplicative
// decrease: Chiu and Jain, 1989). It takes no lock.
type limit struct {
	bits        atomic.Uint64 // of a float64
	decreasedAt atomic.Int64  // nanoseconds of the Unix epoch
}

func newLimit() *limit {
	l := &limit{}
	l.bits.Store(math.Float64bits(initialLimit))
	return l
}

func (l *limit) value() float64 { return math.Float64frombits(l.bits.Load()) }

func (l *limit) increase(inFlight int64) {
	old := l.bits.Load()
	value := math.Float64frombits(old)
	if float64(inFlight) < value/2 {
		return
	}
	// A lost race leaves out one of many small steps.
	l.bits.CompareAndSwap(old, math.Float64bits(min(value+1/value, maxLimit)))
}

func (l *limit) decrease(now time.Time) {
	last := l.decreasedAt.Load()
	if now.UnixNano()-last < int64(decreaseInterval) || !l.decreasedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.bits.Store(math.Float64bits(max(l.value()*decreaseFactor, minLimit)))
}
