package staging_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/staging"
)

// seeServers has an instance observe a number of servers of the new version.
func seeServers(c *staging.Controller, servers int) {
	c.ObserveServers(func(_, version string) int {
		if version == newVersion {
			return servers
		}
		return 0
	})
}

// steps is the number of different shares of sessions.
const steps = 10000

// sessionsFrom returns different sessions with the same hash.
func sessionsFrom(hash uint64) func() uint64 {
	next := hash
	return func() uint64 {
		next += steps
		return next
	}
}

// shareNow returns the share of the sessions that move to the new version now.
func shareNow(c *staging.Controller, number *uint64) float64 {
	low, high := uint64(0), uint64(steps)
	for low < high {
		*number++
		middle := (low + high) / 2
		if c.Stage(service, *number*steps+middle).Admits(newVersion) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return float64(low) / steps
}

// TestTrialReachesTheLoadOfAServer guards against trials that do not reach the load of a server
// although the exposure allows it, against those that exceed the exposure, also if the version is
// not promoted when that is due, and against a change of trials whose larger share covers a server
// anyway.
func TestTrialReachesTheLoadOfAServer(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, allowed := range []float64{0.0975, 0.15} {
		for _, within := range []time.Duration{16 * time.Second, 18300 * time.Millisecond, 24 * time.Second} {
			for _, servers := range []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 17, 140} {
				f := newFleetWithExposure(1, allowed)
				c := f.controllers[0]
				f.order(newVersion, within)
				seeServers(c, servers)
				var number uint64
				sum, atFull, usual := 0.0, time.Duration(0), true
				for at := time.Duration(0); at < within; at += step {
					share := shareNow(c, &number)
					sum += share * step.Seconds()
					if servers > 0 && share >= 1/float64(servers) && at < within-900*time.Millisecond {
						atFull += step
					}
					expected := 0.4 * allowed
					if at >= time.Duration(0.55*float64(within)) {
						expected = 1.2 * allowed
					}
					usual = usual && share >= expected-1.0/steps && share <= expected+1.0/steps
					f.clock.advance(step)
				}
				what := must.Sprintf("%v servers, %v, exposure %v: full for %v, used %.3f", servers, within, allowed, atFull, sum/(allowed*within.Seconds()))
				// Sampling in steps may count one step too much of the largest share.
				must.LessEq(t, 0.9*allowed*within.Seconds()+step.Seconds(), sum, what)
				switch {
				case servers == 0 || 1/float64(servers) <= 1.2*allowed:
					must.True(t, usual, what)
				case servers >= 3:
					must.GreaterEq(t, 2*time.Second, atFull, what)
				default:
					must.True(t, usual || atFull >= time.Second-step, what)
				}
			}
		}
	}
}

// beforeEnd is the time from the order at which the trial of a service with three servers is at
// full load.
const beforeEnd = smallTime - 2*time.Second

// TestMovesDoNotDependOnTheServersSeen guards against sessions that move back while an instance
// sees another number of servers for a short time, or none, or has learned it from its peers only.
func TestMovesDoNotDependOnTheServersSeen(t *testing.T) {
	f := newFleetWithExposure(3, smallShare)
	for _, c := range f.controllers {
		c.SetTimes(func() time.Duration { return 8500 * time.Millisecond }, func() time.Duration { return 0 })
	}
	f.order(newVersion, smallTime)
	for _, c := range f.controllers[:2] {
		seeServers(c, plainServers)
	}
	f.clock.advance(beforeEnd)
	f.exchange()
	next := sessionsFrom(3000)
	for _, seen := range []int{plainServers, 0, 1, 5, plainServers} {
		seeServers(f.controllers[1], seen)
		session := next()
		for _, c := range f.controllers {
			must.True(t, c.Stage(service, session).Admits(newVersion), must.Sprint(seen))
		}
	}
}

