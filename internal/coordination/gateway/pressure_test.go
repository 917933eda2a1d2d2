package gateway

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/admission"
	"medlarslip/internal/protocol/routes"
	"medlarslip/internal/state/backends"
)

// atOnce replaces the decision by "go at once", on which the tests of load fail.
var atOnce = flag.Bool("pressure.at-once", false, "send requests without waiting for capacity")

var largeFleet = flag.Bool("pressure.large", false, "play fleets of 300 instances too")

// pressureSeed is the seed of all draws of the tests of load. The order in which goroutines run at the
// same time still differs between runs.
var pressureSeed = flag.Uint64("pressure.seed", 1, "seed of the tests of load")

// inTimeTarget is the share of requests that are in time where the servers can carry the requests of a
// kind, or of the accounts that have not grown: these keep their objective. The rest allows for the
// draws of a short test.
const inTimeTarget = 0.95

// pressureKinds returns kinds of request that take three fifths of the slots of three servers
// for each unit.
func pressureKinds(units float64) []kindOfWork {
	return []kindOfWork{
		{name: "urgent", service: "models", rank: 0, rate: 50 * units, hold: 400 * time.Millisecond, objective: time.Second, deadline: 15 * time.Second, cascade: true},
		{name: "patient", service: "models", rank: 2, rate: 15 * units, hold: 1200 * time.Millisecond, objective: 6 * time.Second, deadline: 20 * time.Second},
	}
}

// fleetUnits is the size of the load by number of instances.
var fleetUnits = map[int]float64{1: 2, 8: 4, 60: 8, 300: 12}

// fleetSizes returns the numbers of instances of the tests of load.
func fleetSizes() []int {
	if *largeFleet {
		return []int{1, 8, 60, 300}
	}
	return []int{1, 8, 60}
}

// surge returns the demand of a load that rises by the factor for a kind of request between two
// times.
func surge(name string, factor float64, from, to time.Duration) demand {
	return func(at time.Duration, kind *kindOfWork) float64 {
		if kind.name == name && at >= from && at < to {
			return factor
		}
		return 1
	}
}

func sameAccount(time.Duration, *rand.Rand) string { return accountOf(0) }

// TestOneKindAtManyTimesItsRate guards against patient requests that occupy all slots, so that
// urgent ones wait at the servers: fewer of these miss their objective than without admission, and
// the patient ones stay within their own.
func TestOneKindAtManyTimesItsRate(t *testing.T) {
	const from, to = 4 * time.Second, 11 * time.Second
	for _, instances := range fleetSizes() {
		units := fleetUnits[instances]
		play := func(pressure bool) (urgent, patient float64) {
			synctest.Test(t, func(t *testing.T) {
				f := newPressureFleet(instances, map[string]int{"models": int(3 * units)}, pressureKinds(units), pressure)
				f.play(t.Context(), 12*time.Second, surge("patient", 2.5, from, to), sameAccount)
				share := func(name string) float64 {
					return f.inTime(func(r *result) bool { return r.kind == name && r.began >= from && r.began < to })
				}
				urgent, patient = share("urgent"), share("patient")
			})
			return urgent, patient
		}
		urgentBefore, patientBefore := play(false)
		urgent, patient := play(!*atOnce)
		t.Logf("%d instances: urgent %.3f (without %.3f), patient %.3f (%.3f)", instances, urgent, urgentBefore, patient, patientBefore)
		must.Less(t, 0.6*(1-urgentBefore), 1-urgent)
		must.GreaterEq(t, inTimeTarget, urgent)
		// The demand is more than 1.5 times the capacity, and a request may wait most of its 6 s.
		must.Greater(t, 0.8, patient)
	}
}

