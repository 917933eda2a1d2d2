package rollout

import "time"

const (
	// answersPerWindow is the number of answers of the new version after which a
	// new window begins.
	answersPerWindow = 50
	// maxWindows is the number of the latest maxWindows that are tested.
	maxWindows = 4
)

// Detector tests the pooled counts of one roll-out, both since the start and
// since the beginnings of the latest windows, so that a version which turns
// bad after a long good time is not shielded by it. Restarting a sequential
// test for each window follows Lorden (1971). It is not safe for concurrent
// use.
type Detector struct {
	windowStarts []cumulativeCounts
	history      countHistory
}

// cumulativeCounts is what was counted up to a moment.
type cumulativeCounts struct {
	oldArm, newArm Counts
	at             time.Time
}

// RegressionCause names the first measure by which the new version is worse, or returns
// the empty string. Counts must not shrink from call to call.
func (d *Detector) RegressionCause(oldArm, newArm Counts, at time.Time) string {
	now := cumulativeCounts{oldArm: oldArm, newArm: newArm, at: at}
	d.history.add(now)
	if cause := d.regressionSince(cumulativeCounts{}, now, minNewSamples, measureCount/falseHaltProbability); cause != "" {
		return cause
	}
	for _, begin := range d.windowStarts {
		if cause := d.regressionSince(begin, now, minWindowSamples, measureCount/windowFalseHaltProbability); cause != "" {
			return cause
		}
	}
	d.startWindowIfDue(now)
	return ""
}

// regressionSince tests what was counted since an earlier state.
func (d *Detector) regressionSince(begin, now cumulativeCounts, minNewCount uint64, threshold float64) string {
	cause := regressionCause(now.oldArm.Since(begin.oldArm), now.newArm.Since(begin.newArm), minNewCount, threshold)
	if cause == CauseLatency && !d.history.sustained(begin, now) {
		return ""
	}
	return cause
}

func (d *Detector) startWindowIfDue(now cumulativeCounts) {
	var last uint64
	if len(d.windowStarts) > 0 {
		last = d.windowStarts[len(d.windowStarts)-1].newArm.Answers
	}
	if now.newArm.Answers >= last+answersPerWindow {
		d.StartWindow(now.oldArm, now.newArm, now.at)
	}
}

// StartWindow starts a further window, because what the new version meets changes.
func (d *Detector) StartWindow(oldArm, newArm Counts, at time.Time) {
	d.windowStarts = append(d.windowStarts, cumulativeCounts{oldArm: oldArm, newArm: newArm, at: at})
	if len(d.windowStarts) > maxWindows {
		d.windowStarts = d.windowStarts[1:]
	}
}