// TestActiveSessionsStayAtFullLoad guards against sessions that change their version during the
// trial because only those were recorded that the usual share may move, before and after the order.
func TestActiveSessionsStayAtFullLoad(t *testing.T) {
	for _, known := range []bool{false, true} {
		f := newFleetWithExposure(2, smallShare)
		for _, c := range f.controllers {
			c.SetTimes(func() time.Duration { return 20 * time.Second }, func() time.Duration { return 0 })
			c.ObserveVersions(service, []string{oldVersion})
			c.ObserveServers(func(string, string) int { return plainServers })
		}
		if known {
			f.order(newVersion, smallTime)
			seeServers(f.controllers[0], plainServers)
		}
		next := sessionsFrom(3000)
		active := next()
		must.True(t, f.controllers[0].Stage(service, active).Admits(oldVersion))
		f.controllers[1].MergeSessionReport(f.controllers[0].Sessions(false))
		if !known {
			f.order(newVersion, smallTime)
		}
		for _, c := range f.controllers {
			seeServers(c, plainServers)
		}
		f.clock.advance(beforeEnd)
		for _, c := range f.controllers {
			must.False(t, c.Stage(service, active).Admits(newVersion))
			must.True(t, c.Stage(service, next()).Admits(newVersion))
		}
	}
}

// TestOneServerHasTheFullLoad guards against a full load that is divided over several servers, or
// goes to another one during the phase, so that none has it for long enough.
func TestOneServerHasTheFullLoad(t *testing.T) {
	f := newFleetWithExposure(1, smallShare)
	f.order(newVersion, smallTime)
	seeServers(f.controllers[0], plainServers)
	f.clock.advance(beforeEnd)
	next, used := sessionsFrom(3000), map[int]bool{}
	for range 20 {
		stage := f.controllers[0].Stage(service, next())
		must.Eq(t, newVersion, stage.Only)
		for i := range plainServers {
			if stage.IncludesServer((float64(i)+0.5)/plainServers, plainServers) {
				used[i] = true
			}
		}
		f.clock.advance(100 * time.Millisecond)
	}
	must.MapLen(t, 1, used)
}

// TestServersAreCountedWithoutTheLock guards against a deadlock: the function that counts the
// servers may wait for another part that waits for the controller.
func TestServersAreCountedWithoutTheLock(t *testing.T) {
	f := newFleet(1)
	f.order(newVersion, smallTime)
	calls := 0
	f.controllers[0].ObserveServers(func(string, string) int {
		calls++
		must.False(t, f.controllers[0].Locked())
		return plainServers
	})
	must.Positive(t, calls)
}

// TestPhasesAreComputedOnChanges guards against phases that are computed for each request, and
// against those that stay while the exposure, the servers or the order change.
func TestPhasesAreComputedOnChanges(t *testing.T) {
	f, share := newFleet(1), smallShare
	c := staging.New(func() float64 { return share }, f.clock.now)
	c.SetTimes(func() time.Duration { return longestPause }, func() time.Duration { return 0 })
	f.controllers[0] = c
	c.ObserveVersions(service, []string{oldVersion})
	serve := func() {
		for session := range uint64(100) {
			c.BeginRequest(service, session*97)
			c.Stage(service, session*97)
			c.EndRequest(service, session*97)
		}
	}
	for _, change := range []func(){
		func() {},
		func() { c.ObserveServers(func(string, string) int { return plainServers }) },
		func() { share = allowedShare },
		func() { f.order(newVersion, smallTime) },
		func() { seeServers(c, 2) },
		func() { share = smallShare },
		func() { f.order(newVersion, 2*smallTime) },
		func() { seeServers(c, 4) },
	} {
		change()
		before := c.PhasesComputed()
		serve()
		must.Between(t, before+1, c.PhasesComputed(), before+2)
		computed := c.PhasesComputed()
		serve()
		must.Eq(t, computed, c.PhasesComputed())
	}
	// The last order has a phase at full load for four servers, with the exposure of before.
	f.clock.advance(2*smallTime - time.Second)
	var number uint64
	must.Eq(t, 1.0/4, shareNow(c, &number))
}
