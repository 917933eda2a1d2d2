// Package escalation decides whether the answer of a smaller model is delivered
// or the request is escalated to a stronger model, and to which one.
//
// A model reports its confidence in an answer, 0 to 100; at 50 the answer is as
// likely good as not. If two models answer the same request, the difference of
// their confidences is the gain of the second. The learner estimates the gains
// of each pair of models while requests are served, and predicts from them the
// confidence of each stronger model. A run is worth its cost if it increases the
// probability of a good answer by more than the cost, measured in good answers.
package escalation

import "time"

// Model is a model that may answer a request.
type Model struct {
	Name string
	// Cost is the price of its tokens, in any unit that is common to all models.
	Cost float64
}

// Question describes an answer, for which Decide returns an Advice.
type Question struct {
	Service string
	// Version is the version of the server that gave the answer.
	Version string
	// Models lists the models of the request, smallest first.
	Models []Model
	// Current is the index of the model that gave the answer.
	Current int
	// Confidence is the confidence of the model in the answer, 0 to 100.
	Confidence int
	// Value is the value of a good answer, in runs of the strongest model.
	Value float64
	// DelayCost is the cost of the delay that one more run causes for queued
	// requests, in good answers.
	DelayCost float64
	// Runs is the number of further runs that the request is allowed.
	Runs int
}

// Advice is the decision about an answer.
type Advice struct {
	// Next is the index of the model to run next, or -1 to deliver the answer.
	Next int
	// Good is the probability that the answer is good. Expected is that
	// probability after the run of Next, less the cost of the run.
	Good, Expected float64
}

// Decide decides whether to deliver an answer or to run a stronger model.
func (l *Learner) Decide(q *Question, now time.Time) Advice {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := decision{Question: q, estimates: l.estimatesOf(q.Service, q.Version), now: now}
	return d.decide(q.Current, float64(q.Confidence), q.Runs)
}

// decision is the state of one call of Decide.
type decision struct {
	*Question
	estimates *estimates
	now       time.Time
}

// decide compares the answer with the expected result of each stronger model.
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

// expected returns the probability of a good answer after a run of the model
// next, less the cost of the runs. good holds the probability that each model
// answers well. A later, stronger model adds the share of requests that only it
// answers well, as far as the weak answer is recognized as such.
func (d *decision) expected(good []float64, next, runs int) float64 {
	added := 0.0
	if runs > 0 {
		for later := next + 1; later < len(good); later++ {
			added = max(added, recognizedShare*(good[later]-good[next]-(1-good[next])*d.price(later)))
		}
	}
	return good[next] + added - d.price(next)
}

// recognizedShare is the share of weak answers that are recognized by their
// confidence. With a standard deviation of 10 and evenly distributed abilities,
// these are all but the answers within the deviation.
const recognizedShare = 0.85

// price returns the cost of a run of a model, in good answers.
func (d *decision) price(model int) float64 {
	strongest := d.Models[len(d.Models)-1].Cost
	share := 1.0
	if strongest > 0 {
		share = d.Models[model].Cost / strongest
	}
	return share/max(d.Value, minValue) + d.DelayCost
}

// minValue keeps the cost of a run finite.
const minValue = 0.01
