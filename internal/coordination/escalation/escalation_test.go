package escalation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// modelSet is a set of models with their true abilities. A model answers a
// request well if its difficulty, 0 to 1, is at most the ability of the model.
type modelSet struct {
	name      string
	models    []Model
	abilities []float64
}

const (
	// scale is the increase of a confidence per unit of ability minus
	// difficulty, and noise the standard deviation of a confidence.
	scale = 145.0
	noise = 10.0
	// value is the value of a good answer, in runs of the strongest model.
	value = 5.0
	// requests is the number of requests of a simulation. The first third is a
	// warm-up and is not counted.
	requests = 3000
)

func modelSets() []modelSet {
	models := []Model{{"small", 0.017}, {"middle", 0.13}, {"large", 0.25}}
	cheap := []Model{{"small", 0.017}, {"middle", 0.05}, {"large", 0.25}}
	return []modelSet{
		{"middle adds little", models, []float64{0.58, 0.67, 1}},
		{"middle is almost the strongest", cheap, []float64{0.58, 0.97, 1}},
		{"middle is worse than the small one", models, []float64{0.58, 0.4, 1}},
		{"two models", []Model{models[0], models[2]}, []float64{0.5, 1}},
		{"all alike", models, []float64{0.8, 0.8, 0.8}},
	}
}

func (f *modelSet) confidence(random *rand.Rand, model int, difficulty float64) int {
	return int(min(max(evenConfidence+scale*(f.abilities[model]-difficulty)+noise*random.NormFloat64(), 0), maxConfidence))
}

// simulate returns the mean value of an answer, less the cost of its runs, in
// good answers. next returns the model to run after an answer, or -1.
func (f *modelSet) simulate(seed uint64, next func(at, confidence int) int, learn func(p Pair)) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	worth, counted := 0.0, 0
	for n := range requests {
		difficulty := random.Float64()
		at, confidence := 0, f.confidence(random, 0, difficulty)
		price := f.price(0)
		for {
			to := next(at, confidence)
			if to < 0 {
				break
			}
			after := f.confidence(random, to, difficulty)
			learn(Pair{From: at, To: to, Before: confidence, After: after})
			at, confidence = to, after
			price += f.price(to)
		}
		if n < requests/3 {
			continue
		}
		counted++
		worth -= price
		if f.abilities[at] >= difficulty {
			worth++
		}
	}
	return worth / float64(counted)
}

func (f *modelSet) price(model int) float64 {
	return f.models[model].Cost / f.models[len(f.models)-1].Cost / value
}

// fixedRule is the rule to compare with: it escalates from the smallest to the
// strongest model below even odds.
func (f *modelSet) fixedRule(at, confidence int) int {
	if at == 0 && confidence < evenConfidence {
		return len(f.models) - 1
	}
	return -1
}

// TestLearnedRuleBeatsFixedRule compares both rules on models whose abilities
// the learner does not know in advance. The learned rule must be worse nowhere,
// and clearly better if a model in between is nearly as good as the strongest.
func TestLearnedRuleBeatsFixedRule(t *testing.T) {
	gained := map[string]float64{}
	for _, f := range modelSets() {
		for seed := range uint64(5) {
			var learner Learner
			now := time.Unix(1000, 0)
			learned := f.simulate(seed, func(at, confidence int) int {
				now = now.Add(50 * time.Millisecond)
				return learner.Decide(&Question{Models: f.models, Current: at, Confidence: confidence, Value: value, Runs: 2 - at}, now).Next
			}, func(p Pair) { learner.Observe("", "", f.models, p, now) })
			fixed := f.simulate(seed, f.fixedRule, func(Pair) {})
			t.Logf("%-34s seed %d: fixed %.3f, learned %.3f", f.name, seed, fixed, learned)
			gained[f.name] += (learned - fixed) / 5
		}
		must.GreaterEq(t, -0.002, gained[f.name], must.Sprint(f.name))
	}
	must.GreaterEq(t, 0.04, gained["middle is almost the strongest"])
	must.Positive(t, gained["all alike"])
}

// TestConfidenceThresholdFollowsValueAndDelay checks that a request of a higher
// value is escalated up to a higher confidence, and that none is while the
// servers are full.
func TestConfidenceThresholdFollowsValueAndDelay(t *testing.T) {
	models := modelSets()[0].models
	threshold := func(value, delay float64) int {
		var learner Learner
		for confidence := range 101 {
			q := Question{Models: models, Confidence: confidence, Value: value, DelayCost: delay, Runs: 2}
			if learner.Decide(&q, time.Unix(1000, 0)).Next < 0 {
				return confidence
			}
		}
		return 101
	}
	must.Greater(t, threshold(2.5, 0), threshold(10, 0))
	must.Greater(t, threshold(10, 0.5), threshold(10, 0))
	must.Zero(t, threshold(10, 1))
	must.Zero(t, threshold(0, 0))
}

// TestEstimatesExpire checks that a new version starts from the prior, and that
// estimates return to it after many half-lives without an observation.
func TestEstimatesExpire(t *testing.T) {
	models := modelSets()[0].models
	now := time.Unix(1000, 0)
	var learner Learner
	for range 50 {
		learner.Observe("s", "v1", models, Pair{From: 0, To: 1, Before: 30, After: 20}, now)
	}
	next := func(version string, at time.Time) int {
		return learner.Decide(&Question{Service: "s", Version: version, Models: models, Confidence: 45, Value: 5, Runs: 2}, at).Next
	}
	must.Eq(t, 2, next("v1", now))
	must.Eq(t, 1, next("v2", now))
	must.Eq(t, 1, next("v1", now.Add(20*halfLife)))
}
