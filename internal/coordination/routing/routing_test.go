package routing_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/routing"
	"medlarslip/internal/coordination/workload"
	"medlarslip/internal/protocol/platform"
	"medlarslip/internal/state/backends"
)

const target = "small-1"

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }

func newList(count int) backends.List {
	table := backends.NewTable()
	var servers []backends.Server
	for i := range count {
		servers = append(servers, backends.Server{
			ID: fmt.Sprintf("engine-%03d", i), Role: platform.RoleEngine, Serves: []string{target},
			FailureDomain: fmt.Sprintf("domain-%d", i%5),
		})
	}
	table.Apply(servers)
	return table.Serving(target)
}

func TestFiltersNameTheirCause(t *testing.T) {
	good := backends.Server{ID: "a", Serves: []string{target}, FailureDomain: "x"}
	leaving, other, out := good, good, good
	leaving.Leaving = true
	other.Serves = []string{"small-2"}
	out.FailureDomain = "out"
	cases := []struct {
		name   string
		server backends.Server
		change func(b *backends.Backend, req *routing.Request)
		want   string
	}{
		{"good", good, func(*backends.Backend, *routing.Request) {}, ""},
		{"leaving", leaving, func(*backends.Backend, *routing.Request) {}, routing.DroppedLeaving},
		{"other version", other, func(*backends.Backend, *routing.Request) {}, routing.DroppedVersion},
		{"domain out", out, func(*backends.Backend, *routing.Request) {}, routing.DroppedDomainOut},
		{"failed before", good, func(_ *backends.Backend, req *routing.Request) { req.Exclude = []string{"a"} }, routing.DroppedExcluded},
		{"cold", good, func(b *backends.Backend, req *routing.Request) {
			b.Begin(0)
			req.ColdBound = func(*backends.Snapshot) int { return 1 }
		}, routing.DroppedCold},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			table := backends.NewTable()
			listed := tc.server
			listed.Serves = []string{target}
			table.Apply([]backends.Server{listed})
			view := backends.List(table.Serving(target))
			table.Apply([]backends.Server{tc.server})
			req := &routing.Request{Target: target, Now: start, DomainOut: func(name string) bool { return name == "out" }}
			tc.change(view[0], req)
			decision := routing.Decide(req, view, newRandom(1))
			must.Eq(t, tc.want, decision.Candidates[0].Dropped)
			must.Eq(t, tc.want == "", decision.Chosen() != nil)
		})
	}
}

// TestBreakerWaitDoublesAfterAFailedProbe takes a breaker through open,
// half-open, open for twice as long, half-open and closed.
func TestBreakerWaitDoublesAfterAFailedProbe(t *testing.T) {
	view := newList(1)
	now := start
	call := func(result backends.CallResult) {
		must.True(t, view[0].Begin(0))
		view[0].Settle(now, time.Millisecond, result)
	}
	dropped := func() string {
		return routing.Decide(&routing.Request{Target: target, Now: now}, view, newRandom(1)).Candidates[0].Dropped
	}
	for range 5 {
		must.Eq(t, "", dropped())
		call(backends.CallFailed)
	}
	must.Eq(t, routing.DroppedBreaker, dropped())
	now = now.Add(time.Second)
	decision := routing.Decide(&routing.Request{Target: target, Now: now}, view, newRandom(1))
	must.Eq(t, 1, decision.Chosen().Bound)
	must.True(t, view[0].Begin(1))
	must.Eq(t, routing.DroppedProbing, dropped())
	must.False(t, view[0].Begin(1))
	view[0].Settle(now, time.Millisecond, backends.CallFailed)
	now = now.Add(time.Second)
	must.Eq(t, routing.DroppedBreaker, dropped())
	now = now.Add(time.Second)
	must.Eq(t, "", dropped())
	call(backends.CallGood)
	decision = routing.Decide(&routing.Request{Target: target, Now: now}, view, newRandom(1))
	must.Eq(t, 0, decision.Chosen().Bound)
}

