package routing_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// calibration sums the runs of all instances by the tenth of the predicted probability.
func (s *simulation) calibration() (met, missed [10]float64) {
	for _, in := range s.instances {
		for _, c := range in.learned.Calibrations() {
			for tenth := range met {
				met[tenth] += float64(c.Met[tenth])
				missed[tenth] += float64(c.Missed[tenth])
			}
		}
	}
	return met, missed
}

// TestProbabilitiesAreCalibrated guards against probabilities that do not predict what
// happens: runs of a high probability meet their objective as often as stated, those of a low
// one rarely, and most runs have a probability.
func TestProbabilitiesAreCalibrated(t *testing.T) {
	loads := map[string]func() *load{
		"previews":          func() *load { l := previews(); l.scale, l.surge = 1.3, 2.5; return l },
		"archive, 68 surge": func() *load { l := archive(); l.scale, l.surge = 1.3, 2.5; return l },
	}
	for name, draw := range loads {
		t.Run(name, func(t *testing.T) {
			served := serveAll(t, draw, true)
			met, missed := served.calibration()
			line, total := "", 0.0
			for tenth := range met {
				line += fmt.Sprintf(" %.0f/%.0f", met[tenth], met[tenth]+missed[tenth])
				total += met[tenth] + missed[tenth]
			}
			t.Logf("met of all, by tenth of the probability:%s", line)
			must.GreaterEq(t, 0.97, met[9]/(met[9]+missed[9]))
			low, lowMet := 0.0, 0.0
			for tenth := range 5 {
				low, lowMet = low+met[tenth]+missed[tenth], lowMet+met[tenth]
			}
			must.LessEq(t, 0.5*low+1, lowMet)
			must.GreaterEq(t, 0.6*float64(len(served.done)), total)
		})
	}
}
