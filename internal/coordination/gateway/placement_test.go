package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/boottime"
	"medlarslip/internal/coordination/prefill"
	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// TestPlacementByCostIsSwitched guards against placement by cost where neither the contract
// nor a report asks for it: it is on under pressure, and for a service of which a server has
// reported its slowness.
func TestPlacementByCostIsSwitched(t *testing.T) {
	pressure := false
	g := New(Options{Pressure: func() bool { return pressure }})
	req := &request{service: "s", route: &routes.Route{Name: "r", Kind: routes.Stream}, plan: &cascadePlan{fixed: "m"}}
	now := time.Now()
	must.Nil(t, g.expect(req, prefill.Estimate{}, now))
	g.workload.RecordReport("s", 0, boottime.Now())
	must.Nil(t, g.expect(req, prefill.Estimate{}, now))
	g.workload.RecordReport("other", 1, boottime.Now())
	must.Nil(t, g.expect(req, prefill.Estimate{}, now))
	g.workload.RecordReport("s", 1, boottime.Now())
	must.NotNil(t, g.expect(req, prefill.Estimate{}, now))
	req.service = "plain"
	must.Nil(t, g.expect(req, prefill.Estimate{}, now))
	pressure = true
	must.NotNil(t, g.expect(req, prefill.Estimate{}, now))
	must.Nil(t, New(Options{}).expect(req, prefill.Estimate{}, now))
}

// TestPlacementByCostEnds guards against instances that choose servers by expected cost until their
// process ends, although the servers no longer report their slowness, and against those that stop in
// a pause of the requests.
func TestPlacementByCostEnds(t *testing.T) {
	now := boottime.Instant(time.Hour)
	g := New(Options{Pressure: func() bool { return false }, Clock: func() boottime.Instant { return now }})
	req := &request{service: "s", route: &routes.Route{Name: "r", Kind: routes.Stream}, plan: &cascadePlan{fixed: "m"}}
	receive := func(slowness float64) {
		(&attempt{gateway: g, req: req, reply: Reply{Load: &backends.Load{Slowness: slowness}}}).observeReport()
	}
	byCost := func() bool { return g.expect(req, prefill.Estimate{}, time.Now()) != nil }
	for range 3 {
		receive(1)
		now += boottime.Instant(30*time.Second - 1)
		must.True(t, byCost())
	}
	receive(0)
	now++
	must.False(t, byCost())
	receive(2.5)
	must.True(t, byCost())
}

// TestPlacementCauses guards against choices of servers that are counted under the wrong cause.
func TestPlacementCauses(t *testing.T) {
	must.Eq(t, placedByLoad, placementCause(false, &routing.Candidate{Warm: true}))
	must.Eq(t, placedByCost, placementCause(true, &routing.Candidate{}))
	must.Eq(t, placedWarm, placementCause(true, &routing.Candidate{Warm: true}))
	must.Eq(t, placedLate, placementCause(true, &routing.Candidate{Warm: true, Late: true}))
}

// TestPlacementByCostCountsSenders guards against scaling own calls by idle instances in
// placement by cost, and against a change of placement by load.
func TestPlacementByCostCountsSenders(t *testing.T) {
	opts := Options{Instances: func() int { return 73 }}
	must.Eq(t, 73, New(opts).entries(true))
	opts.Senders = func() int { return 9 }
	must.Eq(t, 9, New(opts).entries(true))
	must.Eq(t, 73, New(opts).entries(false))
}
