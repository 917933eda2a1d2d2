package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/rollout"
)

// TestSuspicion guards against versions whose counts are evidence against them and that are
// promoted because they are not proved to be worse.
func TestSuspicion(t *testing.T) {
	errorsOf := func(failed, answers uint64) rollout.Counts { return rollout.Counts{Answers: answers, Failed: failed} }
	ratings := func(below, rated uint64) rollout.Counts { return rollout.Counts{Rated: rated, Below: below} }
	times := func(slow, above, timed uint64) rollout.Counts {
		return rollout.Counts{Answers: timed, Timed: timed, Slow: slow, Above: above}
	}
	// Each case has the counts until the larger share of the new version begins, and since then.
	for _, tc := range []struct {
		name                                 string
		oldBefore, newBefore, oldNow, newNow rollout.Counts
		cause                                string
	}{
		{"promoted bad version", rollout.Counts{}, rollout.Counts{}, errorsOf(233, 4470), errorsOf(32, 362), rollout.CauseErrors},
		{"as many failures as the old version", rollout.Counts{}, rollout.Counts{}, errorsOf(233, 4470), errorsOf(19, 362), ""},
		{"somewhat more failures, as by chance", rollout.Counts{}, rollout.Counts{}, errorsOf(233, 4470), errorsOf(27, 362), ""},
		{"failures under load alone", errorsOf(50, 2000), errorsOf(3, 120), errorsOf(25, 1000), errorsOf(17, 240), rollout.CauseErrors},
		{"few answers", rollout.Counts{}, rollout.Counts{}, errorsOf(2, 200), errorsOf(1, 12), ""},
		{"nothing to compare with", rollout.Counts{}, rollout.Counts{}, rollout.Counts{}, errorsOf(60, 130), ""},
		{"both versions fail more since the load began", errorsOf(20, 2000), errorsOf(1, 100), errorsOf(100, 1000), errorsOf(24, 240), ""},
		{"fails more than the old version, which fails more, too", errorsOf(20, 2000), errorsOf(1, 100), errorsOf(100, 1000), errorsOf(42, 240), rollout.CauseErrors},
		{"ratings below the target", ratings(50, 1000), ratings(6, 60), ratings(50, 1000), ratings(12, 60), rollout.CauseRatings},
		{"slow answers", times(50, 500, 1000), times(6, 30, 60), times(50, 500, 1000), times(24, 40, 60), rollout.CauseLatency},
		{"slower throughout", times(50, 500, 1000), times(3, 50, 60), times(50, 500, 1000), times(3, 50, 60), rollout.CauseLatency},
		{"as slow as with empty caches", times(50, 500, 1000), times(7, 32, 60), times(50, 500, 1000), times(7, 32, 60), ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var d rollout.Detector
			var cause string
			at := time.Unix(1000, 0)
			// The counts rise evenly, so that the latency of no moment decides.
			const steps = 20
			for i := range uint64(2*steps + 1) {
				if i == steps {
					d.StartLoad(tc.oldBefore, tc.newBefore, at)
				}
				oldArm, newArm := share(tc.oldBefore, min(i, steps), steps), share(tc.newBefore, min(i, steps), steps)
				oldArm.Add(share(tc.oldNow, max(i, steps)-steps, steps))
				newArm.Add(share(tc.newNow, max(i, steps)-steps, steps))
				cause = d.SuspicionCause(oldArm, newArm, at)
				at = at.Add(time.Second / 2)
			}
			must.Eq(t, tc.cause, cause)
		})
	}
}

// share returns the part of counts that has arrived after some of the steps.
func share(c rollout.Counts, step, steps uint64) rollout.Counts {
	part := func(n uint64) uint64 { return n * step / steps }
	return rollout.Counts{
		Answers: part(c.Answers), Failed: part(c.Failed), Rated: part(c.Rated), Below: part(c.Below),
		Timed: part(c.Timed), Slow: part(c.Slow), Above: part(c.Above),
	}
}

// TestSuspicionHandlesDecreasingCounts guards against an evaluation that does not end, and against
// slow answers that are taken for one large cluster: the counts of a version are no longer those of
// an old one once an earlier rollback of it becomes known.
func TestSuspicionHandlesDecreasingCounts(t *testing.T) {
	for cause, newArm := range map[string]rollout.Counts{
		rollout.CauseErrors:  {Answers: 362, Failed: 32},
		rollout.CauseLatency: {Answers: 362, Timed: 362, Slow: 120, Above: 300},
	} {
		var d rollout.Detector
		at := time.Unix(1000, 0)
		d.StartLoad(rollout.Counts{Answers: 5000, Failed: 500, Timed: 5000, Slow: 700}, rollout.Counts{Answers: 100}, at)
		const steps = 40
		for i := range uint64(steps) {
			oldArm := share(rollout.Counts{Answers: 4470, Failed: 233, Timed: 4470, Slow: 450, Above: 2235}, i+1, steps)
			if i < steps/2 {
				oldArm.Add(rollout.Counts{Answers: 4000, Failed: 300, Timed: 4000, Slow: 400, Above: 2000})
			}
			at = at.Add(time.Second / 2)
			got := d.SuspicionCause(oldArm, share(newArm, i+1, steps), at)
			if i == steps-1 {
				must.Eq(t, cause, got)
			}
		}
	}
}

// TestGoodVersionsAreRarelySuspected guards against more than 1 of 50 good versions that are
// suspected when their promotion is due, over all measures together, with few and many answers,
// also where their servers have empty caches and give 0.07 more slow answers.
func TestGoodVersionsAreRarelySuspected(t *testing.T) {
	const runs = 1000
	for _, tc := range []struct {
		answers         int // of the new version, a third of them before the load starts
		bad, slow, cold float64
	}{{30, 0.01, 0.05, 0}, {110, 0.1, 0.1, 0}, {110, 0.01, 0.05, 0.07}, {430, 0.05, 0.05, 0}, {430, 0.01, 0.05, 0.07}, {1700, 0.1, 0.1, 0.07}} {
		random := rand.New(rand.NewPCG(51, uint64(tc.answers)))
		suspected := 0
		for range runs {
			var d rollout.Detector
			var oldArm, newArm rollout.Counts
			at := time.Unix(1000, 0)
			for i := range 40 {
				draw(random, &oldArm, tc.answers*8/40, tc.bad, tc.slow)
				draw(random, &newArm, tc.answers*(i+1)/40-tc.answers*i/40, tc.bad, tc.slow+tc.cold)
				at = at.Add(time.Second / 2)
				if i == 13 {
					d.StartLoad(oldArm, newArm, at)
				}
				if i < 39 {
					d.RegressionCause(oldArm, newArm, at)
				}
			}
			if d.SuspicionCause(oldArm, newArm, at) != "" {
				suspected++
			}
		}
		t.Logf("%+v: suspected %d of %d", tc, suspected, runs)
		must.LessEq(t, runs/50, suspected)
	}
}

// draw adds answers of which shares are bad by each measure.
func draw(random *rand.Rand, c *rollout.Counts, answers int, bad, slow float64) {
	for range answers {
		c.Answers, c.Rated, c.Timed = c.Answers+1, c.Rated+1, c.Timed+1
		if random.Float64() < bad {
			c.Failed++
		}
		if random.Float64() < bad {
			c.Below++
		}
		if random.Float64() < slow {
			c.Slow++
			c.Above++
		} else if random.IntN(2) == 0 {
			c.Above++
		}
	}
}
