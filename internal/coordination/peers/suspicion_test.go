package peers_test

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"medlarslip/internal/coordination/peers"
	"medlarslip/internal/coordination/suspicion"
)

var (
	suspicionSizes = flag.String("suspicion.sizes", "73,300", "sizes of the fleets of the tests of suspicions")
	suspicionSeeds = flag.Int("suspicion.seeds", 20, "number of seeds of the tests of suspicions")
)

const (
	// busyInstances is the number of instances that the directory lists.
	busyInstances = 6
	// omittedWithin is the time after which directories may not list an instance that has
	// lost power, in all but one of 20 seeds. A directory response is cached for a second.
	omittedWithin = 1200 * time.Millisecond
	// maxWrongOmission is the time for which a live instance may be omitted.
	maxWrongOmission = 2 * time.Second
	// maxProbeBytes is the traffic that watching may add to a busy instance, in bytes a second.
	maxProbeBytes = 1000
)

// suspicionLog records the suspicions in force that an instance learned of.
type suspicionLog struct {
	mu    sync.Mutex
	since map[string]time.Time
	// begun counts them, and longest is the longest one that ended.
	begun   int
	longest time.Duration
}

func (l *suspicionLog) add(change suspicion.Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !change.InForce:
	case change.Suspected:
		if l.since == nil {
			l.since = map[string]time.Time{}
		}
		l.begun++
		l.since[change.Instance] = time.Now()
	default:
		l.longest = max(l.longest, time.Since(l.since[change.Instance]))
		delete(l.since, change.Instance)
	}
}

// sum returns the number of suspicions and the duration of the longest one.
func (l *suspicionLog) sum() (begun int, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest = l.longest
	for _, since := range l.since {
		longest = max(longest, time.Since(since))
	}
	return l.begun, longest
}

// watchedFleet starts a fleet of two failure domains whose directories list the six largest
// instances, which watch each other, and runs a scenario.
func watchedFleet(size, seed int, scenario func(f *fleet, busy []*member)) func(t *testing.T) {
	return listingFleet(size, seed, func(f *fleet) { f.watches.Store(true) }, scenario)
}

// listingFleet starts such a fleet after it was prepared.
func listingFleet(size, seed int, prepare func(f *fleet), scenario func(f *fleet, busy []*member)) func(t *testing.T) {
	return func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, size)
			f.network.seed = uint64(seed)
			prepare(f)
			f.listed = func(running []peers.Instance) []string {
				var names []string
				for i := range running {
					if running[i].Weight == 200 {
						names = append(names, running[i].Name)
					}
				}
				return names
			}
			for i, m := range f.members {
				m.self.FailureDomain, m.self.Weight = fmt.Sprintf("district-%c", 'a'+i%2), 20
				if i < busyInstances {
					m.self.Weight = 200
				}
			}
			for _, m := range f.members {
				f.start(m)
				time.Sleep(300 * time.Millisecond / time.Duration(size))
			}
			defer f.stop()
			f.convergeWithin(detectionLimit, "start")
			time.Sleep(2*time.Second + time.Duration(seed)*37*time.Millisecond)
			scenario(f, slices.Clone(f.members[:busyInstances]))
		})
	}
}

// omits reports whether the directory of a member does not list another one.
func omits(m, other *member) bool {
	isOther := func(name string) bool { return name == other.self.Name }
	return slices.ContainsFunc(m.table.Suspected(), isOther) ||
		!slices.ContainsFunc(m.table.Running(), func(i peers.Instance) bool { return isOther(i.Name) })
}

