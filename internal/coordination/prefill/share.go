package prefill

import (
	"time"

	"medlarslip/internal/state/decay"
)

// longShare tracks the share of long prompts in the processing time of all
// prompts.
type longShare struct{ seconds decay.Counts }

func (s *longShare) add(now time.Time, took time.Duration, long bool) {
	s.seconds.Add(now, shareHalfLife, took.Seconds(), long)
}

// value returns the share, within the bounds set by minShare. It is 0.5 without
// observations.
func (s *longShare) value() float64 {
	if s.seconds.Total <= 0 {
		return 0.5
	}
	return min(max(s.seconds.Matching/s.seconds.Total, minShare), 1-minShare)
}
