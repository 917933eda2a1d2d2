package rollout

import "math"

const (
	// failedExcess, slowExcess and aboveExcess are the minimum differences in
	// probability by which a bad version exceeds the old one: of a failed answer,
	// of a slow one and of one above the median.
	failedExcess = 0.15
	slowExcess   = 0.25
	aboveExcess  = 0.3
	// falseAcceptance bounds the probability that a version that is worse by these
	// differences is accepted; falseAcceptanceUnderLoad is the same bound for the
	// answers under load alone.
	falseAcceptance          = 0.05
	falseAcceptanceUnderLoad = 0.2
	// maxProbability keeps probabilities below 1, where a single good answer would
	// rule out a regression.
	maxProbability = 0.95
)

// NonInferior reports whether the answers of the new version, both all of them
// and those under load, are unlikely for a version that is clearly worse than the
// old one. While NonInferior is false and Detector.RegressionCause is empty, more
// answers are needed (sequential probability ratio test: Wald, Sequential
// Analysis, 1947).
func NonInferior(oldArm, newArm, underLoad Counts) bool {
	return excludesRegression(oldArm, newArm, falseAcceptance) && excludesRegression(oldArm, underLoad, falseAcceptanceUnderLoad)
}

// excludesRegression reports whether a regression is unlikely by each measure. A
// latency measure is skipped where the old version has no data for it.
func excludesRegression(oldArm, newArm Counts, errorProbability float64) bool {
	limit := math.Log(errorProbability)
	return logLikelihoodRatio(oldArm.Failed, oldArm.Answers, newArm.Failed, newArm.Answers, failedExcess) <= limit &&
		(oldArm.Timed == 0 || logLikelihoodRatio(oldArm.Slow, oldArm.Timed, newArm.Slow, newArm.Timed, slowExcess) <= limit) &&
		(oldArm.Above == 0 || logLikelihoodRatio(oldArm.Above, oldArm.Timed, newArm.Above, newArm.Timed, aboveExcess) <= limit)
}

// logLikelihoodRatio returns the logarithm of the likelihood ratio of a new
// version whose probability of a bad answer exceeds that of the old one by excess
// to one with the same probability.
func logLikelihoodRatio(oldBad, oldTotal, newBad, newTotal uint64, excess float64) float64 {
	baseline := min((float64(oldBad)+0.5)/(float64(oldTotal)+1), maxProbability-excess)
	regressed := baseline + excess
	good := float64(newTotal - newBad)
	return float64(newBad)*math.Log(regressed/baseline) + good*math.Log((1-regressed)/(1-baseline))
}
