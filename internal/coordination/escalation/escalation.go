// Package escalation decides whether the answer of a smaller model is given or
// a stronger model is asked as well, and which one.
//
// A model states its confidence in an answer, 0 to 100; at 50 the answer is as
// likely good as not. Where two models answer the same request, the difference
// of their confidences tells how much the second adds. These differences are
// learned for each pair of models while requests are served, and predict what
// each stronger model would say. A run is worth its price where the probability
// of a good answer grows by more than the run costs, in good answers.
package escalation

import "time"

// Model is a model that may answer a request.
type Model struct {
	Name string
	// Cost is the price of its tokens, in any unit that the models share.
	Cost float64
}

// Question asks what to do with an answer.
type Question struct {
	Service string
	// Version is that of the server which gave the answer.
	Version string
	// Models lists the models of the request, smallest first.
	Models []Model
	// Current is the index of the model that gave the answer.
	Current int
	// Confidence is that of the answer, 0 to 100.
	Confidence int
	// Value is what a good answer is worth, in runs of the strongest model.
	Value float64
	// DelayCost is what one more run costs others that wait, in good answers.
	DelayCost float64
	// Runs is the number of further runs that the request may have.
	Runs int
}

// Advice says what to do with an answer.
type Advice struct {
	// Next is the index of the model to ask, or -1 where the answer is given.
	Next int
	// Good is the probability that the answer is good, and Expected the same
	// after the run of Next, less its price.
	Good, Expected float64
}

// Decide says what to do with an answer.
func (l *Learner) Decide(q *Question, now time.Time) Advice {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := decision{Question: q, estimates: l.estimatesOf(q.Service, q.Version), now: now}
	return d.decide(q.Current, float64(q.Confidence), q.Runs)
}

// decision answers one question.
type decision struct {
	*Question
	estimates *estimates
	now       time.Time
}

// decide compares the answer with what each stronger model is expected to add.
func (d *decision) decide(at int, confidence float64, runs int) Advice {
	good := goodProbability(confidence, d.estimates.deviation(d.now))
	best := Advice{Next: -1, Good: good, Expected: good}
	if runs <= 0 {
		return best
	}
	stronger := make([]float64, len(d.Models))
	for next := at + 1; next < len(d.Models); next++ {
		stronger[next] = d.estimates.predict(d.Models, at, next, confidence, d.now)
	}
	for next := at + 1; next < len(d.Models); next++ {
		if expected := d.expected(stronger, next, runs-1); expected > best.Expected {
			best.Next, best.Expected = next, expected
		}
	}
	return best
}

// expected returns the probability of a good answer, less the price of the runs,
// once a model was asked. good holds the probabilities of the models by
// themselves: what a stronger one adds is the part of the requests that only it
// answers well, as far as the weaker answer is recognized.
func (d *decision) expected(good []float64, next, runs int) float64 {
	added := 0.0
	if runs > 0 {
		for later := next + 1; later < len(good); later++ {
			added = max(added, recognizedShare*(good[later]-good[next]-(1-good[next])*d.price(later)))
		}
	}
	return good[next] + added - d.price(next)
}

// recognizedShare is the part of the weak answers that their confidence shows: with
// a deviation of 10 and abilities spread evenly, all but those within it.
const recognizedShare = 0.85

// price returns what a run of a model costs, in good answers.
func (d *decision) price(model int) float64 {
	strongest := d.Models[len(d.Models)-1].Cost
	share := 1.0
	if strongest > 0 {
		share = d.Models[model].Cost / strongest
	}
	return share/max(d.Value, minValue) + d.DelayCost
}

// minValue keeps the price of a run finite.
const minValue = 0.01
