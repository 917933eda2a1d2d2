package rollout

import (
	"math"
	"time"
)

const (
	// falseSuspicionRatings, falseSuspicionErrors, falseSuspicionSlow and
	// falseSuspicionAbove bound the probability that a version that is as good as the
	// old one is suspected by a measure at one point in time. Each applies to all
	// answers and to those under load, so that twice their sum, 1 in 50, bounds the
	// probability over all measures. Failures have the largest part: 32 of 362 against
	// 233 of 4,470, which a bad version has had, are as likely as 0.0043.
	falseSuspicionRatings = 0.002
	falseSuspicionErrors  = 0.005
	falseSuspicionSlow    = 0.0015
	falseSuspicionAbove   = 0.0015
	// suspectedLatencyTolerance is the difference in probability that servers with empty
	// prompt caches may cause: 0.07 more answers are slow there, and some margin.
	suspectedLatencyTolerance = 0.08
	// changeProbability is the probability of what the old version has answered in one of
	// two times, given the other one, below which its share of bad answers has changed.
	changeProbability = 0.005
	// negligible is the weight, as a fraction of the largest one, below which a term of
	// a distribution is left out.
	negligible = 1e-15
)

// StartLoad states that the new version receives its larger share of the requests from now on.
// The answers until then and those since are compared separately.
func (d *Detector) StartLoad(oldArm, newArm Counts, at time.Time) {
	d.loadStart = &cumulativeCounts{oldArm: oldArm, newArm: newArm, at: at}
	d.StartWindow(oldArm, newArm, at)
}

// SuspicionCause returns the first measure by which the answers of the new version, either all
// of them or those under load, are evidence that it is worse, or the empty string for none.
// Such a version is not proved to be worse. The probability that a version that is as good as
// the old one is suspected is at most 1 in 50 at one point in time, so that callers should ask
// when they have to decide, not after every answer.
func (d *Detector) SuspicionCause(oldArm, newArm Counts, at time.Time) string {
	now := cumulativeCounts{oldArm: oldArm, newArm: newArm, at: at}
	d.history.add(now)
	loadStart := now
	if d.loadStart != nil && isLater(oldArm, d.loadStart.oldArm) && isLater(newArm, d.loadStart.newArm) {
		loadStart = *d.loadStart
	}
	before := comparison{loadStart.oldArm, loadStart.newArm}
	underLoad := comparison{oldArm.Since(loadStart.oldArm), newArm.Since(loadStart.newArm)}
	for i := range suspicionMeasures {
		m := &suspicionMeasures[i]
		size := 1.0
		if m.clustered {
			size = d.history.clusterSize(m.of)
		}
		all, loaded := tailProbabilities(m.counts(&before, size), m.counts(&underLoad, size))
		if all <= m.falseSuspicion && (!m.clustered || d.history.sustained(cumulativeCounts{}, now)) {
			return m.cause
		}
		if loaded <= m.falseSuspicion && (!m.clustered || d.history.sustained(loadStart, now)) {
			return m.cause
		}
	}
	return ""
}

// isLater reports whether no counter is lower than before. Counts decrease if a version turns out
// not to be one of those that the new version replaces.
func isLater(now, before Counts) bool {
	joined := now
	joined.Join(before)
	return joined == now
}

// tailProbabilities returns the probabilities that a version that is as good as the old one has
// at least as many bad answers in all, and under load. The new version has more of its answers
// under load than the old one. Where the share of bad answers of the old version has changed in
// the meantime, the answers of each time are therefore compared with those of the same time.
func tailProbabilities(before, underLoad stratum) (all, loaded float64) {
	if underLoad.newTotal == 0 {
		return tailProbability(before), 1
	}
	rise := stratum{before.oldBad, before.oldTotal, underLoad.oldBad, underLoad.oldTotal}
	fall := stratum{underLoad.oldBad, underLoad.oldTotal, before.oldBad, before.oldTotal}
	if min(tailProbability(rise), tailProbability(fall)) <= changeProbability {
		return tailProbability(before, underLoad), tailProbability(underLoad)
	}
	oldBad, oldTotal := before.oldBad+underLoad.oldBad, before.oldTotal+underLoad.oldTotal
	return tailProbability(stratum{oldBad, oldTotal, before.newBad + underLoad.newBad, before.newTotal + underLoad.newTotal}),
		tailProbability(stratum{oldBad, oldTotal, underLoad.newBad, underLoad.newTotal})
}

// comparison holds the counts of both versions in the same time.
type comparison struct{ oldArm, newArm Counts }

