package cascade

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ratingFailures is the number of consecutive missing ratings after which the
	// rating service counts as down.
	ratingFailures = 3
	// ratingProbeInterval is the time between two probes of a rating service that
	// is down.
	ratingProbeInterval = 2 * time.Second
	// plausibilityWindow is the number of ratings of strongest steps over which
	// the accepted ones are compared with the expected ones.
	plausibilityWindow = 30
	// plausibleShare is the share of the expected acceptance below which the
	// ratings count as implausible.
	plausibleShare = 0.1
	// certainAcceptance is the lower bound of acceptance from which only a sample
	// of the answers is rated.
	certainAcceptance = 0.98
	// ratedOneIn is the number of answers of which one is rated if rating is
	// optional.
	ratedOneIn = 8
)

// RatingHealth tracks whether the rating service returns usable ratings. It is
// safe for concurrent use; a nil RatingHealth reports the service as usable.
type RatingHealth struct {
	mu          sync.Mutex
	failures    int
	probeAt     time.Time
	rated       int
	accepted    float64
	expected    float64
	implausible bool
}

// ObserveMissing records that a rating did not arrive in time.
func (h *RatingHealth) ObserveMissing(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	h.probeAt = now.Add(ratingProbeInterval)
}

// ObserveRating records that a rating arrived in time.
func (h *RatingHealth) ObserveRating() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

// ObserveStrongest records whether an answer of the strongest allowed step was
// accepted, and the acceptance expected from the declared quality. If nearly
// all of these answers are rated below the target, the ratings are considered
// wrong: escalating would only raise costs.
func (h *RatingHealth) ObserveStrongest(accepted bool, expected float64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rated++
	h.expected += expected
	if accepted {
		h.accepted++
	}
	if h.rated < plausibilityWindow {
		return
	}
	h.implausible = h.accepted < plausibleShare*h.expected
	h.rated, h.accepted, h.expected = 0, 0, 0
}

// Down reports whether a plan must do without ratings. While the service does
// not answer, one request per ratingProbeInterval is let through as a probe.
// While ratings are implausible, it reports true.
func (h *RatingHealth) Down(now time.Time) bool {
	if h == nil {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.implausible {
		return true
	}
	if h.failures < ratingFailures {
		return false
	}
	if now.Before(h.probeAt) {
		return true
	}
	h.probeAt = now.Add(ratingProbeInterval)
	return false
}

// MustRate reports whether the answer of step i must be rated before it is
// returned. The last step, and a step that is nearly always accepted, are rated
// for a sample of the requests only, since ratings cost time and money. A step
// of an open rollout is always rated.
func (p *Plan) MustRate(i int, requestID string) bool {
	step := p.Steps[i]
	if step.Rollout != "" || inRatingSample(requestID) {
		return true
	}
	if i == len(p.Steps)-1 {
		return false
	}
	accept := p.option(step).Acceptance
	return accept.Observed < minRatings || accept.Low < certainAcceptance
}

func inRatingSample(requestID string) bool {
	return xxhash.Sum64String("rate/"+requestID)%ratedOneIn == 0
}

// option returns the option of a step, or the zero Option.
func (p *Plan) option(step Step) Option {
	for _, option := range p.Options {
		if option.Step == step {
			return option
		}
	}
	return Option{}
}

// ExpectedDuration returns the expected duration of step i; 0 while unknown.
func (p *Plan) ExpectedDuration(i int) time.Duration { return p.option(p.Steps[i]).Duration }

// Strongest reports whether step i is the strongest allowed step.
func (p *Plan) Strongest(i int) bool {
	return len(p.Options) > 0 && p.Options[len(p.Options)-1].Step == p.Steps[i]
}