// zipfAccounts returns the weights of 24 accounts, a few of them large, of which those given send
// the factor of their usual demand between two times, and their demand and account at a time.
func zipfAccounts(factor float64, from, to time.Duration, hot ...int) (demand, accountDraw) {
	weights := func(at time.Duration) (weights []float64, total, usual float64) {
		for i := range 24 {
			weight := math.Pow(float64(i+1), -1.2)
			usual += weight
			if slices.Contains(hot, i) && at >= from && at < to {
				weight *= factor
			}
			weights = append(weights, weight)
			total += weight
		}
		return weights, total, usual
	}
	rises := func(at time.Duration, _ *kindOfWork) float64 {
		_, total, usual := weights(at)
		return total / usual
	}
	draw := func(at time.Duration, random *rand.Rand) string {
		weights, total, _ := weights(at)
		left := random.Float64() * total
		for i, weight := range weights {
			if left -= weight; left < 0 {
				return accountOf(i)
			}
		}
		return accountOf(0)
	}
	return rises, draw
}

// TestAccountsAtManyTimesTheirUsualDemand guards against one or two accounts that take the
// capacity of all others: fewer requests of the others miss their objective than without admission,
// and the hot accounts are answered for at least two fifths of what all accounts are.
func TestAccountsAtManyTimesTheirUsualDemand(t *testing.T) {
	for _, instances := range fleetSizes()[1:] {
		checkHotAccounts(t, instances, 9, []int{1})
		checkHotAccounts(t, instances, 6, []int{1, 2})
	}
}

// TestHotAccountsAtOneInstance guards against accounts that take the capacity of the others in a fleet of one
// instance, which has no reports of peers.
func TestHotAccountsAtOneInstance(t *testing.T) {
	checkHotAccounts(t, 1, 9, []int{1})
	checkHotAccounts(t, 1, 6, []int{1, 2})
}

func checkHotAccounts(t *testing.T, instances int, factor float64, hot []int) {
	before, _, _ := playHotAccounts(t, instances, factor, hot, false)
	others, hotAnswered, all := playHotAccounts(t, instances, factor, hot, !*atOnce)
	t.Logf("%d instances, accounts %v: others in time %.3f (without %.3f), hot answered %.3f of all %.3f", instances, hot, others, before, hotAnswered, all)
	must.GreaterEq(t, inTimeTarget, others)
	must.LessEq(t, 0.6*(1-before), 1-others)
	must.GreaterEq(t, 0.4*all, hotAnswered)
}

// playHotAccounts plays a fleet in which some accounts rise to the factor of their demand. It returns
// the share of the requests of the others that are in time, and the share of the requests of the hot
// accounts, and of all accounts, that are answered.
func playHotAccounts(t *testing.T, instances int, factor float64, hot []int, pressure bool) (others, hotAnswered, all float64) {
	const from, to, known = 6 * time.Second, 13 * time.Second, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		units := fleetUnits[instances]
		f := newPressureFleet(instances, map[string]int{"models": int(3 * units)}, pressureKinds(units), pressure)
		rises, draw := zipfAccounts(factor, from, to, hot...)
		f.play(t.Context(), 14*time.Second, rises, draw)
		isHot := func(r *result) bool {
			return slices.ContainsFunc(hot, func(i int) bool { return accountOf(i) == r.account })
		}
		surge := func(r *result) bool { return r.began >= from+known && r.began < to }
		others = f.inTime(func(r *result) bool { return surge(r) && !isHot(r) })
		hotAnswered = f.answered(func(r *result) bool { return surge(r) && isHot(r) })
		all = f.answered(surge)
	})
	return others, hotAnswered, all
}

// loseQuarter stops a quarter of the servers for a time.
func (f *pressureFleet) loseQuarter(from, length time.Duration) {
	time.Sleep(from)
	var lost []*slotServer
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		s := f.servers[id]
		if len(lost) < len(f.servers)/4 {
			s.stop()
			lost = append(lost, s)
		}
	}
	time.Sleep(length)
	for _, s := range lost {
		s.start()
	}
}

// urgentInTime plays a load, with and without admission, and returns the shares of the urgent requests
// that are in time between two times. during runs beside it.
func urgentInTime(t *testing.T, instances int, pressure bool, rises demand, from, to time.Duration, during func(*pressureFleet)) (urgent, answered float64) {
	synctest.Test(t, func(t *testing.T) {
		units := fleetUnits[instances]
		f := newPressureFleet(instances, map[string]int{"models": int(4 * units)}, pressureKinds(units), pressure)
		go during(f)
		synctest.Wait()
		_, draw := zipfAccounts(1, 0, 0)
		f.play(t.Context(), to+time.Second, rises, draw)
		urgent = f.inTime(func(r *result) bool { return r.kind == "urgent" && r.began >= from && r.began < to })
		answered = f.answered(func(r *result) bool { return r.began >= from && r.began < to })
		for id, runs := range f.runs {
			must.LessEq(t, 3, runs, must.Sprint(id))
		}
	})
	return urgent, answered
}

