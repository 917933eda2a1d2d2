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
	// clusterSlice is the length of the parts of the history whose bad answers are
	// compared with each other: longer than most clusters.
	clusterSlice = 2 * time.Second
)

// countHistory holds recent cumulative counts, the earliest first.
type countHistory struct{ states []cumulativeCounts }

func (h *countHistory) add(now cumulativeCounts) {
	if n := len(h.states); n > 0 && now.at.Sub(h.states[n-1].at) < historyInterval {
		return
	}
	h.states = append(h.states, now)
	if len(h.states) > maxHistory {
		h.states = h.states[1:]
	}
}

// sustained reports whether the new version looks slower in every part of the
// span between two states. A span that starts before the history is shortened to
// it.
func (h *countHistory) sustained(start, now cumulativeCounts) bool {
	if start.at.Before(h.states[0].at) {
		start = h.states[0]
	}
	if now.at.Sub(start.at) < minSustainedSpan {
		return false
	}
	answers := now.newArm.Timed - start.newArm.Timed
	from := start
	for n := range uint64(sustainedParts) {
		to := now
		if n < sustainedParts-1 {
			to = h.firstWithTimed(start.newArm.Timed + (n+1)*answers/sustainedParts)
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
func (h *countHistory) firstWithTimed(timed uint64) cumulativeCounts {
	for _, state := range h.states {
		if state.newArm.Timed >= timed {
			return state
		}
	}
	return h.states[len(h.states)-1]
}

// clusterSize returns how many bad answers of the old version come together, at least 1: the
// variance of their number in equal parts of the history, as a multiple of that of independent
// answers. of returns the bad answers and all answers of a measure. States from before a decrease of
// the counts are not compared with those after it.
func (h *countHistory) clusterSize(of func(c *Counts) (bad, total uint64)) float64 {
	states := h.states
	for i := len(states) - 1; i > 0; i-- {
		if !isLater(states[i].oldArm, states[i-1].oldArm) {
			states = states[i:]
			break
		}
	}
	start := states[0]
	whole := states[len(states)-1].oldArm.Since(start.oldArm)
	bad, total := of(&whole)
	if bad == 0 || bad >= total {
		return 1
	}
	share := float64(bad) / float64(total)
	sum, slices := 0.0, 0
	for i := range states {
		if states[i].at.Sub(start.at) < clusterSlice {
			continue
		}
		slice := states[i].oldArm.Since(start.oldArm)
		start = states[i]
		if bad, total := of(&slice); total > 0 {
			expected := share * float64(total)
			sum += (float64(bad) - expected) * (float64(bad) - expected) / (expected * (1 - share))
			slices++
		}
	}
	if slices < 2 {
		return 1
	}
	return max(sum/float64(slices-1), 1)
}
