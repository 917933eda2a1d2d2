package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

func TestCascadeDropsWeakAnswers(t *testing.T) {
	route := &routes.Route{Models: []string{"small", "middle", "large"}}
	cases := []struct {
		confidence int
		queue      float64
		weak       bool
	}{
		{-1, 0, false},
		{0, 0, true},
		{enoughConfidence - 1, 0, true},
		{enoughConfidence, 0, false},
		{enoughConfidence/2 - 1, fullQueue / 2, true},
		{enoughConfidence / 2, fullQueue / 2, false},
		{0, fullQueue, false},
		{0, 3 * fullQueue, false},
	}
	for _, c := range cases {
		plan := newCascadePlan(route, &Call{AnyModel: true})
		must.Eq(t, "small", plan.model())
		must.Eq(t, c.weak, plan.weak(c.confidence, c.queue), must.Sprintf("%+v", c))
		plan.advance()
		must.Eq(t, "large", plan.model())
		must.False(t, plan.weak(0, 0))
	}
}

// TestNamedModelIsKept: a client that names a model gets no other.
func TestNamedModelIsKept(t *testing.T) {
	plan := newCascadePlan(&routes.Route{Models: []string{"small", "large"}}, &Call{Model: "middle"})
	must.Eq(t, "middle", plan.model())
	must.False(t, plan.weak(0, 0))
}

func TestQueueLengthIsTheMeanOfFreshReports(t *testing.T) {
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
	table.Get("old").SetLoad(backends.Load{Waiting: 90, ReadAt: now.Add(-2 * reportAge)})
	g := &Gateway{Options: Options{Servers: table}}
	must.Eq(t, 2.5, g.queueLength("s", now))
	must.Zero(t, g.queueLength("unknown", now))
}
