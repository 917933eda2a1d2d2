package rollout_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/protocol/document"
)

type recorder struct{ halts []rollout.Halt }

func (r *recorder) RecordHalt(halt rollout.Halt) { r.halts = append(r.halts, halt) }

type fixture struct {
	index *document.Index
	now   time.Time
	audit recorder
}

func newFixture() *fixture {
	doc := &document.Document{Rollouts: []document.Rollout{
		{ID: "roll", Model: "small", From: "small-1", To: "small-2", SharePercent: 10, Stage: document.RolloutActive},
	}}
	return &fixture{index: document.NewIndex(doc), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (f *fixture) monitor(name string) *rollout.Monitor {
	return rollout.New(name, func() *document.Index { return f.index }, &f.audit, func() time.Time { return f.now })
}

func rated(version string, accepted bool) *dispatch.Sample {
	return &dispatch.Sample{Kind: "report", VersionID: version, Rollout: "roll", Rated: true, Accepted: accepted, Took: time.Second}
}

func observe(m *rollout.Monitor, sample *dispatch.Sample, times int) {
	for range times {
		m.Observe(sample)
	}
}

func TestHaltByEachMeasure(t *testing.T) {
	failed := &dispatch.Sample{Kind: "report", VersionID: "small-2", Rollout: "roll", Failed: true}
	slow := &dispatch.Sample{Kind: "report", VersionID: "small-2", Rollout: "roll", Took: 3 * time.Second}
	cases := []struct {
		cause string
		bad   *dispatch.Sample
	}{
		{rollout.CauseRatings, rated("small-2", false)},
		{rollout.CauseErrors, failed},
		{rollout.CauseLatency, slow},
	}
	for _, tc := range cases {
		t.Run(tc.cause, func(t *testing.T) {
			f := newFixture()
			m := f.monitor("a")
			observe(m, rated("small-1", true), 100)
			must.False(t, m.Halted("roll"))
			for range 30 {
				// Answers that come at once may all be slow for one reason.
				f.now = f.now.Add(200 * time.Millisecond)
				m.Observe(tc.bad)
			}
			must.True(t, m.Halted("roll"))
			must.Eq(t, []rollout.Halt{{Arm: rollout.Arm{Rollout: "roll", VersionID: "small-2"}, Cause: tc.cause, Instance: "a"}}, f.audit.halts)
		})
	}
}

// TestInstancesPoolTheirCounts shows a halt that no instance could find
// alone, with digests that arrive twice and out of order.
func TestInstancesPoolTheirCounts(t *testing.T) {
	f := newFixture()
	var all []*rollout.Monitor
	for i := range 9 {
		m := f.monitor(fmt.Sprint(i))
		observe(m, rated("small-1", true), 20)
		early := m.Export()
		observe(m, rated("small-2", false), 3)
		must.False(t, m.Halted("roll"))
		late := m.Export()
		for _, other := range all {
			other.Merge(fmt.Sprint(i), late)
			other.Merge(fmt.Sprint(i), early)
			other.Merge(fmt.Sprint(i), late)
		}
		all = append(all, m)
	}
	must.True(t, all[0].Halted("roll"))
	must.False(t, all[8].Halted("roll"))
	all[8].Merge("0", all[0].Export())
	must.True(t, all[8].Halted("roll"))
	statuses := all[0].Statuses(func(string) int { return 1 })
	must.Eq(t, 180, statuses[0].Old.Rated)
	must.Eq(t, 27, statuses[0].New.Below)
}

func TestStalledRolloutIsReported(t *testing.T) {
	f := newFixture()
	m := f.monitor("a")
	one := func(string) int { return 1 }
	must.Eq(t, rollout.StalledNoServer, m.Statuses(func(string) int { return 0 })[0].Stalled)
	observe(m, rated("small-2", true), 1)
	must.Eq(t, "", m.Statuses(one)[0].Stalled)
	f.now = f.now.Add(11 * time.Minute)
	must.Eq(t, "", m.Statuses(one)[0].Stalled)
	observe(m, rated("small-1", true), 1)
	must.Eq(t, rollout.StalledNoAnswers, m.Statuses(one)[0].Stalled)
}

// haltRule decides after each answer of the new version whether to halt.
type haltRule func(oldArm, newArm rollout.Counts) bool

// fixedThreshold halts once at least window answers were rated and the share
// below target exceeds that of the old version by margin.
func fixedThreshold(window uint64, margin float64) func() haltRule {
	return func() haltRule {
		return newFixedThresholdRule(window, margin)
	}
}

func newFixedThresholdRule(window uint64, margin float64) haltRule {
	return func(oldArm, newArm rollout.Counts) bool {
		if newArm.Rated < window || oldArm.Rated == 0 {
			return false
		}
		return float64(newArm.Below)/float64(newArm.Rated) > float64(oldArm.Below)/float64(oldArm.Rated)+margin
	}
}

// sequential returns the test of the monitor, fresh for one roll-out.
func sequential() haltRule {
	detector, at := &rollout.Detector{}, time.Unix(1000, 0)
	return func(oldArm, newArm rollout.Counts) bool {
		at = at.Add(time.Second)
		return detector.RegressionCause(oldArm, newArm, at) != ""
	}
}

// simulate runs roll-outs at a share of 10% until 2000 answers of the new
// version, and returns the share that was halted and the mean number of
// answers of the new version before.
func simulate(fresh func() haltRule, oldBad, newBad float64, runs int) (halted, exposure float64) {
	const answers, oldPerNew = 2000, 9
	random := rand.New(rand.NewPCG(21, 22))
	draw := func(counts *rollout.Counts, bad float64) {
		counts.Answers++
		counts.Rated++
		if random.Float64() < bad {
			counts.Below++
		}
	}
	for range runs {
		var oldArm, newArm rollout.Counts
		halts := fresh()
		for range answers {
			for range oldPerNew {
				draw(&oldArm, oldBad)
			}
			draw(&newArm, newBad)
			exposure++
			if halts(oldArm, newArm) {
				halted++
				break
			}
		}
	}
	return halted / float64(runs), exposure / float64(runs)
}

// fixedThresholdRule is a fixedThresholdRule-threshold rule.
type fixedThresholdRule struct {
	window uint64
	margin float64
}

// badShares are the shares of answers below target of bad versions, against
// a share of 10% of the old version.
var badShares = []float64{0.25, 0.40, 0.60, 1.0}

// exposures returns the mean number of answers before the halt for each of
// badShares, and their sum.
func exposures(halts func() haltRule, oldBad float64, runs int) (each []float64, sum float64) {
	for _, newBad := range badShares {
		_, exposure := simulate(halts, oldBad, newBad, runs)
		each = append(each, exposure)
		sum += exposure
	}
	return each, sum
}

// TestExposureAgainstFixedThreshold compares with the best fixed threshold: of
// the rules that halt a good version no more often, the one of the least
// exposure over all bad versions, since a rule is chosen before it is known how
// bad a version will be.
func TestExposureAgainstFixedThreshold(t *testing.T) {
	const runs, oldBad = 400, 0.10
	ourFalse, _ := simulate(sequential, oldBad, oldBad, runs)
	ours, ourSum := exposures(sequential, oldBad, runs)
	t.Logf("sequential test: halts a good version in %.2f%% of %d roll-outs; answers before the halt at bad shares %v: %.1f, sum %.1f", 100*ourFalse, runs, badShares, ours, ourSum)
	must.LessEq(t, 0.01, ourFalse)
	var best fixedThresholdRule
	var bestEach []float64
	bestSum := math.Inf(1)
	for _, window := range []uint64{10, 20, 30, 50, 100, 200, 400} {
		for _, margin := range []float64{0.05, 0.10, 0.15, 0.20, 0.30} {
			rule := fixedThreshold(window, margin)
			if fixedFalse, _ := simulate(rule, oldBad, oldBad, runs); fixedFalse > ourFalse {
				continue
			}
			if each, sum := exposures(rule, oldBad, runs/4); sum < bestSum {
				best, bestEach, bestSum = fixedThresholdRule{window, margin}, each, sum
			}
		}
	}
	t.Logf("best fixed threshold %v: %.1f, sum %.1f", best, bestEach, bestSum)
	must.LessEq(t, 0.5*bestSum, ourSum)
	for i := range badShares {
		must.LessEq(t, bestEach[i], ours[i])
	}
}

// TestVersionThatTurnsBadIsHalted lets a version answer well for a long time
// first.
func TestVersionThatTurnsBadIsHalted(t *testing.T) {
	const goodAnswers, oldPerNew, oldBad, newBad, runs = 2000, 9, 0.1, 0.6, 20
	random := rand.New(rand.NewPCG(31, 32))
	total := 0
	for range runs {
		halts := sequential()
		var oldArm, newArm rollout.Counts
		draw := func(counts *rollout.Counts, bad float64) {
			counts.Answers++
			counts.Rated++
			if random.Float64() < bad {
				counts.Below++
			}
		}
		for n := 0; ; n++ {
			for range oldPerNew {
				draw(&oldArm, oldBad)
			}
			if n < goodAnswers {
				draw(&newArm, oldBad)
				must.False(t, halts(oldArm, newArm))
				continue
			}
			draw(&newArm, newBad)
			if halts(oldArm, newArm) {
				total += n - goodAnswers + 1
				break
			}
		}
	}
	t.Logf("answers from turning bad to the halt, mean of %d runs: %.1f", runs, float64(total)/runs)
	must.LessEq(t, 50*runs, total)
}
