package cascade

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"medlarslip/internal/protocol/refusal"
)

// Reasons of a plan.
const (
	ReasonNamed      = "the request names one version"
	ReasonCheapest   = "lowest expected cost and time that meet the target"
	ReasonExplore    = "sample of requests that tries a skipped step"
	ReasonStream     = "a stream can't take back tokens"
	ReasonRatingDown = "no usable ratings"
)

const (
	// maxCombinedSteps bounds the steps whose combinations are weighed.
	maxCombinedSteps = 6
	// exploreOneIn is the number of requests of which one tries a step that
	// would be skipped, so that expectations don't grow stale.
	exploreOneIn = 64
	// equalAcceptance is the difference in acceptance that counts as none.
	equalAcceptance = 0.03
	// singleAcceptance is the lower bound of acceptance at which a step is
	// given unrated while a stronger one is allowed.
	singleAcceptance = 0.9
	// deadlineRetryAfter is the wait that callers are told where no step fits
	// the time of the kind.
	deadlineRetryAfter = 5 * time.Second
)

// choose picks the steps of a plan among its options.
func choose(plan *Plan, req *Request) *refusal.Refusal {
	fitting := fittingOptions(plan.Options, req.Remaining)
	if len(fitting) == 0 {
		return DeadlineRefusal(req.Remaining)
	}
	var chosen []int
	switch {
	case req.RatingDown:
		chosen, plan.Reason = []int{singleStep(plan, fitting)}, ReasonRatingDown
	case req.Stream:
		chosen, plan.Reason = fitting[indexOf(fitting, singleStep(plan, fitting)):], ReasonStream
	default:
		chosen, plan.Reason = cheapest(plan.Options, fitting, req), ReasonCheapest
		if added, ok := explore(plan.Options, fitting, chosen, req); ok {
			chosen, plan.Reason = added, ReasonExplore
		}
	}
	for _, i := range chosen {
		plan.Options[i].Chosen = true
		plan.Steps = append(plan.Steps, plan.Options[i].Step)
	}
	return nil
}

// DeadlineRefusal is the refusal of a request whose remaining time is shorter than
// what any allowed step is expected to take.
func DeadlineRefusal(remaining time.Duration) *refusal.Refusal {
	return refusal.New(refusal.KindDeadline,
		"the next step is expected to take longer than the "+remaining.Round(time.Millisecond).String()+" that are left",
		"ask again after the given wait, or ask for a kind with more time").After(deadlineRetryAfter)
}

// fittingOptions returns the options that alone fit the remaining time; a time
// of 0 means that there is no bound.
func fittingOptions(options []Option, remaining time.Duration) []int {
	var fitting []int
	for i := range options {
		if remaining <= 0 || options[i].Duration <= remaining {
			fitting = append(fitting, i)
		}
	}
	return fitting
}

// singleStep returns the one step for an answer that can't be replaced after its
// rating: the first that is known, or while nothing is known declared, to meet
// the target, else the strongest.
func singleStep(plan *Plan, fitting []int) int {
	strongest := fitting[len(fitting)-1]
	threshold := singleAcceptance
	if accept := plan.Options[strongest].Acceptance; accept.Observed >= minRatings {
		threshold = min(threshold, accept.Mean-equalAcceptance)
	}
	for _, i := range fitting {
		option := &plan.Options[i]
		known := option.Acceptance.Observed >= minRatings
		if known && option.Acceptance.Low >= threshold || !known && option.Quality >= plan.QualityTarget {
			return i
		}
	}
	return strongest
}

// cheapest weighs every combination of the fitting steps that ends in one at
// least as good as the strongest, and returns the one with the lowest expected
// cost and time. An answer below the target leads to the next step, so a cheap
// step that is seldom accepted costs more than it saves and drops out.
func cheapest(options []Option, fitting []int, req *Request) []int {
	if len(fitting) > maxCombinedSteps {
		fitting = fitting[len(fitting)-maxCombinedSteps:]
	}
	last := fitting[len(fitting)-1]
	var best []int
	bestValue := math.Inf(1)
	for set := 1; set < 1<<len(fitting); set++ {
		steps := subset(fitting, set)
		if !endsAsGoodAs(options, steps, last) || !fits(options, steps, req.Remaining) {
			continue
		}
		if value := expectedCost(options, steps, last, req); value < bestValue {
			best, bestValue = steps, value
		}
	}
	return best
}

func subset(fitting []int, set int) []int {
	var steps []int
	for bit, i := range fitting {
		if set&(1<<bit) != 0 {
			steps = append(steps, i)
		}
	}
	return steps
}

// endsAsGoodAs reports whether the last step is the strongest, or known to be
// accepted as often.
func endsAsGoodAs(options []Option, steps []int, strongest int) bool {
	end := steps[len(steps)-1]
	if end == strongest {
		return true
	}
	known := options[end].Acceptance.Observed >= minRatings && options[strongest].Acceptance.Observed >= minRatings
	return known && options[end].Acceptance.Low >= options[strongest].Acceptance.Mean
}

// fits reports whether all steps one after another fit the remaining time. A
// single step was checked before.
func fits(options []Option, steps []int, remaining time.Duration) bool {
	if remaining <= 0 || len(steps) == 1 {
		return true
	}
	var total time.Duration
	for _, i := range steps {
		total += options[i].Duration
	}
	return total <= remaining
}

// expectedCost returns the expectedCost cost and time of the steps, each as a share of
// those of the strongest step alone, weighted as the kind asks. While the time
// of the strongest step is unknown, times can't be compared and don't count.
func expectedCost(options []Option, steps []int, strongest int, req *Request) float64 {
	weight := 0.0
	if req.Kind != nil && options[strongest].Duration > 0 {
		weight = req.Kind.LatencyWeight
	}
	reached, cost, took := 1.0, 0.0, 0.0
	for _, i := range steps {
		cost += reached * float64(options[i].Price)
		took += reached * float64(options[i].Duration)
		reached *= 1 - options[i].Acceptance.Mean
	}
	return (1-weight)*ratio(cost, float64(options[strongest].Price)) + weight*ratio(took, float64(options[strongest].Duration))
}

func ratio(value, whole float64) float64 {
	if whole <= 0 {
		return value
	}
	return value / whole
}

// explore adds the skipped step of which least is known to the plan of one in
// many requests, where the time allows it.
func explore(options []Option, fitting, chosen []int, req *Request) ([]int, bool) {
	if xxhash.Sum64String("explore/"+req.RequestID)%exploreOneIn != 0 {
		return nil, false
	}
	added := -1
	for _, i := range fitting {
		skipped := indexOf(chosen, i) < 0 && i < chosen[len(chosen)-1]
		if skipped && (added < 0 || options[i].Acceptance.Observed < options[added].Acceptance.Observed) {
			added = i
		}
	}
	if added < 0 {
		return nil, false
	}
	steps := make([]int, 0, len(chosen)+1)
	for _, i := range fitting {
		if i == added || indexOf(chosen, i) >= 0 {
			steps = append(steps, i)
		}
	}
	return steps, fits(options, steps, req.Remaining)
}

func indexOf(list []int, value int) int {
	for at, item := range list {
		if item == value {
			return at
		}
	}
	return -1
}
