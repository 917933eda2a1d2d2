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
// over as full, also after its state has changed since the usage of its service was computed.
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
		check := func() {
			usage := g.usage("models", list, now)
			for _, usage.Woken = range []bool{false, true} {
				for rank := range 4 {
					full := knownFull(usage, list, rank)
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
		// The usage stays in force while the state of the servers changes.
		for _, backend := range list {
			switch snapshot := backend.Snapshot(); random.IntN(4) {
			case 0:
				if snapshot.InFlight > 0 {
					backend.Cancel()
				}
			case 1:
				backend.SetLoad(backends.Load{Running: random.IntN(13), Slots: 12, ReadAt: now})
			case 2:
				backend.Begin(0)
			}
		}
		check()
	}
	must.Positive(t, known)
}
