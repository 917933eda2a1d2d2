package rollout

import "time"

const (
	// windowAnswers is the number of answers of the new version after which a
	// new window begins.
	windowAnswers = 50
	// windows is the number of the latest windows that are tested.
	windows = 4
)

// Detector tests the pooled counts of one roll-out, both since the start and
// since the beginnings of the latest windows, so that a version which turns
// bad after a long good time is not shielded by it. Restarting a sequential
// test for each window follows Lorden (1971). It is not safe for concurrent
// use.
type Detector struct {
	begins []armCounts
	marks  marks
}

// armCounts is what was counted up to a moment.
type armCounts struct {
	oldArm, newArm Counts
	at             time.Time
}

// Worse names the first measure by which the new version is worse, or returns
// the empty string. Counts must not shrink from call to call.
func (d *Detector) Worse(oldArm, newArm Counts, at time.Time) string {
	now := armCounts{oldArm: oldArm, newArm: newArm, at: at}
	d.marks.add(now)
	if cause := d.worseSince(armCounts{}, now, minNew, measures/falseHalt); cause != "" {
		return cause
	}
	for _, begin := range d.begins {
		if cause := d.worseSince(begin, now, minRecent, measures/recentFalseHalt); cause != "" {
			return cause
		}
	}
	d.advance(now)
	return ""
}

// worseSince tests what was counted since an earlier state.
func (d *Detector) worseSince(begin, now armCounts, least uint64, threshold float64) string {
	cause := worse(now.oldArm.Since(begin.oldArm), now.newArm.Since(begin.newArm), least, threshold)
	if cause == CauseLatency && !d.marks.persistent(begin, now) {
		return ""
	}
	return cause
}

func (d *Detector) advance(now armCounts) {
	var last uint64
	if len(d.begins) > 0 {
		last = d.begins[len(d.begins)-1].newArm.Answers
	}
	if now.newArm.Answers >= last+windowAnswers {
		d.Begin(now.oldArm, now.newArm, now.at)
	}
}

// Begin starts a further window, because what the new version meets changes.
func (d *Detector) Begin(oldArm, newArm Counts, at time.Time) {
	d.begins = append(d.begins, armCounts{oldArm: oldArm, newArm: newArm, at: at})
	if len(d.begins) > windows {
		d.begins = d.begins[1:]
	}
}
