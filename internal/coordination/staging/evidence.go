package staging

import (
	"time"

	"medlarslip/internal/coordination/rollout"
)

// evidence tests the counts of a trial.
type evidence struct {
	detector rollout.Detector
	// sameLoad tests latency against the times of the old version before the phase at full
	// load, when its servers carried as much load as the one of the new version does now.
	sameLoad rollout.Detector
	// atLoadStart holds the counts when the larger share began, at the time loadFrom after
	// the order; nil before.
	atLoadStart *loadStart
	loadFrom    time.Duration
}

// loadStart holds the counts of both versions when the larger share began.
type loadStart struct{ oldArm, newArm rollout.Counts }

// startLoad notes that the larger share begins. It begins again if it turns out to begin later,
// since the number of servers was not known before.
func (e *evidence) startLoad(from time.Duration, oldArm, newArm rollout.Counts, now time.Time) {
	if e.atLoadStart != nil && e.loadFrom >= from {
		return
	}
	e.atLoadStart, e.loadFrom = &loadStart{oldArm, newArm}, from
	e.detector.StartLoad(oldArm, newArm, now)
	e.sameLoad.StartLoad(oldArm, newArm, now)
}

// beforeLoad returns the counts of the old version without the latency since the larger share
// began.
func (e *evidence) beforeLoad(oldArm rollout.Counts) rollout.Counts {
	if e.atLoadStart != nil {
		before := e.atLoadStart.oldArm
		oldArm.Timed, oldArm.Slow, oldArm.Above = before.Timed, before.Slow, before.Above
	}
	return oldArm
}

// regressionCause returns the measure by which the new version is worse; empty for none. In a
// trial with a phase at full load, latency has to be worse than that of the old version in the
// meantime, since something may slow the servers of both versions, and than that before the phase.
func (e *evidence) regressionCause(p phases, oldArm, newArm rollout.Counts, now time.Time) string {
	cause := e.detector.RegressionCause(oldArm, newArm, now)
	if p.fullLoad {
		if before := e.sameLoad.RegressionCause(e.beforeLoad(oldArm), newArm, now); cause == rollout.CauseLatency {
			return before
		}
	}
	return cause
}

// suspicionCause returns the measure by which the new version is suspected; empty for none.
// Latency is compared as for regressionCause.
func (e *evidence) suspicionCause(p phases, oldArm, newArm rollout.Counts, now time.Time) string {
	cause := e.detector.SuspicionCause(oldArm, newArm, now)
	if p.fullLoad {
		if before := e.sameLoad.SuspicionCause(e.beforeLoad(oldArm), newArm, now); cause == rollout.CauseLatency {
			return before
		}
	}
	return cause
}

// notWorseUnderLoad reports whether enough answers under load show that the new
// version is not worse.
func (e *evidence) notWorseUnderLoad(oldArm, newArm rollout.Counts) bool {
	return e.atLoadStart != nil && rollout.NonInferior(oldArm, newArm, newArm.Since(e.atLoadStart.newArm))
}
