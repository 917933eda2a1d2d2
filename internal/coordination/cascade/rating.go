package cascade

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ratingFailures is the number of missing ratings in a row after which
	// the rating service counts as down.
	ratingFailures = 3
	// ratingProbeInterval is the time after which one request tries a rating
	// again.
	ratingProbeInterval = 2 * time.Second
	// plausibilityWindow is the number of ratings of strongest steps that are
	// compared with what is expected of them.
	plausibilityWindow = 30
	// plausibleShare is the share of the expected acceptance under which the
	// ratings count as wrong.
	plausibleShare = 0.1
	// certainAcceptance is the lower bound of acceptance at which only a
	// sample of the answers is rated.
	certainAcceptance = 0.98
	// ratedOneIn is the number of answers of which one is rated where the
	// others may go without.
	ratedOneIn = 8
)

// RatingHealth judges the rating service by its answers. It is safe for
// concurrent use; a nil RatingHealth finds the service usable.
type RatingHealth struct {
	mu          sync.Mutex
	failures    int
	probeAt     time.Time
	rated       int
	accepted    float64
	expected    float64
	implausible bool
}

// ObserveMissing notes that a rating did not come in time.
func (h *RatingHealth) ObserveMissing(now time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures++
	h.probeAt = now.Add(ratingProbeInterval)
}

// ObserveRating notes that a rating came in time.
func (h *RatingHealth) ObserveRating() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = 0
}

// ObserveStrongest notes the rating of an answer of the strongest allowed step with
// the acceptance that the document lets expect of it. Where even these fall
// short nearly always, it is the ratings that are wrong: more steps would only
// cost more.
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
// not answer, one request per interval is let through as a probe.
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

// MustRate reports whether the answer of a step must be rated before it is
// given. The last step, and one that is nearly always accepted, are rated only
// for a sample of the requests, since ratings cost time and money. A step of
// an open roll-out is always rated.
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

// option returns the option that a step was chosen from.
func (p *Plan) option(step Step) Option {
	for _, option := range p.Options {
		if option.Step == step {
			return option
		}
	}
	return Option{}
}

// ExpectedDuration returns the time that a step is expected to take; 0 while unknown.
func (p *Plan) ExpectedDuration(i int) time.Duration { return p.option(p.Steps[i]).Duration }

// Strongest reports whether the step is the strongest that was allowed.
func (p *Plan) Strongest(i int) bool {
	return len(p.Options) > 0 && p.Options[len(p.Options)-1].Step == p.Steps[i]
}
