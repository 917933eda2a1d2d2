package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// cascadeRequest is a request whose smallest model has answered with a confidence,
// while requests wait at the servers.
func cascadeRequest(g *Gateway, confidence, waiting int) (*request, *attempt) {
	table := backends.NewTable()
	table.Apply([]backends.Server{{ID: "a", Serves: []string{"s"}, Version: "v1"}})
	table.Get("a").SetLoad(backends.Load{Waiting: waiting, ReadAt: time.Now()})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g.Options = Options{
		Servers: table, Log: logrus.NewEntry(logger), AnswerValue: 10, Instances: func() int { return 1 },
		Bounds: func() Bounds { return Bounds{Budget: retrybudget.Options{Slack: 100, Window: time.Second}} },
	}
	route := &routes.Route{Models: []string{"small", "middle", "large"}, MaxAttempts: 3}
	service := &routes.Service{ModelCosts: map[string]float64{"small": 1, "middle": 8, "large": 16}}
	req := &request{route: route, service: "s", sent: 1, plan: newCascadePlan(route, service, &Call{AnyModel: true})}
	a := &attempt{gateway: g, req: req, model: "small", reply: Reply{Confidence: confidence}, choice: &selection{backend: table.Get("a")}, cancel: func() {}}
	a.choice.snapshot = a.choice.backend.Snapshot()
	a.settled, a.compared.reported = true, true
	return req, a
}

func TestCascadeDropsWeakAnswers(t *testing.T) {
	cases := []struct {
		confidence, waiting int
		weak                bool
	}{
		{-1, 0, false},
		{0, 0, true},
		{40, 0, true},
		{80, 0, false},
		{40, 3, true},
		{40, fullQueue, false},
		{0, 3 * fullQueue, false},
	}
	for _, c := range cases {
		req, a := cascadeRequest(&Gateway{}, c.confidence, c.waiting)
		must.Eq(t, "small", req.plan.model())
		must.Eq(t, c.weak, a.gateway.escalate(t.Context(), req, a), must.Sprintf("%+v", c))
		must.Eq(t, c.weak, req.plan.model() != "small")
	}
}

// TestCascadeSkipsModelThatAddsNothing: a middle model that adds nothing is left out
// after some requests, and the answer of the last model is always given.
func TestCascadeSkipsModelThatAddsNothing(t *testing.T) {
	g := &Gateway{}
	asked := map[string]int{}
	for range 60 {
		req, a := cascadeRequest(g, 40, 0)
		for g.escalate(t.Context(), req, a) {
			asked[req.plan.model()]++
			req.sent++
			a.reply.Confidence = 40
			if req.plan.last() {
				a.reply.Confidence = 80
			}
		}
		must.True(t, req.plan.last())
	}
	must.Eq(t, 60, asked["large"])
	must.Between(t, 1, asked["middle"], 10)
}

// TestNamedModelIsKept: a client that names a model gets no other.
func TestNamedModelIsKept(t *testing.T) {
	plan := newCascadePlan(&routes.Route{Models: []string{"small", "large"}}, nil, &Call{Model: "middle"})
	must.Eq(t, "middle", plan.model())
	must.True(t, plan.last())
}

func TestMeanQueueLengthIgnoresStaleReports(t *testing.T) {
	table := backends.NewTable()
	table.Apply([]backends.Server{
		{ID: "a", Serves: []string{"s"}},
		{ID: "b", Serves: []string{"s"}},
		{ID: "old", Serves: []string{"s"}},
		{ID: "silent", Serves: []string{"s"}},
	})
	now := time.Now()
	table.Get("a").SetLoad(backends.Load{Waiting: 4, ReadAt: now})
	table.Get("b").SetLoad(backends.Load{Waiting: 1, ReadAt: now})
	table.Get("old").SetLoad(backends.Load{Waiting: 90, ReadAt: now.Add(-2 * maxReportAge)})
	g := &Gateway{Options: Options{Servers: table}}
	must.Eq(t, 2.5, g.meanQueueLength("s", now))
	must.Zero(t, g.meanQueueLength("unknown", now))
}
