package overload

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	initialLimit = 256.0
	lowestLimit  = 8.0
	highestLimit = 10000.0
	// limitCut is the factor of a decrease.
	limitCut = 0.9
	// cutInterval is the time within which the limit is cut once at most.
	cutInterval = 100 * time.Millisecond
)

// limit is the number of requests that the instance carries at once. It grows
// by one for each round of good answers while it is used, and is cut when
// backend servers are full or answers late (additive increase, multiplicative
// decrease: Chiu and Jain, 1989). It takes no lock.
type limit struct {
	bits  atomic.Uint64 // of a float64
	cutAt atomic.Int64  // nanoseconds of the Unix epoch
}

func newLimit() *limit {
	l := &limit{}
	l.bits.Store(math.Float64bits(initialLimit))
	return l
}

func (l *limit) value() float64 { return math.Float64frombits(l.bits.Load()) }

func (l *limit) grow(inFlight int64) {
	old := l.bits.Load()
	value := math.Float64frombits(old)
	if float64(inFlight) < value/2 {
		return
	}
	// A lost race leaves out one of many small steps.
	l.bits.CompareAndSwap(old, math.Float64bits(min(value+1/value, highestLimit)))
}

func (l *limit) cut(now time.Time) {
	last := l.cutAt.Load()
	if now.UnixNano()-last < int64(cutInterval) || !l.cutAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}
	l.bits.Store(math.Float64bits(max(l.value()*limitCut, lowestLimit)))
}
