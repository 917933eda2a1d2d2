package staging_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"medlarslip/internal/coordination/staging"
)

const (
	service    = "drafts"
	oldVersion = "v1"
	newVersion = "v2"
	// exposure is the allowed share of the requests in the tests. A tenth of the
	// sessions goes to the canary at first, three tenths later.
	exposure = 0.25
	// atLoad and atEnd are the times in an order of 20 s at which the larger
	// share starts and at which the canary may be promoted.
	atLoad = 11 * time.Second
	atEnd  = 19200 * time.Millisecond
)

// clock is a virtual clock.
type clock struct{ at time.Time }

func (c *clock) now() time.Time          { return c.at }
func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

type fleet struct {
	clock       *clock
	controllers []*staging.Controller
}

func newFleet(size int) *fleet { return newFleetWithExposure(size, exposure) }

func newFleetWithExposure(size int, share float64) *fleet {
	f := &fleet{clock: &clock{at: time.Unix(1000, 0)}}
	for range size {
		f.controllers = append(f.controllers, staging.New(func() float64 { return share }, f.clock.now))
	}
	return f
}

func (f *fleet) order(target string, within time.Duration) {
	for _, c := range f.controllers {
		c.SetOrder(staging.Order{Service: service, Target: target, Within: within})
	}
}

// exchange sends the state of every instance to all others.
func (f *fleet) exchange() {
	for i, from := range f.controllers {
		for j, to := range f.controllers {
			if i != j {
				to.MergeSessions(from.ActiveSessions(), nil)
				to.Merge(string(rune('a'+i)), from.Export())
			}
		}
	}
}

func (f *fleet) observe(version string, times int, failed bool) {
	for i := range times {
		f.controllers[i%len(f.controllers)].Observe(staging.Observation{Service: service, Version: version, Failed: failed})
	}
}

func (f *fleet) decide(i int) []staging.Decision {
	return f.controllers[i].Decide(func(string, string) int { return 3 })
}

// canarySession is a session whose hash selects it for the trial.
const canarySession = uint64(1)

func TestActiveSessionsKeepTheOldVersion(t *testing.T) {
	f := newFleet(2)
	must.True(t, f.controllers[0].Stage(service, canarySession).Admits(oldVersion))
	f.exchange()
	f.order(newVersion, 20*time.Second)
	for range 20 {
		f.clock.advance(time.Second)
		for _, c := range f.controllers {
			must.True(t, c.Stage(service, canarySession).Admits(oldVersion))
			must.False(t, c.Stage(service, canarySession).Admits(newVersion))
		}
		f.exchange()
	}
}

// TestSessionGivenToTheOldVersionKeepsIt: a session selected for the trial
// stays on the old version if that version served it because no server of the
// new version could, for example while all of them are cold.
func TestSessionGivenToTheOldVersionKeepsIt(t *testing.T) {
	f := newFleet(2)
	f.order(newVersion, 20*time.Second)
	must.True(t, f.controllers[0].Stage(service, canarySession).Trial)
	f.controllers[0].RecordOldVersionUse(service, canarySession)
	f.exchange()
	for _, c := range f.controllers {
		must.True(t, c.Stage(service, canarySession).Admits(oldVersion))
		must.False(t, c.Stage(service, canarySession).Admits(newVersion))
	}
}

// TestServersMayComeBeforeTheirOrder: the order is read from a different topic
// than the servers that it introduces, so either may arrive first.
func TestServersMayComeBeforeTheirOrder(t *testing.T) {
	f := newFleet(1)
	c := f.controllers[0]
	c.ObserveVersions(service, []string{oldVersion})
	must.True(t, c.Stage(service, 9999).Admits(oldVersion))
	c.ObserveVersions(service, []string{oldVersion, newVersion})
	must.False(t, c.Stage(service, 9999).Admits(newVersion))
	must.False(t, c.Stage(service, canarySession).Admits(newVersion))
	must.True(t, c.Stage(service, 9999).Widened().Admits(newVersion))
	f.clock.advance(5 * time.Second)
	must.True(t, c.Stage(service, 9999).Admits(newVersion))
}

// TestSightingsArePassedOnOnce: an instance learns of an active session from a
// peer that relays it, and does not relay it further.
func TestSightingsArePassedOnOnce(t *testing.T) {
	f := newFleet(3)
	a, b, c := f.controllers[0], f.controllers[1], f.controllers[2]
	a.Stage(service, canarySession)
	b.MergeSessions(a.ActiveSessions(), a.RelayedSessions())
	c.MergeSessions(b.ActiveSessions(), b.RelayedSessions())
	must.Len(t, 1, b.RelayedSessions())
	must.Len(t, 0, c.RelayedSessions())
	f.order(newVersion, 20*time.Second)
	must.True(t, c.Stage(service, canarySession).Admits(oldVersion))
	f.clock.advance(2 * time.Second)
	must.Len(t, 0, b.RelayedSessions())
}

