package peers_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/peers"
)

// TestInvalidAgeOfARestoreIsIgnored guards against a malformed datagram by which a restore was
// observed in the future, or long ago by an overflow, so that proofs count too late or too early.
func TestInvalidAgeOfARestoreIsIgnored(t *testing.T) {
	const arrived = boottime.Instant(time.Hour)
	for _, invalid := range []*peers.Restore{nil, {Age: 1}, {Era: -1, Age: 1}, {Era: 2, Age: -1}, {Era: 2, Age: math.MinInt64}} {
		_, valid := invalid.ObservedAt(arrived)
		must.False(t, valid)
	}
	for _, age := range []time.Duration{0, time.Second, math.MaxInt64} {
		at, valid := (&peers.Restore{Era: 2, Age: age}).ObservedAt(arrived)
		must.True(t, valid)
		must.Eq(t, age, arrived.Since(at))
	}
}
