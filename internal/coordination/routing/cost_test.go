package routing_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

// learnEventTimes records the times between events of the servers of a view: those
// of the servers of odd index are slower by the given factor.
func learnEventTimes(estimators *workload.Estimators, view backends.List, factor int, now time.Time) {
	run := streamRun(0)
	for range 10 {
		for i := range view {
			interval := 10 * time.Millisecond
			if i%2 == 1 {
				interval *= time.Duration(factor)
			}
			estimators.ObserveEvents(&run, view[i], interval, now)
		}
	}
}

func streamRun(hint int) workload.Request {
	return workload.Request{Service: "s", Route: "r", Model: "m", Stream: true, Prefill: 20 * time.Millisecond, Hint: hint}
}

func costRequest(estimators *workload.Estimators, hint int, now time.Time) *routing.Request {
	run := streamRun(hint)
	return &routing.Request{Target: target, Now: now, Entries: 2, Expected: estimators.Expect(&run, now)}
}

// TestSlowServerPastTheDeadlineIsTheLastResort guards against requests that stay at a slow
// server until their deadline: it is chosen only if there is no other, whatever the load.
func TestSlowServerPastTheDeadlineIsTheLastResort(t *testing.T) {
	now := time.Now()
	var estimators workload.Estimators
	view := newList(2)
	learnEventTimes(&estimators, view, 3, now)
	view[0].SetLoad(backends.Load{Running: 11, Slots: 12, ReadAt: now})
	view[1].SetLoad(backends.Load{Running: 0, Slots: 12, ReadAt: now})
	req := costRequest(&estimators, 400, now)
	req.Remaining = 9 * time.Second
	for index, count := range decideMany(req, view, 100) {
		must.Eq(t, 0, index, must.Sprint(count))
	}
	req.Exclude = []string{view.Snapshot(0).Server.ID}
	decision := routing.Decide(req, view, newRandom(1))
	must.Eq(t, 1, decision.Chosen().Index)
	must.True(t, decision.Chosen().Late)
}

// TestFastServersTakeLongAnswersFirst guards against long answers at slow servers while fast
// ones have free slots, and against starving short ones: those use the slow servers that are
// less loaded.
func TestFastServersTakeLongAnswersFirst(t *testing.T) {
	now := time.Now()
	var estimators workload.Estimators
	view := newList(8)
	learnEventTimes(&estimators, view, 3, now)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 8 * (1 - i%2), Slots: 12, ReadAt: now})
	}
	count := func(hint int) (fast int) {
		for index, count := range decideMany(costRequest(&estimators, hint, now), view, 200) {
			if index%2 == 0 {
				fast += count
			}
		}
		return fast
	}
	must.Eq(t, 200, count(300))
	must.Eq(t, 0, count(2))
}

// TestAllSampledServersAreCompared guards against comparing two of the sampled servers: the
// only one with a free slot is chosen.
func TestAllSampledServersAreCompared(t *testing.T) {
	now := time.Now()
	var estimators workload.Estimators
	view := newList(16)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 12, Waiting: 1, Slots: 12, ReadAt: now})
	}
	view[5].SetLoad(backends.Load{Running: 10, Slots: 12, ReadAt: now})
	must.MapLen(t, 1, decideMany(costRequest(&estimators, 0, now), view, 200))
	must.Greater(t, 1, len(decideMany(&routing.Request{Target: target, Now: now, Entries: 2}, view, 200)))
}

// TestWarmServerIsUsedWhileASlotIsFree guards against a queue at the owner of a prefix while
// other servers have free slots.
func TestWarmServerIsUsedWhileASlotIsFree(t *testing.T) {
	now := time.Now()
	var estimators workload.Estimators
	view := newList(16)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 8, Slots: 12, ReadAt: now})
	}
	run := streamRun(0)
	run.Prefill, run.Shared = 200*time.Millisecond, 150*time.Millisecond
	req := &routing.Request{Target: target, Now: now, Entries: 2, PrefixHash: 7, Expected: estimators.Expect(&run, now)}
	owners := decideMany(req, view, 100)
	must.MapLen(t, 1, owners)
	for owner := range owners {
		view[owner].SetLoad(backends.Load{Running: 11, Slots: 12, ReadAt: now})
		must.Eq(t, owners, decideMany(req, view, 100))
		view[owner].SetLoad(backends.Load{Running: 12, Slots: 12, ReadAt: now})
		must.MapNotContainsKey(t, decideMany(req, view, 100), owner)
	}
}

// TestNearlyEqualServersShareRequests guards against instances with the same stale reports that
// all choose the same server because it is the best by a small margin.
func TestNearlyEqualServersShareRequests(t *testing.T) {
	now := time.Now()
	var estimators workload.Estimators
	view := newList(16)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 6, Slots: 12, ReadAt: now})
		view[i].BeginPrefill(time.Duration(i) * 200 * time.Microsecond)
	}
	used := decideMany(costRequest(&estimators, 0, now), view, 1600)
	must.MapLen(t, 16, used)
	for index, count := range used {
		must.LessEq(t, 300, count, must.Sprint(index))
	}
}