// urgentCase is a load in which urgent requests are observed. during runs beside it.
type urgentCase struct {
	name   string
	rises  demand
	during func(*pressureFleet)
}

func urgentCases() []urgentCase {
	return []urgentCase{
		{"a quarter of the servers is lost for 2 s", surge("patient", 2.2, 0, time.Hour), func(f *pressureFleet) { f.loseQuarter(5*time.Second, 2*time.Second) }},
		{"waves of demand in turn between failure domains", func(at time.Duration, kind *kindOfWork) float64 {
			if kind.name == "urgent" {
				return 1
			}
			return 2.3 + math.Sin(2*math.Pi*at.Seconds()/8)
		}, func(f *pressureFleet) {
			// The demand moves between three failure domains.
			f.share = func(at time.Duration, instance int) float64 {
				return 0.6 + 0.4*math.Sin(2*math.Pi*(at.Seconds()/8+float64(instance%3)/3))
			}
		}},
		{restartedCase, surge("patient", 3, 0, time.Hour), func(f *pressureFleet) {
			time.Sleep(5 * time.Second)
			for i := range f.gateways {
				f.replace(i)
			}
		}},
	}
}

// restartedCase is the name of the case in which all instances restart.
const restartedCase = "all instances restarted"

// urgentResult is what a fleet achieved in an urgentCase, with and without admission: the share of the
// urgent requests that are in time, and the share of all that are answered.
type urgentResult struct{ before, urgent, answeredBefore, answered float64 }

// urgentResults holds the results by case and number of instances, so that the tests share them.
var urgentResults = map[string]urgentResult{}

func (c *urgentCase) play(t *testing.T, instances int) urgentResult {
	key := fmt.Sprint(c.name, instances)
	if result, played := urgentResults[key]; played {
		return result
	}
	var r urgentResult
	r.before, r.answeredBefore = urgentInTime(t, instances, false, c.rises, 4*time.Second, 11*time.Second, c.during)
	r.urgent, r.answered = urgentInTime(t, instances, !*atOnce, c.rises, 4*time.Second, 11*time.Second, c.during)
	t.Logf("%s, %d instances: urgent %.3f (without %.3f), answered %.3f (%.3f)", c.name, instances, r.urgent, r.before, r.answered, r.answeredBefore)
	urgentResults[key] = r
	return r
}

// TestUrgentRequestsKeepTheirObjective guards against urgent requests that miss their objective while
// other load takes the slots: after the loss of servers, in waves of demand, and after a restart of
// all instances, which know no loads then.
func TestUrgentRequestsKeepTheirObjective(t *testing.T) {
	for _, c := range urgentCases() {
		gain := 0.0
		for _, instances := range fleetSizes() {
			r := c.play(t, instances)
			gain += r.answered - r.answeredBefore
			if c.name == restartedCase {
				// TestUrgentRequestsAfterARestart checks this case.
				continue
			}
			must.GreaterEq(t, inTimeTarget, r.urgent, must.Sprint(c.name, instances))
		}
		must.Greater(t, -0.1, gain, must.Sprint(c.name))
	}
}

// TestUrgentRequestsAfterARestart guards against urgent requests that miss their objective
// after the restart of all instances, while patient ones come at three times their rate.
func TestUrgentRequestsAfterARestart(t *testing.T) {
	for _, c := range urgentCases() {
		if c.name != restartedCase {
			continue
		}
		for _, instances := range fleetSizes() {
			must.GreaterEq(t, inTimeTarget, c.play(t, instances).urgent, must.Sprint(instances))
		}
	}
}

