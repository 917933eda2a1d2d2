package peers_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var cutOffSizes = flag.String("cutoff.sizes", "1,8,60", "sizes of the fleets of TestCutOffInstancesAreKnownEverywhere")

const (
	// smallCutKnown and largeCutKnown are the times within which all instances must know
	// that one is cut off: what the platform allows (three seconds, in a large fleet five),
	// less the time to notice and that for which clients keep an address.
	smallCutKnown = 500 * time.Millisecond
	largeCutKnown = 2500 * time.Millisecond
)

// setCutOff makes every second member cut off from all servers, or no longer so.
func (f *fleet) setCutOff(cutOff bool) {
	for i, m := range f.members {
		if i%2 == 0 {
			f.network.mu.Lock()
			m.self.CutOff = cutOff
			f.network.mu.Unlock()
			m.table.Announce()
		}
	}
}

// listedCutOff returns the number of instances that a member lists as cut off.
func listedCutOff(m *member) int {
	count := 0
	for _, instance := range m.table.Running() {
		if instance.CutOff {
			count++
		}
	}
	return count
}

// TestCutOffInstancesAreKnownEverywhere guards against directories that learn late which
// instances reach no server, or that they do again: with many of them at once, some of which
// lead, in fleets of any size.
func TestCutOffInstancesAreKnownEverywhere(t *testing.T) {
	for _, size := range parseSizes(t, *cutOffSizes) {
		t.Run(fmt.Sprint(size), inFleet(size, func(f *fleet) {
			limit := smallCutKnown
			if size > 20 {
				limit = largeCutKnown
			}
			for round := range 4 {
				cutOff := round%2 == 0
				want := 0
				if cutOff {
					want = (size + 1) / 2
				}
				f.setCutOff(cutOff)
				began := time.Now()
				var sum, last time.Duration
				known := make([]bool, size)
				for left := size; left > 0; time.Sleep(50 * time.Millisecond) {
					for i, m := range f.members {
						if !known[i] && listedCutOff(m) == want {
							known[i] = true
							left--
							last = time.Since(began)
							sum += last
						}
					}
					must.LessEq(f.t, 2*limit, time.Since(began))
				}
				f.t.Logf("cut off %v: known everywhere after %v, in the mean after %v", cutOff, last, sum/time.Duration(size))
				must.LessEq(f.t, limit, last)
				time.Sleep(3 * time.Second)
			}
		}))
	}
}

// TestAnnouncedChangesAreRepeated guards against a lost datagram that keeps a change of the
// state of an instance from a peer until the next round: if that is lost as well, its
// directory lists the instance for too long.
func TestAnnouncedChangesAreRepeated(t *testing.T) {
	const size, known = 8, 200 * time.Millisecond
	t.Run(fmt.Sprint(size), inFleet(size, func(f *fleet) {
		for round := range 6 {
			cutOff := round%2 == 0
			want := 0
			if cutOff {
				want = (size + 1) / 2
			}
			changedAt := time.Now()
			f.network.mu.Lock()
			f.network.cut = func(string, string) bool { return time.Since(changedAt) < 60*time.Millisecond }
			f.network.mu.Unlock()
			f.setCutOff(cutOff)
			time.Sleep(known)
			late := 0
			for _, m := range f.members {
				if listedCutOff(m) != want {
					late++
				}
			}
			// One of the repeated datagrams may be lost, too.
			must.LessEq(f.t, 2, late)
			time.Sleep(3*time.Second + time.Duration(round)*70*time.Millisecond)
		}
	}))
}
