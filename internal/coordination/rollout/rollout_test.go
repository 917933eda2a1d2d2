package rollout_test

import (
	"fmt"
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
			observe(m, tc.bad, 30)
			must.True(t, m.Halted("roll"))
			must.Eq(t, []rollout.Halt{{Arm: rollout.Arm{Rollout: "roll", VersionID: "small-2"}, Cause: tc.cause, Instance: "a"}}, f.audit.halts)
		})
	}
}

// TestInstancesPoolWhatEachSees shows a halt that no instance could find
// alone, with digests that arrive twice and out of order.
func TestInstancesPoolWhatEachSees(t *testing.T) {
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

func TestStalledRolloutIsShown(t *testing.T) {
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

// halting decides after each answer of the new version whether to halt.
type halting func(oldArm, newArm rollout.Counts) bool

// fixedThreshold halts once at least window answers were rated and the share
// below target exceeds that of the old version by margin.
func fixedThreshold(window uint64, margin float64) halting {
	return func(oldArm, newArm rollout.Counts) bool {
		if newArm.Rated < window || oldArm.Rated == 0 {
			return false
		}
		return float64(newArm.Below)/float64(newArm.Rated) > float64(oldArm.Below)/float64(oldArm.Rated)+margin
	}
}

func sequential(oldArm, newArm rollout.Counts) bool { return rollout.Worse(oldArm, newArm) != "" }

// simulate runs roll-outs at a share of 10% until 2000 answers of the new
// version, and returns the share that was halted and the mean number of
// answers of the new version before.
func simulate(halts halting, oldBad, newBad float64, runs int) (halted, exposure float64) {
	const answers, oldPerNew = 2000, 9
	random := rand.New(rand.NewPCG(11, 12))
	draw := func(counts *rollout.Counts, bad float64) {
		counts.Answers++
		counts.Rated++
		if random.Float64() < bad {
			counts.Below++
		}
	}
	for range runs {
		var oldArm, newArm rollout.Counts
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

// TestExposureAgainstFixedThreshold compares with the fixed threshold of the
// least exposure among those that halt a good version no more often.
func TestExposureAgainstFixedThreshold(t *testing.T) {
	const runs, oldBad = 400, 0.10
	ourFalse, _ := simulate(sequential, oldBad, oldBad, runs)
	t.Logf("sequential test: halts a good version in %.2f%% of %d roll-outs", 100*ourFalse, runs)
	must.LessEq(t, 0.01, ourFalse)
	type fixed struct {
		window uint64
		margin float64
	}
	var allowed []fixed
	for _, window := range []uint64{20, 50, 100, 200, 400} {
		for _, margin := range []float64{0.05, 0.10, 0.15, 0.20, 0.30} {
			if fixedFalse, _ := simulate(fixedThreshold(window, margin), oldBad, oldBad, runs); fixedFalse <= ourFalse {
				allowed = append(allowed, fixed{window, margin})
			}
		}
	}
	must.SliceNotEmpty(t, allowed)
	for _, newBad := range []float64{0.25, 0.40, 0.60, 1.0} {
		ourHalted, ours := simulate(sequential, oldBad, newBad, runs)
		best := -1.0
		var bestRule fixed
		for _, rule := range allowed {
			halted, exposure := simulate(fixedThreshold(rule.window, rule.margin), oldBad, newBad, runs)
			if halted > 0.99 && (best < 0 || exposure < best) {
				best, bestRule = exposure, rule
			}
		}
		t.Logf("bad share %.2f: sequential halts %.1f%% after %.1f answers; best fixed %v after %.1f", newBad, 100*ourHalted, ours, bestRule, best)
	}
}