// TestFewerUrgentRequestsAreLate guards against admission that makes urgent requests wait more than they
// would without it, in the same loads.
func TestFewerUrgentRequestsAreLate(t *testing.T) {
	for _, c := range urgentCases() {
		lateBefore, late := 0.0, 0.0
		for _, instances := range fleetSizes() {
			r := c.play(t, instances)
			lateBefore, late = lateBefore+1-r.before, late+1-r.urgent
		}
		must.Less(t, 0.75*lateBefore, late, must.Sprint(c.name))
	}
}

// TestRefusedClientsThatRetry guards against clients that are refused together, retry together, and
// are refused again, or that keep the others from their capacity.
func TestRefusedClientsThatRetry(t *testing.T) {
	for _, instances := range fleetSizes() {
		synctest.Test(t, func(t *testing.T) {
			const from, to = 6 * time.Second, 11 * time.Second
			units := fleetUnits[instances]
			f := newPressureFleet(instances, map[string]int{"models": int(3 * units)}, pressureKinds(units), !*atOnce)
			f.retries = 4
			rises, draw := zipfAccounts(9, from, to, 1)
			f.play(t.Context(), to, rises, draw)
			others := f.inTime(func(r *result) bool { return r.account != accountOf(1) && r.began >= from+2*time.Second })
			retried, different := 0, map[time.Duration]bool{}
			for i := range f.results {
				if r := &f.results[i]; r.retryAfter > 0 {
					retried++
					different[r.retryAfter] = true
				}
			}
			t.Logf("%d instances: others in time %.3f, %d refusals, %d different times", instances, others, retried, len(different))
			must.GreaterEq(t, inTimeTarget, others)
			must.Greater(t, min(retried/3, 100), len(different))
		})
	}
}

// TestNothingIsRefusedWhileCapacityIsFree guards against refusals, waits and lower priorities of an
// account that exceeds its usual demand while there is capacity for all.
func TestNothingIsRefusedWhileCapacityIsFree(t *testing.T) {
	for _, instances := range []int{1, 8, 60} {
		synctest.Test(t, func(t *testing.T) {
			units := fleetUnits[instances]
			f := newPressureFleet(instances, map[string]int{"models": int(9 * units)}, pressureKinds(units), true)
			rises, draw := zipfAccounts(6, 4*time.Second, 8*time.Second, 2)
			f.play(t.Context(), 9*time.Second, rises, draw)
			must.MapEmpty(t, f.excess)
			must.Zero(t, f.outcomes["refused"])
			must.Less(t, f.outcomes["at_once"]/50, f.outcomes["waited"])
		})
	}
}

// TestAccountsAtPlainServers guards against an account that takes the slots of plain servers from the
// others, against requests there that wait for longer than half of their objective, and against
// requests that may run only once and run twice.
func TestAccountsAtPlainServers(t *testing.T) {
	for _, instances := range fleetSizes() {
		before := playPlainServers(t, instances, false)
		must.Less(t, 0.65*(1-before), 1-playPlainServers(t, instances, !*atOnce))
	}
}

// TestOthersAtPlainServersKeepTheirObjective guards against accounts that miss their objective at plain
// servers, which can carry their requests, while another one sends nine times its usual demand.
func TestOthersAtPlainServersKeepTheirObjective(t *testing.T) {
	for _, instances := range fleetSizes() {
		must.GreaterEq(t, inTimeTarget, playPlainServers(t, instances, !*atOnce), must.Sprint(instances))
	}
}

// playPlainServers plays a fleet with plain servers in which an account rises, and returns the share of
// the requests of the others that are in time.
func playPlainServers(t *testing.T, instances int, pressure bool) (others float64) {
	const from, to = 4 * time.Second, 9 * time.Second
	synctest.Test(t, func(t *testing.T) {
		kinds := []kindOfWork{{name: "grant", service: "plain", rate: 200, hold: 56 * time.Millisecond, objective: 120 * time.Millisecond, deadline: 1500 * time.Millisecond, once: true}}
		f := newPressureFleet(instances, map[string]int{"plain": 2}, kinds, pressure)
		rises, draw := zipfAccounts(9, from, to, 1)
		f.play(t.Context(), to, rises, draw)
		surge := func(r *result) bool { return r.began >= from+2*time.Second }
		others = f.inTime(func(r *result) bool { return surge(r) && r.account != accountOf(1) })
		hotAnswered := f.answered(func(r *result) bool { return surge(r) && r.account == accountOf(1) })
		must.GreaterEq(t, 0.4*f.answered(surge), hotAnswered)
		for id, runs := range f.runs {
			must.Eq(t, 1, runs, must.Sprint(id))
		}
		for i := range f.results {
			if r := &f.results[i]; r.status == http.StatusServiceUnavailable {
				must.LessEq(t, 61*time.Millisecond, r.took)
				must.Zero(t, r.attempts)
				must.Positive(t, r.retryAfter)
			}
		}
		t.Logf("%d instances, pressure %t: others in time %.3f, hot answered %.3f, %v, excess %v", instances, pressure, others, hotAnswered, f.outcomes, f.excess)
	})
	return others
}

