package rollout

import "time"

// Slow answers come in clusters: all requests that queue behind a long prompt at
// a backend server are slow together. A cluster at one of the few backend
// servers of a new version is evidence of a single event, although it contains
// many answers. A version that is itself slow is slow in every part of a time
// span that is longer than such events.

const (
	// sustainedParts is the number of parts of a span, of equal numbers of
	// answers, in each of which a slow version must look slower.
	sustainedParts = 3
	// minSustainedSpan is the minimum length of the span: longer than the prefill
	// of a few long prompts one after the other.
	minSustainedSpan = 3 * time.Second
	// historyInterval is the minimum time between two states in the history, and
	// maxHistory the number of states kept: enough for the longest span that is
	// tested.
	historyInterval = 250 * time.Millisecond
	maxHistory      = 120
)

// countHistory holds recent cumulative counts, the earliest first.
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
// span between two states. A span that starts before the history is shortened to
// it.
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

// likelySlower reports whether the latencies of the new version are more likely
// under a slower version than under the old one.
func likelySlower(oldArm, newArm Counts) bool {
	slow := likelihoodRatio(oldArm.Slow, oldArm.Timed, newArm.Slow, newArm.Timed, 1, slowTolerance)
	above := likelihoodRatio(oldArm.Above, oldArm.Timed, newArm.Above, newArm.Timed, 1, aboveTolerance)
	return max(slow, above) >= 1
}

// firstWithTimed returns the earliest state in the history with at least the
// given number of timed answers of the new version, or the latest state if there
// is none.
func (m *countHistory) firstWithTimed(timed uint64) cumulativeCounts {
	for _, mark := range m.states {
		if mark.newArm.Timed >= timed {
			return mark
		}
	}
	return m.states[len(m.states)-1]
}
