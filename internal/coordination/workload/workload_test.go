package workload_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/state/backends"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newServers(ids ...string) (*backends.Table, []*backends.Backend) {
	table := backends.NewTable()
	var servers []backends.Server
	for _, id := range ids {
		servers = append(servers, backends.Server{ID: id, Incarnation: id + "-1", Serves: []string{"s"}})
	}
	table.Apply(servers)
	var all []*backends.Backend
	for _, id := range ids {
		all = append(all, table.Get(id))
	}
	return table, all
}

func stream(model string) *workload.Request {
	return &workload.Request{Service: "s", Route: "r", Model: model, Stream: true, Prefill: 20 * time.Millisecond}
}

func slowdown(e *workload.Estimators, server *backends.Backend, now time.Time) float64 {
	snapshot := server.Snapshot()
	return e.Expect(stream("m"), now).At(&snapshot, 0, 12, false, now).Slowdown
}

// observe records drawn times between events: the first server is 2.4 times as fast as the
// others, and one observation in ten is 5 times too long.
func observe(e *workload.Estimators, servers []*backends.Backend, rounds int, now time.Time) time.Time {
	random := rand.New(rand.NewPCG(1, 2))
	for range rounds {
		for i, server := range servers {
			interval := 24 * time.Millisecond
			if i == 0 {
				interval = 10 * time.Millisecond
			}
			interval = time.Duration(float64(interval) * math.Exp(0.2*random.NormFloat64()))
			if random.IntN(10) == 0 {
				interval *= 5
			}
			e.ObserveEvents(stream("m"), server, interval, now)
		}
		now = now.Add(500 * time.Millisecond)
	}
	return now
}

// TestSpeedsAreLearned guards against servers of different speeds that are treated alike, and
// against single long pauses that count as a slow server.
func TestSpeedsAreLearned(t *testing.T) {
	var e workload.Estimators
	_, servers := newServers("a", "b", "c", "d")
	must.Eq(t, 1, slowdown(&e, servers[0], start))
	now := observe(&e, servers, 30, start)
	ratio := slowdown(&e, servers[1], now) / slowdown(&e, servers[0], now)
	must.Between(t, 1.8, ratio, 3.0)
	later := slowdown(&e, servers[1], now.Add(10*time.Minute)) / slowdown(&e, servers[0], now.Add(10*time.Minute))
	must.Between(t, 0.99, later, 1.01)
}

// TestRestartResetsTheSpeed guards against the speed of an earlier run of a server.
func TestRestartResetsTheSpeed(t *testing.T) {
	var e workload.Estimators
	table, servers := newServers("a", "b", "c")
	now := observe(&e, servers, 30, start)
	must.Less(t, 0.8, slowdown(&e, servers[0], now))
	var restarted []backends.Server
	for _, id := range []string{"a", "b", "c"} {
		restarted = append(restarted, backends.Server{ID: id, Incarnation: id + "-2", Serves: []string{"s"}})
	}
	table.Apply(restarted)
	must.Eq(t, 1, slowdown(&e, servers[0], now))
}

// TestReportedSlownessDecays guards against a report that counts for longer than a machine is
// slow: about 600 ms.
func TestReportedSlownessDecays(t *testing.T) {
	var e workload.Estimators
	_, servers := newServers("a")
	servers[0].SetLoad(backends.Load{Slots: 12, Slowness: 2.5, ReadAt: start})
	must.Between(t, 2.4, slowdown(&e, servers[0], start), 2.6)
	must.Between(t, 1.3, slowdown(&e, servers[0], start.Add(600*time.Millisecond)), 1.5)
	must.Between(t, 1, slowdown(&e, servers[0], start.Add(3*time.Second)), 1.02)
}

// TestContradictedReportLosesItsWeight guards against a server that reports a slow machine
// permanently although its streams are as fast as those of the others.
func TestContradictedReportLosesItsWeight(t *testing.T) {
	var e workload.Estimators
	_, servers := newServers("a", "b")
	now := start
	for range 60 {
		servers[0].SetLoad(backends.Load{Slots: 12, Slowness: 2.5, ReadAt: now})
		for _, server := range servers {
			e.ObserveEvents(stream("m"), server, 10*time.Millisecond, now)
		}
		now = now.Add(200 * time.Millisecond)
	}
	must.Less(t, 1.35, slowdown(&e, servers[0], now))
}

