package prefill

import (
	"math"
	"time"
)

// longShare is the share of long prompts in the time for all, with exponential
// decay.
type longShare struct {
	long, all float64
	at        time.Time
}

func (s *longShare) add(now time.Time, took time.Duration, long bool) {
	if !s.at.IsZero() {
		factor := math.Exp2(-float64(now.Sub(s.at)) / float64(shareHalfLife))
		s.long *= factor
		s.all *= factor
	}
	s.at = now
	s.all += took.Seconds()
	if long {
		s.long += took.Seconds()
	}
}

// value is a half while nothing is known.
func (s *longShare) value() float64 {
	if s.all <= 0 {
		return 0.5
	}
	return min(max(s.long/s.all, leastShare), 1-leastShare)
}
