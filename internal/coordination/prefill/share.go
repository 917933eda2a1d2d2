package prefill

import (
	"time"

	"medlarslip/internal/state/decay"
)

// longShare is the share of long prompts in the time for all.
type longShare struct{ seconds decay.Counts }

func (s *longShare) add(now time.Time, took time.Duration, long bool) {
	s.seconds.Add(now, shareHalfLife, took.Seconds(), long)
}

// value is a half while nothing is known.
func (s *longShare) value() float64 {
	if s.seconds.All <= 0 {
		return 0.5
	}
	return min(max(s.seconds.Part/s.seconds.All, minShare), 1-minShare)
}
