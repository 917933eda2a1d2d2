package backends_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/state/backends"
)

// TestEstimatedLoad guards against estimates that differ between placement and admission for the
// same parameters, and against requests since the report that are not counted.
func TestEstimatedLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	reported := backends.Snapshot{Load: backends.Load{Running: 4, Waiting: 2, ReadAt: now}, InFlight: 3, InFlightAtLoad: 1}
	cases := map[string]struct {
		server backends.Snapshot
		model  backends.LoadModel
		age    time.Duration
		load   float64
	}{
		"no report":       {backends.Snapshot{InFlight: 3}, backends.LoadModel{HalfLife: time.Second, Fallback: 7}, 0, 7},
		"new report":      {reported, backends.LoadModel{HalfLife: time.Second, WaitingWeight: 1, Fallback: 20}, 0, 8},
		"waiting counts":  {reported, backends.LoadModel{HalfLife: time.Second, WaitingWeight: 2, Fallback: 20}, 0, 10},
		"others began":    {reported, backends.LoadModel{HalfLife: time.Second, WaitingWeight: 1, Senders: 3, Fallback: 20}, 0, 12},
		"report ages":     {reported, backends.LoadModel{HalfLife: time.Second, WaitingWeight: 1, Fallback: 20}, time.Second, 14},
		"at least as own": {backends.Snapshot{Load: backends.Load{ReadAt: now}, InFlight: 3, InFlightAtLoad: 3}, backends.LoadModel{HalfLife: time.Second}, 0, 3},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			must.Eq(t, tc.load, tc.server.EstimateLoad(&tc.model, now.Add(tc.age)))
		})
	}
}
