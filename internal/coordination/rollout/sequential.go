package rollout

import "math"

// Causes of a halt.
const (
	CauseRatings = "ratings"
	CauseErrors  = "errors"
	CauseLatency = "latency"
)

const (
	// falseHaltProbability bounds the probability that the counts since the start
	// halt a rollout of a version that is not worse, over all measures and
	// evaluations.
	falseHaltProbability = 0.01
	// windowFalseHaltProbability bounds the same probability for each window of
	// recent answers.
	windowFalseHaltProbability = 0.0001
	// measureCount is the number of measures that share falseHaltProbability.
	measureCount = 4
	// mixtureDeviation is the standard deviation of the differences in
	// probability over which the test mixes.
	mixtureDeviation = 0.3
	// tolerance is the difference in probability up to which a version is not
	// considered worse. slowTolerance and aboveTolerance apply to latency: a
	// version that has just started must prefill prompts that are in the prefix
	// cache of the old one.
	tolerance      = 0.01
	slowTolerance  = 0.05
	aboveTolerance = 0.05
	// minNewSamples and minOldSamples are the numbers of samples of the new and
	// the old version that the test needs.
	minNewSamples = 5
	minOldSamples = 20
	// minWindowSamples replaces minNewSamples for the windows of recent answers.
	minWindowSamples = 20
)

// regressionCause returns the first measure whose likelihood ratio reaches the
// threshold, which shows that the new version is worse than the old one, or the
// empty string. It may be called after every observation: the mixture sequential
// probability ratio test stays valid for any number of evaluations (Robbins,
// 1970; for differences of probabilities Johari, Koomen, Pekelis and Walsh,
// Peeking at A/B Tests, 2017).
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

// likelihoodRatio returns the likelihood ratio of a new version that is worse by
// more than the tolerated difference, with a half-normal prior, to one that is
// not worse. It is 0 while there are too few samples.
func likelihoodRatio(oldBad, oldTotal, newBad, newTotal, minNewCount uint64, tolerated float64) float64 {
	if oldTotal < minOldSamples || newTotal < minNewCount {
		return 0
	}
	n0, n1 := float64(oldTotal), float64(newTotal)
	difference := float64(newBad)/n1 - float64(oldBad)/n0 - tolerated
	if difference <= 0 {
		return 0
	}
	// One additional sample of each outcome keeps the variance above 0.
	pooled := (float64(oldBad+newBad) + 1) / (n0 + n1 + 2)
	variance := pooled * (1 - pooled) * (1/n0 + 1/n1)
	mixture := mixtureDeviation * mixtureDeviation
	scale := math.Sqrt(variance / (variance + mixture))
	exponent := mixture * difference * difference / (2 * variance * (variance + mixture))
	half := difference * mixtureDeviation / math.Sqrt(variance*(variance+mixture))
	return min(2*normalCDF(half)*scale*math.Exp(exponent), binomialRatio(oldBad, oldTotal, newBad, newTotal, tolerated))
}

// mixturePoints is the number of probabilities over which binomialRatio mixes.
const mixturePoints = 32

// binomialRatio returns the likelihood ratio of probabilities of a bad answer
// above the baseline to the baseline itself, from the exact binomial likelihood.
// It also holds while the new version has too few answers for the normal
// approximation. The baseline, the probability of the old version plus the
// tolerated difference, is considered known; it is estimated with one bad answer
// more than was observed.
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
