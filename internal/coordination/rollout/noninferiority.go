package rollout

import "math"

const (
	// failedExcess, slowExcess and aboveExcess are the differences in probability,
	// over the old version, of a failed answer, of a slow one and of one above the
	// median that a bad version has at least.
	failedExcess = 0.15
	slowExcess   = 0.25
	aboveExcess  = 0.3
	// falseAcceptance bounds the probability with which a version that is so much
	// worse passes for sound; falseUnderLoad the same for the answers under load
	// alone.
	falseAcceptance          = 0.05
	falseAcceptanceUnderLoad = 0.2
	// maxProbability keeps probabilities off 1, where one good answer would prove
	// everything.
	maxProbability = 0.95
)

// NonInferior reports whether the answers of the new version, all of them and those
// under load, are unlikely for one that is clearly worse than the old one. Where neither NonInferior nor a Detector's Worse
// holds, more answers are needed (sequential probability ratio test: Wald,
// Sequential Analysis, 1947).
func NonInferior(oldArm, newArm, underLoad Counts) bool {
	return excludesRegression(oldArm, newArm, falseAcceptance) && excludesRegression(oldArm, underLoad, falseAcceptanceUnderLoad)
}

func excludesRegression(oldArm, newArm Counts, errorProbability float64) bool {
	limit := math.Log(errorProbability)
	return logLikelihoodRatio(oldArm.Failed, oldArm.Answers, newArm.Failed, newArm.Answers, failedExcess) <= limit &&
		(oldArm.Timed == 0 || logLikelihoodRatio(oldArm.Slow, oldArm.Timed, newArm.Slow, newArm.Timed, slowExcess) <= limit) &&
		(oldArm.Above == 0 || logLikelihoodRatio(oldArm.Above, oldArm.Timed, newArm.Above, newArm.Timed, aboveExcess) <= limit)
}

// logLikelihoodRatio weighs a new version whose probability of a bad answer is higher than
// that of the old one by excess against one where it is the same. It is the
// logarithm of the ratio of both likelihoods.
func logLikelihoodRatio(oldBad, oldTotal, newBad, newTotal uint64, excess float64) float64 {
	baseline := min((float64(oldBad)+0.5)/(float64(oldTotal)+1), maxProbability-excess)
	regressed := baseline + excess
	good := float64(newTotal - newBad)
	return float64(newBad)*math.Log(regressed/baseline) + good*math.Log((1-regressed)/(1-baseline))
}