// suspicionMeasure is a measure by which a version may be suspected.
type suspicionMeasure struct {
	cause          string
	falseSuspicion float64
	// tolerance is the difference in probability up to which a version is as good.
	tolerance float64
	// clustered is true if bad answers come in clusters.
	clustered bool
	// of returns the bad answers and all answers that count for the measure.
	of func(c *Counts) (bad, total uint64)
}

var suspicionMeasures = []suspicionMeasure{
	{CauseRatings, falseSuspicionRatings, 0, false, func(c *Counts) (uint64, uint64) { return c.Below, c.Rated }},
	{CauseErrors, falseSuspicionErrors, 0, false, func(c *Counts) (uint64, uint64) { return c.Failed, c.Answers }},
	{CauseLatency, falseSuspicionSlow, suspectedLatencyTolerance, true, func(c *Counts) (uint64, uint64) { return c.Slow, c.Timed }},
	{CauseLatency, falseSuspicionAbove, suspectedLatencyTolerance, true, func(c *Counts) (uint64, uint64) { return c.Above, c.Timed }},
}

// counts returns the counts of a measure, in clusters of a size. The tolerated difference is
// added to the bad answers of the old version.
func (m *suspicionMeasure) counts(c *comparison, clusterSize float64) stratum {
	oldBad, oldTotal := m.of(&c.oldArm)
	newBad, newTotal := m.of(&c.newArm)
	oldBad += uint64(math.Ceil(m.tolerance * float64(oldTotal)))
	clusters := func(count uint64) float64 { return math.Floor(float64(count) / clusterSize) }
	// A response may be counted before the load starts, and fail after that.
	return stratum{
		oldBad: clusters(min(oldBad, oldTotal)), oldTotal: clusters(oldTotal),
		newBad: clusters(min(newBad, newTotal)), newTotal: clusters(newTotal),
	}
}

// stratum holds the counts of one measure in one time.
type stratum struct{ oldBad, oldTotal, newBad, newTotal float64 }

// tailProbability returns the probability that a version that is as good as the old one has at
// least as many bad answers in the given times together. Given the bad answers of both
// versions, those of one have a hypergeometric distribution, whatever their probability
// (Fisher, The Design of Experiments, 1935), which may differ between the times.
func tailProbability(times ...stratum) float64 {
	sum, observed := distribution{weights: []float64{1}}, 0.0
	for i := range times {
		sum = sum.plus(times[i].hypergeometric())
		observed += times[i].newBad
	}
	probability := 0.0
	for i, weight := range sum.weights {
		if sum.first+float64(i) >= observed {
			probability += weight
		}
	}
	return probability
}

// distribution holds the probabilities of consecutive numbers.
type distribution struct {
	first   float64
	weights []float64
}

// plus returns the distribution of the sum of two independent numbers.
func (d distribution) plus(o distribution) distribution {
	sum := distribution{first: d.first + o.first, weights: make([]float64, len(d.weights)+len(o.weights)-1)}
	for i, a := range d.weights {
		for j, b := range o.weights {
			sum.weights[i+j] += a * b
		}
	}
	return sum
}

// hypergeometric returns the distribution of the bad answers of the new version among those
// of both. The weights are calculated from the most probable number on in both directions.
func (s *stratum) hypergeometric() distribution {
	bad, drawn, total := s.oldBad+s.newBad, s.newTotal, s.oldTotal+s.newTotal
	lowest, highest := max(0, bad+drawn-total), min(bad, drawn)
	mode := min(max(math.Floor((drawn+1)*(bad+1)/(total+2)), lowest), highest)
	// ratio is the probability of k+1 as a multiple of that of k.
	ratio := func(k float64) float64 { return (bad - k) * (drawn - k) / ((k + 1) * (total - bad - drawn + k + 1)) }
	first, sum := mode, 1.0
	var below []float64
	for weight := 1.0; first > lowest; first-- {
		if weight /= ratio(first - 1); weight < negligible {
			break
		}
		below = append(below, weight)
		sum += weight
	}
	weights := make([]float64, 0, 2*len(below)+1)
	for i := len(below) - 1; i >= 0; i-- {
		weights = append(weights, below[i])
	}
	weights = append(weights, 1)
	for k, weight := mode, 1.0; k < highest; k++ {
		if weight *= ratio(k); weight < negligible {
			break
		}
		weights = append(weights, weight)
		sum += weight
	}
	for i := range weights {
		weights[i] /= sum
	}
	return distribution{first, weights}
}