// omittedAfter returns the time until no directory lists a member that is lost.
func (f *fleet) omittedAfter(lost *member) time.Duration {
	f.kill(lost)
	began := time.Now()
	for slices.ContainsFunc(f.members, func(m *member) bool { return !omits(m, lost) }) {
		must.Less(f.t, 2*detectionLimit, time.Since(began))
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// TestLostInstanceIsSoonOmitted guards against directories that list an instance which has
// lost power until membership notices, seconds later.
func TestLostInstanceIsSoonOmitted(t *testing.T) {
	for _, size := range parseSizes(t, *suspicionSizes) {
		var times []time.Duration
		seeds := *suspicionSeeds
		if size > 100 {
			seeds = min(seeds, maxLargeScenarios)
		}
		for seed := range seeds {
			t.Run(fmt.Sprint(size, "/", seed), watchedFleet(size, seed, func(f *fleet, busy []*member) {
				times = append(times, f.omittedAfter(busy[seed%busyInstances]))
			}))
		}
		slices.Sort(times)
		late := 0
		for _, took := range times {
			if took > omittedWithin {
				late++
			}
		}
		t.Logf("%d instances: %d of %d late, median %v, longest %v", size, late, len(times), times[len(times)/2], times[len(times)-1])
		must.LessEq(t, len(times)/20, late)
	}
}

// seedsOf returns the number of seeds for the scenarios of a minute, which take long in a
// fleet of 300.
func seedsOf(size int) int {
	if size > 100 {
		return min(max(*suspicionSeeds/10, 1), maxLargeMinutes)
	}
	return min(*suspicionSeeds, maxLongScenarios)
}

// TestLiveInstancesStayListed guards against directories that omit live instances because of
// single lost datagrams.
func TestLiveInstancesStayListed(t *testing.T) {
	omissions := 0
	for _, size := range parseSizes(t, *suspicionSizes) {
		for seed := range seedsOf(size) {
			t.Run(fmt.Sprint(size, "/", seed), watchedFleet(size, seed, func(f *fleet, _ []*member) {
				time.Sleep(liveTime)
				omitted := 0
				for _, m := range f.members {
					begun, longest := m.suspicions.sum()
					omitted = max(omitted, begun)
					must.LessEq(f.t, maxWrongOmission, longest)
				}
				omissions += omitted
			}))
		}
		t.Logf("%d instances, %d seeds: live instances were omitted %d times so far", size, seedsOf(size), omissions)
	}
	must.LessEq(t, 1, omissions)
}

// TestDirectoryAfterTheLossOfAllListedInstances guards against suspicions that keep a
// directory from listing others once all large instances are lost.
func TestDirectoryAfterTheLossOfAllListedInstances(t *testing.T) {
	for _, size := range parseSizes(t, *suspicionSizes) {
		t.Run(fmt.Sprint(size), watchedFleet(size, 1, func(f *fleet, busy []*member) {
			f.kill(busy...)
			f.convergeWithin(detectionLimit, "loss of all busy instances")
			for _, m := range f.members {
				must.SliceEmpty(f.t, m.table.Suspected())
			}
		}))
	}
}

// TestCutLinkOmitsNoInstance guards against an instance that is omitted because another one
// does not receive its datagrams, while the others do.
func TestCutLinkOmitsNoInstance(t *testing.T) {
	for _, size := range parseSizes(t, *suspicionSizes) {
		// The first two instances lead.
		pairs := [][2]int{{0, 4}, {4, 0}, {0, 1}, {3, 5}}
		for _, pair := range pairs[:min(len(pairs), seedsOf(size))] {
			t.Run(fmt.Sprint(size, pair), watchedFleet(size, 1, func(f *fleet, busy []*member) {
				from, to := busy[pair[0]].self.PeerAddress, busy[pair[1]].self.PeerAddress
				f.network.mu.Lock()
				f.network.cut = func(a, b string) bool { return a == from && b == to }
				f.network.mu.Unlock()
				time.Sleep(20 * time.Second)
				for _, m := range f.members {
					begun, _ := m.suspicions.sum()
					must.Zero(f.t, begun)
				}
			}))
		}
	}
}

// TestSuspicionEndsWhenTheInstanceIsHeard guards against directories that go on omitting an
// instance which was only silent for a second, as when its machine was suspended, and against
// one that omits others since it is cut off itself.
func TestSuspicionEndsWhenTheInstanceIsHeard(t *testing.T) {
	const known = 400 * time.Millisecond
	for _, size := range parseSizes(t, *suspicionSizes) {
		for seed := range min(busyInstances, seedsOf(size)) {
			t.Run(fmt.Sprint(size, "/", seed), watchedFleet(size, seed, func(f *fleet, busy []*member) {
				silent := busy[seed]
				f.network.suspend(silent.self.PeerAddress, 1200*time.Millisecond)
				must.SliceEmpty(f.t, silent.table.Suspected())
				omitted := 0
				for _, m := range f.members {
					if m != silent && slices.Contains(m.table.Suspected(), silent.self.Name) {
						omitted++
					}
				}
				f.t.Logf("%d of %d directories omitted it", omitted, size-1)
				time.Sleep(known)
				still := 0
				for _, m := range f.members {
					if len(m.table.Suspected()) > 0 {
						still++
					}
				}
				// The two leaders tell each instance twice; all datagrams to one may be lost.
				must.LessEq(f.t, 1, still)
			}))
		}
	}
}

// TestWatchingFitsItsTraffic guards against probes that take more of a busy instance than
// they may, and against traffic at others.
func TestWatchingFitsItsTraffic(t *testing.T) {
	for _, size := range parseSizes(t, *suspicionSizes) {
		bytes := map[bool][]int{}
		for _, watches := range []bool{false, true} {
			t.Run(fmt.Sprint(size, watches), watchedFleet(size, 1, func(f *fleet, busy []*member) {
				f.watches.Store(watches)
				// Both windows begin at the same time of the virtual clock, however long the
				// fleet took to converge: one that begins 200 ms later in a round can hold one
				// poll of a leader less at each instance.
				windowStart := time.Now().Truncate(2 * detectionLimit).Add(2 * detectionLimit)
				time.Sleep(time.Until(windowStart) + 5*time.Second)
				f.traffic()
				for _, sent := range f.bytes() {
					bytes[watches] = append(bytes[watches], sent/5)
				}
			}))
		}
		var added []int
		for i := range bytes[true] {
			added = append(added, bytes[true][i]-bytes[false][i])
		}
		t.Logf("%d instances: added to busy instances %v B/s", size, added[:busyInstances])
		for _, extra := range added[:busyInstances] {
			must.LessEq(t, maxProbeBytes, extra)
		}
		others := slices.Clone(added[busyInstances:])
		slices.Sort(others)
		t.Logf("to others in the median %d B/s, at most %d B/s", others[len(others)/2], others[len(others)-1])
		must.Zero(t, others[len(others)/2])
	}
}
