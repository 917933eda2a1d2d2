package staging_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/staging"
)

// observeServers has an instance count the servers of both versions every 300 ms. serving returns
// how many of the new version accept requests at a time after the order, as the instance sees it.
func (f *sessionFleet) observeServers(i int, serving func(i int, at time.Duration) int) {
	f.after(300*time.Millisecond, func() { f.observeServers(i, serving) })
	f.controllers[i].ObserveServers(func(_, version string) int {
		if version == newVersion && !f.orderedAt.IsZero() {
			return serving(i, f.clock.at.Sub(f.orderedAt))
		}
		return plainServers
	})
}

// newSmallFleet starts a fleet whose service has plainServers servers of the old version.
func newSmallFleet(size int, seed uint64, serving func(i int, at time.Duration) int) *sessionFleet {
	f := startSessionFleet(newFleetWithExposure(size, allowedShare), seed, 6500*time.Millisecond, max(sessionsPerInstance, minSessions/size))
	for i := range size {
		f.after(f.upTo(300*time.Millisecond), func() { f.observeServers(i, serving) })
	}
	return f
}

// check checks the rules of a trial of a good version. Active sessions may move to it by no more
// requests than may move back at a takeover, in the moment in which the share becomes known.
func (f *sessionFleet) check(t *testing.T, what string) {
	t.Helper()
	for _, line := range f.log {
		t.Log(what, line)
	}
	t.Logf("%s: %d requests, %d on the new version; to new %d and %d, to old %d", what, f.requests, f.exposed, f.toNew, f.toNewLate, f.toOld)
	must.False(t, f.agreedAt.IsZero(), must.Sprint(what))
	must.LessEq(t, sessionOrderTime, f.agreedAt.Sub(f.orderedAt), must.Sprint(what))
	must.LessEq(t, allowedShare*float64(f.requests)+trialSlack, float64(f.exposed), must.Sprint(what))
	must.Zero(t, f.toOld, must.Sprint(what))
	must.Zero(t, f.toNew, must.Sprint(what))
	must.LessEq(t, maxAtTakeover, f.toNewLate, must.Sprint(what))
}

// TestServersThatStartOneByOne guards against trials that exceed the exposure, move sessions back
// or keep a good version since the number of servers of the new version grows, also at full load,
// and against active sessions that move since they were not recorded before their share was known.
func TestServersThatStartOneByOne(t *testing.T) {
	for _, size := range []int{1, 8} {
		for _, starts := range [][]time.Duration{
			{0, 3 * time.Second, 6 * time.Second},
			{0, 8 * time.Second, 19 * time.Second},
			{0, 20500 * time.Millisecond, 22 * time.Second},
			{0, 19 * time.Second, 22 * time.Second},
			{0, 0, 21 * time.Second},
			{12 * time.Second, 22 * time.Second, 23 * time.Second},
			{15 * time.Second, 18 * time.Second, 21500 * time.Millisecond},
			{20 * time.Second, 21 * time.Second, 22 * time.Second},
		} {
			for seed := range uint64(4) {
				f := newSmallFleet(size, seed, func(i int, at time.Duration) int {
					count := 0
					for _, start := range starts {
						// An instance reads of a server up to 0.7 s later than others.
						if at >= start+time.Duration(i)*100*time.Millisecond {
							count++
						}
					}
					return count
				})
				f.run()
				f.check(t, fmt.Sprintf("%d instances, %v, seed %d", size, starts, seed))
			}
		}
	}
}

// TestRejectedVersionIsOrderedAgain guards against sessions that move back while a rejected version
// is ordered again, since the instances see different numbers of its servers.
func TestRejectedVersionIsOrderedAgain(t *testing.T) {
	for _, within := range []time.Duration{sessionOrderTime, 16 * time.Second} {
		for seed := range uint64(4) {
			f := newSmallFleet(8, seed, func(i int, _ time.Duration) int { return plainServers - i%2 })
			f.spread(func(c *staging.Controller) { c.ObserveVersions(service, []string{oldVersion, newVersion}) })
			for n, target := range []string{newVersion, oldVersion} {
				f.after(time.Duration(1+2*n)*time.Second, func() {
					f.spread(func(c *staging.Controller) {
						c.SetOrder(staging.Order{Service: service, Target: target, Within: within})
					})
				})
			}
			f.run()
			f.check(t, fmt.Sprintf("earlier order of %v, seed %d", within, seed))
		}
	}
}

// TestSharesThatRiseDuringRequests guards against sessions that move back, or trials that break
// another rule, since the share of the sessions that are recorded rises while requests of them are
// in progress: fewer servers of the new version than of the old one appear late.
func TestSharesThatRiseDuringRequests(t *testing.T) {
	for _, size := range []int{1, 8} {
		for _, appear := range []time.Duration{0, 10 * time.Second, 15 * time.Second, 19 * time.Second} {
			for seed := range uint64(4) {
				f := newSmallFleet(size, seed, func(_ int, at time.Duration) int {
					if at < appear {
						return 0
					}
					return plainServers - 1
				})
				f.run()
				f.check(t, fmt.Sprintf("%d instances, servers after %v, seed %d", size, appear, seed))
			}
		}
	}
}