// fullFleet returns a fleet of one instance and one server whose slots are all taken, as the
// instance knows, by requests of the patient kind with the given hold.
func fullFleet(t *testing.T, hold time.Duration) *pressureFleet {
	kinds := pressureKinds(1)
	kinds[1].hold = hold
	f := newPressureFleet(1, map[string]int{"models": 1}, kinds, true)
	table := f.gateways[0].Servers
	for range 12 {
		go f.send(t.Context(), 0, &f.kinds[1], accountOf(0), time.Now())
		synctest.Wait()
		snapshot := table.Get("models-0").Snapshot()
		table.Get("models-0").SetLoad(backends.Load{Running: snapshot.InFlight, Slots: 24, ReadAt: time.Now()})
	}
	table.Get("models-0").SetLoad(backends.Load{Running: 12, Slots: 12, ReadAt: time.Now()})
	time.Sleep(usageLifetime)
	return f
}

// TestClientLeavesWhileWaiting guards against requests that wait, and run, after their clients
// have disconnected.
func TestClientLeavesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fullFleet(t, 4*time.Second)
		ctx, leave := context.WithCancel(t.Context())
		ended := make(chan result, 1)
		go func() { ended <- f.send(ctx, 0, &f.kinds[1], accountOf(1), time.Now()) }()
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, 1, f.gateways[0].capacity.Len("models"))
		leave()
		must.Eq(t, 100*time.Millisecond, (<-ended).took)
		requests, _ := f.gateways[0].capacity.Held()
		must.Zero(t, requests)
		time.Sleep(20 * time.Second)
		must.Eq(t, 12, len(f.runs))
	})
}

// TestKilledInstanceLosesItsQueue guards against requests in the queue of a killed instance that run
// afterwards or get a response which is not true: their connections end without one. A kill is the
// end of all connections of the instance at one moment.
func TestKilledInstanceLosesItsQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fullFleet(t, 4*time.Second)
		f.kinds[1].once = true
		ctx, kill := context.WithCancel(t.Context())
		const queued = 10
		ended := make(chan result, queued)
		for range queued {
			go func() { ended <- f.send(ctx, 0, &f.kinds[1], accountOf(1), time.Now()) }()
		}
		time.Sleep(100 * time.Millisecond)
		must.Eq(t, queued, f.gateways[0].capacity.Len("models"))
		f.gateways[0].capacity.Notify("models")
		kill()
		f.replace(0)
		for range queued {
			r := <-ended
			must.True(t, r.closed)
			must.Zero(t, r.attempts)
		}
		time.Sleep(20 * time.Second)
		must.Eq(t, 12, len(f.runs))
		for id, runs := range f.runs {
			must.Eq(t, 1, runs, must.Sprint(id))
		}
	})
}

// TestWaitingRequestRunsOnceASlotIsFree guards against requests that wait while a slot is free,
// and against a request that may run only once and runs twice.
func TestWaitingRequestRunsOnceASlotIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fullFleet(t, time.Second)
		f.kinds[1].once = true
		r := f.send(t.Context(), 0, &f.kinds[1], accountOf(1), time.Now())
		must.Eq(t, http.StatusOK, r.status)
		must.Eq(t, 1, r.attempts)
		// The first of the twelve ends after half of its hold at the earliest.
		must.Between(t, 800*time.Millisecond, r.took, 3100*time.Millisecond)
		for id, runs := range f.runs {
			must.Eq(t, 1, runs, must.Sprint(id))
		}
		time.Sleep(10 * time.Second)
	})
}

