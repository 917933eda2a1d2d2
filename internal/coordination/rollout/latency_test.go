package rollout_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/rollout"
)

// TestTimesThatACacheExplainsAreNotCompared guards against answers that count as slow because
// the server has not cached the shared part of the prompt, and against slow answers that count
// as fast or not at all because of it.
func TestTimesThatACacheExplainsAreNotCompared(t *testing.T) {
	times := rollout.NewBaselineTimes()
	for range 200 {
		times.Add(100 * time.Millisecond)
	}
	for _, c := range []struct {
		took               time.Duration
		cacheFactor        float64
		slow, above, known bool
	}{
		{took: 90 * time.Millisecond, cacheFactor: 3, known: true},
		{took: 200 * time.Millisecond, cacheFactor: 1, slow: true, above: true, known: true},
		{took: 200 * time.Millisecond, cacheFactor: 3},
		{took: 600 * time.Millisecond, cacheFactor: 3, slow: true, above: true, known: true},
	} {
		slow, above, known := times.Compare(c.took, c.cacheFactor)
		must.Eq(t, []bool{c.slow, c.above, c.known}, []bool{slow, above, known}, must.Sprintf("%+v", c))
	}
}
