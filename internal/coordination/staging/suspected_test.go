package staging_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"medlarslip/internal/coordination/rollout"
	"medlarslip/internal/coordination/staging"
)

// The load on a plain service whose new version fails only under load.
const (
	plainServers = 3
	plainRate    = 180
	// plainFailing is the share of the answers that fail with any version: 1 in 7 of a
	// fifth of them.
	plainFailing = 1.0 / 5 / 7
	// overloadFailing is the share of its answers that a bad version fails while its
	// server has more requests at once than its capacity.
	overloadFailing = 0.4
	plainTime       = 100 * time.Millisecond
	plainSeeds      = 50
)

// observedOld and observedNew are the counts with which a bad version was promoted. Counts that
// are at least as many standard errors apart are evidence against a version.
var (
	observedOld = rollout.Counts{Answers: 4470, Failed: 233}
	observedNew = rollout.Counts{Answers: 362, Failed: 32}
)

// plainRequest is a request in progress at a server of the new version.
type plainRequest struct {
	ends     time.Duration
	server   int
	failed   bool
	observer *staging.Controller
}

// plainTrial simulates an order for a version of a plain service with three servers, which
// fails 40% of the requests that arrive while their server has more than capacity requests.
type plainTrial struct {
	fleet    *fleet
	random   *rand.Rand
	capacity int
	atOnce   [plainServers]int
	requests []plainRequest
	// end is the decision that ended the rollout; the zero value if there is none.
	end    staging.Decision
	endsAt time.Duration
}

func runPlainTrial(instances, capacity int, seed uint64) *plainTrial {
	p := &plainTrial{fleet: newFleetWithExposure(instances, allowedShare), random: rand.New(rand.NewPCG(seed, 41)), capacity: capacity}
	p.fleet.order(newVersion, trialTime)
	const step = 10 * time.Millisecond
	for at := time.Duration(0); at < trialTime+badTime && p.endsAt == 0; at += step {
		p.finish(at)
		for n := poisson(p.random, plainRate*step.Seconds()); n > 0; n-- {
			p.request(at)
		}
		if at%(400*time.Millisecond) == 0 {
			p.fleet.exchange()
		}
		if at%(300*time.Millisecond) == 0 {
			p.decide(at)
		}
		p.fleet.clock.advance(step)
	}
	return p
}

func (p *plainTrial) request(at time.Duration) {
	c := p.fleet.controllers[p.random.IntN(len(p.fleet.controllers))]
	stage := c.Stage(service, p.random.Uint64())
	failed := p.random.Float64() < plainFailing
	if !stage.Admits(newVersion) {
		c.Observe(staging.Observation{Service: service, Version: oldVersion, Failed: failed})
		return
	}
	chosen := -1
	for i := range plainServers {
		if stage.IncludesServer((float64(i)+0.5)/plainServers, plainServers) && (chosen < 0 || p.atOnce[i] < p.atOnce[chosen]) {
			chosen = i
		}
	}
	p.atOnce[chosen]++
	failed = failed || (p.atOnce[chosen] > p.capacity && p.random.Float64() < overloadFailing)
	took := time.Duration(p.random.ExpFloat64() * float64(plainTime))
	p.requests = append(p.requests, plainRequest{ends: at + took, server: chosen, failed: failed, observer: c})
}

func (p *plainTrial) finish(at time.Duration) {
	p.requests = slices.DeleteFunc(p.requests, func(r plainRequest) bool {
		if r.ends > at {
			return false
		}
		p.atOnce[r.server]--
		r.observer.Observe(staging.Observation{Service: service, Version: newVersion, Failed: r.failed})
		return true
	})
}

func (p *plainTrial) decide(at time.Duration) {
	for _, decision := range p.fleet.decide(0) {
		p.fleet.setStatus(decision.Status.Target, decision.Status.State)
		if decision.Status.State != staging.Running {
			p.end, p.endsAt = decision, at
		}
	}
}

// errorsAbove returns by how many standard errors the share of failures of a new version is
// above that of the old one.
func errorsAbove(oldArm, newArm rollout.Counts) float64 {
	n0, n1 := float64(oldArm.Answers), float64(newArm.Answers)
	pooled := float64(oldArm.Failed+newArm.Failed) / (n0 + n1)
	return (float64(newArm.Failed)/n1 - float64(oldArm.Failed)/n0) / math.Sqrt(pooled*(1-pooled)*(1/n0+1/n1))
}

