package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/protocol/routes"
)

const (
	// enoughConfidence is the confidence, 0 to 100, from which the answer of a
	// smaller model is given: even odds that it is good enough.
	enoughConfidence = 50
	// fullQueue is the mean queue at the servers at which no answer is run
	// again, since a stronger model would answer late and make others late.
	fullQueue = 10.0
)

// cascadePlan chooses the models of one request, smallest first.
type cascadePlan struct {
	models []string
	step   int
	fixed  string
}

func newCascadePlan(route *routes.Route, call *Call) *cascadePlan {
	if call.AnyModel && len(route.Models) > 0 {
		return &cascadePlan{models: route.Models}
	}
	return &cascadePlan{fixed: call.Model}
}

// model returns the model to run next; empty where none is named.
func (p *cascadePlan) model() string {
	if len(p.models) == 0 {
		return p.fixed
	}
	return p.models[p.step]
}

// last reports whether no stronger model is left.
func (p *cascadePlan) last() bool { return p.step >= len(p.models)-1 }

// weak reports whether an answer should be dropped for that of a stronger
// model. The longer the queue at the servers, the more answers are given.
func (p *cascadePlan) weak(confidence int, queue float64) bool {
	enough := enoughConfidence * max(1-queue/fullQueue, 0)
	return !p.last() && confidence >= 0 && float64(confidence) < enough
}

// advance moves on to the strongest model.
func (p *cascadePlan) advance() { p.step = len(p.models) - 1 }

// dropWeak drops the answer of a smaller model in favor of a stronger one, if
// its confidence is low and the budget allows another run.
func (g *Gateway) dropWeak(ctx context.Context, req *request, a *attempt) bool {
	// Most answers are not weak with any queue, and need no look at the servers.
	if !req.plan.weak(a.reply.Confidence, 0) || !req.attemptsLeft() || ctx.Err() != nil {
		return false
	}
	queue := g.queueLength(req.service, time.Now())
	if !req.plan.weak(a.reply.Confidence, queue) {
		return false
	}
	if !g.budgetOf(req).Take(time.Now(), &g.boundsNow().Budget, cascadeShare, g.Instances()) {
		g.logWeak(req, a, queue, "weak answer is given: no repeats are left in the budget")
		return false
	}
	g.logWeak(req, a, queue, "weak answer is dropped for that of a stronger model")
	a.close()
	req.plan.advance()
	return true
}

// logWeak logs what becomes of an answer of low confidence, and why.
func (g *Gateway) logWeak(req *request, a *attempt, queue float64, decision string) {
	g.Log.WithFields(logrus.Fields{
		"event": "answer_weak", "request_id": req.call.ID, "server": a.server(), "model": a.model,
		"confidence": a.reply.Confidence, "queue": queue, "sent": req.sent,
	}).Info(decision)
}
