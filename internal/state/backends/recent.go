package backends

import (
	"time"

	"medlarslip/internal/state/decay"
)

const (
	// recentHalfLife is the age at which a call counts for half.
	recentHalfLife = 4 * time.Second
	// priorGoodCalls is the number of good calls that are assumed besides, so that
	// one bad call among few does not condemn a server.
	priorGoodCalls = 2
)

// recentCalls counts calls, the bad ones apart.
type recentCalls struct{ counts decay.Counts }

func (r *recentCalls) add(now time.Time, bad bool) { r.counts.Add(now, recentHalfLife, 1, bad) }

// badShare returns the share of recent calls that were bad.
func (r recentCalls) badShare(now time.Time) float64 {
	r.counts.Decay(now, recentHalfLife)
	return r.counts.Matching / (r.counts.Total + priorGoodCalls)
}