// TestNoVersionSucceedsWithEvidenceAgainstIt guards against versions that fail under load and
// are promoted because their trial has not proved it, although it has shown it. The load of
// the trial reaches the capacity of a server more or less often.
func TestNoVersionSucceedsWithEvidenceAgainstIt(t *testing.T) {
	total := 0
	for _, instances := range []int{1, 8} {
		for _, capacity := range []int{4, 5, 6, 8} {
			ended, against := map[staging.State]int{}, 0
			for seed := range uint64(plainSeeds) {
				p := runPlainTrial(instances, capacity, seed)
				ended[p.end.Status.State]++
				if p.end.Status.State == staging.Succeeded && errorsAbove(p.end.Old, p.end.New) >= errorsAbove(observedOld, observedNew) {
					against++
					t.Logf("seed %d: promoted with %d of %d against %d of %d", seed, p.end.New.Failed, p.end.New.Answers, p.end.Old.Failed, p.end.Old.Answers)
				}
			}
			t.Logf("%d instances, fails beyond %d requests at once: %v, promoted with evidence against it %d", instances, capacity, ended, against)
			total += against
		}
	}
	must.Zero(t, total)
}

// TestGoodVersionsAreNotSuspected guards against a test that holds versions back which fail no
// more often than the old one.
func TestGoodVersionsAreNotSuspected(t *testing.T) {
	for _, instances := range []int{1, 8} {
		inTime := 0
		for seed := range uint64(plainSeeds) {
			if p := runPlainTrial(instances, math.MaxInt, seed); p.end.Status.State == staging.Succeeded && p.endsAt <= trialTime {
				inTime++
			}
		}
		t.Logf("%d instances: %d of %d in time", instances, inTime, plainSeeds)
		must.GreaterEq(t, plainSeeds*19, inTime*20)
	}
}

// suspectedFleet returns a fleet whose versions have the counts with which a bad version was
// promoted, at the time when its promotion is due.
func suspectedFleet() *fleet {
	f := newFleet(2)
	f.order(newVersion, trialTime)
	f.setStatus(newVersion, staging.Running)
	f.clock.advance(atLoad)
	f.decide(0)
	f.decide(1)
	for version, observed := range map[string]rollout.Counts{oldVersion: observedOld, newVersion: observedNew} {
		f.observe(version, int(observed.Failed), true)
		f.observe(version, int(observed.Answers-observed.Failed), false)
	}
	f.exchange()
	f.clock.advance(atEnd - atLoad)
	return f
}

// suspectedTime is the time for which a version is held back while it is suspected.
const suspectedTime = 450 * time.Millisecond

// TestSuspectedVersionIsRolledBack guards against a version that is promoted, or stays on trial
// past its deadline, while its counts are evidence against it. A decider that takes over decides
// the same.
func TestSuspectedVersionIsRolledBack(t *testing.T) {
	f := suspectedFleet()
	must.SliceEmpty(t, f.decide(0))
	must.True(t, f.controllers[0].Stage(service, canarySession).Admits(newVersion))
	f.clock.advance(suspectedTime)
	for i := range f.controllers {
		decisions := f.decide(i)
		must.Len(t, 1, decisions)
		must.Eq(t, staging.RolledBack, decisions[0].Status.State)
		must.Eq(t, "suspected", decisions[0].Reason)
	}
}

// TestVersionIsPromotedAfterItsSuspicionEnds guards against a good version that stays held back
// although its later answers are good.
func TestVersionIsPromotedAfterItsSuspicionEnds(t *testing.T) {
	f := suspectedFleet()
	must.SliceEmpty(t, f.decide(0))
	f.observe(newVersion, 100, false)
	f.exchange()
	must.Eq(t, staging.Succeeded, f.decide(0)[0].Status.State)
}

// TestHeldBackVersionIsLoggedOnce guards against versions that are held back without a log line, and
// against a line for each evaluation, and for each instance that would decide if the first one
// had not.
func TestHeldBackVersionIsLoggedOnce(t *testing.T) {
	f := suspectedFleet()
	logger, hook := logtest.NewNullLogger()
	for range 5 {
		for rank, c := range f.controllers {
			staging.Tick(t.Context(), &staging.Decider{
				Controller: c, Ready: func() bool { return true }, Rank: func() int { return rank },
				Serving: func(string, string) int { return 3 }, Log: logrus.NewEntry(logger),
				Agree: func(_ context.Context, status staging.Status, _ staging.Versions) error {
					f.setStatus(status.Target, status.State)
					return nil
				},
			})
		}
		f.clock.advance(suspectedTime)
	}
	lines := 0
	for _, entry := range hook.AllEntries() {
		if entry.Data["event"] == "rollout_held_back" {
			lines++
			must.Eq(t, rollout.CauseErrors, entry.Data["reason"].(string))
		}
	}
	must.Eq(t, 1, lines)
	must.Eq(t, []uint64{1, 0}, []uint64{f.controllers[0].HeldBack(), f.controllers[1].HeldBack()})
}
