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
	// maxConfidence is the maxConfidence confidence.
	maxConfidence = 100.0
	// priorNoise is the standard deviation of a confidence around what the model
	// can tell of an answer, assumed until pairs of answers show it, and noiseWeight
	// the number of pairs that it counts for.
	priorNoise       = 10.0
	priorNoiseWeight = 20.0
	// minNoise keeps few pairs from making a confidence certain.
	minNoise = 2.0
	// priorGain is by how much the confidence of the strongest model is assumed to
	// be above that of another one: it then answers well what others can't. Models
	// between are assumed to add less, but enough to be tried and found out.
	priorGain = 55.0
	// priorGainWeight is the number of pairs of answers that an assumed gain counts for.
	priorGainWeight = 4.0
	// halfLife is the age at which a pair of answers counts for half. Models change
	// with roll-outs, which begin anew, and the requests with the hours.
	halfLife = 10 * time.Minute
	// zeroConfidenceFactor widens the prediction from a confidence of 0, which does not
	// tell how far the answer is from a good one.
	zeroConfidenceFactor = 2.0
)

// Learner learns from pairs of answers. The zero value is ready, and safe for
// concurrent use.
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

// Observe learns from a pair of answers of servers of one version.
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

// pair names two models. What is known of a pair where the first has no
// confidence at all is kept apart, since that says little.
type pair struct {
	from, to       string
	zeroConfidence bool
}

// estimates is what is known of the models of one version.
type estimates struct {
	// gains holds by how much the confidence of the second model is above that
	// of the first.
	gains map[pair]decay.Mean
	// variance is that of the noise in a confidence.
	variance decay.Mean
}

func (b *estimates) observe(models []Model, p Pair, now time.Time) {
	before, after := float64(p.Before), float64(p.After)
	key := pairOf(models, p.From, p.To, before)
	known := b.gain(models, p.From, p.To, before, now)
	observed := after - before
	switch {
	// A confidence at an end of its range only bounds the gain.
	case after >= maxConfidence:
		observed = math.Max(observed, known)
	case after <= 0:
		observed = math.Min(observed, known)
	case before > 0 && before < maxConfidence:
		// Both confidences bear noise.
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

// assumedGain is the gain of a model over a weaker one before it is known: in
// proportion to what it costs more, or to its place where the costs tell nothing.
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

// predict returns the probability that a stronger model answers well, after the
// confidence of a weaker one.
func (b *estimates) predict(models []Model, from, to int, confidence float64, now time.Time) float64 {
	deviation := b.deviation(now)
	if confidence <= 0 {
		deviation *= zeroConfidenceFactor
	}
	return goodProbability(confidence+b.gain(models, from, to, confidence, now), deviation)
}

// goodProbability returns the probability that an answer is good.
func goodProbability(confidence, deviation float64) float64 {
	return math.Erfc((evenConfidence-confidence)/(deviation*math.Sqrt2)) / 2
}
