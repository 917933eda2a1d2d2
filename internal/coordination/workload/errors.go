package workload

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// errorHalfLife is the age at which the error of a prediction has half of its weight. It is
	// that of the learned speeds and lengths, on which the errors depend.
	errorHalfLife = 30 * time.Second
	// Errors are ratios of actual to predicted times, in buckets of equal width on a logarithmic
	// scale: stepsPerOctave for each factor of two, from 1/2^errorOctaves to 2^errorOctaves. A
	// step of a fourth of an octave is a factor of 1.19.
	stepsPerOctave = 4
	errorOctaves   = 6
	errorSteps     = 2 * errorOctaves * stepsPerOctave
	// minErrorWeight is the number of errors from which probabilities are known. With 20, a
	// probability of 0.9 has a standard error of 0.07.
	minErrorWeight = 20
	// distributionAge is the time for which a distribution is used before it is computed again.
	distributionAge = 250 * time.Millisecond
	// tenths is the number of ranges of probabilities whose calibration is counted.
	tenths = 10
)

// ratioHistogram counts ratios with exponential decay. The zero value is empty.
type ratioHistogram struct {
	// known holds the weight of the ratios of each step: the first one of those up to
	// 1/2^errorOctaves, the last one of those above 2^errorOctaves. bounds holds the weight of
	// the ratios of which only a lower bound is known, by the step of the bound.
	known, bounds [errorSteps + 2]float64
	updatedAt     time.Time
}

// errorOffset is added to both times of a ratio. Short times vary by queues and crowding whose
// size does not depend on them, so that plain ratios of short times have a far wider spread than
// those of long ones. In trials plain ratios gave 4,761 of 21,666 runs a probability of 0.8 to
// 0.9, of which 0.985 met their objective; with 50 and 150 ms these were 815 and 365 runs.
const errorOffset = 100 * time.Millisecond

// errorRatio returns the ratio of an actual to a predicted time.
func errorRatio(actual, predicted time.Duration) float64 {
	return float64(actual+errorOffset) / float64(predicted+errorOffset)
}

// ratioPosition returns the position of a ratio on the scale, in steps above its lower end.
func ratioPosition(ratio float64) float64 {
	return stepsPerOctave * (math.Log2(ratio) + errorOctaves)
}

func bucketOf(ratio float64) int {
	return int(min(max(math.Ceil(ratioPosition(ratio)), 0), errorSteps+1))
}

func (h *ratioHistogram) decay(now time.Time) {
	if !h.updatedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(errorHalfLife))
		for i := range h.known {
			h.known[i] *= factor
			h.bounds[i] *= factor
		}
	}
	h.updatedAt = now
}

func (h *ratioHistogram) add(now time.Time, ratio float64) {
	h.decay(now)
	h.known[bucketOf(ratio)]++
}

// addAbove adds a ratio of which only a lower bound is known, since the run was ended.
func (h *ratioHistogram) addAbove(now time.Time, bound float64) {
	h.decay(now)
	h.bounds[bucketOf(bound)]++
}

// distribution is the share of ratios up to the end of each step; nil if too few are known.
type distribution struct{ upTo [errorSteps + 1]float64 }

// distribution is the estimate of Kaplan and Meier (1958): a ratio of which only a lower bound is
// known counts like the known ones above the bound, or, with none, like one above the scale. The
// bounds in a step count as if they were in its middle, as in life tables.
func (h *ratioHistogram) distribution(now time.Time) *distribution {
	h.decay(now)
	// atLeast holds the weight of the ratios, known or bounded, from each step on. Sums from the
	// upper end keep small weights exact that differences would lose.
	var atLeast [errorSteps + 3]float64
	for i := len(h.known) - 1; i >= 0; i-- {
		atLeast[i] = atLeast[i+1] + h.known[i] + h.bounds[i]
	}
	if atLeast[0] < minErrorWeight {
		return nil
	}
	var d distribution
	above := 1.0
	for i := range d.upTo {
		if h.known[i] > 0 {
			above *= max(1-h.known[i]/(atLeast[i]-h.bounds[i]/2), 0)
		}
		d.upTo[i] = 1 - above
	}
	return &d
}

// within returns the probability that a time is at most limit, if it is predicted as given.
// Without a distribution the prediction counts as exact.
func (d *distribution) within(limit, predicted time.Duration) float64 {
	switch {
	case limit <= 0:
		return 0
	case d == nil && predicted > limit:
		return 0
	case d == nil || predicted <= 0:
		return 1
	}
	position := ratioPosition(errorRatio(limit, predicted))
	switch {
	case position < 0:
		return 0
	case position >= errorSteps:
		return d.upTo[errorSteps]
	}
	step := int(position)
	return d.upTo[step] + (position-float64(step))*(d.upTo[step+1]-d.upTo[step])
}

// distributions holds those of the times to the first event and to the end. It is not changed.
type distributions struct{ first, end *distribution }

