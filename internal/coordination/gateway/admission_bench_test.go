package gateway

import (
	"fmt"
	"testing"
	"time"

	"medlarslip/internal/coordination/staging"
	"medlarslip/internal/state/backends"
)

// BenchmarkAdmissionUnderFullLoad measures one look for capacity while all servers are full.
func BenchmarkAdmissionUnderFullLoad(b *testing.B) {
	for _, servers := range []int{140, 600} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			f := newPressureFleet(1, map[string]int{"models": servers}, pressureKinds(1), true)
			g := f.gateways[0]
			for _, backend := range g.Servers.Serving("models") {
				backend.SetLoad(backends.Load{Running: 12, Waiting: 8, Slots: 12, ReadAt: time.Now()})
			}
			index := g.Current().Index
			req := &request{route: index.Match("h", "/patient/"), service: "models", index: index, started: time.Now(), plan: &cascadePlan{fixed: "large", droppedStep: -1}, call: Call{PromptTokens: 100}, prefix: 77}
			list := backends.List(g.Servers.Serving("models"))
			wait := g.newCapacityWait(req, staging.Stage{}, false)
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				req.started = now
				route := g.routingRequest(req, req.index.Service("models"), g.estimate(req), staging.Stage{}, false, now)
				wait.decide(route, list, false)
			}
		})
	}
}
