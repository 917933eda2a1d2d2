//go:build !race

package peers_test

import (
	"math"
	"time"
)

// The bounds with the race detector are explained there; without it, all seeds are run.
const (
	maxLongScenarios  = math.MaxInt
	maxLargeScenarios = math.MaxInt
	maxLargeMinutes   = math.MaxInt
	// liveTime is the time without faults in which live instances must stay listed.
	liveTime = time.Minute
)
