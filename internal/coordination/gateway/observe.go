package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/routes"
)

const (
	// meanWeight is the weight of a new value in the moving mean of times.
	meanWeight = 0.1
	// minMeanSamples is the number of times that a mean needs to be compared with.
	minMeanSamples = 10
	// slowFactor is the multiple of the mean from which a time counts as slow.
	slowFactor = 3
	// slowMargin is added to it, so that short times do not count for jitter.
	slowMargin = 60 * time.Millisecond
)

// headerMean is the moving mean of the time to the header of a response.
type headerMean struct {
	mu    sync.Mutex
	mean  time.Duration
	count int
}

// timingKey names the attempts whose times are compared.
type timingKey struct {
	service, model string
	kind           routes.Kind
	size           int
}

// promptSizeClass groups prompts whose lengths are alike.
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

// observe notes a time and reports whether it was far above those before it.
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

// observe notes how long the header of a response took. Only what a server
// answered counts: a lost connection says nothing of its version.
func (a *attempt) observe(took time.Duration) {
	if a.verdict != deliver && a.verdict != serverFailed {
		return
	}
	a.gateway.prefill.Observe(a.req.prompt(a.model), took, time.Now())
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
	entry.Info("attempt brought no answer")
}
