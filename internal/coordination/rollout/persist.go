package rollout

import "time"

// Slow answers come in clusters: what arrives at a server behind a long prompt
// waits for it together. A cluster at one of the few servers of a new version is
// evidence of one event only, though it counts many answers. A version that is
// slow by itself is so in every part of a span that is longer than such events.

const (
	// persistentParts is the number of parts of a span, with as many answers each,
	// in each of which a version that is slow must look slower.
	persistentParts = 3
	// persistentTime is the least length of the span: longer than it takes to read
	// a few long prompts one after the other.
	persistentTime = 3 * time.Second
	// markInterval is the time between two marks, and maxMarks the number of marks
	// that are kept: as many as the longest span that is looked at needs.
	markInterval = 250 * time.Millisecond
	maxMarks     = 120
)

// marks holds the counts at moments, the earliest first.
type marks struct{ kept []armCounts }

func (m *marks) add(now armCounts) {
	if n := len(m.kept); n > 0 && now.at.Sub(m.kept[n-1].at) < markInterval {
		return
	}
	m.kept = append(m.kept, now)
	if len(m.kept) > maxMarks {
		m.kept = m.kept[1:]
	}
}

// persistent reports whether the new version looks slower in every part of the
// span between two states, as far as it is kept.
func (m *marks) persistent(begin, now armCounts) bool {
	if begin.at.Before(m.kept[0].at) {
		begin = m.kept[0]
	}
	if now.at.Sub(begin.at) < persistentTime {
		return false
	}
	answers := now.newArm.Timed - begin.newArm.Timed
	from := begin
	for n := range uint64(persistentParts) {
		to := now
		if n < persistentParts-1 {
			to = m.from(begin.newArm.Timed + (n+1)*answers/persistentParts)
		}
		if !looksSlower(now.oldArm, to.newArm.Since(from.newArm)) {
			return false
		}
		from = to
	}
	return true
}

// looksSlower reports whether answers of the new version are more likely ones of a
// slower version than of the old one.
func looksSlower(oldArm, newArm Counts) bool {
	slow := likelihoodRatio(oldArm.Slow, oldArm.Timed, newArm.Slow, newArm.Timed, 1, slowTolerance)
	above := likelihoodRatio(oldArm.Above, oldArm.Timed, newArm.Above, newArm.Timed, 1, aboveTolerance)
	return max(slow, above) >= 1
}

// from returns the first state that is kept with a number of timed answers of the
// new version.
func (m *marks) from(timed uint64) armCounts {
	for _, mark := range m.kept {
		if mark.newArm.Timed >= timed {
			return mark
		}
	}
	return m.kept[len(m.kept)-1]
}
