package rollout

import (
	"time"

	"medlarslip/internal/state/quantile"
)

const (
	// slowQuantile is the quantile of the baseline's times above which a response
	// counts as slow. Canary and baseline are compared with the same one, so that
	// a slowdown of all servers makes neither look worse.
	slowQuantile = 0.9
	// medianQuantile is the median. A version that is slower throughout is
	// detected there first, on servers with little load.
	medianQuantile = 0.5
	// worseFactor is how many times the quantile a time must exceed. A bad
	// version is several times slower. The factor tolerates what a server that
	// has just started adds to all its times, with empty caches and different
	// neighbors.
	worseFactor = 1.25
	// idleQuantile is a quantile of the times at servers without other prompts to process. These
	// last at least as long as the part of a prompt that is not shared takes.
	idleQuantile = 0.2
	// minCompared is the number of samples from which the quantiles are used.
	minCompared = 12
)

// BaselineTimes holds quantiles of comparable times of the old version. It is safe for
// concurrent use.
type BaselineTimes struct{ slow, median, idle *quantile.Tracker }

// NewBaselineTimes returns a BaselineTimes without samples.
func NewBaselineTimes() *BaselineTimes {
	return &BaselineTimes{slow: quantile.New(slowQuantile), median: quantile.New(medianQuantile), idle: quantile.New(idleQuantile)}
}

// Add adds a time of the old version.
func (b *BaselineTimes) Add(took time.Duration) {
	b.slow.Add(took)
	b.median.Add(took)
	b.idle.Add(took)
}

// Compare compares a time with the quantiles. cacheFactor is how many times longer the response
// takes at a server that has not cached the shared part of its prompt, 1 if that makes no
// difference. known is false if there are too few samples, or if a time above a quantile may be
// due to the cache.
func (b *BaselineTimes) Compare(took time.Duration, cacheFactor float64) (slow, aboveMedian, known bool) {
	return b.compare(took, cacheFactor, (*quantile.Tracker).Above)
}

// CompareFixed is like Compare while no times are added: it compares with averages of the
// quantiles, whose error is smaller.
func (b *BaselineTimes) CompareFixed(took time.Duration, cacheFactor float64) (slow, aboveMedian, known bool) {
	return b.compare(took, cacheFactor, (*quantile.Tracker).AboveAverage)
}

// compareFunc reports whether a value is above the quantile of a tracker, or its average.
type compareFunc func(t *quantile.Tracker, value time.Duration, minCount int) (above, known bool)

func (b *BaselineTimes) compare(took time.Duration, cacheFactor float64, isAbove compareFunc) (slow, aboveMedian, known bool) {
	added := b.addedByCache(took, cacheFactor)
	slow, slowKnown := above(b.slow, took, added, isAbove)
	aboveMedian, aboveKnown := above(b.median, took, added, isAbove)
	return slow, aboveMedian, slowKnown && aboveKnown
}

// addedByCache returns how much of a time an empty cache may have added. The same share of any
// time would also cover what a version adds to the wait for other prompts, so it is bounded by
// the time that the shared part of the prompt takes at a server of the old version.
func (b *BaselineTimes) addedByCache(took time.Duration, cacheFactor float64) time.Duration {
	if cacheFactor <= 1 {
		return 0
	}
	return time.Duration(min((1-1/cacheFactor)*float64(took), (cacheFactor-1)*float64(b.idle.Estimate())))
}

// above reports whether a time is above a quantile also without what an empty cache may have
// added. known is false if it is above it only with that.
func above(tracker *quantile.Tracker, took, added time.Duration, isAbove compareFunc) (above, known bool) {
	above, known = isAbove(tracker, time.Duration(float64(took)/worseFactor), minCompared)
	if !known || !above || added <= 0 {
		return above, known
	}
	certain, _ := isAbove(tracker, time.Duration(float64(took-added)/worseFactor), minCompared)
	return certain, certain
}
