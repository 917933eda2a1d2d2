package backends

import (
	"time"

	"medlarslip/internal/state/decay"
)

const (
	// recentHalfLife is the half-life of the weight of a call.
	recentHalfLife = 4 * time.Second
	// priorGoodCalls is the number of good calls added to the recorded ones, so
	// that one bad call among few does not rate a server as bad.
	priorGoodCalls = 2
)

// recentCalls counts all calls and the bad ones among them, with exponential
// decay.
type recentCalls struct{ counts decay.Counts }

func (r *recentCalls) add(now time.Time, bad bool) { r.counts.Add(now, recentHalfLife, 1, bad) }

// badShare returns the share of recent calls that were bad.
func (r recentCalls) badShare(now time.Time) float64 {
	r.counts.Decay(now, recentHalfLife)
	return r.counts.Matching / (r.counts.Total + priorGoodCalls)
}
