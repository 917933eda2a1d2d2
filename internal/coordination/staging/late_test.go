package staging_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestLateServersKeepTheExposure guards against trials that exceed the exposure, since servers of
// the new version appear after the usual shares have used a part of it.
func TestLateServersKeepTheExposure(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, allowed := range []float64{0.0975, 0.15} {
		for _, within := range []time.Duration{16 * time.Second, smallTime, 24 * time.Second} {
			for _, servers := range [][2]int{{1, 2}, {1, 3}, {1, 4}, {2, 3}} {
				for appears := step; appears < within; appears += 500 * time.Millisecond {
					f := newFleetWithExposure(1, allowed)
					f.order(newVersion, within)
					seeServers(f.controllers[0], servers[0])
					var number uint64
					sum := 0.0
					for at := time.Duration(0); at < within; at += step {
						if at >= appears {
							seeServers(f.controllers[0], servers[1])
						}
						sum += shareNow(f.controllers[0], &number) * step.Seconds()
						f.clock.advance(step)
					}
					// Sampling in steps may count one step too much of the largest share.
					what := must.Sprintf("%v servers after %v of %v, exposure %v", servers, appears, within, allowed)
					must.LessEq(t, 0.9*allowed*within.Seconds()+step.Seconds(), sum, what)
				}
			}
		}
	}
}

// TestSessionsDoNotReturnAtPeersOfThePreviousBuild guards against sessions that move to the new
// version at an instance with a phase at full load, and back at one of the previous build, which
// has no such phase and does not state the number of servers.
func TestSessionsDoNotReturnAtPeersOfThePreviousBuild(t *testing.T) {
	f := newFleetWithExposure(3, smallShare)
	for _, c := range f.controllers {
		c.SetTimes(func() time.Duration { return 8500 * time.Millisecond }, func() time.Duration { return 0 })
	}
	f.order(newVersion, smallTime)
	previous := f.controllers[2]
	for range 5 {
		seeServers(f.controllers[0], plainServers)
		seeServers(f.controllers[1], plainServers)
		f.clock.advance(400 * time.Millisecond)
		// Only one instance receives the counts of the previous build, which ignores the number.
		exported := previous.Export()
		for i := range exported {
			exported[i].Servers = 0
		}
		f.controllers[0].Merge("previous", exported)
		f.controllers[1].Merge("0", f.controllers[0].Export())
		f.controllers[0].Merge("1", f.controllers[1].Export())
	}
	f.clock.advance(beforeEnd - 2*time.Second)
	next := sessionsFrom(3000)
	for _, c := range f.controllers[:2] {
		session := next()
		moved := c.Stage(service, session).Admits(newVersion)
		must.Eq(t, moved, previous.Stage(service, session).Admits(newVersion))
	}
}
