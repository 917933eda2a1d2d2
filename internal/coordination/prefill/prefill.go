// Package prefill estimates how long model servers take to process prompts, and
// classifies prompts as long or short. A server processes prompts in sequence,
// so a short prompt that arrives behind a long one waits for it. Separating the
// two bounds that wait (size interval task assignment: Harchol-Balter, Crovella
// and Murta, On Choosing a Task Assignment Policy for a Distributed Server
// System, 1999).
package prefill

import (
	"sync"
	"time"
)

const (
	// initialTokenTime is the time per token assumed for a model without
	// observations: that of a small model.
	initialTokenTime = 10 * time.Microsecond
	// minTokens is the prompt length in tokens from which an observation updates
	// the time per token; for shorter prompts other work dominates.
	minTokens = 1000
	// stepDown and stepUp are the relative changes of the time per token after an
	// observation below or above it. Their ratio makes it track the 0.2 quantile,
	// which is close to the time of a server with no other prompts to process.
	stepDown = 0.08
	stepUp   = 0.02
	// longFraction is the fraction of the shortest latency objective of a service
	// above which a prompt counts as long: other requests can wait for a shorter
	// prompt and still meet their objective.
	longFraction = 0.15
	// defaultLongTime is the processing time above which a prompt counts as long
	// while no objective is known.
	defaultLongTime = 150 * time.Millisecond
	// shareHalfLife is the age at which a prompt has half of its weight in the
	// share of long prompts.
	shareHalfLife = 7 * time.Second
	// minShare keeps a share of the servers for each of the two groups.
	minShare = 0.1
)

// Prompt holds the inputs of an estimate.
type Prompt struct {
	Service string
	Model   string
	// Tokens is the length of the whole prompt.
	Tokens int
	// Objective is the latency objective of the request; 0 if there is none.
	Objective time.Duration
}

// Estimate holds the expectations for a prompt.
type Estimate struct {
	// Time is how long an idle server takes to process the prompt; 0 if the
	// request has none.
	Time time.Duration
	// Long is true for a prompt that shorter ones should not queue behind.
	Long bool
	// LongShare is the share, 0 to 1, of the processing time of all prompts of
	// the service that long prompts take.
	LongShare float64
}

// Estimators holds an estimator for each service. The zero value is ready to
// use. It is safe for concurrent use.
type Estimators struct {
	byService sync.Map // service name to *estimator
}

// estimator holds what was learned about one service.
type estimator struct {
	mu sync.Mutex
	// tokenTime is the time per token of each model, in nanoseconds.
	tokenTime map[string]float64
	// shortestObjective is the shortest latency objective observed; 0 if none.
	shortestObjective time.Duration
	share             longShare
}

func (e *Estimators) of(service string) *estimator {
	if found, ok := e.byService.Load(service); ok {
		return found.(*estimator)
	}
	found, _ := e.byService.LoadOrStore(service, &estimator{tokenTime: map[string]float64{}})
	return found.(*estimator)
}

// Estimate returns the expectations for a prompt; the zero Estimate for a
// request without prompt.
func (e *Estimators) Estimate(prompt *Prompt) Estimate {
	if prompt.Model == "" || prompt.Tokens <= 0 {
		return Estimate{}
	}
	s := e.of(prompt.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate(prompt)
}

// Observe updates the estimates with the time between sending a prompt and
// receiving the header of its answer.
func (e *Estimators) Observe(prompt *Prompt, took time.Duration, now time.Time) {
	if prompt.Model == "" || prompt.Tokens <= 0 {
		return
	}
	s := e.of(prompt.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateTokenTime(prompt, took)
	if prompt.Objective > 0 && (s.shortestObjective == 0 || prompt.Objective < s.shortestObjective) {
		s.shortestObjective = prompt.Objective
	}
	estimate := s.estimate(prompt)
	s.share.add(now, estimate.Time, estimate.Long)
}

func (s *estimator) estimate(prompt *Prompt) Estimate {
	perToken, known := s.tokenTime[prompt.Model]
	if !known {
		perToken = float64(initialTokenTime)
	}
	took := time.Duration(perToken * float64(prompt.Tokens))
	limit := defaultLongTime
	if s.shortestObjective > 0 {
		limit = time.Duration(longFraction * float64(s.shortestObjective))
	}
	return Estimate{Time: took, Long: took > limit, LongShare: s.share.value()}
}

// updateTokenTime tracks the 0.2 quantile of the time per token.
func (s *estimator) updateTokenTime(prompt *Prompt, took time.Duration) {
	if prompt.Tokens < minTokens {
		return
	}
	observed := float64(took) / float64(prompt.Tokens)
	known, ok := s.tokenTime[prompt.Model]
	switch {
	case !ok:
		s.tokenTime[prompt.Model] = observed
	case observed < known:
		s.tokenTime[prompt.Model] = known * (1 - stepDown)
	default:
		s.tokenTime[prompt.Model] = known * (1 + stepUp)
	}
}
