package brittle_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/brittle"
	"medlarslip/internal/state/backends"
)

// TestStatedRoomEndsWithTheNextStatement guards against instances of a large fleet that go on
// using free slots that a server has stated, after the server has reported waiting requests or has
// turned one away.
func TestStatedRoomEndsWithTheNextStatement(t *testing.T) {
	// With this limit, a statement of free slots is for the instance at once.
	const size, limit = 60, 1000
	later := map[string]func(gate *brittle.Gate, s *brittle.Server){
		"requests wait": func(gate *brittle.Gate, s *brittle.Server) {
			gate.Observe(s, true, limit, &backends.Load{Running: 8, Waiting: 1})
		},
		"all slots used": func(gate *brittle.Gate, s *brittle.Server) { gate.Observe(s, true, limit, &backends.Load{Running: 8}) },
		"turned away":    func(gate *brittle.Gate, s *brittle.Server) { gate.TurnedAway(s, 0) },
	}
	for name, state := range later {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size, 1)
				gate, s := f.gates[0], &f.servers[0].Server
				gate.Observe(s, true, limit, nil)
				must.False(t, gate.Allows(s, 8))
				time.Sleep(time.Second)
				gate.Observe(s, true, limit, &backends.Load{Running: 1})
				must.True(t, gate.Allows(s, 8))
				state(gate, s)
				must.False(t, gate.Allows(s, 8))
			})
		})
	}
}
