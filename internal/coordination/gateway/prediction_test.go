package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/workload"
)

// TestObjectivePredictionsAreCounted guards against probabilities that are not recorded on the
// path of a request, and against recording them where the contract for placement by cost is not
// in force.
func TestObjectivePredictionsAreCounted(t *testing.T) {
	for _, pressure := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			kinds := pressureKinds(1)
			f := newPressureFleet(1, map[string]int{"models": 10}, kinds, pressure)
			for range 60 {
				f.send(t.Context(), 0, &kinds[1], accountOf(1), time.Now())
			}
			all := f.gateways[0].Learned().Calibrations()
			if !pressure {
				must.SliceEmpty(t, all)
				return
			}
			must.SliceLen(t, 1, all)
			count := uint64(0)
			for tenth := range all[0].Met {
				count += all[0].Met[tenth] + all[0].Missed[tenth]
			}
			must.Between(t, 30, count, 60)
		})
	}
}

// TestRunsWithoutAnAnswerAreRecorded guards against errors of predictions that leave out the runs
// that took too long: those that the deadline, the client or a time limit ended. A run that its
// server ended is not recorded.
func TestRunsWithoutAnAnswerAreRecorded(t *testing.T) {
	expired := func() context.Context {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(errRequestExpired)
		return ctx
	}
	left := func() context.Context {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		return ctx
	}
	cases := map[string]struct {
		ctx      func() context.Context
		timedOut bool
		answered bool
		recorded bool
	}{
		"deadline":             {ctx: expired, recorded: true},
		"deadline in a stream": {ctx: expired, answered: true, recorded: true},
		"client":               {ctx: left, recorded: true},
		"closed":               {ctx: left, answered: true},
		"time limit":           {ctx: t.Context, timedOut: true, recorded: true},
		"server":               {ctx: t.Context},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{}
			req, a := cascadeRequest(g, 0, 0)
			a.ctx, a.verdict, a.began = c.ctx(), unknown, time.Now().Add(-time.Minute)
			a.timedOut.Store(c.timedOut)
			if c.answered {
				a.response = &fakeResponse{}
			}
			a.choice.times = workload.Times{FirstEvent: time.Second, End: time.Second}
			a.choice.chances = workload.Chances{Objective: 0.95, Left: time.Second, Known: true}
			a.observeHold(time.Now())
			all := g.workload.Calibrations()
			must.Eq(t, c.recorded, len(all) > 0)
			if c.recorded {
				must.Eq(t, 1, all[0].Missed[9])
				must.Eq(t, req.service, all[0].Service)
			}
		})
	}
}
