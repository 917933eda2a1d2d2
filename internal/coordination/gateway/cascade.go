package gateway

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/escalation"
	"medlarslip/internal/protocol/routes"
)

// fullQueue is the mean queue at the servers at which no answer is run again,
// since a stronger model would answer late and make others late.
const fullQueue = 10.0

// cascadePlan holds the models of one request, smallest first.
type cascadePlan struct {
	models []escalation.Model
	step   int
	// fixed is the model that the client named; empty if it named none.
	fixed string
	// droppedStep and droppedConfidence are of the answer that was dropped last;
	// droppedStep is -1 before.
	droppedStep, droppedConfidence int
}

func newCascadePlan(route *routes.Route, service *routes.Service, call *Call) *cascadePlan {
	plan := &cascadePlan{fixed: call.Model, droppedStep: -1}
	if !call.AnyModel {
		return plan
	}
	for _, name := range route.Models {
		model := escalation.Model{Name: name}
		if service != nil {
			model.Cost = service.ModelCosts[name]
		}
		plan.models = append(plan.models, model)
	}
	return plan
}

// model returns the model to run next; empty where none is named.
func (p *cascadePlan) model() string {
	if len(p.models) == 0 {
		return p.fixed
	}
	return p.models[p.step].Name
}

// last reports whether no stronger model is left.
func (p *cascadePlan) last() bool { return p.step >= len(p.models)-1 }

// advance drops the answer of a model for that of another one.
func (p *cascadePlan) advance(next, confidence int) {
	p.droppedStep, p.droppedConfidence = p.step, confidence
	p.step = next
}

// answerValue returns what a good answer is worth, in runs of the strongest
// model: half as much with each rank below the highest.
func (g *Gateway) answerValue(route *routes.Route) float64 {
	return g.AnswerValue * math.Exp2(-float64(route.Priority))
}

// escalate drops the answer of a smaller model in favor of a stronger one, if
// that is worth its price and the budget allows another run.
func (g *Gateway) escalate(ctx context.Context, req *request, a *attempt) bool {
	g.learnConfidence(req, a)
	if req.plan.last() || a.reply.Confidence < 0 || !req.attemptsLeft() || ctx.Err() != nil {
		return false
	}
	question := g.escalationQuestion(req, a)
	// Most answers are good enough with any queue, and need no look at the servers.
	if g.escalation.Decide(&question, time.Now()).Next < 0 {
		return false
	}
	queue := g.meanQueueLength(req.service, time.Now())
	question.DelayCost = queue / fullQueue
	advice := g.escalation.Decide(&question, time.Now())
	if advice.Next < 0 {
		return false
	}
	entry := g.Log.WithFields(logrus.Fields{
		"event": "answer_weak", "request_id": req.call.ID, "server": a.server(), "model": a.model,
		"confidence": a.reply.Confidence, "queue": queue, "sent": req.sent, "next": req.plan.models[advice.Next].Name,
		"good": round(advice.Good), "expected": round(advice.Expected),
	})
	if !g.budgetOf(req).Take(time.Now(), &g.boundsNow().Budget, escalationShare, g.Instances()) {
		entry.Info("weak answer is given: no repeats are left in the budget")
		return false
	}
	entry.Info("weak answer is dropped for that of a stronger model")
	a.close()
	req.plan.advance(advice.Next, a.reply.Confidence)
	return true
}

func (g *Gateway) escalationQuestion(req *request, a *attempt) escalation.Question {
	runs := len(req.plan.models)
	if req.route.MaxAttempts > 0 {
		runs = req.route.MaxAttempts - req.sent
	}
	return escalation.Question{
		Service: req.service, Version: a.version(), Models: req.plan.models, Current: req.plan.step,
		Confidence: a.reply.Confidence, Value: g.answerValue(req.route), Runs: runs,
	}
}

// learnConfidence learns how the confidence of a model compares with that of the
// weaker one whose answer was dropped.
func (g *Gateway) learnConfidence(req *request, a *attempt) {
	if req.plan.droppedStep < 0 || a.reply.Confidence < 0 {
		return
	}
	pair := escalation.Pair{From: req.plan.droppedStep, To: req.plan.step, Before: req.plan.droppedConfidence, After: a.reply.Confidence}
	g.escalation.Observe(req.service, a.version(), req.plan.models, pair, time.Now())
	req.plan.droppedStep = -1
}

// round keeps probabilities in the log short.
func round(probability float64) float64 { return math.Round(100*probability) / 100 }
