// Package prefill estimates how long model servers take to read a prompt, and
// tells long prompts from short ones. A server reads prompts one after the
// other, so a short prompt that arrives behind a long one waits for it. Keeping
// the two apart bounds that wait (size interval task assignment: Harchol-Balter,
// Crovella and Murta, On Choosing a Task Assignment Policy for a Distributed
// Server System, 1999).
package prefill

import (
	"sync"
	"time"
)

const (
	// initialTokenTime is the time per token that is assumed of a model of which
	// no answer was seen: that of a small model.
	initialTokenTime = 10 * time.Microsecond
	// minTokens is the length in tokens from which an answer tells the time
	// per token; in shorter prompts other work outweighs it.
	minTokens = 1000
	// stepDown and stepUp move the time per token towards an observation below
	// or above it. Their ratio makes it the lower quintile, which is close to
	// the time of a server that has nothing else to read.
	stepDown = 0.08
	stepUp   = 0.02
	// longFraction is the part of the tightest latency objective of a service from
	// which a prompt counts as long: others can wait for it and still be on
	// time.
	longFraction = 0.15
	// defaultLongTime is used while no objective is known.
	defaultLongTime = 150 * time.Millisecond
	// shareHalfLife is the age at which a prompt counts for half in the share of
	// long prompts.
	shareHalfLife = 7 * time.Second
	// minShare keeps both groups of servers from being empty.
	minShare = 0.1
)

// Prompt is what an estimate rests on.
type Prompt struct {
	Service string
	Model   string
	// Tokens is the length of the whole prompt.
	Tokens int
	// Objective is the latency objective of the request; 0 if there is none.
	Objective time.Duration
}

// Estimate is what is expected of a prompt.
type Estimate struct {
	// Time is how long an idle server takes to read the prompt; 0 where the
	// request has none.
	Time time.Duration
	// Long is true for a prompt that shorter ones should not wait behind.
	Long bool
	// LongShare is the share, 0 to 1, of the time for all prompts of the service
	// that goes to long ones.
	LongShare float64
}

// Estimators holds an estimator for each service. The zero value is ready, and
// safe for concurrent use.
type Estimators struct {
	byService sync.Map // service name to *estimator
}

// estimator learns of one service.
type estimator struct {
	mu sync.Mutex
	// tokenTime is the time per token of each model, in nanoseconds.
	tokenTime map[string]float64
	// shortestObjective is the shortest objective seen; 0 if none.
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

// Estimate returns what is expected of a prompt.
func (e *Estimators) Estimate(prompt *Prompt) Estimate {
	if prompt.Model == "" || prompt.Tokens <= 0 {
		return Estimate{}
	}
	s := e.of(prompt.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.estimate(prompt)
}

// Observe learns from the time between sending a prompt and the header of its
// answer.
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

// updateTokenTime follows the lower quintile of the time per token.
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