// generation returns the expected number of events after the first.
func generation(e *workload.Estimators, hint int, now time.Time) float64 {
	req := stream("m")
	req.Hint = hint
	expected := e.Expect(req, now)
	return float64(expected.Generation) / float64(expected.EventTime)
}

// TestHintsCountAsFarAsTheyAreAccurate guards against hints that are trusted although they are
// wrong, and against ignoring accurate ones.
func TestHintsCountAsFarAsTheyAreAccurate(t *testing.T) {
	cases := map[string]struct {
		hint     func(random *rand.Rand, events float64) float64
		low, top float64
	}{
		"accurate": {func(_ *rand.Rand, events float64) float64 { return events }, 2.5, 20},
		"biased":   {func(_ *rand.Rand, events float64) float64 { return 4 * events }, 2.5, 20},
		"off by 4": {func(random *rand.Rand, events float64) float64 {
			return events * math.Pow(4, 2*random.Float64()-1)
		}, 1.3, 3},
		"random": {func(random *rand.Rand, _ float64) float64 { return 10 + 100*random.Float64() }, 0.7, 1.4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var e workload.Estimators
			random := rand.New(rand.NewPCG(3, 4))
			now := start
			var logs float64
			for range 300 {
				events := 40 * math.Exp(0.8*random.NormFloat64())
				req := stream("m")
				req.Hint = int(tc.hint(random, events)) + 1
				logs += math.Log(float64(req.Hint)) / 300
				e.ObserveLength(req, int(events)+1, now)
				now = now.Add(100 * time.Millisecond)
			}
			median := math.Exp(logs)
			ratio := generation(&e, int(2.5*median), now) / generation(&e, int(median/2.5), now)
			t.Logf("expected length of a hint 2.5 times the median relative to one 2.5 times below: %.2f", ratio)
			must.Between(t, tc.low, ratio, tc.top)
		})
	}
}

// TestHintsMoveTheExpectationWithinTheSpread guards against clients that state a length far
// outside of what the answers of the route have.
func TestHintsMoveTheExpectationWithinTheSpread(t *testing.T) {
	var e workload.Estimators
	random := rand.New(rand.NewPCG(5, 6))
	for range 300 {
		req := stream("m")
		events := int(40*math.Exp(0.8*random.NormFloat64())) + 1
		req.Hint = events
		e.ObserveLength(req, events, start)
	}
	must.Greater(t, 10, generation(&e, 1, start))
	must.Less(t, 300, generation(&e, 1_000_000, start))
}

// TestWaitFollowsTheObservedHold guards against a wait for a slot that does not depend on how
// long requests hold one.
func TestWaitFollowsTheObservedHold(t *testing.T) {
	var e workload.Estimators
	_, servers := newServers("a")
	now := start
	for range 300 {
		e.ObserveHold(stream("m"), servers[0], 20*time.Millisecond, 400*time.Millisecond, now)
		now = now.Add(20 * time.Millisecond)
	}
	snapshot := servers[0].Snapshot()
	expected := e.Expect(stream("m"), now)
	must.Zero(t, expected.At(&snapshot, 11, 12, false, now).Wait)
	must.Between(t, 35*time.Millisecond, expected.At(&snapshot, 12, 12, false, now).Wait, 70*time.Millisecond)
}

// TestStateIsBounded guards against memory that grows with names chosen by clients.
func TestStateIsBounded(t *testing.T) {
	var e workload.Estimators
	_, servers := newServers("a")
	for i := range 5000 {
		req := stream(string(rune('a' + i)))
		req.Route = req.Model
		e.ObserveLength(req, 10, start)
		e.ObserveEvents(req, servers[0], time.Millisecond, start)
	}
	must.LessEq(t, 3*workload.MaxKeys, e.Size())
}