// TestCallsInProgressDelayTheProbeOnce guards against a server that stays without calls for up to 30 s after one fault,
// because every call that was in progress then lengthens the wait for the probe.
func TestCallsInProgressDelayTheProbeOnce(t *testing.T) {
	for name, result := range map[string]backends.CallResult{"failed": backends.CallFailed, "unreachable": backends.CallUnreachable} {
		t.Run(name, func(t *testing.T) {
			const calls = 40
			view := newList(1)
			for range calls {
				must.True(t, view[0].Begin(0))
			}
			dropped := func(after time.Duration) string {
				return routing.Decide(&routing.Request{Target: target, Now: start.Add(after)}, view, newRandom(1)).Candidates[0].Dropped
			}
			for n := range calls {
				ended := time.Duration(n) * time.Millisecond
				view[0].Settle(start.Add(ended), time.Second+ended, result)
			}
			must.Eq(t, routing.DroppedBreaker, dropped(900*time.Millisecond))
			must.Eq(t, "", dropped(1100*time.Millisecond))
			// Only a call that began after the breaker had opened shows that the fault lasts.
			must.True(t, view[0].Begin(1))
			view[0].Settle(start.Add(1200*time.Millisecond), 100*time.Millisecond, result)
			must.Eq(t, routing.DroppedBreaker, dropped(3100*time.Millisecond))
			must.Eq(t, "", dropped(3300*time.Millisecond))
		})
	}
}

// TestProbeIsAllowedAtOnceAfterACut guards against servers that an instance avoids for a long time after it was cut off
// from all of them, and against calls of the cut that end later and delay the probe again.
func TestProbeIsAllowedAtOnceAfterACut(t *testing.T) {
	view := newList(1)
	now := start
	dropped := func() string {
		return routing.Decide(&routing.Request{Target: target, Now: now}, view, newRandom(1)).Candidates[0].Dropped
	}
	must.True(t, view[0].Begin(0))
	for range 12 {
		must.True(t, view[0].Begin(0))
		view[0].Settle(now, time.Millisecond, backends.CallUnreachable)
		now = now.Add(time.Second)
	}
	must.Eq(t, routing.DroppedBreaker, dropped())
	view[0].AllowProbe(now)
	view[0].Settle(now.Add(time.Millisecond), 10*time.Second, backends.CallUnreachable)
	now = now.Add(2 * time.Millisecond)
	must.Eq(t, "", dropped())
	must.True(t, view[0].Begin(1))
	must.Eq(t, routing.DroppedProbing, dropped())
	view[0].Settle(now, time.Millisecond, backends.CallUnreachable)
	must.Eq(t, routing.DroppedBreaker, dropped())
	healthy := newList(1)
	healthy[0].AllowProbe(now)
	must.Eq(t, 0, routing.Decide(&routing.Request{Target: target, Now: now}, healthy, newRandom(1)).Chosen().Bound)
}

func TestFullServersDoNotOpenTheBreaker(t *testing.T) {
	view := newList(1)
	for range 20 {
		must.True(t, view[0].Begin(0))
		view[0].Settle(start, time.Millisecond, backends.CallNeutral)
	}
	snapshot := view.Snapshot(0)
	must.Eq(t, 0, snapshot.InFlight)
	must.Eq(t, 0, snapshot.Failures)
}

func TestSearchFindsTheOnlyEligibleServer(t *testing.T) {
	view := newList(600)
	var exclude []string
	for i := range view {
		exclude = append(exclude, view.Snapshot(i).Server.ID)
	}
	exclude = slices.Delete(exclude, 417, 418)
	for seed := range uint64(50) {
		decision := routing.Decide(&routing.Request{Target: target, Now: start, Exclude: exclude}, view, newRandom(seed))
		must.Eq(t, "engine-417", decision.Chosen().Server.Server.ID)
	}
}

func TestPrefixAffinityHasABoundedLoad(t *testing.T) {
	view := newList(40)
	req := &routing.Request{Target: target, Now: start, PrefixHash: 77}
	used := map[int]int{}
	for seed := range uint64(200) {
		used[routing.Decide(req, view, newRandom(seed)).Chosen().Index]++
	}
	must.LessEq(t, 2, len(used))
	for i := range used {
		view[i].SetLoad(backends.Load{Running: 50, ReadAt: start})
	}
	for seed := range uint64(200) {
		must.MapNotContainsKey(t, used, routing.Decide(req, view, newRandom(seed)).Chosen().Index)
	}
}