// predictionErrors holds the errors of the predictions for one kind of run of a service: streams
// or whole answers, with a short or a long prompt.
type predictionErrors struct {
	first, end ratioHistogram
	current    *distributions
	computedAt time.Time
	// calibration counts the runs by the tenth of the predicted probability, and by whether they
	// met their objective.
	calibration [tenths][2]atomic.Uint64
}

// errorKinds is the number of kinds of runs of a service whose errors are kept apart.
const errorKinds = 4

// errorKind returns the index of the kind of a run.
func errorKind(req *Request) int {
	kind := 0
	if req.Stream {
		kind++
	}
	if req.Long {
		kind += 2
	}
	return kind
}

func (p *predictionErrors) distributions(now time.Time) *distributions {
	if p.current == nil || now.Sub(p.computedAt) >= distributionAge {
		p.current = &distributions{first: p.first.distribution(now), end: p.end.distribution(now)}
		p.computedAt = now
	}
	return p.current
}

// Chances holds the probabilities of one run at one server.
type Chances struct {
	// Objective is the probability that the run meets the objective of its request, and Left the
	// time that was left for it; 0 if the request has none, negative if it is missed already.
	Objective float64
	Left      time.Duration
	// Deadline is the probability that the run ends before the deadline; 1 without one.
	Deadline float64
	// Known is true if Objective follows from enough errors of earlier predictions. Otherwise
	// the predicted times count as exact.
	Known bool
}

// Chances returns the probabilities that a run of the given expected times meets its objective
// and its deadline, of which the given times are left; 0 means that there is none.
func (x *Expectation) Chances(times *Times, objective, deadline time.Duration) Chances {
	var known distributions
	if x.errors != nil {
		known = *x.errors
	}
	// The objective of a stream is for the first event, that of another answer for its end.
	predicted, errors := times.End, known.end
	if x.stream {
		predicted, errors = times.FirstEvent, known.first
	}
	chances := Chances{Objective: 1, Left: objective, Deadline: 1, Known: errors != nil}
	if objective != 0 {
		chances.Objective = errors.within(objective, predicted)
	}
	if deadline > 0 {
		chances.Deadline = known.end.within(deadline, times.End)
	}
	return chances
}

// ObserveFirst records the time to the first event of a stream, relative to the predicted one.
// answered is false if the run was ended without an event after that time.
func (e *Estimators) ObserveFirst(req *Request, times *Times, took time.Duration, answered bool, now time.Time) {
	e.observeError(req, took, times.FirstEvent, answered, now, func(p *predictionErrors) *ratioHistogram { return &p.first })
}

// ObserveEnd records the time to the end of a run, relative to the predicted one. answered is
// false if the run was ended before its end after that time.
func (e *Estimators) ObserveEnd(req *Request, times *Times, took time.Duration, answered bool, now time.Time) {
	e.observeError(req, took, times.End, answered, now, func(p *predictionErrors) *ratioHistogram { return &p.end })
}

func (e *Estimators) observeError(req *Request, took, predicted time.Duration, answered bool, now time.Time, of func(*predictionErrors) *ratioHistogram) {
	if took <= 0 || predicted <= 0 {
		return
	}
	s := e.of(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, ratio := of(&s.errors[errorKind(req)]), errorRatio(took, predicted)
	if answered {
		histogram.add(now, ratio)
		return
	}
	histogram.addAbove(now, ratio)
}

// ObserveObjective counts a run whose probability to meet its objective was known. took is the
// time to the event that the objective is for, or, if answered is false, to the end of the run
// without it: one that was ended before its objective is not counted.
func (e *Estimators) ObserveObjective(req *Request, chances *Chances, took time.Duration, answered bool) {
	met := answered && took <= chances.Left
	if !chances.Known || chances.Left <= 0 || (!answered && took <= chances.Left) {
		return
	}
	tenth, column := min(int(tenths*chances.Objective), tenths-1), 0
	if met {
		column = 1
	}
	e.of(req.Service).errors[errorKind(req)].calibration[tenth][column].Add(1)
}

// Calibration holds how many runs of one kind met their objective, by the tenth of the predicted
// probability: the first element counts those of a probability under 0.1.
type Calibration struct {
	Service      string
	Stream, Long bool
	Met, Missed  [tenths]uint64
}

// Calibrations returns the calibration of all kinds of runs of which any was counted.
func (e *Estimators) Calibrations() []Calibration {
	var all []Calibration
	e.byService.Range(func(name, value any) bool {
		for kind := range errorKinds {
			c := Calibration{Service: name.(string), Stream: kind&1 != 0, Long: kind&2 != 0}
			count := uint64(0)
			for tenth := range tenths {
				counts := &value.(*service).errors[kind].calibration[tenth]
				c.Missed[tenth], c.Met[tenth] = counts[0].Load(), counts[1].Load()
				count += c.Missed[tenth] + c.Met[tenth]
			}
			if count > 0 {
				all = append(all, c)
			}
		}
		return true
	})
	return all
}
