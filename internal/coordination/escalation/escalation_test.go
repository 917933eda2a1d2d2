package escalation

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// modelSet is a set of models with their true abilities: a model answers well what
// is less difficult, 0 to 1, than its ability.
type modelSet struct {
	name      string
	models    []Model
	abilities []float64
}

const (
	// scale is how much a confidence grows with the distance of the ability from
	// the difficulty, and noise the deviation of a confidence.
	scale = 145.0
	noise = 10.0
	// value is what a good answer is worth, in runs of the strongest model.
	value = 5.0
	// requests are those of one run; the first third is not counted.
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

// simulate returns the mean worth of an answer, less the price of its runs, in good
// answers. next returns the model to ask after an answer, or -1.
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

// fixedRule is the rule that was used before: below even odds, the strongest model.
func (f *modelSet) fixedRule(at, confidence int) int {
	if at == 0 && confidence < evenConfidence {
		return len(f.models) - 1
	}
	return -1
}

// TestLearnedRuleBeatsFixedRule: on models whose abilities are not known
// beforehand, the learned rule is nowhere worse than the fixed one, and clearly
// better where a model between is nearly as good as the strongest.
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

// TestConfidenceThresholdFollowsValueAndDelay: what is worth more gets a second answer at a higher
// confidence, and nothing does while the servers are full.
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

// TestEstimatesExpire: a new version begins anew, and so does a model
// of which nothing was heard for long.
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