func TestIdleSessionsMoveAndStay(t *testing.T) {
	f := newFleet(2)
	f.controllers[0].Stage(service, canarySession)
	f.exchange()
	f.order(newVersion, 30*time.Second)
	f.clock.advance(9 * time.Second)
	for range 10 {
		f.clock.advance(time.Second)
		for _, c := range f.controllers {
			must.False(t, c.Stage(service, canarySession).Admits(oldVersion))
			must.True(t, c.Stage(service, canarySession).Admits(newVersion))
		}
		f.exchange()
	}
	must.True(t, f.controllers[0].Stage(service, 9999).Admits(oldVersion))
}

func TestShareOfSessions(t *testing.T) {
	f := newFleet(1)
	f.order(newVersion, 20*time.Second)
	moved := 0
	for session := range uint64(10000) {
		if f.controllers[0].Stage(service, session).Admits(newVersion) {
			moved++
		}
	}
	must.Eq(t, 1000, moved)
	f.clock.advance(atLoad)
	moved = 0
	for session := range uint64(10000) {
		if f.controllers[0].Stage(service, session).Admits(newVersion) {
			moved++
		}
	}
	// Sessions seen on the old version recently would stay; eleven seconds exceed
	// activeTime.
	must.Eq(t, 3000, moved)
}

func TestGoodVersionSucceedsInTime(t *testing.T) {
	f := newFleet(3)
	f.order(newVersion, 20*time.Second)
	must.Eq(t, staging.Running, f.decide(0)[0].Status.State)
	f.controllers[0].SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Running})
	f.observe(oldVersion, 300, false)
	f.observe(newVersion, 30, false)
	f.exchange()
	must.Len(t, 0, f.decide(0))
	f.clock.advance(atLoad)
	must.Len(t, 0, f.decide(0))
	f.observe(oldVersion, 300, false)
	f.observe(newVersion, 30, false)
	f.exchange()
	must.Len(t, 0, f.decide(0))
	f.clock.advance(atEnd - atLoad)
	must.Eq(t, staging.Succeeded, f.decide(0)[0].Status.State)
}

// TestVersionIsJudgedUnderLoad: good answers from before the larger share don't
// outweigh failures under load.
func TestVersionIsJudgedUnderLoad(t *testing.T) {
	f := newFleet(3)
	f.order(newVersion, 20*time.Second)
	f.controllers[0].SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Running})
	f.observe(oldVersion, 300, false)
	f.observe(newVersion, 300, false)
	f.exchange()
	f.clock.advance(atLoad)
	must.Len(t, 0, f.decide(0))
	f.clock.advance(atEnd)
	f.observe(oldVersion, 100, false)
	f.observe(newVersion, 5, false)
	f.exchange()
	must.Len(t, 0, f.decide(0))
	f.observe(newVersion, 15, true)
	f.exchange()
	must.Eq(t, staging.RolledBack, f.decide(0)[0].Status.State)
}

// TestNoVersionSucceedsUnseen: a version is promoted only after enough of its
// answers were observed to detect a bad one.
func TestNoVersionSucceedsUnseen(t *testing.T) {
	const within = 20 * time.Second
	f := newFleet(3)
	f.order(newVersion, within)
	f.controllers[0].SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Running})
	f.observe(oldVersion, 40, false)
	f.clock.advance(within)
	f.exchange()
	must.SliceEmpty(t, f.decide(0))
	f.observe(newVersion, 6, false)
	f.exchange()
	must.SliceEmpty(t, f.decide(0))
	f.observe(newVersion, 24, false)
	f.exchange()
	must.Eq(t, staging.Succeeded, f.decide(0)[0].Status.State)
}

// TestFailingVersionNeedsNoComparison: a version that mostly fails is not
// promoted, even if the old version has too few observations for a comparison.
func TestFailingVersionNeedsNoComparison(t *testing.T) {
	const within = 20 * time.Second
	f := newFleet(1)
	f.order(newVersion, within)
	f.controllers[0].SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Running})
	f.observe(newVersion, 60, true)
	f.clock.advance(within)
	must.SliceEmpty(t, f.decide(0))
	f.observe(newVersion, 70, false)
	must.Eq(t, staging.Succeeded, f.decide(0)[0].Status.State)
}

// TestBadVersionIsRolledBack: the pooled counts of all instances reveal a bad
// version; the counts of a single instance are too few.
func TestBadVersionIsRolledBack(t *testing.T) {
	f := newFleet(3)
	f.order(newVersion, 20*time.Second)
	f.observe(oldVersion, 300, false)
	f.observe(newVersion, 12, false)
	f.observe(newVersion, 12, true)
	f.exchange()
	decisions := f.decide(1)
	must.Eq(t, staging.RolledBack, decisions[0].Status.State)
	must.Eq(t, "errors", decisions[0].Reason)
	// The instance that detected the regression stops sending requests there
	// before the status is agreed.
	must.False(t, f.controllers[1].Stage(service, canarySession).Admits(newVersion))
}