// herd simulates instances that use the same stale load report and returns the
// highest number of concurrent requests at one server. Each request takes one
// report interval.
func herd(choose func(instance int, views []backends.List) int) int {
	const instances, servers, perInstance, intervals = 40, 20, 5, 30
	views := make([]backends.List, instances)
	for i := range views {
		views[i] = newList(servers)
	}
	work := make([]int, servers)
	highest := 0
	for range intervals {
		for _, view := range views {
			for s, server := range view {
				server.SetLoad(backends.Load{Running: work[s], ReadAt: start})
			}
		}
		next := make([]int, servers)
		for i := range instances {
			for range perInstance {
				s := choose(i, views)
				views[i][s].Begin(0)
				next[s]++
			}
		}
		for i := range views {
			for _, server := range views[i] {
				for server.Snapshot().InFlight > 0 {
					server.Settle(start, time.Second, backends.CallGood)
				}
			}
		}
		work = next
		highest = max(highest, slices.Max(work))
	}
	return highest
}

// TestNoHerding compares Decide with choosing the least reported load, at a
// mean of 10 requests per server.
func TestNoHerding(t *testing.T) {
	random := newRandom(3)
	ours := herd(func(i int, views []backends.List) int {
		req := &routing.Request{Target: target, Now: start, Entries: len(views)}
		return routing.Decide(req, views[i], random).Chosen().Index
	})
	least := herd(func(i int, views []backends.List) int {
		best := 0
		for s := range views[i] {
			if views[i].Snapshot(s).Load.Running < views[i].Snapshot(best).Load.Running {
				best = s
			}
		}
		return best
	})
	t.Logf("highest number of requests at one server, mean 10: %d; least reported load: %d", ours, least)
	must.LessEq(t, 30, ours)
	must.Greater(t, 4*ours, least)
}

// TestNoHerdingByCost guards against comparing so many servers that instances with the same
// stale reports choose alike: 40 instances before 20 servers, with the bound of TestNoHerding.
func TestNoHerdingByCost(t *testing.T) {
	random := newRandom(3)
	estimators := make([]workload.Estimators, 40)
	run := streamRun(0)
	highest := herd(func(i int, views []backends.List) int {
		req := &routing.Request{Target: target, Now: start, Entries: len(views), Expected: estimators[i].Expect(&run, start)}
		return routing.Decide(req, views[i], random).Chosen().Index
	})
	t.Logf("highest number of requests at one server, mean 10: %d", highest)
	must.LessEq(t, 30, highest)
}

// TestFewSendersCompareMoreServers guards against comparing two servers where few instances
// send requests, and many where many do: an idle server among 16 is found by at least seven
// sixteenths of the decisions of 9 senders and by at most three sixteenths of those of 40.
// Both bounds have a margin of 4 standard deviations of the binomial distribution.
func TestFewSendersCompareMoreServers(t *testing.T) {
	const decisions = 4000
	var estimators workload.Estimators
	run := streamRun(0)
	view := newList(16)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 11, Slots: 12, ReadAt: start})
	}
	view[5].SetLoad(backends.Load{Running: 2, Slots: 12, ReadAt: start})
	bound := func(share, deviations float64) int {
		return int(decisions*share + deviations*math.Sqrt(decisions*share*(1-share)))
	}
	found := func(senders int) int {
		req := &routing.Request{Target: target, Now: start, Entries: senders, Expected: estimators.Expect(&run, start)}
		return decideMany(req, view, decisions)[5]
	}
	must.GreaterEq(t, bound(7.0/16, -4), found(9))
	must.LessEq(t, bound(3.0/16, 4), found(40))
	must.LessEq(t, bound(3.0/16, 4), found(410))
}

func BenchmarkDecide600(b *testing.B) {
	view := newList(600)
	random := newRandom(1)
	req := &routing.Request{Target: target, Now: start, PrefixHash: 9, Entries: 410, FailureDomain: "domain-1"}
	b.ReportAllocs()
	for b.Loop() {
		req.PrefixHash++
		routing.Decide(req, view, random)
	}
}

func BenchmarkDecide600Parallel(b *testing.B) {
	view := newList(600)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := newRandom(1)
		req := &routing.Request{Target: target, Now: start, PrefixHash: 9, Entries: 410, FailureDomain: "domain-1"}
		for pb.Next() {
			req.PrefixHash++
			routing.Decide(req, view, random)
		}
	})
}

// decideMany returns how often each server is chosen, by its index in the view.
func decideMany(req *routing.Request, view backends.List, count int) map[int]int {
	chosen := map[int]int{}
	random := newRandom(5)
	for range count {
		chosen[routing.Decide(req, view, random).Chosen().Index]++
	}
	return chosen
}

