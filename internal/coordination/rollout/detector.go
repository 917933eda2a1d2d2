package rollout

import "time"

const (
	// answersPerWindow is the number of answers of the new version after which a
	// new window starts.
	answersPerWindow = 50
	// maxWindows is the number of recent windows that are tested.
	maxWindows = 4
)

// Detector tests the pooled counts of one rollout, both since its start and
// since the starts of recent windows, so that a version that degrades after many
// good answers is detected without being averaged with them. Restarting a
// sequential test for each window follows Lorden (1971). It is not safe for
// concurrent use.
type Detector struct {
	windowStarts []cumulativeCounts
	// loadStart holds the counts at the call of StartLoad; nil before.
	loadStart *cumulativeCounts
	history   countHistory
}

// cumulativeCounts holds the counts of both versions up to a point in time.
type cumulativeCounts struct {
	oldArm, newArm Counts
	at             time.Time
}

// RegressionCause returns the first measure by which the new version is worse,
// or the empty string for none. Counts must not decrease between calls.
func (d *Detector) RegressionCause(oldArm, newArm Counts, at time.Time) string {
	now := cumulativeCounts{oldArm: oldArm, newArm: newArm, at: at}
	d.history.add(now)
	if cause := d.regressionSince(cumulativeCounts{}, now, minNewSamples, measureCount/falseHaltProbability); cause != "" {
		return cause
	}
	for _, start := range d.windowStarts {
		if cause := d.regressionSince(start, now, minWindowSamples, measureCount/windowFalseHaltProbability); cause != "" {
			return cause
		}
	}
	d.startWindowIfDue(now)
	return ""
}

// regressionSince tests the counts since an earlier state. A latency regression
// counts only if it is sustained.
func (d *Detector) regressionSince(start, now cumulativeCounts, minNewCount uint64, threshold float64) string {
	cause := regressionCause(now.oldArm.Since(start.oldArm), now.newArm.Since(start.newArm), minNewCount, threshold)
	if cause == CauseLatency && !d.history.sustained(start, now) {
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

// StartWindow starts another window. Callers use it when the conditions of the
// new version change, for example when it comes under load.
func (d *Detector) StartWindow(oldArm, newArm Counts, at time.Time) {
	d.windowStarts = append(d.windowStarts, cumulativeCounts{oldArm: oldArm, newArm: newArm, at: at})
	if len(d.windowStarts) > maxWindows {
		d.windowStarts = d.windowStarts[1:]
	}
}
