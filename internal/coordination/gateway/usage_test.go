package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/state/backends"
)

// TestServersKnownToBeFullHaveNoRoom guards against a server with room for a request that is passed
// over, since the usage of its service takes it for full, also after one of its runs has ended.
func TestServersKnownToBeFullHaveNoRoom(t *testing.T) {
	random, now, known := rand.New(rand.NewPCG(1, 2)), time.Now(), 0
	for round := range 200 {
		f := newPressureFleet(1, map[string]int{"models": 12}, pressureKinds(1), true)
		g := f.gateways[0]
		list := backends.List(g.Servers.Serving("models"))
		for _, backend := range list {
			backend.SetLoad(backends.Load{Running: random.IntN(13), Waiting: random.IntN(1 + round%9), Slots: 12, ReadAt: now.Add(-time.Duration(random.IntN(4000)) * time.Millisecond)})
			for range random.IntN(4) {
				backend.Begin(0)
			}
		}
		recent := g.recentUsage("models", list, now)
		check := func() {
			usage := recent.current()
			for _, usage.Woken = range []bool{false, true} {
				for rank := range 4 {
					full := recent.full(list, rank)
					for i := range list {
						server := list.Snapshot(i)
						if load, slots := usage.LoadOf(&server, now); full != nil && full(i) {
							known++
							must.LessEq(t, load, admission.Room(rank, slots))
						}
					}
				}
			}
		}
		check()
		for _, backend := range list {
			if snapshot := backend.Snapshot(); snapshot.InFlight > 0 && random.IntN(2) == 0 {
				backend.Cancel()
				g.capacityFreed("models", backend)
			}
		}
		check()
	}
	must.Positive(t, known)
}