// TestDeadlineOfAWaitingRequest guards against requests that wait until their deadline has
// passed, or are refused after they may have run.
func TestDeadlineOfAWaitingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fullFleet(t, 30*time.Second)
		kind := f.kinds[1]
		kind.deadline = time.Second
		for i := range minMeanSamples {
			mean, _ := f.gateways[0].headerMeans.LoadOrStore(timingKey{service: "models", model: "large", size: promptSizeClass(100)}, &headerMean{})
			mean.(*headerMean).observe(1500*time.Millisecond + time.Duration(i))
		}
		r := f.send(t.Context(), 0, &kind, accountOf(1), time.Now())
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Zero(t, r.took)
		must.Zero(t, r.attempts)
		must.Positive(t, r.retryAfter)
		time.Sleep(time.Minute)
	})
}

// TestShutdownEndsWaits guards against a planned stop that waits for requests which no server has
// run.
func TestShutdownEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fullFleet(t, 4*time.Second)
		ended := make(chan result, 1)
		go func() { ended <- f.send(t.Context(), 0, &f.kinds[1], accountOf(1), time.Now()) }()
		time.Sleep(100 * time.Millisecond)
		f.gateways[0].RefuseNew()
		r := <-ended
		must.Eq(t, http.StatusServiceUnavailable, r.status)
		must.Eq(t, 100*time.Millisecond, r.took)
		must.Zero(t, r.attempts)
		time.Sleep(20 * time.Second)
	})
}

// TestWeakAnswerIsDeliveredWhereNoCapacityIsLeft guards against a weak answer that is dropped for
// a run that waits at a full server.
func TestWeakAnswerIsDeliveredWhereNoCapacityIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Options{})
		req, a := cascadeRequest(g, 0, 0)
		g.Pressure, g.Metrics = func() bool { return true }, noMetrics{}
		req.route.Targets, req.route.Priority, req.route.Objective = []routes.Target{{Service: "s"}}, 1, 6*time.Second
		req.index = routes.Compile(&routes.Table{Routes: []routes.Route{*req.route, {Host: "other", Targets: req.route.Targets}}})
		req.started = time.Now()
		full := backends.Load{Running: 12, Slots: 12}
		busy := func() {
			full.ReadAt = time.Now()
			a.choice.backend.SetLoad(full)
		}
		busy()
		must.False(t, g.escalate(t.Context(), req, a))
		must.Eq(t, "small", req.plan.model())
		must.Eq(t, admission.MaxKept, time.Since(req.started))
		must.Nil(t, req.reserved)
		must.False(t, req.capacity.givenUp)
		// A slot that becomes free is used.
		busy()
		go func() {
			time.Sleep(200 * time.Millisecond)
			full.Running = 3
			busy()
			g.capacityFreed("s", a.choice.backend)
		}()
		must.True(t, g.escalate(t.Context(), req, a))
		must.Eq(t, admission.MaxKept+200*time.Millisecond, time.Since(req.started))
	})
}

// BenchmarkLookForCapacity measures how long a waiting request looks for capacity among 140 full servers.
func BenchmarkLookForCapacity(b *testing.B) {
	f := newPressureFleet(1, map[string]int{"models": 140}, pressureKinds(1), true)
	g := f.gateways[0]
	for _, backend := range g.Servers.Serving("models") {
		backend.SetLoad(backends.Load{Running: 12, Slots: 12, ReadAt: time.Now().Add(time.Hour)})
	}
	index := g.Current().Index
	route := index.Match("h", "/patient/")
	req := &request{service: "models", index: index, route: route, plan: &cascadePlan{fixed: "large"}, started: time.Now().Add(time.Hour)}
	wait := g.newCapacityWait(req, g.stage(req), false)
	defer wait.leave()
	list := backends.List(g.Servers.Serving("models"))
	b.ReportAllocs()
	for b.Loop() {
		_, left := wait.decide(g.routingRequest(req, nil, g.estimate(req), wait.stage, false, time.Now()), list, false)
		if left <= 0 {
			b.Fatal("the request does not wait")
		}
	}
}
