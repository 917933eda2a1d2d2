package escalation

import (
	"math"
	"sync"
	"time"

	"medlarslip/internal/state/decay"
)

const (
	// evenConfidence is the confidence at which an answer is as likely good as not.
	evenConfidence = 50.0
	// maxConfidence is the upper end of the range of a confidence.
	maxConfidence = 100.0
	// priorNoise is the prior standard deviation of the noise in a confidence,
	// used until it is estimated from pairs of answers. The prior counts as
	// priorNoiseWeight pairs.
	priorNoise       = 10.0
	priorNoiseWeight = 20.0
	// minNoise is a lower bound of the standard deviation, since a few pairs
	// that agree do not make a confidence certain.
	minNoise = 2.0
	// priorGain is the prior gain in confidence of the strongest model over any
	// other: it is assumed to answer well what the others can't. Models in
	// between have a smaller prior, which is still high enough for them to be
	// tried, so that their gains can be estimated.
	priorGain = 55.0
	// priorGainWeight is the number of pairs of answers that a prior gain counts as.
	priorGainWeight = 4.0
	// halfLife is the half-life of the weight of a pair of answers. The mix of
	// requests changes by the hour. Models change with rollouts, and each
	// version has estimates of its own.
	halfLife = 10 * time.Minute
	// zeroConfidenceFactor multiplies the standard deviation of a prediction
	// from a confidence of 0, which does not show how far the answer is from a
	// good one.
	zeroConfidenceFactor = 2.0
)

// Learner estimates the gains of models from pairs of answers. The zero value is
// ready to use. A Learner is safe for concurrent use.
type Learner struct {
	mu       sync.Mutex
	versions map[versionKey]*estimates
}

type versionKey struct{ service, version string }

// Pair holds the confidences of two models in their answers to one request.
type Pair struct {
	// From and To are the indices of the weaker and the stronger model.
	From, To int
	// Before and After are their confidences.
	Before, After int
}

// Observe updates the estimates of a version with a pair of answers.
func (l *Learner) Observe(service, version string, models []Model, p Pair, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.estimatesOf(service, version).observe(models, p, now)
}

func (l *Learner) estimatesOf(service, version string) *estimates {
	if l.versions == nil {
		l.versions = map[versionKey]*estimates{}
	}
	key := versionKey{service, version}
	if l.versions[key] == nil {
		l.versions[key] = &estimates{gains: map[pair]decay.Mean{}}
	}
	return l.versions[key]
}

// pair identifies the estimate for two models. Pairs in which the first model
// reported a confidence of 0 have a separate estimate, since they show little
// of the gain.
type pair struct {
	from, to       string
	zeroConfidence bool
}

// estimates holds the estimates for the models of one version.
type estimates struct {
	// gains holds the mean difference between the confidence of the second
	// model and that of the first.
	gains map[pair]decay.Mean
	// variance is the variance of the noise in a confidence.
	variance decay.Mean
}

func (b *estimates) observe(models []Model, p Pair, now time.Time) {
	before, after := float64(p.Before), float64(p.After)
	key := pairOf(models, p.From, p.To, before)
	known := b.gain(models, p.From, p.To, before, now)
	observed := after - before
	switch {
	// A confidence at an end of its range only bounds the gain from one side.
	case after >= maxConfidence:
		observed = math.Max(observed, known)
	case after <= 0:
		observed = math.Min(observed, known)
	case before > 0 && before < maxConfidence:
		// The noise of both confidences adds up, hence the half.
		b.variance = b.variance.Add(now, halfLife, (observed-known)*(observed-known)/2)
	}
	b.gains[key] = b.gains[key].Add(now, halfLife, observed)
}

func (b *estimates) gain(models []Model, from, to int, before float64, now time.Time) float64 {
	return b.gains[pairOf(models, from, to, before)].Value(now, halfLife, assumedGain(models, from, to), priorGainWeight)
}

func pairOf(models []Model, from, to int, before float64) pair {
	return pair{models[from].Name, models[to].Name, before <= 0}
}

// assumedGain returns the prior gain of a model over a weaker one: in proportion
// to its additional cost, or to its index if the strongest model costs no more
// than the weaker one.
func assumedGain(models []Model, from, to int) float64 {
	last := len(models) - 1
	share := float64(to-from) / float64(last-from)
	if span := models[last].Cost - models[from].Cost; span > 0 {
		share = min(max((models[to].Cost-models[from].Cost)/span, 0), 1)
	}
	return share * priorGain
}

// deviation returns the standard deviation of a confidence.
func (b *estimates) deviation(now time.Time) float64 {
	variance := b.variance.Value(now, halfLife, priorNoise*priorNoise, priorNoiseWeight)
	return math.Max(math.Sqrt(variance), minNoise)
}

// predict returns the probability that a stronger model answers well, given the
// confidence of a weaker one.
func (b *estimates) predict(models []Model, from, to int, confidence float64, now time.Time) float64 {
	deviation := b.deviation(now)
	if confidence <= 0 {
		deviation *= zeroConfidenceFactor
	}
	return goodProbability(confidence+b.gain(models, from, to, confidence, now), deviation)
}

// goodProbability returns the probability that an answer is good, given its
// confidence and the standard deviation of that.
func goodProbability(confidence, deviation float64) float64 {
	return math.Erfc((evenConfidence-confidence)/(deviation*math.Sqrt2)) / 2
}
