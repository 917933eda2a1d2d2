package instance

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/cascade"
	"medlarslip/internal/coordination/dispatch"
	"medlarslip/internal/coordination/gossip"
	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/protocol/document"
	"medlarslip/internal/protocol/settings"
)

// newLearningAssembly returns an assembly that holds only the parts that learn
// from requests and publish the result.
func newLearningAssembly(name string, index *document.Index, onEntry func(gossip.Entry, time.Time)) *assembly {
	a := &assembly{settings: &settings.Entry{Instance: name}, incarnation: "run"}
	a.gossip = gossip.New(gossip.Config{Self: gossip.Member{ID: name}, Run: "run", OnEntry: onEntry})
	a.decisions = decisions{acceptance: cascade.NewLearner(), halted: make(chan struct{}, 1)}
	a.decisions.monitor = rollout.New(name+"/run", func() *document.Index { return index }, &a.decisions, time.Now)
	return a
}

func TestInstancesExchangeLearnedState(t *testing.T) {
	index := document.NewIndex(&document.Document{Rollouts: []document.Rollout{
		{ID: "roll", Model: "small", From: "small-1", To: "small-2", SharePercent: 10, Stage: document.RolloutActive},
	}})
	b := newLearningAssembly("b", index, nil)
	a := newLearningAssembly("a", index, func(entry gossip.Entry, _ time.Time) { b.mergeLearned(entry) })
	key := cascade.Key{Cascade: "draft", Kind: "report", VersionID: "small-1", Account: "technicians"}
	for range 40 {
		a.decisions.acceptance.ObserveRating(key, true)
		a.decisions.monitor.Observe(&dispatch.Sample{VersionID: "small-1", Rollout: "roll", Rated: true, Accepted: true})
	}
	a.publishAcceptances()
	must.Eq(t, 40, b.decisions.acceptance.EstimateAcceptance(key, 0.5).Observed)
	a.publishOutcomes(false)
	must.False(t, b.decisions.monitor.Halted("roll"))
	for range 20 {
		a.decisions.monitor.Observe(&dispatch.Sample{VersionID: "small-2", Rollout: "roll", Rated: true})
	}
	<-a.decisions.halted
	a.publishOutcomes(true)
	must.True(t, b.decisions.monitor.Halted("roll"))
}
