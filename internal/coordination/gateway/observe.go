package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/routes"
)

const (
	// meanWeight is the weight of a new sample in the exponentially weighted
	// mean.
	meanWeight = 0.1
	// minMeanSamples is the number of samples from which the mean is used.
	minMeanSamples = 10
	// slowFactor is the multiple of the mean above which a time counts as slow.
	slowFactor = 3
	// slowMargin is added to that, so that jitter does not make short times
	// count as slow.
	slowMargin = 60 * time.Millisecond
)

// headerMean is the exponentially weighted mean of the time to the header of
// a response.
type headerMean struct {
	mu    sync.Mutex
	mean  time.Duration
	count int
}

// timingKey identifies the attempts whose times are comparable.
type timingKey struct {
	service, model string
	kind           routes.Kind
	size           int
}

// promptSizeClass groups prompts of similar length: up to 256 tokens, and then
// by factors of about 4.
func promptSizeClass(tokens int) int {
	class := 0
	for tokens > 256 {
		tokens /= 4
		class++
	}
	return class
}

func (r *request) timingKey(model string) timingKey {
	return timingKey{service: r.service, model: model, kind: r.route.Kind, size: promptSizeClass(r.call.PromptTokens)}
}

// observe adds a sample and reports whether it was far above the mean of those
// before it. Slow samples do not change the mean.
func (u *headerMean) observe(took time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	slow := u.count >= minMeanSamples && took > slowFactor*u.mean+slowMargin
	if u.count == 0 {
		u.mean = took
	}
	u.count++
	if !slow {
		u.mean += time.Duration(meanWeight * float64(took-u.mean))
	}
	return slow
}

// expected returns the mean, or 0 while there are too few samples.
func (u *headerMean) expected() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.count < minMeanSamples {
		return 0
	}
	return u.mean
}

// observe records the time to the header of a response. A response that can't be used counts
// as a failure of the version.
func (a *attempt) observe(took time.Duration) {
	switch {
	case a.verdict == unknown && a.response != nil:
		a.reportFailure()
		return
	case a.verdict != deliver && a.verdict != serverFailed:
		return
	}
	a.gateway.prefill.Observe(a.req.prompt(a.model), took, time.Now())
	a.observeHeaderTime(took)
	found, _ := a.gateway.headerMeans.LoadOrStore(a.req.timingKey(a.model), &headerMean{})
	a.slow = found.(*headerMean).observe(took)
	a.compareHeader(took)
}

func (g *Gateway) logAttempt(a *attempt, took time.Duration, err error) {
	if a.verdict == deliver {
		return
	}
	server := &a.choice.snapshot
	entry := g.Log.WithFields(logrus.Fields{
		"event": "attempt_ended", "request_id": a.req.call.ID, "server": a.server(), "service": a.req.service,
		"version": server.Server.Version, "verdict": a.verdict.String(), "status": a.reply.Status,
		"took_ms": took.Milliseconds(), "in_flight": server.InFlight, "prefill_ms": server.Prefill.Milliseconds(), "sent": a.req.sent,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	if a.verdict == unknown {
		entry = entry.WithField("shared_parts", a.req.call.sharedParts()).WithField("request_key", a.req.keys.Key.String())
	}
	entry.Info("attempt brought no answer")
}
