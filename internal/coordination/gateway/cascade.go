package gateway

import (
	"context"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/escalation"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/protocol/routes"
)

// fullQueue is the mean queue length at which no answer is escalated: the
// stronger model would answer late and delay other requests.
const fullQueue = 10.0

// cascadePlan holds the models that may answer a request, smallest first.
type cascadePlan struct {
	models []escalation.Model
	step   int
	// fixed is the model that the request names; empty if it names none.
	fixed string
	// droppedStep and droppedConfidence describe the last dropped answer;
	// droppedStep is -1 if there is none.
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

// model returns the model to run next; empty if the request names none.
func (p *cascadePlan) model() string {
	if len(p.models) == 0 {
		return p.fixed
	}
	return p.models[p.step].Name
}

// last reports whether there is no stronger model.
func (p *cascadePlan) last() bool { return p.step >= len(p.models)-1 }

// advance drops the answer of the current step in favor of the model at index
// next.
func (p *cascadePlan) advance(next, confidence int) {
	p.droppedStep, p.droppedConfidence = p.step, confidence
	p.step = next
}

// answerValue returns the value of a good answer, in runs of the strongest
// model.
func (g *Gateway) answerValue(route *routes.Route) float64 {
	return g.AnswerValue * relativeValue(route)
}

// relativeValue returns the value of a good answer relative to one of the highest priority.
// Each priority below the highest halves it.
func relativeValue(route *routes.Route) float64 { return math.Exp2(-float64(route.Priority)) }

// escalationBudget is the part of a service's retry budget that runs of stronger models may use.
type escalationBudget struct {
	*retrybudget.Budget
	options retrybudget.Options
	part    float64
	// byValue is true if a scarce budget is spent on the runs of the highest value.
	byValue   bool
	instances int
}

// escalationBudget returns the budget for runs of stronger models of a service. Where requests
// are placed by expected cost it is spent by value too, since more answers may be weak than it
// suffices for.
func (g *Gateway) escalationBudget(req *request) *escalationBudget {
	b := &escalationBudget{Budget: g.budgetOf(req), options: g.boundsNow().Budget, part: escalationShare, instances: g.Instances()}
	if g.byCost(req.service) {
		b.byValue, b.part, b.options.CountEarlier = true, valuedEscalationShare, true
	}
	return b
}

func (b *escalationBudget) allows(now time.Time) bool {
	return b.Allows(now, &b.options, b.part, b.instances)
}

func (b *escalationBudget) take(now time.Time) bool {
	return b.Take(now, &b.options, b.part, b.instances)
}

// worthwhile reports whether a run of the given gain, in good answers of the highest priority,
// is worth its share of the budget.
func (b *escalationBudget) worthwhile(gain float64, now time.Time) bool {
	return !b.byValue || gain >= escalation.MinGain(b.Utilization(now, &b.options, b.part, b.instances))
}

// escalate drops the answer of a smaller model in favor of a stronger one, if
// the expected gain exceeds the cost and the retry budget allows another run.
// It reports whether it did so. A request that may run only once is never run again.
func (g *Gateway) escalate(ctx context.Context, req *request, a *attempt) bool {
	g.learnConfidence(req, a)
	if !req.route.Repeatable() || req.plan.last() || a.reply.Confidence < 0 || !req.attemptsLeft() || ctx.Err() != nil {
		return false
	}
	question := g.escalationQuestion(req, a)
	// Most answers are good enough with no queue at all, and then the queue need
	// not be measured.
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
		"good": round(advice.Good), "expected": round(advice.Expected), "request_key": req.keys.Key.String(),
	})
	gain := relativeValue(req.route) * (advice.Expected - advice.Good)
	if cause := g.reserveEscalation(ctx, req, advice.Next, a.reply.Confidence, gain); cause != "" {
		entry.Info("weak answer is delivered: " + cause)
		return false
	}
	entry.Info("weak answer is dropped in favor of a stronger model")
	req.weakDropped = true
	g.dropWeak(req, a)
	return true
}

// reserveEscalation reserves a server for a run of a stronger model, and charges the
// retry budget for it. A weak answer is dropped only once both are certain. It returns
// why there is no such run, or "".
func (g *Gateway) reserveEscalation(ctx context.Context, req *request, next, confidence int, gain float64) (cause string) {
	const exhausted = "the retry budget is exhausted"
	budget := g.escalationBudget(req)
	switch now := time.Now(); {
	case !budget.allows(now):
		return exhausted
	case !budget.worthwhile(gain, now):
		return "the retry budget is scarce and kept for runs of a higher value"
	}
	before := *req.plan
	req.plan.advance(next, confidence)
	req.capacity.keptSince = time.Now()
	choice := g.choose(ctx, req, "")
	noCapacity := req.capacity.givenUp
	req.capacity.keptSince, req.capacity.givenUp = time.Time{}, false
	switch {
	case noCapacity:
		cause = "no server has capacity for another run"
	case choice == nil:
		cause = "no server is available for another run"
	case !budget.take(time.Now()):
		choice.backend.Cancel()
		cause = exhausted
	default:
		req.reserve(choice)
		return ""
	}
	*req.plan = before
	return cause
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

// learnConfidence records the confidence of a model together with that of the
// weaker model whose answer was dropped.
func (g *Gateway) learnConfidence(req *request, a *attempt) {
	if req.plan.droppedStep < 0 || a.reply.Confidence < 0 {
		return
	}
	pair := escalation.Pair{From: req.plan.droppedStep, To: req.plan.step, Before: req.plan.droppedConfidence, After: a.reply.Confidence}
	g.escalation.Observe(req.service, a.version(), req.plan.models, pair, time.Now())
	req.plan.droppedStep = -1
}

// round rounds a probability to two decimal places, for the log.
func round(probability float64) float64 { return math.Round(100*probability) / 100 }
