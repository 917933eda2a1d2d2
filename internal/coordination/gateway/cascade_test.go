package gateway

import (
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/coordination/fleetlimit"
	"medlarslip/internal/coordination/quarantine"
	"medlarslip/internal/coordination/retrybudget"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// cascadeRequest returns a request that the smallest model has answered with the
// given confidence, while the given number of requests wait at the server.
func cascadeRequest(g *Gateway, confidence, waiting int) (*request, *attempt) {
	table := backends.NewTable()
	table.Apply([]backends.Server{{ID: "a", Serves: []string{"s"}, Version: "v1"}})
	table.Get("a").SetLoad(backends.Load{Waiting: waiting, ReadAt: time.Now()})
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	g.Options = Options{
		Servers: table, Log: logrus.NewEntry(logger), AnswerValue: 10, Instances: func() int { return 1 },
		Limits:    fleetlimit.New(fleetlimit.Options{Now: boottime.Now, Log: logrus.NewEntry(logger)}),
		Staging:   staging.New(func() float64 { return 0 }, time.Now),
		DomainOut: func(string) bool { return false },
		Bounds:    func() Bounds { return Bounds{Budget: retrybudget.Options{Slack: 100, Window: time.Second}} },

		Quarantine: quarantine.New(quarantine.Options{Now: boottime.Now}), Brittle: brittle.NewGate(brittle.Options{Instances: func() int { return 1 }}),
	}
	route := &routes.Route{Models: []string{"small", "middle", "large"}, MaxAttempts: 3}
	service := &routes.Service{ModelCosts: map[string]float64{"small": 1, "middle": 8, "large": 16}}
	req := &request{route: route, service: "s", sent: 1, plan: newCascadePlan(route, service, &Call{AnyModel: true}), index: routes.Compile(&routes.Table{})}
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

// TestWeakAnswerIsDeliveredWhereNoServerIsLeft guards against an answer that is dropped
// although no server can run the stronger model, so that the client gets none.
func TestWeakAnswerIsDeliveredWhereNoServerIsLeft(t *testing.T) {
	limited := fleetlimit.Limit{Stated: true, PerSecond: 1}
	for name, take := range map[string]func(g *Gateway){
		"failure domain is out": func(g *Gateway) { g.DomainOut = func(string) bool { return true } },
		"rate limit is used up": func(g *Gateway) {
			g.Limits.Observe("a", limited, g.Limits.Now())
			for ok := true; ok; {
				_, ok = g.Limits.Acquire(t.Context(), "a")
			}
		},
	} {
		req, a := cascadeRequest(&Gateway{}, 0, 0)
		take(a.gateway)
		must.False(t, a.gateway.escalate(t.Context(), req, a), must.Sprint(name))
		must.Eq(t, "small", req.plan.model())
		must.Nil(t, req.reserved)
		must.True(t, a.gateway.budgetOf(req).Take(time.Now(), &a.gateway.boundsNow().Budget, 0.01, 1), must.Sprint("the retry budget is untouched"))
	}
}

// TestServerReservedForARetryIsReleasedByAnEscalation guards against a server that counts a call that is never made:
// its watchdog reserved it while a weak response arrived, and the stronger run reserved another call.
func TestServerReservedForARetryIsReleasedByAnEscalation(t *testing.T) {
	req, a := cascadeRequest(&Gateway{}, 0, 0)
	a.ctx = t.Context()
	w := a.watch(time.Hour, "")
	w.fire()
	w.stop()
	must.NotNil(t, req.reserved)
	must.True(t, a.gateway.escalate(t.Context(), req, a))
	req.releaseReserved()
	must.Zero(t, a.choice.backend.Snapshot().InFlight)
}

// TestCascadeSkipsModelThatAddsNothing checks that a middle model that adds
// nothing is skipped after some requests, and that the answer of the last model
// is always delivered.
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

// TestNamedModelIsKept checks that a request for one model is not escalated.
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
	table.Get("old").SetLoad(backends.Load{Waiting: 90, ReadAt: now.Add(-2 * admission.MaxReportAge)})
	g := &Gateway{Options: Options{Servers: table}}
	must.Eq(t, 2.5, g.meanQueueLength("s", now))
	must.Zero(t, g.meanQueueLength("unknown", now))
}

// TestCascadeRunsOnceWhatMayNotBeRepeated guards against running a booking twice on a route
// with several models: its weak answer is delivered.
func TestCascadeRunsOnceWhatMayNotBeRepeated(t *testing.T) {
	for _, kind := range []routes.Kind{routes.Idempotent, routes.NonIdempotent, routes.Stream} {
		g := New(Options{})
		req, a := cascadeRequest(g, 0, 0)
		req.route.Kind = kind
		must.Eq(t, kind == routes.Idempotent, g.escalate(t.Context(), req, a))
	}
}

// TestScarceBudgetIsKeptForHighPriorities guards against a retry budget that answers of a low
// priority use up. Without pressure it is used in order of arrival.
func TestScarceBudgetIsKeptForHighPriorities(t *testing.T) {
	cases := []struct {
		pressure bool
		priority int
		dropped  bool
	}{
		{true, 0, true},
		{true, 2, false},
		{false, 2, true},
	}
	for _, c := range cases {
		var g Gateway
		req, a := cascadeRequest(&g, 10, 0)
		g.Pressure = func() bool { return c.pressure }
		req.route.Priority = c.priority
		budget := g.Bounds().Budget
		for range 76 {
			must.True(t, g.budgetOf(req).Take(time.Now(), &budget, 1, 1))
		}
		if c.pressure {
			// The share of the budget is larger, so more of it has to be used.
			for range 9 {
				must.True(t, g.budgetOf(req).Take(time.Now(), &budget, 1, 1))
			}
		}
		must.Eq(t, c.dropped, g.escalate(t.Context(), req, a), must.Sprintf("%+v", c))
	}
}
