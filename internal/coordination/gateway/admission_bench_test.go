package gateway

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/state/backends"
)

// lookWhileFull returns one look for capacity of a request while all servers are full. With refusing,
// a server states free slots although it has just refused a run, so that the usage of the service
// does not show that none has room.
func lookWhileFull(servers int, refusing bool) (look func() (*routing.Candidate, time.Duration)) {
	f := newPressureFleet(1, map[string]int{"models": servers}, pressureKinds(1), true)
	g := f.gateways[0]
	for i, backend := range g.Servers.Serving("models") {
		load := backends.Load{Running: 12, Waiting: 8, Slots: 12, ReadAt: time.Now()}
		if refusing && i == 0 {
			load.Running, load.Waiting = 1, 0
			g.recordRefusal(backend.Snapshot().Server.ID)
		}
		backend.SetLoad(load)
	}
	index := g.Current().Index
	req := &request{route: index.Match("h", "/patient/"), service: "models", index: index, plan: &cascadePlan{fixed: "large", droppedStep: -1}, call: Call{PromptTokens: 100}, prefix: 77}
	list := backends.List(g.Servers.Serving("models"))
	wait := g.newCapacityWait(req, staging.Stage{}, false)
	now := time.Now()
	return func() (*routing.Candidate, time.Duration) {
		req.started = now
		route := g.routingRequest(req, req.index.Service("models"), g.estimate(req), staging.Stage{}, false, now)
		return wait.decide(route, list, false)
	}
}

// TestMemoryOfALookForCapacity guards against a look for capacity that allocates memory for each full
// server: the two decisions of a look copy 16 servers at most.
func TestMemoryOfALookForCapacity(t *testing.T) {
	const runs, maxBytes = 100, 24 << 10
	for _, servers := range []int{140, 600} {
		look := lookWhileFull(servers, true)
		look()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for range runs {
			look()
		}
		runtime.ReadMemStats(&after)
		must.LessEq(t, maxBytes, (after.TotalAlloc-before.TotalAlloc)/runs, must.Sprint(servers, "servers"))
	}
}

// BenchmarkAdmissionUnderFullLoad measures one look for capacity while all servers are full.
func BenchmarkAdmissionUnderFullLoad(b *testing.B) {
	for _, servers := range []int{140, 600} {
		for _, refusing := range []bool{false, true} {
			b.Run(fmt.Sprint(servers, "/refusing=", refusing), func(b *testing.B) {
				look := lookWhileFull(servers, refusing)
				b.ReportAllocs()
				for b.Loop() {
					look()
				}
			})
		}
	}
}
