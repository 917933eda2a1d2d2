package rollout

import "time"

// Slow answers come in clusters: what arrives at a server behind a long prompt
// waits for it together. A cluster at one of the few servers of a new version is
// evidence of one event only, though it counts many answers. A version that is
// slow by itself is so in every part of a span that is longer than such events.

const (
	// sustainedParts is the number of parts of a span, with as many answers each,
	// in each of which a version that is slow must look slower.
	sustainedParts = 3
	// minSustainedSpan is the least length of the span: longer than it takes to read
	// a few long prompts one after the other.
	minSustainedSpan = 3 * time.Second
	// historyInterval is the time between two marks, and maxMarks the number of marks
	// that are kept: as many as the longest span that is looked at needs.
	historyInterval = 250 * time.Millisecond
	maxHistory      = 120
)

// countHistory holds the counts at moments, the earliest first.
type countHistory struct{ states []cumulativeCounts }

func (m *countHistory) add(now cumulativeCounts) {
	if n := len(m.states); n > 0 && now.at.Sub(m.states[n-1].at) < historyInterval {
		return
	}
	m.states = append(m.states, now)
	if len(m.states) > maxHistory {
		m.states = m.states[1:]
	}
}

// sustained reports whether the new version looks slower in every part of the
// span between two states, as far as it is kept.
func (m *countHistory) sustained(begin, now cumulativeCounts) bool {
	if begin.at.Before(m.states[0].at) {
		begin = m.states[0]
	}
	if now.at.Sub(begin.at) < minSustainedSpan {
		return false
	}
	answers := now.newArm.Timed - begin.newArm.Timed
	from := begin
	for n := range uint64(sustainedParts) {
		to := now
		if n < sustainedParts-1 {
			to = m.firstWithTimed(begin.newArm.Timed + (n+1)*answers/sustainedParts)
		}
		if !likelySlower(now.oldArm, to.newArm.Since(from.newArm)) {
			return false
		}
		from = to
	}
	return true
}

// likelySlower reports whether answers of the new version are more likely ones of a
// slower version than of the old one.
func likelySlower(oldArm, newArm Counts) bool {
	slow := likelihoodRatio(oldArm.Slow, oldArm.Timed, newArm.Slow, newArm.Timed, 1, slowTolerance)
	above := likelihoodRatio(oldArm.Above, oldArm.Timed, newArm.Above, newArm.Timed, 1, aboveTolerance)
	return max(slow, above) >= 1
}

// firstWithTimed returns the first state that is kept with a number of timed answers of the
// new version.
func (m *countHistory) firstWithTimed(timed uint64) cumulativeCounts {
	for _, mark := range m.states {
		if mark.newArm.Timed >= timed {
			return mark
		}
	}
	return m.states[len(m.states)-1]
}