func TestWhatWasAgreedStays(t *testing.T) {
	f := newFleet(1)
	c := f.controllers[0]
	f.order(newVersion, 20*time.Second)
	c.SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.RolledBack})
	c.SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Succeeded})
	f.clock.advance(time.Minute)
	must.Len(t, 0, f.decide(0))
	must.False(t, c.Stage(service, canarySession).Admits(newVersion))
	must.False(t, c.Stage(service, canarySession).Widened().Admits(newVersion))
	c.RemoveOrder(service)
	must.False(t, c.Stage(service, canarySession).Admits(newVersion))
	// A later order does not readmit the version.
	f.order("v3", 20*time.Second)
	must.False(t, c.Stage(service, 9999).Admits(newVersion))
	must.Eq(t, staging.Running, f.decide(0)[0].Status.State)
}

// TestNextInstanceTakesOver: an instance decides only after a delay for each
// instance ranked before it, and does not decide again what another has agreed.
func TestNextInstanceTakesOver(t *testing.T) {
	f := newFleet(1)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var agreed []staging.Status
	rank, lost := 1, true
	d := &staging.Decider{
		Controller: f.controllers[0], Ready: func() bool { return true }, Rank: func() int { return rank },
		Serving: func(string, string) int { return 3 }, Log: logrus.NewEntry(logger),
		Agree: func(_ context.Context, status staging.Status, _ staging.Versions) error {
			if lost {
				return errors.New("store is down")
			}
			agreed = append(agreed, status)
			return nil
		},
	}
	f.order(newVersion, 20*time.Second)
	staging.Tick(t.Context(), d)
	f.clock.advance(1100 * time.Millisecond)
	staging.Tick(t.Context(), d)
	must.Len(t, 0, agreed)
	lost = false
	staging.Tick(t.Context(), d)
	staging.Tick(t.Context(), d)
	must.Eq(t, []staging.Status{{Service: service, Target: newVersion, State: staging.Running}}, agreed)
	f.clock.advance(15 * time.Second)
	staging.Tick(t.Context(), d)
	f.controllers[0].SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.RolledBack})
	f.clock.advance(2 * time.Second)
	staging.Tick(t.Context(), d)
	must.Len(t, 1, agreed)
}

func TestSucceededVersionTakesAll(t *testing.T) {
	f := newFleet(1)
	f.order(newVersion, 20*time.Second)
	f.controllers[0].SetStatus(staging.Status{Service: service, Target: newVersion, State: staging.Succeeded})
	must.False(t, f.controllers[0].Stage(service, 9999).Admits(oldVersion))
	must.True(t, f.controllers[0].Stage(service, 9999).Widened().Admits(oldVersion))
}

// TestTrialUsesASubsetOfTheServers: a small subset rotates, a larger one stays
// fixed, and each server receives about the load it would receive with all
// requests.
func TestTrialUsesASubsetOfTheServers(t *testing.T) {
	inSubset := func(stage staging.Stage, servers int) map[int]bool {
		chosen := map[int]bool{}
		for i := range servers {
			if stage.IncludesServer((float64(i)+0.5)/float64(servers), servers) {
				chosen[i] = true
			}
		}
		return chosen
	}
	for _, c := range []struct{ servers, chosen, overTime int }{{1, 1, 1}, {3, 1, 3}, {9, 1, 9}, {40, 4, 4}, {160, 16, 16}} {
		f := newFleet(1)
		f.order(newVersion, 200*time.Second)
		seen := map[int]bool{}
		for range 40 {
			chosen := inSubset(f.controllers[0].Stage(service, canarySession), c.servers)
			must.MapLen(t, c.chosen, chosen, must.Sprintf("%+v", c))
			for i := range chosen {
				seen[i] = true
			}
			f.clock.advance(time.Second)
		}
		must.MapLen(t, c.overTime, seen, must.Sprintf("%+v", c))
	}
}

// TestDecideCountsServersWithoutTheLock guards against instances that hang for good: what
// counts the servers may wait for a part that waits for the controller.
func TestDecideCountsServersWithoutTheLock(t *testing.T) {
	f := newFleet(1)
	f.order(newVersion, 20*time.Second)
	f.observe(oldVersion, 200, false)
	f.observe(newVersion, 200, false)
	f.clock.advance(atLoad)
	f.decide(0)
	f.observe(newVersion, 400, false)
	f.clock.advance(atEnd - atLoad)
	calls := 0
	f.controllers[0].Decide(func(string, string) int {
		calls++
		must.False(t, f.controllers[0].Locked())
		return 3
	})
	must.Positive(t, calls)
}
