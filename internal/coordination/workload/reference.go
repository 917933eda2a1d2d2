package workload

import (
	"math"
	"time"
)

const (
	// initialEventTime is the time between two events while none was observed.
	initialEventTime = 10 * time.Millisecond
	// referenceStep is the step of a reference per observation, as a difference of natural
	// logarithms, and referenceWarmup the number of observations over which the step
	// shrinks to it.
	referenceStep   = 0.02
	referenceWarmup = 20
	// busyClasses is the number of classes by the share of slots in use. More running
	// requests make each event slower, which must not count as a slow server.
	busyClasses = 4
	// minClassCount is the number of observations from which the reference of a class is
	// used instead of that of all classes.
	minClassCount = 10
)

// referenceKey identifies observations that are comparable.
type referenceKey struct {
	model string
	// header is true for the time to the header relative to the estimate of the prompt, and
	// false for the time between events.
	header bool
	// busy is 0 for all observations of the model, or the class of the share of slots in
	// use, from 1.
	busy int
}

// reference tracks the median of the natural logarithm of a time, over all servers of a
// service (stochastic approximation: Robbins and Monro, 1951). A median ignores the few
// observations that are far too long because of a queue.
type reference struct {
	logMedian float64
	count     int
}

func (r *reference) add(logValue float64) {
	r.count++
	if r.count == 1 {
		r.logMedian = logValue
		return
	}
	step := max(referenceStep, 1/float64(min(r.count, referenceWarmup)))
	if r.count > referenceWarmup {
		step = referenceStep
	}
	r.logMedian += max(-step, min(step, logValue-r.logMedian))
}

// busyClass returns the class of the share of slots in use, from 1.
func busyClass(running, slots int) int {
	if slots <= 0 {
		return 1
	}
	return 1 + min(busyClasses*running/slots, busyClasses-1)
}

// ratio adds an observed time and returns the logarithm of its ratio to the reference before
// it; known is false without one.
func (s *service) ratio(key referenceKey, observed float64) (logRatio float64, known bool) {
	all := key
	all.busy = 0
	logValue := math.Log(observed)
	overall, class := lookup(s.references, all), lookup(s.references, key)
	if overall == nil || class == nil {
		return 0, false
	}
	known = overall.count > 0
	base := overall.logMedian
	if class.count >= minClassCount {
		base = class.logMedian
	}
	overall.add(logValue)
	class.add(logValue)
	return logValue - base, known
}

// eventTime returns the reference time between two events of a model.
func (s *service) eventTime(model string) time.Duration {
	if found, ok := s.references[referenceKey{model: model}]; ok && found.count > 0 {
		return time.Duration(math.Exp(found.logMedian))
	}
	return initialEventTime
}

// maxPromptFactor bounds the factor from estimated to observed times of prompts.
const maxPromptFactor = 5

// promptFactor returns the median ratio of the time to the header, at servers without a
// queue, to the estimate for the prompt. The estimate is low where many prompts are cached.
func (s *service) promptFactor(model string) float64 {
	found, ok := s.references[referenceKey{model: model, header: true}]
	if !ok || found.count < minClassCount {
		return 1
	}
	return min(max(math.Exp(found.logMedian), 1), maxPromptFactor)
}
