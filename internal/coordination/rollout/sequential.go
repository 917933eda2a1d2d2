package rollout

import "math"

// Causes of a halt.
const (
	CauseRatings = "ratings"
	CauseErrors  = "errors"
	CauseLatency = "latency"
)

const (
	// falseHaltProbability bounds the probability that the counts since the start halt a
	// roll-out of a version which is not worse, over all measures and looks.
	falseHaltProbability = 0.01
	// windowFalseHaltProbability bounds the same for each window of recent answers.
	windowFalseHaltProbability = 0.0001
	// measureCount is the number of measureCount that share falseHalt.
	measureCount = 4
	// mixtureDeviation is the standard deviation of the differences in
	// probability that the test looks for.
	mixtureDeviation = 0.3
	// tolerance is the difference in probability that counts as no worse, and
	// slowTolerance the same for slow answers: a version that was just started
	// has to read prompts anew that the old one keeps.
	tolerance      = 0.01
	slowTolerance  = 0.05
	aboveTolerance = 0.05
	// minNewSamples and minOld are the numbers of observations before the normal
	// approximation is used.
	minNewSamples = 5
	minOldSamples = 20
	// minWindowSamples is minNew for the windows of recent answers.
	minWindowSamples = 20
)

// regressionCause tests whether the new version is regressionCause than the old and names the
// first measure that shows it, or returns the empty string. It may be asked
// after every observation: the mixture sequential probability ratio test
// stays valid however often it is looked at (Robbins, 1970; for differences of
// probabilities Johari, Koomen, Pekelis and Walsh, Peeking at A/B Tests, 2017).
func regressionCause(oldArm, newArm Counts, minNewCount uint64, threshold float64) string {
	switch {
	case likelihoodRatio(oldArm.Below, oldArm.Rated, newArm.Below, newArm.Rated, minNewCount, tolerance) >= threshold:
		return CauseRatings
	case likelihoodRatio(oldArm.Failed, oldArm.Answers, newArm.Failed, newArm.Answers, minNewCount, tolerance) >= threshold:
		return CauseErrors
	case likelihoodRatio(oldArm.Slow, oldArm.Timed, newArm.Slow, newArm.Timed, minNewCount, slowTolerance) >= threshold:
		return CauseLatency
	case likelihoodRatio(oldArm.Above, oldArm.Timed, newArm.Above, newArm.Timed, minNewCount, aboveTolerance) >= threshold:
		return CauseLatency
	}
	return ""
}

// likelihoodRatio weighs a new version that is worse by a half-normal
// difference, beyond what is tolerated, against one that is not worse.
func likelihoodRatio(oldBad, oldTotal, newBad, newTotal, minNewCount uint64, tolerated float64) float64 {
	if oldTotal < minOldSamples || newTotal < minNewCount {
		return 0
	}
	n0, n1 := float64(oldTotal), float64(newTotal)
	difference := float64(newBad)/n1 - float64(oldBad)/n0 - tolerated
	if difference <= 0 {
		return 0
	}
	// One observation of each outcome keeps the variance from vanishing.
	pooled := (float64(oldBad+newBad) + 1) / (n0 + n1 + 2)
	variance := pooled * (1 - pooled) * (1/n0 + 1/n1)
	mixture := mixtureDeviation * mixtureDeviation
	scale := math.Sqrt(variance / (variance + mixture))
	exponent := mixture * difference * difference / (2 * variance * (variance + mixture))
	half := difference * mixtureDeviation / math.Sqrt(variance*(variance+mixture))
	return min(2*normalCDF(half)*scale*math.Exp(exponent), binomialRatio(oldBad, oldTotal, newBad, newTotal, tolerated))
}

// mixturePoints is the number of probabilities over which exactRatio mixes.
const mixturePoints = 32

// binomialRatio weighs the answers of the new version, as they are, between the
// probabilities above that of the old one and that one. It holds also while the
// new version has too few answers for the normal approximation; that of the old
// one is taken as known, one bad answer higher than it was seen.
func binomialRatio(oldBad, oldTotal, newBad, newTotal uint64, tolerated float64) float64 {
	baseline := (float64(oldBad)+1)/(float64(oldTotal)+2) + tolerated
	if baseline >= 1 {
		return 0
	}
	bad, good := float64(newBad), float64(newTotal-newBad)
	sum := 0.0
	for i := range mixturePoints {
		regressed := baseline + (1-baseline)*(float64(i)+0.5)/mixturePoints
		sum += math.Exp(bad*math.Log(regressed/baseline) + good*math.Log((1-regressed)/(1-baseline)))
	}
	return sum / mixturePoints
}

func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
