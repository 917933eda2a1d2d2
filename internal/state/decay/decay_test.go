package decay_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/decay"
)

func TestCountsHalveInEachHalfLife(t *testing.T) {
	const halfLife = 4 * time.Second
	now := time.Unix(1000, 0)
	var c decay.Counts
	c.Add(now, halfLife, 6, true)
	c.Add(now, halfLife, 2, false)
	must.Eq(t, 6, c.Matching)
	must.Eq(t, 8, c.Total)
	c.Add(now.Add(halfLife), halfLife, 1, true)
	must.Eq(t, 4, c.Matching)
	must.Eq(t, 5, c.Total)
	c.Decay(now.Add(3*halfLife), halfLife)
	must.Eq(t, 1, c.Matching)
	must.Eq(t, 1.25, c.Total)
}
