package backends

import (
	"math"
	"time"
)

const (
	// recentHalfLife is the age at which a call counts for half.
	recentHalfLife = 4 * time.Second
	// recentPrior is the number of good calls that are assumed besides, so that
	// one bad call among few does not condemn a server.
	recentPrior = 2
)

// recentCalls counts calls with exponential decay.
type recentCalls struct {
	bad, all float64
	at       time.Time
}

func (r *recentCalls) decay(now time.Time) {
	if !r.at.IsZero() {
		factor := math.Exp2(-float64(now.Sub(r.at)) / float64(recentHalfLife))
		r.bad *= factor
		r.all *= factor
	}
	r.at = now
}

func (r *recentCalls) add(now time.Time, bad bool) {
	r.decay(now)
	r.all++
	if bad {
		r.bad++
	}
}

// badShare returns the share of recent calls that were bad.
func (r recentCalls) badShare(now time.Time) float64 {
	r.decay(now)
	return r.bad / (r.all + recentPrior)
}
