//go:build race

package peers_test

import "time"

// With the race detector, a minute of a fleet of 300 instances takes more than a minute. Without
// it, all seeds are run in full.
const (
	// maxLongScenarios bounds the number of seeds of long scenarios in smaller fleets.
	maxLongScenarios = 4
	// maxLargeScenarios bounds the number of seeds in fleets of 300 instances, and
	// maxLargeMinutes that of long scenarios there.
	maxLargeScenarios = 2
	maxLargeMinutes   = 1
	// liveTime is the time without faults in which live instances must stay listed.
	liveTime = 10 * time.Second
)