// TestShortAndLongPromptsUseSeparateServers: the servers are divided by the
// share of long prompts, and the two groups do not overlap.
func TestShortAndLongPromptsUseSeparateServers(t *testing.T) {
	view := newList(9)
	req := &routing.Request{Target: target, Now: start, Prefill: 20 * time.Millisecond, LongShare: 0.5}
	short := decideMany(req, view, 2000)
	req.LongPrompt, req.Prefill = true, time.Second
	long := decideMany(req, view, 2000)
	must.Eq(t, 9, len(short)+len(long))
	for i := range long {
		must.MapNotContainsKey(t, short, i)
	}
	must.Between(t, 4, len(long), 5)
}

// TestOverloadedGroupSpillsOver: prompts use the other group while all servers
// of their own are overloaded.
func TestOverloadedGroupSpillsOver(t *testing.T) {
	view := newList(9)
	req := &routing.Request{Target: target, Now: start, Prefill: time.Second, LongPrompt: true, LongShare: 0.5}
	long := decideMany(req, view, 2000)
	for i := range long {
		view[i].BeginPrefill(5 * time.Second)
	}
	for i := range decideMany(req, view, 200) {
		must.MapNotContainsKey(t, long, i)
	}
}

// TestServersWithOutstandingPrefillAreAvoided: a server with a long prompt
// queued is not chosen while another is free, even if another instance sent the
// prompt.
func TestServersWithOutstandingPrefillAreAvoided(t *testing.T) {
	table := backends.NewTable()
	table.Apply([]backends.Server{{ID: "a", Serves: []string{target}}, {ID: "b", Serves: []string{target}}})
	view := backends.List(table.Serving(target))
	table.SetPeerPrefill("peer", map[string]int64{"a": 3000})
	req := &routing.Request{Target: target, Now: start, Prefill: 20 * time.Millisecond, LongShare: 0}
	for i, count := range decideMany(req, view, 200) {
		must.Eq(t, "b", view[i].Snapshot().Server.ID, must.Sprint(count))
	}
}

// TestPrefixOwnersAreEligibleServers: a server dropped by a filter owns no
// prefix, so that requests which share a prefix still reach the same servers.
func TestPrefixOwnersAreEligibleServers(t *testing.T) {
	view := newList(9)
	for prefix := range uint64(50) {
		req := &routing.Request{Target: target, Now: start, PrefixHash: prefix + 1}
		req.Admit = func(server *backends.Snapshot) string {
			if server.Server.ID < "engine-005" {
				return "not admitted"
			}
			return ""
		}
		affine := 0
		for _, candidate := range routing.Decide(req, view, newRandom(prefix)).Candidates {
			if candidate.Affine {
				must.Eq(t, "", candidate.Dropped)
				affine++
			}
		}
		must.Eq(t, 2, affine)
	}
}

// BenchmarkDecide measures one decision for a long prompt among 140 servers.
func BenchmarkDecide(b *testing.B) {
	view := newList(140)
	random := newRandom(1)
	prefix := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		prefix++
		routing.Decide(&routing.Request{
			Target: target, Now: start, Prefill: time.Second, LongPrompt: true, LongShare: 0.5, PrefixHash: prefix,
		}, view, random)
	}
}

// TestSharedPrefixUsesOneServer: all requests with the same prompt prefix go to
// one server while its load is within the affinity bound, so that only one
// server processes the prefix.
func TestSharedPrefixUsesOneServer(t *testing.T) {
	view := newList(18)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 4 + i%3, ReadAt: start})
	}
	for prefix := range uint64(40) {
		req := &routing.Request{Target: target, Now: start, PrefixHash: prefix + 1, Prefill: 50 * time.Millisecond, LongShare: 0.5}
		must.Eq(t, 1, len(decideMany(req, view, 200)), must.Sprint(prefix))
	}
}

// TestOverloadedPrefixOwnerIsReplacedByOneServer: while the first owner of a
// prefix is overloaded, all requests with the prefix go to one other server.
func TestOverloadedPrefixOwnerIsReplacedByOneServer(t *testing.T) {
	view := newList(18)
	for i := range view {
		view[i].SetLoad(backends.Load{Running: 5, ReadAt: start})
	}
	req := &routing.Request{Target: target, Now: start, PrefixHash: 7}
	for owner := range decideMany(req, view, 200) {
		view[owner].SetLoad(backends.Load{Running: 40, ReadAt: start})
	}
	must.Eq(t, 1, len(decideMany(req, view, 200)))
}
